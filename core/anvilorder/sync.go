package anvilorder

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

// Sync updates the tracker from the replicated state: targets that were added or removed,
// runs that were assigned or released. It must be called before Next, which reads the jobs
// of the runs to start from the same state.
func (t *Tracker) Sync(now anvilclock.Millis, state *anvilwork.State) {
	first := t.synced == anvilwork.Identity{}
	if first {
		defer t.ageAnnouncements()
	}
	if t.synced != state.Identity() {
		t.synced = state.Identity()
		for _, known := range t.targets {
			known.revision = 0
		}
	}
	records := state.Targets()
	for _, record := range records {
		revision := state.RevisionOf(record.ID)
		if known := t.targets[record.ID]; known == nil || known.revision != revision {
			t.syncTarget(now, record, state, first)
			t.targets[record.ID].revision = revision
		}
	}
	if len(t.targets) > len(records) {
		t.removeGone(state)
	}
}

// removeGone removes the targets that the replicated state doesn't have any more.
func (t *Tracker) removeGone(state *anvilwork.State) {
	for id, gone := range t.targets {
		if _, ok := state.Target(id); !ok {
			t.forgetUnassignedRuns(gone, nil)
			delete(t.targets, id)
		}
	}
	t.order = nil
}

// syncTarget updates the tracker from the record of a target. first means that this is the first call of Sync.
func (t *Tracker) syncTarget(now anvilclock.Millis, record *anvilwork.Target, state *anvilwork.State, first bool) {
	known, assigned := t.targets[record.ID], state.Runs(record.ID)
	switch {
	case known == nil:
		known = &target{runs: map[anvilwork.Task]*run{}, lastContact: now, unheard: first, pollNow: first}
		if record.RegisteredAt == 0 || len(assigned) > 0 {
			known.lease.untrackedUntil = t.electedAt + longestSpan(t.timing.grantedLease())
		}
	case known.record.Incarnation != record.Incarnation:
		t.forgetUnassignedRuns(known, assigned)
		known = t.inheritRuns(now, known, assigned)
	}
	if t.targets[record.ID] != known {
		t.targets[record.ID], t.order = known, nil
	}
	if record.Departed() && record.DepartedAt != known.record.DepartedAt {
		// Whether the target has ended decides when its runs are placed again.
		known.departureSeenAt, known.nextPollAt, known.pollNow = now, now, true
	}
	if known.record.Incarnation != record.Incarnation || known.record.Sequence != record.Sequence {
		known.date(Announcement{Clock: record.Clock, Received: now})
		known.unheard = known.unheard && first
	}
	known.record = *record
	for task, number := range assigned {
		if known.runs[task] == nil || known.runs[task].number != number {
			known.runs[task] = &run{number: number, phase: adopting, byFormerLeader: true, mayStartUntil: t.inheritedStartUntil(state, record, task)}
		}
	}
	t.forgetUnassignedRuns(known, assigned)
	known.stopIfDeparted()
}

// stopIfDeparted requests a stop of all runs of a target that has departed: it has said that it ends, or another
// target has its address. They are placed again once they have ended, or once its lease has certainly expired.
func (target *target) stopIfDeparted() {
	if !target.record.Departed() {
		return
	}
	for _, r := range target.runs {
		r.stopRequested = true
	}
}

// forgetUnassignedRuns drops the runs of a target that are no longer assigned to it.
func (t *Tracker) forgetUnassignedRuns(target *target, assigned map[anvilwork.Task]anvilwork.Run) {
	for task := range target.runs {
		if _, ok := assigned[task]; !ok {
			delete(target.runs, task)
			t.forgetProgress(task)
		}
	}
}

// inheritRuns returns the record of a new incarnation of a target, with the runs that were
// assigned to the former one. The new incarnation may still carry out starts that this
// leader sent to the former one: it has seen no higher fencing token that would make it
// refuse them. Therefore each run is stopped there before it is unassigned.
func (t *Tracker) inheritRuns(now anvilclock.Millis, former *target, assigned map[anvilwork.Task]anvilwork.Run) *target {
	// The poll makes the new incarnation refuse what former leaders sent.
	successor := &target{runs: map[anvilwork.Task]*run{}, lastContact: now, pollNow: true}
	successor.lease.untrackedUntil = now
	if until := former.lateCallsUntil(); until > now {
		successor.lease.untrackedUntil = until + longestSpan(t.timing.MaxLease)
	}
	for task, number := range assigned {
		r := &run{number: number, phase: running, confirmedAt: now, stopRequested: true, byFormerLeader: true}
		if before := former.runs[task]; before != nil && before.number == number {
			r.mayStartUntil, r.byFormerLeader = before.lateStartUntil(), before.byFormerLeader
			r.checkpoint, r.recordedCheckpoint = before.checkpoint, before.recordedCheckpoint
		}
		if r.byFormerLeader {
			r.mayStartUntil = max(r.mayStartUntil, t.electedAt+maxOrderDelay)
		}
		successor.runs[task] = r
	}
	successor.inherited = len(successor.runs) > 0
	return successor
}

// inheritedStartUntil returns until when a start of a former leader may be carried out by a later incarnation
// of the target than the one that it was sent to, whose clock restarts, or 0 if this can't happen: the run
// was placed on the present incarnation, so that the deadline in the start bounds it.
func (t *Tracker) inheritedStartUntil(state *anvilwork.State, record *anvilwork.Target, task anvilwork.Task) anvilclock.Millis {
	job, ok := state.Job(task.Job)
	if !ok || job.State(task).PhaseSince >= record.RegisteredAt {
		return 0
	}
	return t.electedAt + maxOrderDelay
}

// lateCallsUntil returns until when a call with a lease deadline that this leader has sent may be carried out
// without an answer. A deadline extends the lease of all runs of a target; at a later incarnation, whose
// clock restarts, up to the longest lease from then on.
func (target *target) lateCallsUntil() anvilclock.Millis {
	until := target.lateUntil
	if target.pollInFlight {
		until = max(until, target.pollSentAt+maxOrderDelay)
	}
	for _, r := range target.runs {
		until = max(until, r.inFlightUntil())
	}
	return until
}

// longestSpan returns how long a lease of this span may last by the leader's clock if the target's clock
// runs as slowly as maxClockSlowness allows. At a later incarnation than the one that a call was sent to, whose clock
// restarts, the deadline in the call may give a lease of Timing.MaxLease, however short the granted one was.
func longestSpan(span anvilclock.Millis) anvilclock.Millis {
	return anvilclock.Millis(float64(span) / (1 - maxClockSlowness))
}
