package anvilmeasure

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// ChangeOptions are the options of Change.
type ChangeOptions struct {
	Rates   []int         // changes a second
	Span    time.Duration // of each row
	Repeats int
	// Period is the time between two cuts. The first half of it is cut.
	Period time.Duration
}

// overtakePause is short against the time that a change takes.
const overtakePause = 5 * time.Millisecond

// changeStream publishes changes at a rate.
type changeStream struct {
	s  *system
	at *instance

	mu       sync.Mutex
	open     map[int]int // changes without a result, by the revision they are based on
	latency  sample
	conflict int // changes that were based on a revision that had passed
	early    int // changes said to be in force that a ready instance didn't have
	failed   []string
}

func newChangeStream(s *system, at *instance) *changeStream {
	return &changeStream{s: s, at: at, open: map[int]int{}}
}

// publish sends one change until it is in force on all instances.
func (c *changeStream) publish(ctx context.Context) {
	c.mu.Lock()
	base := c.s.revision
	body := c.s.changeBody(base)
	c.s.revision++
	c.open[base]++
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.open[base]--
	}()
	began := time.Now()
	for ctx.Err() == nil {
		data, err := c.s.post(c.at, "/v1/config/changes?everywhere=yes", body)
		var result struct {
			Revision   int
			Everywhere bool
		}
		if err == nil {
			err = json.Unmarshal(data, &result)
		}
		if err == nil && result.Everywhere {
			c.done(time.Since(began), result.Revision)
			return
		}
		if err == nil {
			continue // accepted; the same change set is asked for again
		}
		c.mu.Lock()
		if !strings.Contains(err.Error(), "stale_revision") {
			c.failed = append(c.failed, err.Error())
			c.mu.Unlock()
			return
		}
		c.conflict++
		c.mu.Unlock()
		body, base = c.rebase(body, base)
	}
}

// rebase bases a change on the present revision. It waits instead if the change
// has overtaken one that may still produce its base.
func (c *changeStream) rebase(body string, base int) (string, int) {
	var config struct{ Revision int }
	err := c.s.get(c.at, "/v1/config", &config)
	if err != nil || c.overtaken(config.Revision, base) {
		time.Sleep(overtakePause)
		return body, base
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.s.revision = max(config.Revision+1, c.s.revision)
	c.open[base]--
	c.open[config.Revision]++
	return strings.Replace(body, fmt.Sprintf(`"base": %d`, base), fmt.Sprintf(`"base": %d`, config.Revision), 1), config.Revision
}

// overtaken tells whether an open change is based on one of the revisions from
// present up to base. Without one, base is never reached, because a change
// before it has failed.
func (c *changeStream) overtaken(present, base int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for revision := present; revision < base; revision++ {
		if c.open[revision] > 0 {
			return true
		}
	}
	return false
}

// done records a change and checks that every instance that admits requests
// has it.
func (c *changeStream) done(latency time.Duration, revision int) {
	early := 0
	for _, i := range c.s.instances {
		status, err := c.s.status(i)
		if err == nil && status.HasLease && int(status.Revision) < revision {
			early++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency = append(c.latency, latency)
	c.early += early
}

// run publishes rate changes a second for a span.
func (c *changeStream) run(ctx context.Context, rate int, span time.Duration) {
	var group sync.WaitGroup
	gap := time.Second / time.Duration(rate)
	for began, n := time.Now(), 0; time.Since(began) < span && ctx.Err() == nil; n++ {
		group.Go(func() { c.publish(ctx) })
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * gap)))
	}
	group.Wait()
}

// Change measures the time from the request of a configuration change until it
// is in force on all instances.
func Change(ctx context.Context, o ChangeOptions) (*Table, error) {
	t := &Table{Name: "change: time until a change is in force on all 8 instances", Columns: []string{
		"condition", "rate", "changes", "p50", "p99", "max", "rebased", "early", "failed",
	}}
	s, err := newSystem(deployment(), newFabric(false))
	if err != nil {
		return nil, err
	}
	defer s.close()
	conditions := []struct {
		name string
		cut  func()
	}{
		{"all connected", nil},
		{"one instance frozen", func() { s.fabric.freeze("trapani-2") }},
		{"one voter frozen", func() { s.fabric.freeze("trapani-1") }},
		{"one region cut off", s.fabric.cutRegion},
	}
	for _, condition := range conditions {
		for _, rate := range o.Rates {
			for range o.Repeats {
				if err := s.lead("palermo-1"); err != nil {
					return nil, err
				}
				stream := newChangeStream(s, s.find("palermo-2"))
				stop := s.flap(condition.cut, o.Period)
				stream.run(ctx, rate, o.Span)
				stop()
				t.row(condition.name, fmt.Sprintf("%d/s", rate), len(stream.latency), stream.latency.quantile(0.5), stream.latency.quantile(0.99),
					stream.latency.max(), stream.conflict, stream.early, len(stream.failed))
				for _, failure := range stream.failed[:min(1, len(stream.failed))] {
					t.note("failed: %s", failure)
				}
				if err := s.settle(); err != nil {
					return nil, err
				}
			}
		}
	}
	t.note("Latency counts from the caller's request at palermo-2, with palermo-1 as the leader, so it includes acceptance.")
	t.note("Cuts last for the first half of every %s. \"early\" counts instances that held a lease without a change that was said to be in force.", o.Period)
	return t, nil
}

// flap cuts for the first half of every period, until it is stopped.
func (s *system) flap(cut func(), period time.Duration) (stop func()) {
	if cut == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	cut()
	group.Go(func() {
		for ctx.Err() == nil {
			wait(ctx, period/2)
			s.fabric.hold(nil)
			wait(ctx, period/2)
			if ctx.Err() == nil {
				cut()
			}
		}
	})
	return func() {
		cancel()
		group.Wait()
		s.fabric.hold(nil)
	}
}

func wait(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}
