package anvilorder

import (
	"cmp"
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// runKey identifies one run of a task.
type runKey struct {
	task anvilwork.Task
	run  anvilwork.Run
}

func (k runKey) compare(other runKey) int {
	return cmp.Or(k.task.Compare(other.task), cmp.Compare(k.run, other.run))
}

// lateStart is a start of a run that got no answer. A later incarnation of its target may carry it out, which
// has seen neither the stop nor the end of that run, so the run is barred there by a stop of its own.
type lateStart struct {
	until anvilclock.Millis // when the start can't be carried out any more
	// barredAt is the incarnation that is known to refuse the start: the one that the start was sent to, where
	// the run was handled, or the one that has answered the stop.
	barredAt anvilwork.Incarnation
	inFlight bool              // a stop was sent and not yet answered
	nextAt   anvilclock.Millis // the earliest time of the next stop
}

// lateStarts has the late starts of each target. They are kept when the run or the target is released.
type lateStarts map[anvilid.TargetID]map[runKey]*lateStart

func (l lateStarts) add(order Start, until anvilclock.Millis) {
	byRun := l[order.Target.ID]
	if byRun == nil {
		byRun = map[runKey]*lateStart{}
		l[order.Target.ID] = byRun
	}
	key := runKey{order.Task, order.Run}
	if earlier := byRun[key]; earlier != nil {
		until = max(until, earlier.until)
	}
	byRun[key] = &lateStart{until: until, barredAt: order.Target.Incarnation}
}

// expire drops the starts that can't be carried out any more.
func (l lateStarts) expire(now anvilclock.Millis) {
	for target, byRun := range l {
		maps.DeleteFunc(byRun, func(_ runKey, late *lateStart) bool { return now > late.until })
		if len(byRun) == 0 {
			delete(l, target)
		}
	}
}

// barLateStarts adds a stop for each late start that the present incarnation of a target may carry out and that
// isn't assigned to it. Assigned runs are stopped by startAndStop.
func (t *Tracker) barLateStarts(now anvilclock.Millis, target *target, effects *Effects) {
	byRun := t.lateStarts[target.record.ID]
	if len(byRun) == 0 {
		return
	}
	for _, key := range slices.SortedFunc(maps.Keys(byRun), runKey.compare) {
		late, r := byRun[key], target.runs[key.task]
		if late.barredAt == target.record.Incarnation || late.inFlight || now < late.nextAt || r != nil && r.number == key.run {
			continue
		}
		late.inFlight = true
		effects.Stops = append(effects.Stops, Stop{Target: target.record, Task: key.task, Run: key.run, Token: t.token})
	}
}

// handleBarAnswer processes the answer to a stop, or the lack of one, as far as it bars a late start.
func (t *Tracker) handleBarAnswer(now anvilclock.Millis, answer StopAnswer) {
	late := t.lateStarts[answer.Target][runKey{answer.Order.Task, answer.Order.Run}]
	if late == nil {
		return
	}
	late.inFlight, late.nextAt = false, now+t.timing.RetryInterval
	if answer.Done && !answer.FromOtherIncarnation {
		late.barredAt = answer.Order.Target.Incarnation
	}
}
