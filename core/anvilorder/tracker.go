package anvilorder

import (
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
)

// Timing contains the lease and retry times of a Tracker.
type Timing struct {
	// MaxLease is the longest lease that a target accepts.
	MaxLease anvilclock.Millis
	// GrantedLease is how long the leases last that leaders grant, at most MaxLease. 0 means MaxLease.
	GrantedLease anvilclock.Millis
	// PollWait is how long a target may delay the answer to a poll while no run ends. It must
	// be well below a third of the lease, so that the lease doesn't expire when two polls are
	// lost.
	PollWait anvilclock.Millis
	// RetryInterval is the pause before an unanswered order is sent again.
	RetryInterval anvilclock.Millis
	// MaxAnnouncementAge is how old the latest announcement of a target may be when a run is started
	// there, because its capacity may have shrunk since. 0 means that there is no such limit.
	MaxAnnouncementAge anvilclock.Millis
}

func (t Timing) grantedLease() anvilclock.Millis {
	if t.GrantedLease == 0 {
		return t.MaxLease
	}
	return min(t.GrantedLease, t.MaxLease)
}

// maxRepeatedStarts is the number of unanswered copies of a start after which no further one is sent until
// the target answers a call. Each copy may be carried out up to maxOrderDelay later, which delays the next
// run of the task.
const maxRepeatedStarts = 3

// maxOrderDelay is the longest time after sending an order in which a target may still carry
// it out, if the order got no answer.
const maxOrderDelay = 12 * anvilclock.Second

// phase says whether an assigned run was confirmed by its target and, if not, which leader assigned it.
type phase uint8

const (
	// adopting: assigned by a former leader, and not yet confirmed or ruled out by an answer of
	// the target to this leader.
	adopting phase = iota
	// starting: to be started by this leader, and not yet confirmed.
	starting
	// running: confirmed by the target in its answer to a start, a stop or a poll.
	running
)

// run is what the tracker knows about one run that is assigned to a target.
type run struct {
	number anvilwork.Run
	phase  phase
	// startInFlight reports that a start was sent and not yet answered. nextStartAt is the
	// earliest time of the next start; while one is in flight, it is when that one was sent.
	startInFlight bool
	nextStartAt   anvilclock.Millis
	// latestUnansweredAt is when the latest start was sent that got no answer.
	latestUnansweredAt anvilclock.Millis
	// startReached reports that a start was sent, whether it was answered or not.
	startReached bool
	// unsentStarts counts the starts for which no connection to the target could be opened.
	unsentStarts int
	// unansweredStarts counts the starts that got no answer.
	unansweredStarts int
	// startUnanswered reports that a start got no answer, so the target may still carry it out.
	startUnanswered bool
	// mayStartUntil is until when a later incarnation of the target may carry out a start that got no answer, or 0.
	// The incarnation that it was sent to may carry it out within its lease.
	mayStartUntil anvilclock.Millis
	// silenceNoted reports that NoteSilences has returned the run for the present silence of its target.
	silenceNoted bool
	// byFormerLeader reports that a former leader sent the start, at a time that isn't known.
	byFormerLeader bool
	// confirmedAt is when the first answer that confirmed the run arrived, or 0 before that.
	confirmedAt anvilclock.Millis
	// shownAt is when the latest answer arrived that shows the run at work, or 0 before that. It is for the log only.
	shownAt anvilclock.Millis
	// stopRequested reports that the run is to be stopped.
	stopRequested         bool
	stopInFlight          bool
	nextStopAt, stoppedAt anvilclock.Millis
	stopped               bool
	// checkpoint is the latest checkpoint that the target has listed for the run while it was at work, and
	// recordedCheckpoint the latest one for which a commit was requested.
	checkpoint, recordedCheckpoint string
	// missingLists counts the poll answers that don't list this run although an earlier answer
	// confirmed it.
	missingLists int
}

