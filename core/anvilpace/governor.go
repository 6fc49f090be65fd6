// Package anvilpace decides how fast best-effort tasks may work on a target that also runs serving
// tasks with a bound on their tail latency. A best-effort task uses only what other tasks leave idle.
//
// How much best-effort tasks increase the latency of serving tasks differs from task to task and
// changes within seconds, so the governor follows the reported tail latencies. All best-effort tasks
// on a target work at the same share, which is a percentage of their full speed. A latency over its
// bound lowers the share at once: two such reports in a row stop the tasks. Once all latencies have
// been low for some time, the share rises slowly.
package anvilpace

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	fullPercent = 100
	// loweredPercent is the share after the first report with a latency over its bound. The second
	// such report lowers the share to 0, which stops the best-effort tasks. Two reports arrive well
	// before users are harmed.
	loweredPercent = 30
	// raisePercent is the number of percentage points by which the share rises after each calmPeriod.
	raisePercent = 20
	// calmPeriod is how long all latencies must be low (see calmLatencyShare) before the share rises.
	calmPeriod = 2 * anvilclock.Second
	// calmLatencyShare is the fraction of its bound below which a latency counts as low.
	calmLatencyShare = 0.8
)

// RunReport is what a target reports about one run.
type RunReport struct {
	Task anvilwork.Task
	Run  anvilwork.Run
	// LatencyBound is the bound on a serving task's tail latency, or 0 if it has none.
	LatencyBound anvilclock.Millis
	// TailLatency is a high percentile of the response times of a serving task, as the target reports
	// it. It is undefined for other tasks, whose targets may report another quantity in the same field.
	TailLatency anvilclock.Millis
	// BestEffort means that the task uses only what other tasks leave idle.
	BestEffort bool
}

// ThrottleOrder tells a target the percentage of its full speed at which a run may work.
type ThrottleOrder struct {
	Target  anvilwork.Target
	Task    anvilwork.Task
	Run     anvilwork.Run
	Percent int
	Token   anvilid.Token
}

// lastOrder is the latest order for a task: the run that the order was for, and the percentage of its
// full speed at which this run may work.
type lastOrder struct {
	run     anvilwork.Run
	percent int
}

// target is a target with best-effort runs. percent is the percentage of their full speed at which all
// of these runs may work.
type target struct {
	percent    int
	calmSince  anvilclock.Millis // since when all latencies are low, or 0 if they aren't
	lastOrders map[anvilwork.Task]lastOrder
}

// Governor throttles the best-effort runs on all targets during one term of the leader. It must be
// used by one goroutine only.
type Governor struct {
	token   anvilid.Token
	targets map[anvilid.TargetID]*target
}

// New returns the governor for a term of the leader. The token is sent with each order; by it,
// targets refuse the orders of earlier leaders.
func New(token anvilid.Token) *Governor {
	return &Governor{token: token, targets: map[anvilid.TargetID]*target{}}
}

// Observe processes a target's report on its runs and returns the orders to send. There are no orders
// for a target without best-effort tasks, nor for a target that has run no serving task with a bound
// since its best-effort tasks started.
func (g *Governor) Observe(now anvilclock.Millis, on anvilwork.Target, reports []RunReport) []ThrottleOrder {
	hasServing := slices.ContainsFunc(reports, func(r RunReport) bool { return r.LatencyBound > 0 })
	hasBestEffort := slices.ContainsFunc(reports, func(r RunReport) bool { return r.BestEffort })
	t := g.targets[on.ID]
	if !hasBestEffort || t == nil && !hasServing {
		delete(g.targets, on.ID)
		return nil
	}
	if t == nil {
		t = &target{percent: fullPercent, lastOrders: map[anvilwork.Task]lastOrder{}}
		g.targets[on.ID] = t
	}
	t.adjustShare(now, reports)
	return g.orders(on, t, reports)
}

// adjustShare lowers or raises the share of the best-effort runs according to the reported latencies.
func (t *target) adjustShare(now anvilclock.Millis, reports []RunReport) {
	over, calm := false, true
	for _, r := range reports {
		over = over || r.LatencyBound > 0 && r.TailLatency > r.LatencyBound
		calm = calm && (r.LatencyBound == 0 || float64(r.TailLatency) < calmLatencyShare*float64(r.LatencyBound))
	}
	switch {
	case over && t.percent > loweredPercent:
		t.percent, t.calmSince = loweredPercent, 0
	case over:
		t.percent, t.calmSince = 0, 0
	case !calm:
		t.calmSince = 0
	case t.calmSince == 0:
		t.calmSince = now
	case now-t.calmSince >= calmPeriod:
		t.percent, t.calmSince = min(fullPercent, t.percent+raisePercent), now
	}
}

// orders returns an order for each best-effort run whose latest order had another percentage than
// t.percent. A run that has got no order works at full speed.
func (g *Governor) orders(on anvilwork.Target, t *target, reports []RunReport) []ThrottleOrder {
	var orders []ThrottleOrder
	present := map[anvilwork.Task]lastOrder{}
	for _, r := range reports {
		if !r.BestEffort {
			continue
		}
		known, ok := t.lastOrders[r.Task]
		if !ok || known.run != r.Run {
			known = lastOrder{run: r.Run, percent: fullPercent}
		}
		if known.percent != t.percent {
			known.percent = t.percent
			orders = append(orders, ThrottleOrder{Target: on, Task: r.Task, Run: r.Run, Percent: t.percent, Token: g.token})
		}
		present[r.Task] = known
	}
	t.lastOrders = present
	return orders
}

// Failed records that an order got no answer, so that Observe orders the run's share again when the
// target sends its next report.
func (g *Governor) Failed(order ThrottleOrder) {
	if t := g.targets[order.Target.ID]; t != nil && t.lastOrders[order.Task].run == order.Run {
		t.lastOrders[order.Task] = lastOrder{run: order.Run, percent: -1}
	}
}
