package anvillead

import (
	"cmp"
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilplace"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
)

const (
	// idleAfter is how long a step must have had no task at work before a line about it is written.
	idleAfter = 2 * anvilclock.Second
	// idleRepeat is the interval between two lines about the same step.
	idleRepeat = 5 * anvilclock.Second
	// idleCheckInterval is the interval between two searches for such steps, and maxIdleLines how many lines each
	// of them writes at most. Under overload, thousands of steps wait.
	idleCheckInterval = 1 * anvilclock.Second
	maxIdleLines      = 20
	// maxIdleRuns is the number of assigned runs that a line shows.
	maxIdleRuns = 4
)

// idleWatch finds the steps that have no task at work although their turn has come. Times are log times.
type idleWatch struct {
	checkedAt anvilclock.Millis
	steps     map[anvilwork.StepKey]idleState
	// count is the number of steps that had no task at work for idleAfter at the latest check, and longest the
	// longest such time of all checks since the last summary.
	count   int
	longest anvilclock.Millis
}

// idleState is since when a step has had no task at work, and when a line about it was written last.
type idleState struct {
	since, writtenAt anvilclock.Millis
}

// idleStep is a step about which a line is to be written.
type idleStep struct {
	anvilplace.IdleStep
	idleState
}

// check returns the steps about which lines are to be written, and the number of those that are left out of this
// check because there are too many. It returns nothing if the last check was less than idleCheckInterval ago.
func (w *idleWatch) check(state *anvilwork.State, now, wall anvilclock.Millis, atWork anvilplace.AtWork) (due []idleStep, omitted int) {
	if w.steps != nil && now-w.checkedAt < idleCheckInterval {
		return nil, 0
	}
	before := w.steps
	w.checkedAt, w.steps, w.count = now, make(map[anvilwork.StepKey]idleState, len(before)), 0
	var steps []anvilplace.IdleStep
	for _, job := range state.Active() {
		steps = anvilplace.AppendIdleSteps(steps[:0], job, now, wall, atWork)
		for _, step := range steps {
			seen, known := before[step.Step]
			if !known || step.Since < seen.since {
				seen.since = step.Since
			}
			w.steps[step.Step] = seen
			if now-seen.since < idleAfter {
				continue
			}
			w.count++
			w.longest = max(w.longest, now-seen.since)
			if seen.writtenAt == 0 || now-seen.writtenAt >= idleRepeat {
				due = append(due, idleStep{step, seen})
			}
		}
	}
	if len(due) <= maxIdleLines {
		return due, 0
	}
	slices.SortStableFunc(due, func(a, b idleStep) int {
		return cmp.Or(cmp.Compare(a.writtenAt, b.writtenAt), cmp.Compare(a.since, b.since))
	})
	return due[:maxIdleLines], len(due) - maxIdleLines
}

// written records that a line about a step was written.
func (w *idleWatch) written(step anvilwork.StepKey) {
	w.steps[step] = idleState{since: w.steps[step].since, writtenAt: w.checkedAt}
}

// takeSummary returns how many steps had no task at work for idleAfter at the latest check, and the longest such time
// since the previous call.
func (w *idleWatch) takeSummary() (count int, longest anvilclock.Millis) {
	longest, w.longest = w.longest, 0
	return w.count, longest
}

// findIdleSteps returns the steps about which lines are to be written, and requests their explanation from the plan.
func (r *leadership) findIdleSteps(now anvilclock.Millis, input *anvilplace.Input) (due []idleStep, omitted int) {
	due, omitted = r.idle.check(input.State, input.Now, input.Wall, func(task anvilwork.Task, state *anvilwork.TaskState) bool {
		return r.tracker.AtWork(now, state.Target, task)
	})
	if len(due) > 0 {
		input.Explain = map[anvilwork.StepKey]bool{}
	}
	for _, step := range due {
		input.Explain[step.Step] = true
	}
	return due, omitted
}

