package anvilwork

import (
	"slices"

	"anvilshunt/core/anvilid"
)

func (s *State) recordRunEnds(batch RecordRunEnds) Result {
	target, ok := s.targets[batch.Target]
	if !ok || target.Incarnation != batch.Incarnation {
		for _, end := range batch.Ends {
			s.completeSuperseded(end)
		}
		return Unknown
	}
	for _, end := range batch.Ends {
		if end.Number <= target.Cursor {
			continue
		}
		target.Cursor = end.Number
		s.revisions[target.ID]++
		s.recordRunEnd(end, target)
	}
	return Applied
}

func (s *State) recordRunEnd(end RunEnd, target *Target) {
	job, state := s.assignedTask(end.Task, end.Run)
	if job == nil || state.Target != target.ID || state.Incarnation != target.Incarnation {
		s.completeSuperseded(end)
		return
	}
	job.Begun = true
	if end.Checkpoint != "" {
		storeCheckpoint(job, RunCheckpoint{end.Task, end.Run, end.Checkpoint}, end.Run)
	}
	s.clearIfProven(state, s.now, end.Outcome)
	s.releaseTask(job, end.Task, state)
	switch end.Outcome {
	case RunDone:
		s.completeTask(job, end, state)
	case RunFailed:
		if state.DoneRun == 0 {
			s.countFailure(job, end)
		}
	}
}

// completeSuperseded marks a task as done one of whose runs was done, although that run was no longer assigned to a
// target when its end was recorded: the target had left, or its lease had expired while it couldn't be reached. Work
// that was done must not be started again, and the steps that depend on it must not wait for a later run.
func (s *State) completeSuperseded(end RunEnd) {
	job, ok := s.jobs[end.Task.Job]
	if !ok || end.Outcome != RunDone {
		return
	}
	if state := job.State(end.Task); state != nil && state.supersedes(end.Run) {
		s.completeTask(job, end, state)
	}
}

// supersedes reports whether a run is no longer assigned to a target, because it was released or a later one was
// assigned.
func (t *TaskState) supersedes(run Run) bool {
	if t.Phase == TaskAssigned {
		return t.Run > run
	}
	return t.Run >= run
}

// completeTask marks a task as done, and with it the members of its gang, but for those of which the same run is still
// assigned: a member is marked when its own run ends.
func (s *State) completeTask(job *Job, end RunEnd, state *TaskState) {
	step := job.Spec.Steps[end.Task.Step]
	if step.LongRunning {
		return
	}
	if !step.Gang {
		s.completeRun(job, end.Task, end.Run, state)
		return
	}
	members := job.Occurrences[end.Task.Occurrence].Tasks[end.Task.Step]
	for i := range members {
		if members[i].supersedes(end.Run) {
			task := end.Task
			task.Index = i
			s.completeRun(job, task, end.Run, &members[i])
		}
	}
}

// completeRun marks a task as done because of a run. If a later run is assigned, the task is marked when that is
// released, as it occupies its target until then.
func (s *State) completeRun(job *Job, task Task, run Run, state *TaskState) {
	switch state.Phase {
	case TaskWaiting:
		s.markTaskDone(job, task, state)
	case TaskAssigned:
		state.DoneRun = run
		s.revisions[state.Target]++
	}
}

func (s *State) completeJobIfDone(job *Job) {
	if job.Phase.Ended() {
		return
	}
	for k := range job.Occurrences {
		if slices.ContainsFunc(job.Occurrences[k].Remaining, func(open int) bool { return open > 0 }) {
			return
		}
	}
	s.endJob(job, JobDone)
}

// countFailure counts a failed run. For a gang, a run counts as one failure no matter
// which and how many of its members fail. Long-running tasks may fail any number of times.
func (s *State) countFailure(job *Job, end RunEnd) {
	step := job.Spec.Steps[end.Task.Step]
	tasks := job.Occurrences[end.Task.Occurrence].Tasks[end.Task.Step]
	failures := 0
	for i := range tasks {
		if i != end.Task.Index && !step.Gang || tasks[i].FailedRun == end.Run {
			continue
		}
		tasks[i].Failed++
		tasks[i].FailedRun = end.Run
		failures = max(failures, tasks[i].Failed)
	}
	if !job.Phase.Ended() && !step.LongRunning && failures >= max(1, s.PolicyOf(job).Attempts) {
		s.endJob(job, JobFailed)
	}
}

func (s *State) unassign(command Unassign) Result {
	job, state := s.assignedTask(command.Task, command.Run)
	if job == nil {
		return Unknown
	}
	s.releaseTask(job, command.Task, state)
	return Applied
}

func (s *State) expireLease(command ExpireLease) Result {
	target, ok := s.targets[command.Target]
	if !ok || target.Incarnation != command.Incarnation {
		return Unknown
	}
	s.rememberSilence(target)
	if len(command.Runs) == 0 {
		s.releaseAll(target.ID)
		return Applied
	}
	for _, run := range command.Runs {
		if job, state := s.assignedTask(run.Task, run.Run); job != nil && state.Target == target.ID {
			s.releaseTask(job, run.Task, state)
		}
	}
	return Applied
}

// releaseAll ends the assignment of all tasks to a target, as releaseTask does for one.
func (s *State) releaseAll(id anvilid.TargetID) {
	for _, run := range s.assignedRuns(id) {
		if job, state := s.assignedTask(run.Task, run.Run); job != nil {
			s.releaseTask(job, run.Task, state)
		}
	}
	delete(s.runs, id)
	s.revisions[id]++
}

// releaseTask ends the assignment of a task to its target. The task is done if an earlier run of it was, and, as the
// members of a gang complete together, if another member of the same run is.
func (s *State) releaseTask(job *Job, task Task, state *TaskState) {
	delete(s.runs[state.Target], task)
	s.revisions[state.Target]++
	state.Phase, state.PhaseSince = TaskWaiting, s.now
	if state.DoneRun > 0 {
		s.markTaskDone(job, task, state)
		return
	}
	if !job.Spec.Steps[task.Step].Gang {
		return
	}
	for _, member := range job.Occurrences[task.Occurrence].Tasks[task.Step] {
		if member.Phase == TaskDone && member.Run == state.Run {
			s.markTaskDone(job, task, state)
			return
		}
	}
}

// markTaskDone marks a task as done whose assignment to a target has ended, and completes
// the job if this was its last task.
func (s *State) markTaskDone(job *Job, task Task, state *TaskState) {
	state.Phase, state.PhaseSince = TaskDone, s.now
	job.Occurrences[task.Occurrence].Remaining[task.Step]--
	s.completeJobIfDone(job)
}

// assignedTask returns the job and the state of a task if the run is the task's latest one
// and is still assigned to a target, else nil.
func (s *State) assignedTask(task Task, run Run) (*Job, *TaskState) {
	job, ok := s.jobs[task.Job]
	if !ok {
		return nil, nil
	}
	state := job.State(task)
	if state == nil || state.Phase != TaskAssigned || state.Run != run {
		return nil, nil
	}
	return job, state
}