// target is what the tracker knows about one incarnation of a target.
type target struct {
	record anvilwork.Target
	// revision is that of the replicated state from which record and runs were last updated.
	revision     anvilwork.Revision
	lease        lease
	runs         map[anvilwork.Task]*run
	pollInFlight bool
	nextPollAt   anvilclock.Millis
	// adopted reports that the target has answered a poll of this leader, and so has listed the
	// runs that it has from former leaders.
	adopted bool
	// departureSeenAt is when this leader first saw that the target has departed.
	departureSeenAt anvilclock.Millis
	// lateUntil is until when a call that got no answer and has a lease deadline may be carried out, or 0.
	// pollSentAt is when the latest poll was sent.
	lateUntil, pollSentAt anvilclock.Millis
	// lastContact is when the latest answer or announcement of this incarnation arrived, by the leader's
	// clock.
	lastContact anvilclock.Millis
	// unheard reports that this leader has found the target in the state of its predecessor, and that the target has
	// neither answered nor announced itself since. It may have fallen silent long before.
	unheard bool
	// lastAnnounced is when the latest announcement of this incarnation was sent, as far as that is known.
	lastAnnounced anvilclock.Millis
	// undated is the latest announcement that arrived before the target's clock was known, or nil.
	undated *Announcement
	// unansweredCalls counts the consecutive calls without an answer from this incarnation.
	unansweredCalls int
	// committingEnd is the number of the latest run end for which a commit was requested.
	committingEnd uint64
	// ackedCursor is the highest Poll.Cursor that the target is known to have received. The
	// cursor acknowledges run ends.
	ackedCursor uint64
	// answeredAt is when the latest answer of this incarnation arrived, by the leader's clock.
	answeredAt anvilclock.Millis
	// closedAt is when the process of the target has ended, see recordClosed, or 0.
	closedAt anvilclock.Millis
	// nextSilenceNoteAt is the earliest time of the next anvilwork.NoteSilence.
	nextSilenceNoteAt anvilclock.Millis
	// pollNow requests a poll that the target answers at once.
	pollNow bool
	// inherited reports that the runs were assigned to a former incarnation, and that Next has not
	// reported this yet.
	inherited bool
	// pausedUntil excludes a target that rejected a start from placement until this time.
	pausedUntil anvilclock.Millis
}

// Tracker tracks the orders to all targets during one term of the leader. It reads the replicated state only in calls
// that are given it.
type Tracker struct {
	token     anvilid.Token
	timing    Timing
	electedAt anvilclock.Millis
	// stateAge is for how long no leader may have heard the targets, see SetStateAge.
	stateAge anvilclock.Millis
	targets  map[anvilid.TargetID]*target
	// synced identifies the state that Sync has read last. The revisions of targets are those of this state. The Tracker
	// keeps no pointer to the state, which other goroutines change between two calls.
	synced     anvilwork.Identity
	lateStarts lateStarts
	// commitUncertain reports that the latest commit failed, see CommitFailed.
	commitUncertain bool
	// startsInFlight is the result of StartsInFlight.
	startsInFlight int
	// order has the ids of targets in the order in which Next returns orders, or is nil after targets
	// were added or removed.
	order []anvilid.TargetID
	// Speeds rates the targets by the progress of their runs.
	Speeds *anvilspeed.Monitor
	// Lasting learns the lasting speeds of machines from the same progress.
	Lasting *anvilspeed.Estimator
}

// New returns a Tracker for a leader that was elected at the given time and uses this
// fencing token.
func New(token anvilid.Token, elected anvilclock.Millis, timing Timing) *Tracker {
	t := &Tracker{
		token: token, timing: timing, electedAt: elected, targets: map[anvilid.TargetID]*target{}, lateStarts: lateStarts{},
		Speeds: anvilspeed.New(), Lasting: anvilspeed.NewEstimator(),
	}
	t.Speeds.Factor = t.SpeedOf
	return t
}

// AddPlacements adds runs whose assignment by this leader was committed. The next call of
// Next returns their starts.
func (t *Tracker) AddPlacements(assignments []anvilwork.Assignment) {
	for _, a := range assignments {
		if target := t.targets[a.Target]; target != nil && target.record.Incarnation == a.Incarnation {
			target.runs[a.Task] = &run{number: a.Run, phase: starting}
		}
	}
}

// StopRun requests that a run be stopped. Repeated calls have no further effect.
func (t *Tracker) StopRun(id anvilid.TargetID, task anvilwork.Task) {
	if target := t.targets[id]; target != nil {
		if r := target.runs[task]; r != nil {
			r.stopRequested = true
		}
	}
}

// Stopping reports whether StopRun was called for a run.
func (t *Tracker) Stopping(id anvilid.TargetID, task anvilwork.Task) bool {
	target := t.targets[id]
	return target != nil && target.runs[task] != nil && target.runs[task].stopRequested
}

// RecordAnnouncement records that a target has announced itself, which counts as a contact with the
// target (see Usable). A target that has left calls unanswered is polled then, because it isn't usable until it
// answers, and so is one whose silence is noted. An announcement of another incarnation has no effect.
func (t *Tracker) RecordAnnouncement(announced Announcement) {
	if target := t.targets[announced.Target]; target != nil && target.record.Incarnation == announced.Incarnation {
		target.lastContact, target.unheard = max(target.lastContact, announced.Received), false
		target.date(announced)
		target.pollNow = target.pollNow || target.unansweredCalls > 0 || target.record.Silence != nil
	}
}