// logIdleSteps writes a line about each step that has had no task at work for long, except those whose tasks the plan
// has placed just now.
func (r *leadership) logIdleSteps(now anvilclock.Millis, input anvilplace.Input, due []idleStep, omitted int, unplaced []anvilplace.Unplaced) {
	for _, step := range due {
		runs := r.idleRuns(now, input, step)
		fields := []zap.Field{zap.Stringer("step", step.Step), zap.Int64("idle", int64(input.Now-step.since))}
		var parts []unplacedFields
		for _, u := range unplaced {
			if u.Step == step.Step {
				parts = append(parts, unplacedFields(u))
			}
		}
		if len(parts) == 0 && len(runs) == 0 && step.Unready == 0 {
			continue
		}
		if len(parts) > 0 {
			fields = append(fields, zap.Objects("unplaced", parts))
		}
		if len(runs) > 0 {
			fields = append(fields, zap.Objects("runs", runs))
		}
		r.idle.written(step.Step)
		r.log.Write(anvillogs.StepIdle, append(fields, zap.Int("waiting", step.Waiting), zap.Int("assigned", step.Assigned),
			zap.Int("unready", step.Unready), zap.Int("omitted", omitted))...)
	}
}

// unplacedFields writes first how many targets each reason excludes.
type unplacedFields anvilplace.Unplaced

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (u unplacedFields) MarshalLogObject(out zapcore.ObjectEncoder) error {
	u.Counts.Each(func(reason anvilplace.Reason, count int) { out.AddInt(reason.String(), count) })
	out.AddInt("targets", u.Considered)
	out.AddInt("tasks", u.Waiting)
	out.AddInt("together", u.Together)
	out.AddInt("room", u.Room)
	out.AddInt("claims", u.Claimed)
	if u.Throttled {
		out.AddBool("throttled", true)
	}
	return nil
}

// idleRun is an assigned run that isn't at work. All times are spans in milliseconds.
type idleRun struct {
	task   anvilwork.Task
	target anvilid.TargetID
	status anvilorder.RunStatus
	// assigned is how long ago the run was assigned.
	assigned anvilclock.Millis
	now      anvilclock.Millis
}

// idleRuns returns the first maxIdleRuns assigned runs of a step.
func (r *leadership) idleRuns(now anvilclock.Millis, input anvilplace.Input, step idleStep) []idleRun {
	job, ok := input.State.Job(step.Step.Job)
	if !ok || step.Assigned == 0 {
		return nil
	}
	var runs []idleRun
	for i := range job.Occurrences[step.Step.Occurrence].Tasks[step.Step.Step] {
		task := step.Task(i)
		state := job.State(task)
		if state.Phase != anvilwork.TaskAssigned || len(runs) == maxIdleRuns {
			continue
		}
		if status, known := r.tracker.Status(now, state.Target, task); known {
			runs = append(runs, idleRun{task: task, target: state.Target, status: status, assigned: input.Now - state.PhaseSince, now: now})
		}
	}
	return runs
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (r idleRun) MarshalLogObject(out zapcore.ObjectEncoder) error {
	out.AddString("stage", r.status.Stage.String())
	out.AddString("target", string(r.target))
	out.AddInt64("for", int64(r.assigned))
	out.AddInt("calls", r.status.UnansweredCalls)
	out.AddInt("starts", r.status.UnansweredStarts)
	out.AddInt("unsent", r.status.UnsentStarts)
	out.AddInt64("heard", int64(r.now-r.status.ContactAt))
	if r.status.LeaseEndedAt > 0 {
		out.AddInt64("lease", int64(r.status.LeaseEndedAt-r.now))
	}
	if r.status.LateStartEndedAt > 0 {
		out.AddInt64("late", int64(r.status.LateStartEndedAt-r.now))
	}
	out.AddString("task", r.task.String())
	out.AddUint64("run", uint64(r.status.Run))
	return nil
}

// obstacleReasons maps why the tracker excludes a target to the reasons of a plan.
var obstacleReasons = map[anvilorder.Obstacle]anvilplace.Reason{
	anvilorder.TargetUnknown: anvilplace.NotUsable, anvilorder.CallUnanswered: anvilplace.CallUnanswered,
	anvilorder.NoContact: anvilplace.NotAnnounced, anvilorder.StartRefused: anvilplace.StartRefused,
	anvilorder.CapacityUnknown: anvilplace.CapacityUnknown,
}

// whyNotUsable returns why a target is not usable.
func (r *leadership) whyNotUsable(now anvilclock.Millis, id anvilid.TargetID, span anvilclock.Millis) anvilplace.Reason {
	if obstacle := r.tracker.Obstacle(now, id, span); obstacle != anvilorder.NoObstacle {
		return obstacleReasons[obstacle]
	}
	return anvilplace.InUpkeep
}
