package anvilpace

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

const (
	reportInterval = anvilclock.Second
	testBound      = 100
	// harmSpan is how long a tail may be over its bound.
	harmSpan = 4 * anvilclock.Second
)

// host is a target with one serving task and two that fill. Its tail grows with
// the share at which they work, by a factor that changes.
type host struct {
	t        *testing.T
	governor *Governor
	now      anvilclock.Millis
	harm     float64 // added to the tail at a full share
	percent  map[int]int
	run      anvilwork.Run
	over     anvilclock.Millis // since when the tail is over its bound, or 0
	lost     bool              // orders get no answer
}

func newHost(t *testing.T) *host {
	return &host{t: t, governor: New(7), now: 1000, percent: map[int]int{1: full, 2: full}, run: 1}
}

func (h *host) tail() anvilclock.Millis {
	return anvilclock.Millis(50 + h.harm*float64(h.percent[1]+h.percent[2])/(2*full))
}

// report takes one report and carries its orders out.
func (h *host) report() []ThrottleOrder {
	h.now += reportInterval
	rows := []RunReport{{Task: anvilwork.Task{Job: "s"}, Run: 1, LatencyBound: testBound, TailLatency: h.tail()}}
	for i := 1; i <= 2; i++ {
		rows = append(rows, RunReport{Task: anvilwork.Task{Job: "f", Index: i}, Run: h.run, BestEffort: true})
	}
	orders := h.governor.Observe(h.now, anvilwork.Target{ID: "t"}, rows)
	for _, order := range orders {
		if h.lost {
			h.governor.Failed(order)
			continue
		}
		h.percent[order.Task.Index] = order.Percent
	}
	switch {
	case h.tail() <= testBound:
		h.over = 0
	case h.over == 0:
		h.over = h.now
	}
	assert.Assert(h.t, h.over == 0 || h.now-h.over < harmSpan, "the tail is over its bound since %d", h.over)
	return orders
}

// TestHarm answers the pattern of tasks that fill beside tasks that serve, and
// disturb them more and less by turns: no tail is over its bound for long, and
// what fills works in full again once it does no harm.
func TestHarm(t *testing.T) {
	h := newHost(t)
	for _, harm := range []float64{0, 80, 400, 20, 2000, 0} {
		h.harm = harm
		for range 20 {
			h.report()
		}
	}
	assert.DeepEqual(t, h.percent, map[int]int{1: full, 2: full})
}

// Guards against orders for targets on which nobody is disturbed, and against
// repeating what was said already.
func TestFewOrders(t *testing.T) {
	h := newHost(t)
	for range 10 {
		assert.Equal(t, len(h.report()), 0)
	}
	h.harm = 400
	assert.Equal(t, len(h.report()), 2)
	assert.Equal(t, len(h.report()), 2)
	for range 10 {
		h.harm = 400
		h.percent = map[int]int{1: 0, 2: 0}
		for _, order := range h.report() {
			assert.Assert(t, order.Percent > 0, "only to try again")
		}
	}
	alone := New(7)
	rows := []RunReport{{Task: anvilwork.Task{Job: "f"}, Run: 1, BestEffort: true}}
	assert.Equal(t, len(alone.Observe(0, anvilwork.Target{ID: "t"}, rows)), 0)
}

// Guards against a run that works in full because its start or a lost order
// wasn't noticed.
func TestNewRunsAndLostOrders(t *testing.T) {
	h := newHost(t)
	h.harm = 2000
	h.report()
	h.report()
	assert.DeepEqual(t, h.percent, map[int]int{1: 0, 2: 0})
	h.run, h.percent, h.lost = 2, map[int]int{1: full, 2: full}, true
	assert.Equal(t, len(h.report()), 2)
	h.lost = false
	assert.Equal(t, len(h.report()), 2)
	assert.DeepEqual(t, h.percent, map[int]int{1: 0, 2: 0})
}