// Usable reports whether a target may be given new work: it answered a call or announced itself
// within the last span, its capacity is known well enough, it answered the latest call, and it hasn't
// rejected a start within refusalPause.
func (t *Tracker) Usable(now anvilclock.Millis, id anvilid.TargetID, span anvilclock.Millis) bool {
	return t.Obstacle(now, id, span) == NoObstacle
}

// Next returns the orders that are due now and the commands to commit. The caller must have passed
// the same state to Sync.
func (t *Tracker) Next(now anvilclock.Millis, state *anvilwork.State) Effects {
	var effects Effects
	t.startsInFlight = 0
	t.lateStarts.expire(now)
	if t.order == nil {
		t.order = slices.Sorted(maps.Keys(t.targets))
	}
	for _, id := range t.order {
		target := t.targets[id]
		if target.inherited || target.unansweredCalls >= silentAfterCalls {
			target.recordCheckpoints(&effects)
		}
		if t.giveUpExpiredRuns(now, target, &effects) {
			continue
		}
		if target.inherited {
			target.inherited = false
			target.reportInherited(&effects)
		}
		t.barLateStarts(now, target, &effects)
		t.withdrawSurplusStarts(now, target, state)
		target.withdrawEvacuatedStarts(state)
		t.startAndStop(now, target, state, &effects)
		t.poll(now, target, &effects)
	}
	return effects
}

// giveUpExpiredRuns adds a command that unassigns the runs of a target that have certainly ended because the
// target doesn't answer and its lease has expired. It reports whether it added the command.
func (t *Tracker) giveUpExpiredRuns(now anvilclock.Millis, target *target, effects *Effects) bool {
	if target.unansweredCalls == 0 || len(target.runs) == 0 || now < target.lease.certainlyEndedAt() {
		return false
	}
	if !target.lease.everGranted() && target.unansweredCalls < maxFailedFirstCalls {
		return false
	}
	expire := &anvilwork.ExpireLease{Target: target.record.ID, Incarnation: target.record.Incarnation}
	for _, task := range slices.SortedFunc(maps.Keys(target.runs), anvilwork.Task.Compare) {
		if r := target.runs[task]; now >= t.lateStartEndedAt(r) {
			expire.Runs = append(expire.Runs, anvilwork.Unassign{Task: task, Run: r.number})
		}
	}
	if len(expire.Runs) == 0 {
		return false
	}
	effects.Commands = append(effects.Commands, anvilwork.Command{ExpireLease: expire})
	return true
}

// mayRepeat reports whether a start of the run may be sent now.
func (r *run) mayRepeat(target *target) bool {
	return target.unansweredCalls == 0 || r.unansweredStarts < maxRepeatedStarts
}

// lateStartUntil returns until when a start of the run that got no answer yet may be carried out, or 0.
func (r *run) lateStartUntil() anvilclock.Millis { return max(r.mayStartUntil, r.inFlightUntil()) }

// inFlightUntil returns until when the start that is in flight may be carried out, or 0 if there is none.
func (r *run) inFlightUntil() anvilclock.Millis {
	if !r.startInFlight {
		return 0
	}
	return r.nextStartAt + maxOrderDelay
}

// lateStartEndedAt returns from when on a run can't be at work any more because of a start that got no
// answer. A target that doesn't answer may have begun a new incarnation, whose clock restarts, so that the
// deadline in the start doesn't bound the run there.
func (t *Tracker) lateStartEndedAt(r *run) anvilclock.Millis {
	until := r.lateStartUntil()
	if until == 0 {
		return 0
	}
	return until + longestSpan(t.timing.MaxLease) + leaseMargin
}

// StartsInFlight returns the number of runs, at the latest call of Next, that were placed by this leader and
// that their targets have not confirmed yet. It leaves out the targets that don't answer.
func (t *Tracker) StartsInFlight() int { return t.startsInFlight }

func (t *Tracker) startAndStop(now anvilclock.Millis, target *target, state *anvilwork.State, effects *Effects) {
	for task, r := range target.runs {
		if target.record.Leaving && r.phase == starting && r.startReached && !r.startInFlight {
			// The target accepts no new work, and the start may arrive late.
			r.stopRequested = true
		}
		if target.unansweredCalls >= maxUnsentStarts && r.neverSent() {
			r.stopRequested = true // to be placed elsewhere
		}
		if r.phase == starting && !r.startUnanswered && !r.stopRequested && target.unansweredCalls == 0 {
			t.startsInFlight++
		}
		switch {
		case r.stopRequested && r.neverSent() && now >= r.nextStartAt:
			// The start was never sent, so the target can't know the run.
			effects.Commands = append(effects.Commands,
				anvilwork.Command{Unassign: &anvilwork.Unassign{Task: task, Run: r.number}})
			r.nextStartAt = now + t.timing.RetryInterval
		case r.stopRequested && !r.stopInFlight && !r.stopped && now >= r.nextStopAt && (r.phase != adopting || target.adopted):
			r.stopInFlight = true
			effects.Stops = append(effects.Stops,
				Stop{Target: target.record, Task: task, Run: r.number, Token: t.token})
		case !r.stopRequested && r.phase == starting && !r.startInFlight && now >= r.nextStartAt && r.mayRepeat(target) && !t.commitUncertain:
			t.start(now, target, task, r, state, effects)
		}
	}
}

