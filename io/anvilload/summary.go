package anvilload

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"anvilshunt/core/anvilid"
)

// maxExamples limits the number of mismatches (answers that don't belong to their request) that a
// summary describes.
const maxExamples = 10

// Latency contains the number of recorded latencies, and their percentiles and maximum in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	P999  int64 `json:"p999"`
	Max   int64 `json:"max"`
}

// AccountSummary is the result of the requests of one client account.
type AccountSummary struct {
	Account anvilid.AccountID `json:"account"`
	Sent    int               `json:"sent"`
	Done    int               `json:"done"`
	Latency Latency           `json:"latency"`
}

// Phase is the combined result of the requests of all base periods, or of all peak periods, of a
// Swing.
type Phase struct {
	Sent    int     `json:"sent"`
	Done    int     `json:"done"`
	Latency Latency `json:"latency"`
}

// Summary is the result of a load. Without a Swing, all requests count in Base.
type Summary struct {
	Seconds        float64          `json:"seconds"`
	Sent           int              `json:"sent"`
	Done           int              `json:"done"`
	Rate           float64          `json:"rate"`    // requests done per second
	Skipped        int64            `json:"skipped"` // requests not sent because MaxInFlight was reached
	Resends        int              `json:"resends"`
	Resolved       int              `json:"resolved"` // requests with an unknown first outcome that a resend completed
	Mismatched     int              `json:"wrong"`    // answers that don't belong to their request
	Examples       []string         `json:"examples,omitempty"`
	Outcomes       map[Outcome]int  `json:"outcomes"`
	Codes          map[string]int   `json:"codes"`
	Latency        Latency          `json:"latency"` // of requests that were done
	RefusalLatency Latency          `json:"refusal"` // of requests that were not run
	Base           Phase            `json:"base"`
	Peak           Phase            `json:"peak"`
	Accounts       []AccountSummary `json:"accounts"`
}

type groupStats struct {
	sent, done int
	histogram  *hdrhistogram.Histogram
}

func newGroupStats() *groupStats { return &groupStats{histogram: newHistogram()} }

// newHistogram returns a histogram of microseconds from 1 µs to 2 h with three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (2 * time.Hour).Microseconds(), 3)
}

func (p *groupStats) add(r Result) {
	p.sent++
	if r.Outcome == Done {
		p.done++
		_ = p.histogram.RecordValue(max(1, r.Latency.Microseconds()))
	}
}

type recorder struct {
	skipped atomic.Int64

	mu             sync.Mutex
	all            *groupStats
	refusalLatency *hdrhistogram.Histogram
	phases         [2]*groupStats
	accounts       map[anvilid.AccountID]*groupStats
	outcomes       map[Outcome]int
	codes          map[string]int
	resends        int
	resolved       int
	mismatched     int
	examples       []string
}

func newRecorder() *recorder {
	return &recorder{
		all: newGroupStats(), refusalLatency: newHistogram(), phases: [2]*groupStats{newGroupStats(), newGroupStats()},
		accounts: map[anvilid.AccountID]*groupStats{}, outcomes: map[Outcome]int{}, codes: map[string]int{},
	}
}

func (r *recorder) record(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all.add(result)
	phase := 0
	if result.InPeak {
		phase = 1
	}
	r.phases[phase].add(result)
	account := r.accounts[result.Account]
	if account == nil {
		account = newGroupStats()
		r.accounts[result.Account] = account
	}
	account.add(result)
	r.outcomes[result.Outcome]++
	r.codes[result.Code]++
	r.resends += result.Resends
	if result.FirstOutcome == Unknown && result.Outcome == Done {
		r.resolved++
	}
	if result.Outcome == NotRun {
		_ = r.refusalLatency.RecordValue(max(1, result.Latency.Microseconds()))
	}
	if result.Mismatch != "" {
		r.mismatched++
		if len(r.examples) < maxExamples {
			r.examples = append(r.examples, result.Mismatch)
		}
	}
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), P999: h.ValueAtQuantile(99.9), Max: h.Max(),
	}
}

func (p *groupStats) phase() Phase { return Phase{p.sent, p.done, latencyOf(p.histogram)} }

func (r *recorder) summary(settings *Settings, elapsed time.Duration) *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &Summary{
		Seconds: elapsed.Seconds(), Sent: r.all.sent, Done: r.all.done, Rate: float64(r.all.done) / elapsed.Seconds(),
		Skipped: r.skipped.Load(), Resends: r.resends, Resolved: r.resolved, Mismatched: r.mismatched, Examples: r.examples,
		Outcomes: r.outcomes, Codes: r.codes, Latency: latencyOf(r.all.histogram), RefusalLatency: latencyOf(r.refusalLatency),
		Base: r.phases[0].phase(), Peak: r.phases[1].phase(),
	}
	for _, share := range settings.Shares {
		if p := r.accounts[share.Account]; p != nil {
			s.Accounts = append(s.Accounts, AccountSummary{share.Account, p.sent, p.done, latencyOf(p.histogram)})
		}
	}
	return s
}

// Write prints the summary as a table.
func (s *Summary) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "sent\t%d in %.2f s\n", s.Sent, s.Seconds)
	fmt.Fprintf(t, "done\t%d\t%.1f/s\n", s.Done, s.Rate)
	fmt.Fprintf(t, "wrong answers\t%d\n", s.Mismatched)
	if s.Skipped > 0 {
		fmt.Fprintf(t, "skipped at the in-flight limit\t%d\n", s.Skipped)
	}
	if s.Resends > 0 {
		fmt.Fprintf(t, "resends\t%d\t%d resolved\n", s.Resends, s.Resolved)
	}
	for _, outcome := range slices.Sorted(maps.Keys(s.Outcomes)) {
		fmt.Fprintf(t, "outcome %s\t%d\n", outcome, s.Outcomes[outcome])
	}
	for _, code := range slices.Sorted(maps.Keys(s.Codes)) {
		fmt.Fprintf(t, "code %s\t%d\n", code, s.Codes[code])
	}
	fmt.Fprintf(t, "\nlatency in ms\tcount\tp50\tp99\tp99.9\tmax\n")
	row := func(name string, l Latency) {
		if l.Count > 0 {
			fmt.Fprintf(t, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\n", name, l.Count, ms(l.P50), ms(l.P99), ms(l.P999), ms(l.Max))
		}
	}
	row("done", s.Latency)
	row("not-run", s.RefusalLatency)
	if s.Peak.Sent > 0 {
		row("done, base periods", s.Base.Latency)
		row("done, peak periods", s.Peak.Latency)
	}
	if len(s.Accounts) > 1 {
		for _, a := range s.Accounts {
			row("account "+string(a.Account), a.Latency)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, example := range s.Examples {
		fmt.Fprintln(w, "wrong:", example)
	}
	return nil
}

func ms(microseconds int64) float64 { return float64(microseconds) / 1000 }
