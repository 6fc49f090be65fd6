package anvilplace

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

// IdleStep is a step whose turn has come and of which no task is at work.
type IdleStep struct {
	Step anvilwork.StepKey
	// Since is a time, in log time, since which certainly no task has been at work.
	Since anvilclock.Millis
	// Waiting is the number of tasks that wait to be placed, and Assigned of those that are assigned to targets.
	Waiting, Assigned int
	// Unready is the number of tasks of a gang that don't wait although others do. A gang is only placed as a whole.
	Unready int
}

// AtWork reports whether the run of an assigned task is known to be at work.
type AtWork func(anvilwork.Task, *anvilwork.TaskState) bool

// AppendIdleSteps appends the steps of a job whose turn has come to a list, unless any of its tasks is at work. now is
// log time, and wall the time of the wall clock.
func AppendIdleSteps(list []IdleStep, job *anvilwork.Job, now, wall anvilclock.Millis, atWork AtWork) []IdleStep {
	idle := list
	for k := range job.Occurrences {
		occurrence := &job.Occurrences[k]
		if occurrence.Due > wall {
			continue
		}
		turn := job.Accepted
		if occurrence.Due > 0 {
			turn = max(turn, now-(wall-occurrence.Due))
		}
		for index, step := range job.Spec.Steps {
			if occurrence.Remaining[index] == 0 || !occurrence.Ready(step) {
				continue
			}
			found := IdleStep{Step: anvilwork.StepKey{Job: job.ID, Occurrence: k, Step: index}, Since: turn}
			if found.countTasks(occurrence, atWork) {
				return list
			}
			found.setSince(occurrence, step, now)
			if step.Gang && found.Waiting > 0 {
				found.Unready = step.Count - found.Waiting
			}
			idle = append(idle, found)
		}
	}
	return idle
}

// countTasks sets Waiting and Assigned, and reports whether any task is at work.
func (s *IdleStep) countTasks(occurrence *anvilwork.Occurrence, atWork AtWork) bool {
	tasks := occurrence.Tasks[s.Step.Step]
	for i := range tasks {
		switch {
		case tasks[i].Phase == anvilwork.TaskWaiting:
			s.Waiting++
		case tasks[i].Phase != anvilwork.TaskAssigned:
		case atWork(s.Task(i), &tasks[i]):
			return true
		default:
			s.Assigned++
		}
	}
	return false
}

// setSince moves Since from the turn of the occurrence to when the step could begin and one of its tasks changed its
// phase last. An assigned run may have been at work until now.
func (s *IdleStep) setSince(occurrence *anvilwork.Occurrence, step anvilwork.Step, now anvilclock.Millis) {
	if s.Assigned > 0 {
		s.Since = now
		return
	}
	s.Since = max(s.Since, lastChange(occurrence.Tasks[s.Step.Step]))
	for _, earlier := range step.After {
		s.Since = max(s.Since, lastChange(occurrence.Tasks[earlier]))
	}
}

// Task returns a task of the step.
func (s *IdleStep) Task(index int) anvilwork.Task {
	return anvilwork.Task{Job: s.Step.Job, Occurrence: s.Step.Occurrence, Step: s.Step.Step, Index: index}
}

// lastChange returns when one of the tasks changed its phase last, or 0 if none has changed it.
func lastChange(tasks []anvilwork.TaskState) anvilclock.Millis {
	var latest anvilclock.Millis
	for i := range tasks {
		latest = max(latest, tasks[i].PhaseSince)
	}
	return latest
}