func (t *Tracker) start(now anvilclock.Millis, target *target, task anvilwork.Task, r *run, state *anvilwork.State, effects *Effects) {
	job, ok := state.Job(task.Job)
	if !ok {
		return
	}
	if t.awaitsAnswer(now, target, r, job.State(task)) {
		return
	}
	deadline := target.startDeadline(now, t.timing.grantedLease())
	if deadline == 0 {
		target.pollNow = true // the answer to the poll contains the clock
		return
	}
	onlyBound := r.startUnanswered && target.answeredAt <= r.latestUnansweredAt
	r.startInFlight, r.nextStartAt = true, now // the time of sending, until the answer arrives
	effects.Starts = append(effects.Starts, Start{
		Target: target.record, Task: task, Run: r.number, Text: job.Spec.Text,
		Checkpoint: job.State(task).Checkpoint, Ticket: job.State(task).Ticket, Token: t.token, Deadline: deadline,
		Urgent: state.PolicyOf(job).Priority == 0, OnlyBound: onlyBound,
	})
}

// poll asks a target for its running and ended runs as long as runs are assigned to it, so
// that its lease doesn't expire and the end of a run is noticed at once.
func (t *Tracker) poll(now anvilclock.Millis, target *target, effects *Effects) {
	unacked := target.record.Cursor > target.ackedCursor
	needed := len(target.runs) > 0 || target.pollNow || unacked
	if target.pollInFlight || !needed || now < target.nextPollAt {
		return
	}
	target.pollInFlight, target.pollSentAt = true, now
	wait := t.timing.PollWait
	if target.pollNow || len(target.runs) == 0 || !target.adopted && t.hasAdoptingRuns(target) || target.unansweredCalls > 0 {
		wait = 0
	}
	target.pollNow = false
	effects.Polls = append(effects.Polls, Poll{
		Target: target.record, Token: t.token, Cursor: target.cursor(),
		Deadline: target.leaseDeadline(now, t.timing.grantedLease()), Wait: wait,
	})
}

// cursor returns the number of the latest end to acknowledge, or 0 if there is none that the target hasn't
// received. A target that doesn't answer, or has not answered this leader yet, may have begun a new
// incarnation, which numbers its ends from 1 and would drop those up to the number of the former one.
func (target *target) cursor() uint64 {
	if target.unansweredCalls > 0 || !target.adopted || target.record.Cursor <= target.ackedCursor {
		return 0
	}
	return target.record.Cursor
}

// reportInherited adds a finding for each run that was assigned to a former incarnation of the target.
func (target *target) reportInherited(effects *Effects) {
	for _, task := range slices.SortedFunc(maps.Keys(target.runs), anvilwork.Task.Compare) {
		effects.Findings = append(effects.Findings, target.finding(RunInherited, task, target.runs[task].number))
	}
}

// leaseDeadline returns the lease deadline to send with an order. The lease of a target that
// doesn't answer isn't extended: the target might carry out the order late and keep its runs
// longer than the leader waits for them. Nor is that of a target that has departed, so that its runs can be
// placed again soon.
func (target *target) leaseDeadline(now, span anvilclock.Millis) TargetClock {
	if target.unansweredCalls > 0 || target.record.Departed() {
		return target.lease.latestDeadline
	}
	return target.lease.grant(now, span)
}

// startDeadline returns the lease deadline to send with a start: the latest one as long as half of the span is left of
// it. Polls extend the lease in time. If starts did, those that are sent between the end of a target and the first call
// without an answer would delay the next runs of all that it had.
func (target *target) startDeadline(now, span anvilclock.Millis) TargetClock {
	if latest := target.lease.latestDeadline; latest-target.lease.latestReading.minAt(now) >= TargetClock(span/2) {
		return latest
	}
	return target.leaseDeadline(now, span)
}

// hasAdoptingRuns reports whether the target has runs of a former leader that are not yet
// confirmed.
func (t *Tracker) hasAdoptingRuns(target *target) bool {
	for _, r := range target.runs {
		if r.phase == adopting {
			return true
		}
	}
	return false
}
