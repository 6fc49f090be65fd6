package anvilorder

import (
	"cmp"
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

// refusalPause is how long a target gets no new runs after it has rejected a start.
const refusalPause = 2 * anvilclock.Second

const (
	// maxUnsentStarts is the number of attempts after which a run is withdrawn if no connection to its
	// target could be opened, and the number of consecutive calls that may fail before a run is withdrawn whose
	// start waits for an answer of the target. A single failure must not undo the start of a whole gang.
	maxUnsentStarts = 3
	// maxFailedFirstCalls is the number of consecutive calls that may fail before the runs of a target are
	// given up to which this leader has sent no lease.
	maxFailedFirstCalls = 3
	// maxEndGap is the largest difference between the numbers of two ends that follow each other. Targets
	// number their ends upwards by one and list 500 at a time, so a larger one is no number of an end.
	maxEndGap = 1 << 16
)

// targetOfAnswer returns the target that sent an answer, and records the reading of its
// clock unless another incarnation (other) has answered. It returns nil if the target is unknown or has
// changed its incarnation since the order was sent.
func (t *Tracker) targetOfAnswer(answer Answer, incarnation anvilwork.Incarnation, other bool) *target {
	target := t.targets[answer.Target]
	if target == nil || target.record.Incarnation != incarnation {
		return nil
	}
	if !other {
		target.lease.recordReading(answer)
	}
	target.recordClosed(answer)
	return target
}

// lateUntil returns until when a call that got no answer may be carried out. If the connection was closed, the
// target has got the call by then or never will, and what a process has got ends with it.
func (a Answer) lateUntil() anvilclock.Millis {
	if a.Closed {
		return a.Received
	}
	return a.Sent + maxOrderDelay
}

// lateElsewhereUntil is lateUntil for a later incarnation than the one that the call was sent to, or 0 if none can
// get it.
func (a Answer) lateElsewhereUntil() anvilclock.Millis {
	if a.Bound {
		return 0
	}
	return a.lateUntil()
}

// recordContact records that the target has answered a call: it sets the time of the last
// contact and resets the count of unanswered calls. It must not be called for a failed call.
func (target *target) recordContact(answer Answer) {
	target.lastContact, target.unansweredCalls, target.closedAt = max(target.lastContact, answer.Received), 0, 0
	target.answeredAt, target.unheard = max(target.answeredAt, answer.Received), false
}

// HandleStartAnswer processes the answer to a Start, or the lack of one, and returns the orders to
// send and the commands to commit because of it.
func (t *Tracker) HandleStartAnswer(now anvilclock.Millis, answer StartAnswer) Effects {
	var effects Effects
	target := t.targetOfAnswer(answer.Answer, answer.Order.Target.Incarnation, answer.Verdict == StartOtherIncarnation)
	if target == nil {
		return effects
	}
	if target.leaveIfEnded(answer.Answer, &effects) {
		return effects
	}
	r := target.runs[answer.Order.Task]
	if r == nil || r.number != answer.Order.Run {
		return effects
	}
	r.startInFlight = false
	if answer.Withheld {
		r.nextStartAt = now + t.timing.RetryInterval
		return effects
	}
	if answer.Verdict != StartUnanswered && answer.Verdict != StartNotSent {
		target.recordContact(answer.Answer)
	}
	r.startReached = r.startReached || answer.Verdict != StartNotSent
	if r.phase == running && answer.Verdict != StartOtherIncarnation && answer.Verdict != StartUnanswered {
		return effects // a list has confirmed the run since this copy of the start was sent
	}
	switch answer.Verdict {
	case StartAccepted:
		if r.confirm(answer.Received) {
			effects.Begun = append(effects.Begun, answer.Order.Task.Job)
		}
	case StartUnanswered:
		r.unansweredStarts++
		r.startUnanswered, r.nextStartAt = r.phase != running, now+t.timing.RetryInterval
		r.latestUnansweredAt = max(r.latestUnansweredAt, answer.Sent)
		until := answer.lateElsewhereUntil()
		r.mayStartUntil = max(r.mayStartUntil, until)
		target.lateUntil = max(target.lateUntil, until)
		t.lateStarts.add(answer.Order, answer.lateUntil()) // a stop delays nothing, so bound starts are barred too
		target.unansweredCalls++
	case StartNotSent:
		target.unansweredCalls++
		r.unsentStarts++
		r.nextStartAt = now + t.timing.RetryInterval
		if r.unsentStarts >= maxUnsentStarts {
			t.withdrawRun(now, answer.Order, r, &effects)
		}
	case StartLeaseExpired:
		target.pollNow, r.nextStartAt = true, now+t.timing.RetryInterval
	case StartFenced:
		r.nextStartAt = now + t.timing.RetryInterval // another leader is active
	case StartRejected:
		target.pausedUntil = now + refusalPause
		t.withdrawRun(now, answer.Order, r, &effects)
	case StartTicketInvalid:
		t.withdrawRun(now, answer.Order, r, &effects)
	case StartRunEnded:
		// The answer to the next poll shows how the run ended, or that the target never had it.
		r.phase, r.confirmedAt, r.startUnanswered, target.pollNow = running, answer.Received, false, true
	case StartOtherIncarnation:
		r.mayStartUntil = max(r.mayStartUntil, answer.Received)
		t.handleOtherIncarnation(target, answer.AnsweredBy, &effects)
	}
	return effects
}

// withdrawRun gives up a run that the target didn't start. If the target may still carry
// out an earlier copy of the order, it is first sent a stop, after which it refuses any
// start of the run.
func (t *Tracker) withdrawRun(now anvilclock.Millis, order Start, r *run, effects *Effects) {
	if r.startUnanswered {
		r.stopRequested, r.nextStartAt = true, now+t.timing.RetryInterval
		return
	}
	r.nextStartAt = now + t.timing.RetryInterval
	effects.Commands = append(effects.Commands,
		anvilwork.Command{Unassign: &anvilwork.Unassign{Task: order.Task, Run: order.Run}})
}

// handleOtherIncarnation handles an answer that did not come from the incarnation to which the order was
// sent. A later incarnation of the same target (answeredBy) may have carried out orders for the former one.
// The runs of the former one are therefore assigned to it, and stopped there before they are placed again.
// The same holds for an earlier one, whose number shows that the known one was announced wrongly. If
// answeredBy is 0, another target has the address now, and the former incarnation has ended.
func (t *Tracker) handleOtherIncarnation(target *target, answeredBy anvilwork.Incarnation, effects *Effects) {
	target.unansweredCalls++
	target.recordCheckpoints(effects)
	if answeredBy == 0 || answeredBy == target.record.Incarnation {
		effects.Commands = append(effects.Commands,
			anvilwork.Command{Leave: &anvilwork.Leave{Target: target.record.ID, Incarnation: target.record.Incarnation}})
		return
	}
	successor := successorOf(target.record, answeredBy)
	effects.Commands = append(effects.Commands, anvilwork.Command{Announce: &anvilwork.Announce{Target: successor, Answered: true}})
}

// leaveIfEnded adds a command that removes a target which has said that it ends, if no process accepts
// connections at its address any more. It reports whether it added the command. A cut link may refuse
// connections too, so a call from before the departure, or to a target that hasn't said so itself, shows
// nothing.
func (target *target) leaveIfEnded(answer Answer, effects *Effects) bool {
	if !answer.Refused || !target.record.Departed() || target.record.Displaced || answer.Sent < target.departureSeenAt {
		return false
	}
	target.unansweredCalls++
	target.recordCheckpoints(effects)
	effects.Commands = append(effects.Commands,
		anvilwork.Command{Leave: &anvilwork.Leave{Target: target.record.ID, Incarnation: target.record.Incarnation}})
	return true
}

// HandleStopAnswer processes the answer to a Stop, or the lack of one, and returns the orders to
// send and the commands to commit because of it.
func (t *Tracker) HandleStopAnswer(now anvilclock.Millis, answer StopAnswer) Effects {
	var effects Effects
	t.handleBarAnswer(now, answer)
	target := t.targetOfAnswer(answer.Answer, answer.Order.Target.Incarnation, answer.FromOtherIncarnation)
	if target == nil {
		return effects
	}
	if answer.FromOtherIncarnation {
		t.handleOtherIncarnation(target, answer.AnsweredBy, &effects)
		return effects
	}
	if target.leaveIfEnded(answer.Answer, &effects) {
		return effects
	}
	r := target.runs[answer.Order.Task]
	if r == nil || r.number != answer.Order.Run {
		return effects
	}
	r.stopInFlight, r.nextStopAt = false, now+t.timing.RetryInterval
	if answer.Withheld {
		return effects
	}
	if !answer.Done {
		target.unansweredCalls++
		return effects
	}
	target.recordContact(answer.Answer)
	r.stopped, r.stoppedAt, r.phase = true, answer.Received, running
	if r.confirmedAt == 0 {
		r.confirmedAt = answer.Received
	}
	return effects
}

// HandlePollAnswer processes the answer to a Poll, or the lack of one, and returns the orders to
// send and the commands to commit because of it.
func (t *Tracker) HandlePollAnswer(now anvilclock.Millis, answer PollAnswer) Effects {
	var effects Effects
	target := t.targetOfAnswer(answer.Answer, answer.Order.Target.Incarnation, answer.FromOtherIncarnation)
	if target == nil {
		return effects
	}
	target.pollInFlight = false
	if answer.Withheld {
		target.nextPollAt = now + t.timing.RetryInterval
		return effects
	}
	if answer.FromOtherIncarnation {
		t.handleOtherIncarnation(target, answer.AnsweredBy, &effects)
		return effects
	}
	if target.leaveIfEnded(answer.Answer, &effects) {
		return effects
	}
	if !answer.Done {
		target.unansweredCalls++
		if !answer.NotSent {
			target.lateUntil = max(target.lateUntil, answer.lateElsewhereUntil())
		}
		target.nextPollAt = now + t.pollRetryPause(target)
		return effects
	}
	target.recordContact(answer.Answer)
	target.adopted, target.nextPollAt = true, now
	if answer.UnusableEnds > 0 {
		// The target answers without waiting as long as its list has an end that isn't acknowledged.
		target.nextPollAt = now + t.timing.RetryInterval
	}
	target.ackedCursor = max(target.ackedCursor, answer.Order.Cursor)
	if slices.ContainsFunc(answer.Ended, func(end anvilwork.RunEnd) bool { return end.Number <= target.record.Cursor }) {
		target.ackedCursor = 0 // it still lists recorded ends, so they are acknowledged again
	}
	t.commitEnds(target, answer, &effects)
	t.reconcileRuns(now, target, answer, &effects)
	return effects
}

// pollRetryPause returns the pause after an unanswered poll. A target that has departed is asked again sooner,
// because its runs can be placed again as soon as it has ended.
func (t *Tracker) pollRetryPause(target *target) anvilclock.Millis {
	if target.record.Departed() {
		return t.timing.RetryInterval / 4
	}
	return t.timing.RetryInterval * anvilclock.Millis(min(target.unansweredCalls, 4))
}

// commitEnds returns a command that records the run ends listed in a poll answer, except
// those that are already committed or were returned in an earlier command.
func (t *Tracker) commitEnds(target *target, answer PollAnswer, effects *Effects) {
	record := recordEnds(target.record, answer.Ended, max(target.record.Cursor, target.committingEnd))
	if record == nil {
		return
	}
	target.committingEnd = record.Ends[len(record.Ends)-1].Number
	effects.Commands = append(effects.Commands, anvilwork.Command{RecordRunEnds: record})
}

// EndInRange reports whether an end with this number may follow the one at cursor.
func EndInRange(cursor, number uint64) bool { return number > cursor && number-cursor <= maxEndGap }

// recordEnds returns the command that records those ends in a target's list whose numbers are above cursor,
// in the order of their numbers, or nil if there are none. It leaves out the ends from the first one on that
// isn't in range: once its number is acknowledged, the target forgets all ends below.
func recordEnds(target anvilwork.Target, listed []anvilwork.RunEnd, cursor uint64) *anvilwork.RecordRunEnds {
	sorted := slices.SortedFunc(slices.Values(listed), func(a, b anvilwork.RunEnd) int { return cmp.Compare(a.Number, b.Number) })
	var ends []anvilwork.RunEnd
	for _, end := range sorted {
		if end.Number <= cursor {
			continue
		}
		if !EndInRange(cursor, end.Number) {
			break
		}
		ends, cursor = append(ends, end), end.Number
	}
	if len(ends) == 0 {
		return nil
	}
	return &anvilwork.RecordRunEnds{Target: target.ID, Incarnation: target.Incarnation, Ends: ends}
}

// CommitFailed is called when commands of this term were not committed, or not in time. They may still be
// applied, such as one that unassigns a run, so Next returns no starts until CommitSucceeded is called. The
// run ends in those commands are returned again when the next poll answer lists them, and silences are noted
// again.
func (t *Tracker) CommitFailed() {
	t.commitUncertain = true
	for _, target := range t.targets {
		target.committingEnd = target.record.Cursor
		for _, r := range target.runs {
			r.silenceNoted, r.recordedCheckpoint = false, ""
		}
	}
}

// CommitSucceeded is called when an entry of this term was committed and applied, and with it all earlier ones.
func (t *Tracker) CommitSucceeded() { t.commitUncertain = false }

// CommitUncertain reports whether an entry, if only an empty one, must be committed before Next returns any
// start.
func (t *Tracker) CommitUncertain() bool { return t.commitUncertain }

// reconcileRuns compares the runs that the target lists with those that are assigned to it.
func (t *Tracker) reconcileRuns(now anvilclock.Millis, target *target, answer PollAnswer, effects *Effects) {
	listed := map[runKey]Running{}
	for _, entry := range answer.Running {
		listed[runKey{entry.Task, entry.Run}] = entry
	}
	ended := map[anvilwork.Task]anvilwork.Run{}
	for _, end := range answer.Ended {
		ended[end.Task] = max(ended[end.Task], end.Run)
	}
	for _, task := range slices.SortedFunc(maps.Keys(target.runs), anvilwork.Task.Compare) {
		r := target.runs[task]
		entry, ok := listed[runKey{task, r.number}]
		switch {
		case ok:
			if r.confirm(now) {
				effects.Begun = append(effects.Begun, task.Job)
			}
			r.observeCheckpoint(entry.Checkpoint)
		case ended[task] >= r.number:
			// the answer lists the end of this run, and commitEnds takes care of it
		default:
			t.handleUnlistedRun(target, task, r, answer, effects)
		}
	}
	t.stopUnassignedRuns(target, listed, effects)
}

// confirm records that the target runs the run, or has said so at the given time. It reports whether that wasn't
// known.
func (r *run) confirm(at anvilclock.Millis) (first bool) {
	r.phase, r.startUnanswered, r.missingLists, r.shownAt = running, false, 0, at
	if r.confirmedAt > 0 {
		return false
	}
	r.confirmedAt = at
	return true
}

// handleUnlistedRun handles an assigned run that the poll answer lists neither as running
// nor as ended. If the lists aren't complete, the run may have ended or go on, which a later answer
// will show. Otherwise the target certainly doesn't have a run that it confirmed, or that a stop
// barred, before the poll was sent. Nor can it still carry out a start by a former leader,
// because the poll had a higher fencing token.
func (t *Tracker) handleUnlistedRun(target *target, task anvilwork.Task, r *run, answer PollAnswer, effects *Effects) {
	switch {
	case !answer.Complete:
		return
	case r.phase == adopting:
	case r.stopped && answer.Sent > r.stoppedAt:
	case r.phase == running && !r.stopRequested && answer.Sent > r.confirmedAt && !r.startUnanswered:
		// The target drops the end of a run once a poll has acknowledged it (Poll.Cursor), so a
		// late answer may list neither the run nor its end. Only a second answer without the run
		// rules out that answers have overtaken each other.
		r.missingLists++
		target.pollNow = true
		if r.missingLists < 2 {
			return
		}
		effects.Findings = append(effects.Findings, target.finding(RunMissing, task, r.number))
	default:
		return
	}
	target.recordCheckpoints(effects)
	effects.Commands = append(effects.Commands,
		anvilwork.Command{Unassign: &anvilwork.Unassign{Task: task, Run: r.number}})
}

func (target *target) finding(kind FindingKind, task anvilwork.Task, run anvilwork.Run) Finding {
	return Finding{Kind: kind, Target: target.record.ID, Incarnation: target.record.Incarnation, Task: task, Run: run}
}

// stopUnassignedRuns stops the runs that a target lists as running although the replicated
// state doesn't assign them to it.
func (t *Tracker) stopUnassignedRuns(target *target, listed map[runKey]Running, effects *Effects) {
	for _, key := range slices.SortedFunc(maps.Keys(listed), runKey.compare) {
		if r := target.runs[key.task]; r == nil || r.number != key.run {
			effects.Stops = append(effects.Stops, Stop{Target: target.record, Task: key.task, Run: key.run, Token: t.token})
			effects.Findings = append(effects.Findings, target.finding(RunNotAssigned, key.task, key.run))
		}
	}
}
