package anvilorder

import (
	"cmp"
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

// refusedPause keeps a target out of placement after it refused a start.
const refusedPause = 2 * anvilclock.Second

// answered finds the target that an answer belongs to and notes its clock.
func (t *Tracker) answered(answer Answer, born anvilwork.Incarnation) *target {
	target := t.targets[answer.Target]
	if target == nil || target.facts.Incarnation != born {
		return nil
	}
	target.lease.note(answer)
	return target
}

// heardFrom notes an answer, as opposed to a call that failed.
func (target *target) heardFrom(answer Answer) {
	target.heard, target.silent = max(target.heard, answer.Received), 0
}

// HandleStartAnswer takes the answer to a start.
func (t *Tracker) HandleStartAnswer(now anvilclock.Millis, answer StartAnswer) Effects {
	var effects Effects
	target := t.answered(answer.Answer, answer.Order.Target.Incarnation)
	if target == nil {
		return effects
	}
	r := target.runs[answer.Order.Task]
	if r == nil || r.number != answer.Order.Run {
		return effects
	}
	r.sending = false
	if answer.Verdict != StartUnanswered {
		target.heardFrom(answer.Answer)
	}
	switch answer.Verdict {
	case StartAccepted:
		r.phase, r.doubt = running, false
		if r.seen == 0 {
			r.seen = answer.Received
		}
	case StartUnanswered:
		r.doubt, r.next = true, now+t.bounds.RetryInterval
		r.late = answer.Sent + lateSpan
		target.silent++
	case StartLeaseExpired:
		target.fresh, r.next = true, now+t.bounds.RetryInterval
	case StartFenced:
		r.next = now + t.bounds.RetryInterval // another leader acts
	case StartRejected:
		target.badUntil = now + refusedPause
		t.withdraw(now, answer.Order, r, &effects)
	case StartTicketInvalid:
		t.withdraw(now, answer.Order, r, &effects)
	case StartRunEnded:
		// The list shows how it ended, or that it never was there.
		r.phase, r.seen, target.fresh = running, answer.Received, true
	case StartOtherIncarnation:
		r.late = answer.Received
		t.reborn(target, answer.AnsweredBy, &effects)
	}
	return effects
}

// withdraw takes back a run that the target didn't start. If an earlier copy
// of the order may still be carried out, a stop bars it first.
func (t *Tracker) withdraw(now anvilclock.Millis, order Start, r *run, effects *Effects) {
	if r.doubt {
		r.stop, r.next = true, now+t.bounds.RetryInterval
		return
	}
	r.next = now + t.bounds.RetryInterval
	effects.Commands = append(effects.Commands,
		anvilwork.Command{Unassign: &anvilwork.Unassign{Task: order.Task, Run: order.Run}})
}

// reborn handles an answer of another incarnation. One that has the id of the
// former one may have carried out what was meant for that, so it takes over
// its runs, which are stopped there before they are placed again. Another id
// tells that the former one is gone.
func (t *Tracker) reborn(target *target, by anvilwork.Incarnation, effects *Effects) {
	target.silent++
	if by <= target.facts.Incarnation {
		effects.Commands = append(effects.Commands,
			anvilwork.Command{Leave: &anvilwork.Leave{Target: target.facts.ID, Incarnation: target.facts.Incarnation}})
		return
	}
	facts := target.facts
	facts.Incarnation, facts.Cursor, facts.Leaving, facts.LeavesAt = by, 0, false, 0
	effects.Commands = append(effects.Commands, anvilwork.Command{Announce: &anvilwork.Announce{Target: facts}})
}

// HandleStopAnswer takes the answer to a stop.
func (t *Tracker) HandleStopAnswer(now anvilclock.Millis, answer StopAnswer) Effects {
	var effects Effects
	target := t.answered(answer.Answer, answer.Order.Target.Incarnation)
	if target == nil {
		return effects
	}
	if answer.Other {
		t.reborn(target, answer.AnsweredBy, &effects)
		return effects
	}
	r := target.runs[answer.Order.Task]
	if r == nil || r.number != answer.Order.Run {
		return effects
	}
	r.stopSending, r.stopNext = false, now+t.bounds.RetryInterval
	if !answer.Done {
		target.silent++
		return effects
	}
	target.heardFrom(answer.Answer)
	r.stopped, r.stoppedAt, r.phase = true, answer.Received, running
	if r.seen == 0 {
		r.seen = answer.Received
	}
	return effects
}

// HandlePollAnswer takes the answer to a look.
func (t *Tracker) HandlePollAnswer(now anvilclock.Millis, answer PollAnswer) Effects {
	var effects Effects
	target := t.answered(answer.Answer, answer.Order.Target.Incarnation)
	if target == nil {
		return effects
	}
	target.looking = false
	if answer.Other {
		t.reborn(target, answer.AnsweredBy, &effects)
		return effects
	}
	if !answer.Done {
		target.silent++
		target.nextAt = now + t.bounds.RetryInterval*anvilclock.Millis(min(target.silent, 4))
		return effects
	}
	target.heardFrom(answer.Answer)
	target.adopted, target.nextAt = true, now
	target.acked = max(target.acked, answer.Order.Cursor)
	t.settle(target, answer, &effects)
	t.compare(now, target, answer, &effects)
	return effects
}

// settle commits the ends that weren't committed yet.
func (t *Tracker) settle(target *target, answer PollAnswer, effects *Effects) {
	ends := slices.DeleteFunc(slices.Clone(answer.Ended), func(end anvilwork.RunEnd) bool {
		return end.Number <= max(target.facts.Cursor, target.settling)
	})
	if len(ends) == 0 {
		return
	}
	slices.SortFunc(ends, func(a, b anvilwork.RunEnd) int { return cmp.Compare(a.Number, b.Number) })
	target.settling = ends[len(ends)-1].Number
	effects.Commands = append(effects.Commands, anvilwork.Command{RecordRunEnds: &anvilwork.RecordRunEnds{
		Target: target.facts.ID, Incarnation: target.facts.Incarnation, Ends: ends,
	}})
}

// ResetUncommittedEnds tells that commands of this term were not committed, so that
// ends are taken from the next list again.
func (t *Tracker) ResetUncommittedEnds() {
	for _, target := range t.targets {
		target.settling = target.facts.Cursor
	}
}

// compare matches the target's list with the runs assigned to it.
func (t *Tracker) compare(now anvilclock.Millis, target *target, answer PollAnswer, effects *Effects) {
	listed := map[anvilwork.Task]Running{}
	for _, entry := range answer.Running {
		listed[entry.Task] = entry
	}
	ended := map[anvilwork.Task]anvilwork.Run{}
	for _, end := range answer.Ended {
		ended[end.Task] = max(ended[end.Task], end.Run)
	}
	for _, task := range slices.SortedFunc(maps.Keys(target.runs), anvilwork.Task.Compare) {
		r := target.runs[task]
		entry, there := listed[task]
		switch {
		case there && entry.Run == r.number:
			r.confirm(now)
			t.Speeds.Observe(answer.Received, target.facts.ID, task, r.number, entry.Percent)
		case ended[task] >= r.number:
			// its end is being committed
		default:
			t.absent(target, task, r, answer, effects)
		}
	}
	t.stopStrangers(target, listed, effects)
}

// confirm notes that a list shows the run.
func (r *run) confirm(now anvilclock.Millis) {
	r.phase, r.doubt, r.missing = running, false, 0
	if r.seen == 0 {
		r.seen = now
	}
}

// absent handles an assigned run that a list doesn't show. A run that was
// confirmed or barred before the list was asked for certainly isn't there. A
// run of a former leader can't arrive any more, because the list was asked for
// with a higher token.
func (t *Tracker) absent(target *target, task anvilwork.Task, r *run, answer PollAnswer, effects *Effects) {
	switch {
	case r.phase == adopting:
	case r.stopped && answer.Sent > r.stoppedAt:
	case r.phase == running && !r.stop && answer.Sent > r.seen && !r.doubt:
		// An end that the cursor has passed would leave this trace; one more
		// list makes sure that no answers have overtaken each other.
		r.missing++
		target.fresh = true
		if r.missing < 2 {
			return
		}
	default:
		return
	}
	effects.Commands = append(effects.Commands,
		anvilwork.Command{Unassign: &anvilwork.Unassign{Task: task, Run: r.number}})
}

// stopStrangers ends runs that the log doesn't assign to this target.
func (t *Tracker) stopStrangers(target *target, listed map[anvilwork.Task]Running, effects *Effects) {
	for _, task := range slices.SortedFunc(maps.Keys(listed), anvilwork.Task.Compare) {
		if r := target.runs[task]; r == nil || r.number < listed[task].Run {
			effects.Stops = append(effects.Stops,
				Stop{Target: target.facts, Task: task, Run: listed[task].Run, Token: t.token})
		}
	}
}
