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
	// maxTimeOverBound is how long the tail latency may be over its bound before the test fails.
	maxTimeOverBound = 4 * anvilclock.Second
)

// simulatedTarget has one serving task and two best-effort tasks. The tail latency of the serving
// task is 50 ms plus disturbance * (mean share of the best-effort tasks).
type simulatedTarget struct {
	t             *testing.T
	governor      *Governor
	now           anvilclock.Millis
	disturbance   float64     // milliseconds added to the tail latency when the best-effort tasks work at the full share
	percent       map[int]int // share of each best-effort task, by Task.Index
	bestEffortRun anvilwork.Run
	overSince     anvilclock.Millis // since when the tail latency is over its bound, or 0
	ordersLost    bool              // orders are neither carried out nor answered
}

func newSimulatedTarget(t *testing.T) *simulatedTarget {
	return &simulatedTarget{t: t, governor: New(7), now: 1000, percent: map[int]int{1: fullPercent, 2: fullPercent}, bestEffortRun: 1}
}

func (h *simulatedTarget) tail() anvilclock.Millis {
	return anvilclock.Millis(50 + h.disturbance*float64(h.percent[1]+h.percent[2])/(2*fullPercent))
}

// report passes one report to the governor and carries out the orders that it returns.
func (h *simulatedTarget) report() []ThrottleOrder {
	h.now += reportInterval
	reports := []RunReport{{Task: anvilwork.Task{Job: "s"}, Run: 1, LatencyBound: testBound, TailLatency: h.tail()}}
	for i := 1; i <= 2; i++ {
		reports = append(reports, RunReport{Task: anvilwork.Task{Job: "f", Index: i}, Run: h.bestEffortRun, BestEffort: true})
	}
	orders := h.governor.Observe(h.now, anvilwork.Target{ID: "t"}, reports)
	for _, order := range orders {
		if h.ordersLost {
			h.governor.Failed(order)
			continue
		}
		h.percent[order.Task.Index] = order.Percent
	}
	switch {
	case h.tail() <= testBound:
		h.overSince = 0
	case h.overSince == 0:
		h.overSince = h.now
	}
	assert.Assert(h.t, h.overSince == 0 || h.now-h.overSince < maxTimeOverBound, "the tail latency is over its bound since %d", h.overSince)
	return orders
}

// TestHarm guards against a tail latency that stays over its bound when the disturbance by best-effort
// tasks grows, and against throttling these tasks once they no longer disturb the serving task.
func TestHarm(t *testing.T) {
	h := newSimulatedTarget(t)
	for _, disturbance := range []float64{0, 80, 400, 20, 2000, 0} {
		h.disturbance = disturbance
		for range 20 {
			h.report()
		}
	}
	assert.DeepEqual(t, h.percent, map[int]int{1: fullPercent, 2: fullPercent})
}

// Guards against orders for targets on which no serving task is disturbed, and against repeating
// orders that were carried out.
func TestFewOrders(t *testing.T) {
	h := newSimulatedTarget(t)
	for range 10 {
		assert.Equal(t, len(h.report()), 0)
	}
	h.disturbance = 400
	assert.Equal(t, len(h.report()), 2)
	assert.Equal(t, len(h.report()), 2)
	for range 10 {
		h.disturbance = 400
		h.percent = map[int]int{1: 0, 2: 0}
		for _, order := range h.report() {
			assert.Assert(t, order.Percent > 0, "after a stop, the only order is to work again")
		}
	}
	alone := New(7)
	rows := []RunReport{{Task: anvilwork.Task{Job: "f"}, Run: 1, BestEffort: true}}
	assert.Equal(t, len(alone.Observe(0, anvilwork.Target{ID: "t"}, rows)), 0)
}

// Guards against a best-effort run that works at the full share because its start or a lost order
// went unnoticed.
func TestNewRunsAndLostOrders(t *testing.T) {
	h := newSimulatedTarget(t)
	h.disturbance = 2000
	h.report()
	h.report()
	assert.DeepEqual(t, h.percent, map[int]int{1: 0, 2: 0})
	h.bestEffortRun, h.percent, h.ordersLost = 2, map[int]int{1: fullPercent, 2: fullPercent}, true
	assert.Equal(t, len(h.report()), 2)
	h.ordersLost = false
	assert.Equal(t, len(h.report()), 2)
	assert.DeepEqual(t, h.percent, map[int]int{1: 0, 2: 0})
}
