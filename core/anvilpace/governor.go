// Package anvilpace decides how much best-effort tasks may work on a target that also runs serving
// tasks with a bound on their tail latency.
//
// How much best-effort tasks disturb serving tasks differs and changes within seconds, so the
// governor follows the reported tail latencies. A latency over its bound lowers the share of all
// best-effort tasks on that target at once and in few steps. Once the latencies are low for a
// while, the share rises slowly.
package anvilpace

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	fullPercent = 100
	// loweredPercent is the share after the first step down. The second step stops best-effort
	// tasks. Two reports arrive well before users are harmed.
	loweredPercent = 30
	// raisePercent is how much the share rises after each calm period.
	raisePercent = 20
	// calmPeriod is how long all latencies must be low before the share rises.
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
	// TailLatency is the reported tail latency of a serving task.
	TailLatency anvilclock.Millis
	// BestEffort means that the task uses only what other tasks leave idle.
	BestEffort bool
}

// ThrottleOrder sets the share, in percent, at which a run may work.
type ThrottleOrder struct {
	Target  anvilwork.Target
	Task    anvilwork.Task
	Run     anvilwork.Run
	Percent int
	Token   anvilid.Token
}

// lastOrder is the share that a run was last ordered to work at.
type lastOrder struct {
	run     anvilwork.Run
	percent int
}

// target is a target with best-effort runs, and the share at which they may work.
type target struct {
	percent    int
	calmSince  anvilclock.Millis // since when all latencies are low, or 0 if they aren't
	lastOrders map[anvilwork.Task]lastOrder
}

// Governor throttles the best-effort runs on all targets during one term. It must be used by one
// goroutine only.
type Governor struct {
	token   anvilid.Token
	targets map[anvilid.TargetID]*target
}

// New returns the governor for a term. The token is sent with each order.
func New(token anvilid.Token) *Governor {
	return &Governor{token: token, targets: map[anvilid.TargetID]*target{}}
}

// Observe takes a report of a target and returns the orders to send. There are none for a target
// without best-effort tasks, or one that has run no serving task with a bound since its best-effort
// tasks started.
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

// adjustShare changes the share according to the reported latencies.
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

// orders returns orders for the best-effort runs whose share differs from that of the target. A run
// starts with the full share.
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

// Failed records that an order got no answer, so that the next report repeats it.
func (g *Governor) Failed(order ThrottleOrder) {
	if t := g.targets[order.Target.ID]; t != nil && t.lastOrders[order.Task].run == order.Run {
		t.lastOrders[order.Task] = lastOrder{run: order.Run, percent: -1}
	}
}
