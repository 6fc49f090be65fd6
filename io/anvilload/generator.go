package anvilload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

type generator struct {
	settings         Settings
	client           *http.Client
	observe          func(Result)
	recorder         *recorder
	started          time.Time
	sequence         atomic.Int64
	nextAddress      atomic.Int64
	weightedAccounts []anvilid.AccountID // each account as often as its weight
	body             []byte
}

// Run generates the load until its duration or its number of requests is reached or ctx ends. It
// then waits for the requests in flight and returns the summary.
func Run(ctx context.Context, settings Settings, options ...Option) (*Summary, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	g := &generator{settings: settings, observe: func(Result) {}, recorder: newRecorder()}
	for _, option := range options {
		option(g)
	}
	if g.client == nil {
		g.client = newClient(max(settings.Concurrency*int(max(1, settings.Swing.Factor)), 256))
	}
	for _, share := range settings.Shares {
		for range share.Weight {
			g.weightedAccounts = append(g.weightedAccounts, share.Account)
		}
	}
	g.body = make([]byte, settings.BodyBytes)
	random := rand.New(rand.NewPCG(settings.Seed, 1))
	for i := range g.body {
		g.body[i] = byte('a' + random.IntN(26))
	}
	g.started = time.Now()
	if settings.Rate > 0 {
		g.openLoop(ctx)
	} else {
		g.closedLoop(ctx)
	}
	return g.recorder.summary(&g.settings, time.Since(g.started)), nil
}

func newClient(perHost int) *http.Client {
	dialer := net.Dialer{Timeout: 2 * time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: perHost,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}
}

// inPeak reports whether the load is in a peak period of the swing at the given time since its start.
func (g *generator) inPeak(elapsed time.Duration) bool {
	s := g.settings.Swing
	return s.Factor > 0 && (elapsed/s.Period.Duration())%2 == 1
}

// openLoop sends requests at the configured rate, however long the answers take. The latency of a
// request is measured from its planned time, so that a stall of the generator shows up as latency.
func (g *generator) openLoop(ctx context.Context) {
	s := &g.settings
	random := rand.New(rand.NewPCG(s.Seed, 2))
	inFlight := make(chan struct{}, s.MaxInFlight)
	var group sync.WaitGroup
	defer group.Wait()
	planned := time.Duration(0)
	for n := 0; n < s.MaxCount; n++ {
		rate := s.Rate
		peak := g.inPeak(planned)
		if peak {
			rate *= s.Swing.Factor
		}
		interval := 1 / rate
		if s.Poisson {
			interval *= random.ExpFloat64()
		}
		planned += time.Duration(interval * float64(time.Second))
		if planned >= s.Duration.Duration() || !sleepUntil(ctx, g.started.Add(planned)) {
			return
		}
		select {
		case inFlight <- struct{}{}:
		default:
			g.recorder.skipped.Add(1)
			continue
		}
		plannedAt, r := g.started.Add(planned), g.nextRequest(random.IntN(len(g.weightedAccounts)), peak)
		group.Go(func() {
			g.perform(ctx, r, plannedAt)
			<-inFlight
		})
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	remaining := time.Until(at)
	if remaining <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// closedLoop keeps a fixed number of requests in flight, one for each worker. During the peak periods
// of the swing, it uses Swing.Factor times as many workers.
func (g *generator) closedLoop(ctx context.Context) {
	s := &g.settings
	workers := s.Concurrency
	if s.Swing.Factor > 1 {
		workers = int(float64(workers) * s.Swing.Factor)
	}
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(s.Seed, uint64(worker)+3))
			for g.mayContinue(ctx) {
				peak := g.inPeak(time.Since(g.started))
				if worker >= s.Concurrency && !peak {
					sleepUntil(ctx, time.Now().Add(time.Millisecond))
					continue
				}
				r := g.nextRequest(random.IntN(len(g.weightedAccounts)), peak)
				if r.number > int64(s.MaxCount) {
					return
				}
				g.perform(ctx, r, time.Now())
			}
		})
	}
	group.Wait()
}

func (g *generator) mayContinue(ctx context.Context) bool {
	return ctx.Err() == nil && time.Since(g.started) < g.settings.Duration.Duration()
}

// request contains the values that stay the same when a request is sent again.
type request struct {
	number  int64
	id      anvilid.RequestID
	account anvilid.AccountID
	peak    bool
}

func (g *generator) nextRequest(accountIndex int, peak bool) request {
	n := g.sequence.Add(1)
	r := request{number: n, account: g.weightedAccounts[accountIndex], peak: peak}
	if g.settings.SendIDs {
		r.id = anvilid.RequestID(fmt.Sprintf("%s-%x-%d", g.settings.IDPrefix, g.started.UnixMilli(), n))
	}
	return r
}

// resendDelay is the pause before a request is sent again. It gives the system time to detect a
// failed instance.
const resendDelay = 100 * anvilclock.Millisecond

// perform sends a request and records the result. While the outcome is unknown, it sends the request
// again, at most MaxResends times.
func (g *generator) perform(ctx context.Context, r request, plannedAt time.Time) {
	result := g.send(ctx, r)
	firstOutcome := result.Outcome
	for attempt := 0; attempt < g.settings.MaxResends && result.Outcome == Unknown; attempt++ {
		if !sleepUntil(ctx, time.Now().Add(resendDelay.Duration())) {
			break
		}
		result = g.send(ctx, r)
		result.Resends = attempt + 1
		// The resend was not run, but the first attempt may have run.
		if result.Outcome == NotRun {
			result.Outcome = Unknown
		}
	}
	result.Latency = time.Since(plannedAt)
	result.FirstOutcome = firstOutcome
	g.recorder.record(result)
	g.observe(result)
}
