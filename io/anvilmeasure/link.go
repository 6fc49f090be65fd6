package anvilmeasure

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilload"
)

// LinkOptions are the options of Link.
type LinkOptions struct {
	Idle  time.Duration
	Count int // changes and requests per row
	Rate  float64
	// Targets in each zone.
	Targets int
}

// linkBytes are the bytes over the region link by cause, both directions.
type linkBytes map[string]float64

// linkBytes adds up the counts of all instances. Each connection is counted by
// the instance that opened it.
func (s *system) linkBytes() (linkBytes, error) {
	sum := linkBytes{}
	for _, i := range s.instances {
		var vars struct {
			Bytes map[string]float64 `json:"link_bytes"`
		}
		if err := s.get(i, "/debug/vars", &vars); err != nil {
			return nil, err
		}
		for name, count := range vars.Bytes {
			cause, _, _ := strings.Cut(name, "_")
			sum[cause] += count
		}
	}
	return sum, nil
}

// during returns the bytes while work runs, less the bytes that the system
// sends when idle.
func (s *system) linkDuring(idle linkBytes, work func() error) (linkBytes, error) {
	before, err := s.linkBytes()
	if err != nil {
		return nil, err
	}
	began := time.Now()
	if err := work(); err != nil {
		return nil, err
	}
	seconds := time.Since(began).Seconds()
	after, err := s.linkBytes()
	if err != nil {
		return nil, err
	}
	for cause := range after {
		after[cause] -= before[cause] + idle[cause]*seconds
	}
	return after, nil
}

func (b linkBytes) String() string {
	var parts []string
	for _, cause := range slices.Sorted(maps.Keys(b)) {
		parts = append(parts, fmt.Sprintf("%s %.0f", cause, b[cause]))
	}
	return strings.Join(parts, ", ")
}

func (b linkBytes) per(count int) linkBytes {
	result := linkBytes{}
	for cause, sum := range b {
		result[cause] = sum / float64(count)
	}
	return result
}

func (b linkBytes) total() (sum float64) {
	for _, count := range b {
		sum += count
	}
	return sum
}

// Link measures the bytes over the link between the regions.
func Link(ctx context.Context, o LinkOptions) (*Table, error) {
	t := &Table{Name: "link: bytes over the region link, both directions", Columns: []string{"per", "at", "bytes", "by cause"}}
	s, err := newSystem(deployment(), newFabric(false))
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.lead("palermo-1"); err != nil {
		return nil, err
	}
	if err := s.addTargets("t", o.Targets); err != nil {
		return nil, err
	}
	wait(ctx, time.Second)
	sum, err := s.linkDuring(nil, func() error { wait(ctx, o.Idle); return nil })
	if err != nil {
		return nil, err
	}
	idle := linkBytes{}
	for cause, count := range sum {
		idle[cause] = count / o.Idle.Seconds()
	}
	t.row("second, idle", "", idle.total(), idle)
	rows := []struct {
		name, at   string
		ids        bool
		repeatable string
	}{
		{"request not repeatable", "palermo-2", true, "no"},
		{"request not repeatable", "catania-2", true, "no"},
		{"repeatable request with id", "palermo-2", true, "yes"},
		{"repeatable request with id", "catania-2", true, "yes"},
		{"repeatable request without id", "catania-2", false, "yes"},
	}
	changes, err := s.linkDuring(idle, func() error {
		stream := newChangeStream(s, s.find("palermo-2"))
		stream.run(ctx, 10, time.Duration(o.Count)*time.Second/10)
		if len(stream.failed) > 0 {
			return fmt.Errorf("a change failed: %s", stream.failed[0])
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	t.row("accepted change", "palermo-2", changes.per(o.Count).total(), changes.per(o.Count))
	for n, r := range rows {
		done := 0
		sum, err := s.linkDuring(idle, func() error {
			summary, err := anvilload.Run(ctx, anvilload.Settings{
				Addresses: []anvilid.Address{s.find(r.at).settings.Public}, Service: service, Shares: []anvilload.Share{{Account: account, Weight: 1}},
				Rate: o.Rate, MaxCount: o.Count, Duration: anvilclock.Minute, SendIDs: r.ids, IDPrefix: fmt.Sprint("link", n),
				Repeatable: r.repeatable, BodyBytes: 100, AnswerBytes: -1,
			})
			if err == nil {
				done = summary.Done
			}
			wait(ctx, 300*time.Millisecond) // results are logged after the answer
			return err
		})
		if err != nil {
			return nil, err
		}
		t.row(r.name, r.at, sum.per(max(1, done)).total(), sum.per(max(1, done)))
	}
	t.note("%d instances, %d targets; leader palermo-1 in the west, changes published at palermo-2 at 10/s, requests at %.0f/s.", len(s.instances), len(s.targets), o.Rate)
	t.note("Bodies and answers have 100 bytes. Idle traffic is subtracted from the other rows. TCP and IP headers aren't counted.")
	return t, nil
}
