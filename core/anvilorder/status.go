package anvilorder

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// Obstacle says why a target isn't usable, see Tracker.Usable.
type Obstacle uint8

// Obstacles in the order in which they are checked.
const (
	NoObstacle Obstacle = iota
	// TargetUnknown means that the state that was passed to Sync doesn't have the target.
	TargetUnknown
	// CallUnanswered means that the target has not answered the latest call.
	CallUnanswered
	// NoContact means that the target has neither announced itself nor answered for too long.
	NoContact
	// StartRefused means that the target has rejected a start within refusalPause.
	StartRefused
	// CapacityUnknown means that the latest announcement is older than Timing.MaxAnnouncementAge.
	CapacityUnknown
)

// Obstacle returns why a target may not be given new work, or NoObstacle if it is usable.
func (t *Tracker) Obstacle(now anvilclock.Millis, id anvilid.TargetID, span anvilclock.Millis) Obstacle {
	target := t.targets[id]
	switch {
	case target == nil:
		return TargetUnknown
	case target.unansweredCalls > 0:
		return CallUnanswered
	case target.unheard, now-target.lastContact > span:
		return NoContact
	case now < target.pausedUntil:
		return StartRefused
	case !t.knowsCapacity(now, target):
		return CapacityUnknown
	}
	return NoObstacle
}

// RunStage says how far an assigned run has got, as far as the leader knows.
type RunStage uint8

// Stages of a run.
const (
	// StageAdopting means that a former leader assigned the run, and that the target has not said yet whether it
	// has the run.
	StageAdopting RunStage = iota
	// StageStarting means that no answer of the target has confirmed the start.
	StageStarting
	// StageStopping means that the run was asked to stop, and that its end isn't known yet.
	StageStopping
	// StageSilent means that the target has confirmed the run, and has not answered the latest call.
	StageSilent
	// StageUnlisted means that the target has confirmed the run or its end, that it answers, and that its lists
	// have not shown the run for some time.
	StageUnlisted
	// StageAtWork means that the target has shown the run at work recently.
	StageAtWork
)

// runStageNames are the names of the stages in log lines.
var runStageNames = [...]string{"adopting", "starting", "stopping", "silent", "unlisted", "running"}

func (s RunStage) String() string { return runStageNames[s] }

// listSlack is added to the time of two polls to get the age from which on a confirmation of a run is too old.
const listSlack = 1 * anvilclock.Second

// RunStatus is what the leader knows about an assigned run. Times are of the leader's clock.
type RunStatus struct {
	Run   anvilwork.Run
	Stage RunStage
	// UnansweredStarts and UnsentStarts count the starts of this leader that got no answer, and those for which
	// no connection could be opened. UnansweredCalls counts the consecutive calls to the target without an answer.
	UnansweredStarts, UnsentStarts, UnansweredCalls int
	// ContactAt is when the latest answer or announcement of the target arrived.
	ContactAt anvilclock.Millis
	// LeaseEndedAt is from when on the lease of the target has certainly ended, or 0 if it was given none.
	LeaseEndedAt anvilclock.Millis
	// LateStartEndedAt is from when on a start that got no answer can't be at work any more, or 0 if there is none.
	LateStartEndedAt anvilclock.Millis
}

// Status returns what is known about a run that is assigned to a target. It returns false if the state that was
// passed to Sync doesn't assign the task to the target.
func (t *Tracker) Status(now anvilclock.Millis, id anvilid.TargetID, task anvilwork.Task) (RunStatus, bool) {
	target := t.targets[id]
	if target == nil || target.runs[task] == nil {
		return RunStatus{}, false
	}
	r := target.runs[task]
	status := RunStatus{
		Run: r.number, Stage: t.stageOf(now, target, r),
		UnansweredStarts: r.unansweredStarts, UnsentStarts: r.unsentStarts, UnansweredCalls: target.unansweredCalls,
		ContactAt: target.lastContact, LateStartEndedAt: t.lateStartEndedAt(r),
	}
	if target.lease.everGranted() {
		status.LeaseEndedAt = target.lease.certainlyEndedAt()
	}
	return status, true
}

// AtWork reports whether a target has shown recently that it runs a task.
func (t *Tracker) AtWork(now anvilclock.Millis, id anvilid.TargetID, task anvilwork.Task) bool {
	target := t.targets[id]
	return target != nil && target.runs[task] != nil && t.stageOf(now, target, target.runs[task]) == StageAtWork
}

func (t *Tracker) stageOf(now anvilclock.Millis, target *target, r *run) RunStage {
	switch {
	case r.stopRequested:
		return StageStopping
	case r.phase == adopting:
		return StageAdopting
	case r.phase == starting:
		return StageStarting
	case target.unansweredCalls > 0:
		return StageSilent
	case r.shownAt == 0 || now-r.shownAt > 2*t.timing.PollWait+listSlack:
		return StageUnlisted
	}
	return StageAtWork
}
