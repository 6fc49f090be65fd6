package anvilorder

import (
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// lateStart is a start of a run that got no answer. A later incarnation of its target may carry it out, which
// has seen neither the stop nor the end of that run, so the run is barred there by a stop of its own.
type lateStart struct {
	run   anvilwork.Run
	until anvilclock.Millis // when the start can't be carried out any more
	// barredAt is the incarnation that is known to refuse the start: the one that the start was sent to, where
	// the run was handled, or the one that has answered the stop.
	barredAt anvilwork.Incarnation
	inFlight bool              // a stop was sent and not yet answered
	nextAt   anvilclock.Millis // the earliest time of the next stop
}

// lateStarts has the late starts by target and task. They are kept when the run or the target is released.
type lateStarts map[anvilid.TargetID]map[anvilwork.Task]*lateStart

func (l lateStarts) add(order Start, until anvilclock.Millis) {
	byTask := l[order.Target.ID]
	if byTask == nil {
		byTask = map[anvilwork.Task]*lateStart{}
		l[order.Target.ID] = byTask
	}
	byTask[order.Task] = &lateStart{run: order.Run, until: until, barredAt: order.Target.Incarnation}
}

// expire drops the starts that can't be carried out any more.
func (l lateStarts) expire(now anvilclock.Millis) {
	for target, byTask := range l {
		maps.DeleteFunc(byTask, func(_ anvilwork.Task, late *lateStart) bool { return now > late.until })
		if len(byTask) == 0 {
			delete(l, target)
		}
	}
}

// barLateStarts adds a stop for each late start that the present incarnation of a target may carry out and that
// isn't assigned to it. Assigned runs are stopped by startAndStop.
func (t *Tracker) barLateStarts(now anvilclock.Millis, target *target, effects *Effects) {
	byTask := t.lateStarts[target.record.ID]
	for _, task := range slices.SortedFunc(maps.Keys(byTask), anvilwork.Task.Compare) {
		late, r := byTask[task], target.runs[task]
		if late.barredAt == target.record.Incarnation || late.inFlight || now < late.nextAt || r != nil && r.number == late.run {
			continue
		}
		late.inFlight = true
		effects.Stops = append(effects.Stops, Stop{Target: target.record, Task: task, Run: late.run, Token: t.token})
	}
}

// handleBarAnswer processes the answer to a stop, or the lack of one, as far as it bars a late start.
func (t *Tracker) handleBarAnswer(now anvilclock.Millis, answer StopAnswer) {
	late := t.lateStarts[answer.Target][answer.Order.Task]
	if late == nil || late.run != answer.Order.Run {
		return
	}
	late.inFlight, late.nextAt = false, now+t.timing.RetryInterval
	if answer.Done && !answer.FromOtherIncarnation {
		late.barredAt = answer.Order.Target.Incarnation
	}
}
