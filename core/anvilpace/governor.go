// Package anvilpace decides how much the tasks that fill a target may work
// beside tasks that serve users and have a bound on the tail of their response
// times.
//
// What fills disturbs what serves by amounts that differ and change within
// seconds, so the governor follows the reported tails: a tail over its bound
// lowers the share of all that fills on that target at once and in few steps, and
// calm raises it slowly.
package anvilpace

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	full = 100
	// lowered is the first step down; the second one stops what fills. Two
	// reports come well within the time after which users are harmed.
	lowered = 30
	// raise is the step up after a calm span.
	raise = 20
	// calmSpan is how long all tails must be calm before the share rises.
	calmSpan = 2 * anvilclock.Second
	// calmShare of its bound is a tail that leaves room for more.
	calmShare = 0.8
)

// RunReport is what a target reports of one run.
type RunReport struct {
	Task anvilwork.Task
	Run  anvilwork.Run
	// LatencyBound is the bound of a serving task's tail, or 0 if it has none.
	LatencyBound anvilclock.Millis
	// TailLatency is the reported tail of a serving task.
	TailLatency anvilclock.Millis
	// BestEffort tells that the task uses what others leave.
	BestEffort bool
}

// ThrottleOrder sets the share, in percent, at which a run works.
type ThrottleOrder struct {
	Target  anvilwork.Target
	Task    anvilwork.Task
	Run     anvilwork.Run
	Percent int
	Token   anvilid.Token
}

type told struct {
	run     anvilwork.Run
	percent int
}

type target struct {
	percent int
	calm    anvilclock.Millis // since when all tails are calm, or 0
	told    map[anvilwork.Task]told
}

// Governor follows the targets of one term. It belongs to one goroutine.
type Governor struct {
	token   anvilid.Token
	targets map[anvilid.TargetID]*target
}

// New returns the governor of a term.
func New(token anvilid.Token) *Governor {
	return &Governor{token: token, targets: map[anvilid.TargetID]*target{}}
}

// Observe takes a report of a target and returns the orders that are due. A
// target on which nothing serves or nothing fills needs none.
func (g *Governor) Observe(now anvilclock.Millis, on anvilwork.Target, rows []RunReport) []ThrottleOrder {
	serves := slices.ContainsFunc(rows, func(r RunReport) bool { return r.LatencyBound > 0 })
	fills := slices.ContainsFunc(rows, func(r RunReport) bool { return r.BestEffort })
	t := g.targets[on.ID]
	if !fills || t == nil && !serves {
		delete(g.targets, on.ID)
		return nil
	}
	if t == nil {
		t = &target{percent: full, told: map[anvilwork.Task]told{}}
		g.targets[on.ID] = t
	}
	t.adapt(now, rows)
	return g.orders(on, t, rows)
}

// adapt changes the share by the present tails.
func (t *target) adapt(now anvilclock.Millis, rows []RunReport) {
	over, calm := false, true
	for _, r := range rows {
		over = over || r.LatencyBound > 0 && r.TailLatency > r.LatencyBound
		calm = calm && (r.LatencyBound == 0 || float64(r.TailLatency) < calmShare*float64(r.LatencyBound))
	}
	switch {
	case over && t.percent > lowered:
		t.percent, t.calm = lowered, 0
	case over:
		t.percent, t.calm = 0, 0
	case !calm:
		t.calm = 0
	case t.calm == 0:
		t.calm = now
	case now-t.calm >= calmSpan:
		t.percent, t.calm = min(full, t.percent+raise), now
	}
}

// orders lists the runs that work at another share than they should. A run
// works in full when it starts.
func (g *Governor) orders(on anvilwork.Target, t *target, rows []RunReport) []ThrottleOrder {
	var orders []ThrottleOrder
	present := map[anvilwork.Task]told{}
	for _, r := range rows {
		if !r.BestEffort {
			continue
		}
		known, ok := t.told[r.Task]
		if !ok || known.run != r.Run {
			known = told{run: r.Run, percent: full}
		}
		if known.percent != t.percent {
			known.percent = t.percent
			orders = append(orders, ThrottleOrder{Target: on, Task: r.Task, Run: r.Run, Percent: t.percent, Token: g.token})
		}
		present[r.Task] = known
	}
	t.told = present
	return orders
}

// Failed tells that an order got no answer, so that the next report repeats it.
func (g *Governor) Failed(order ThrottleOrder) {
	if t := g.targets[order.Target.ID]; t != nil && t.told[order.Task].run == order.Run {
		t.told[order.Task] = told{run: order.Run, percent: -1}
	}
}
