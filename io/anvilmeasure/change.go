package anvilmeasure

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// ChangeOptions are the options of Change, which measures the time until a configuration change is in
// force on all instances.
type ChangeOptions struct {
	ChangesPerSecond []int         // rates of configuration changes to measure with
	RowDuration      time.Duration // how long changes are published for each row of the table
	Repeats          int           // rows of the table for each rate and network fault
	// CutPeriod is the time between the starts of two network cuts. Each cut lasts half of it.
	CutPeriod time.Duration
}

// overtakenRetryInterval is the pause before a change is sent again whose base revision does not exist
// yet. It is short compared with the time that a change takes.
const overtakenRetryInterval = 5 * time.Millisecond

// changePublisher publishes configuration changes at a fixed rate.
type changePublisher struct {
	system   *system
	instance *instance

	mu        sync.Mutex
	pending   map[int]int // by base revision, the number of changes without a result
	latencies sample
	conflicts int // times that a change was refused because its base was not the current revision
	missing   int // times that an instance with a lease had not applied a change reported as in force on all instances
	failures  []string
}

func newChangePublisher(s *system, at *instance) *changePublisher {
	return &changePublisher{system: s, instance: at, pending: map[int]int{}}
}

// publish sends one change, and repeats it until it is in force on all instances or fails.
func (c *changePublisher) publish(ctx context.Context) {
	c.mu.Lock()
	base := c.system.revision
	body := c.system.changeBody(base)
	c.system.revision++
	c.pending[base]++
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.pending[base]--
	}()
	began := time.Now()
	for ctx.Err() == nil {
		data, err := c.system.post(c.instance, "/v1/config/changes?everywhere=yes", body)
		var result struct {
			Revision   int
			Everywhere bool
		}
		if err == nil {
			err = json.Unmarshal(data, &result)
		}
		if err == nil && result.Everywhere {
			c.recordDone(time.Since(began), result.Revision)
			return
		}
		if err == nil {
			continue // accepted, but not yet in force on all instances: send the same change again
		}
		c.mu.Lock()
		if !strings.Contains(err.Error(), "stale_revision") {
			c.failures = append(c.failures, err.Error())
			c.mu.Unlock()
			return
		}
		c.conflicts++
		c.mu.Unlock()
		body, base = c.rebase(body, base)
	}
}

// rebase returns a refused change with the current revision as its base, and this base. If the refused
// base may still be reached, because pending changes lead up to it, or if the current revision can't be
// read, rebase waits for overtakenRetryInterval and returns the change and its base unchanged.
func (c *changePublisher) rebase(body string, base int) (string, int) {
	var config struct{ Revision int }
	err := c.system.get(c.instance, "/v1/config", &config)
	if err != nil || c.overtaken(config.Revision, base) {
		time.Sleep(overtakenRetryInterval)
		return body, base
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.system.revision = max(config.Revision+1, c.system.revision)
	c.pending[base]--
	c.pending[config.Revision]++
	return strings.Replace(body, fmt.Sprintf(`"base": %d`, base), fmt.Sprintf(`"base": %d`, config.Revision), 1), config.Revision
}

// overtaken reports whether a change with a base revision r, current <= r < base, is pending, so that
// the revision base may still be reached. If there is none, base is never reached, because a change
// that should have led to it has failed.
func (c *changePublisher) overtaken(current, base int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for revision := current; revision < base; revision++ {
		if c.pending[revision] > 0 {
			return true
		}
	}
	return false
}

// recordDone records a change that is in force, and checks that each instance with a lease, and so
// each instance that admits requests, has applied it.
func (c *changePublisher) recordDone(latency time.Duration, revision int) {
	missing := 0
	for _, i := range c.system.instances {
		status, err := c.system.status(i)
		if err == nil && status.HasLease && int(status.Revision) < revision {
			missing++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latencies = append(c.latencies, latency)
	c.missing += missing
}

// run publishes changes at a rate per second for the given duration, and waits for their results.
func (c *changePublisher) run(ctx context.Context, rate int, duration time.Duration) {
	var group sync.WaitGroup
	interval := time.Second / time.Duration(rate)
	for began, n := time.Now(), 0; time.Since(began) < duration && ctx.Err() == nil; n++ {
		group.Go(func() { c.publish(ctx) })
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * interval)))
	}
	group.Wait()
}

// Change measures the time from the request for a configuration change until the change is in force
// on all instances, with and without network faults.
func Change(ctx context.Context, o ChangeOptions) (*Table, error) {
	t := &Table{Name: "change: time until a change is in force on all 8 instances", Columns: []string{
		"condition", "rate", "changes", "p50", "p99", "max", "rebased", "early", "failed",
	}}
	s, err := newSystem(deployment(), newNetSim(false))
	if err != nil {
		return nil, err
	}
	defer s.close()
	conditions := []struct {
		name string
		cut  func()
	}{
		{"all connected", nil},
		{"one instance frozen", func() { s.netSim.isolate("trapani-2") }},
		{"one voter frozen", func() { s.netSim.isolate("trapani-1") }},
		{"one region cut off", s.netSim.cutRegion},
	}
	for _, condition := range conditions {
		for _, rate := range o.ChangesPerSecond {
			for range o.Repeats {
				if err := s.makeLeader("palermo-1"); err != nil {
					return nil, err
				}
				publisher := newChangePublisher(s, s.find("palermo-2"))
				stop := s.cutPeriodically(condition.cut, o.CutPeriod)
				publisher.run(ctx, rate, o.RowDuration)
				stop()
				t.addRow(condition.name, fmt.Sprintf("%d/s", rate), len(publisher.latencies), publisher.latencies.quantile(0.5),
					publisher.latencies.quantile(0.99),
					publisher.latencies.max(), publisher.conflicts, publisher.missing, len(publisher.failures))
				for _, failure := range publisher.failures[:min(1, len(publisher.failures))] {
					t.addNote("failed: %s", failure)
				}
				if err := s.waitReady(); err != nil {
					return nil, err
				}
			}
		}
	}
	t.addNote("Latency counts from the caller's request to palermo-2, with palermo-1 as the leader, so it includes the time until the change is accepted.")
	t.addNote("Cuts last for the first half of every %s. \"early\" counts instances that held a lease but lacked a change that was reported as in force.",
		o.CutPeriod)
	return t, nil
}

// cutPeriodically calls cut at the start of each period and ends the network cut after half of the
// period, until stop is called. It does nothing if cut is nil.
func (s *system) cutPeriodically(cut func(), period time.Duration) (stop func()) {
	if cut == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	cut()
	group.Go(func() {
		for ctx.Err() == nil {
			sleep(ctx, period/2)
			s.netSim.setBlocked(nil)
			sleep(ctx, period/2)
			if ctx.Err() == nil {
				cut()
			}
		}
	})
	return func() {
		cancel()
		group.Wait()
		s.netSim.setBlocked(nil)
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
