package anvilplace

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

// TestIdleSteps guards against a job of which nothing runs and that counts as one at work, and against a step that
// is reported although its turn has not come.
func TestIdleSteps(t *testing.T) {
	waiting := anvilwork.TaskState{}
	released := anvilwork.TaskState{PhaseSince: 3000}
	assigned := anvilwork.TaskState{Phase: anvilwork.TaskAssigned, PhaseSince: 2000, Run: 1}
	atWork := anvilwork.TaskState{Phase: anvilwork.TaskAssigned, PhaseSince: 2000, Run: 2}
	done := anvilwork.TaskState{Phase: anvilwork.TaskDone, PhaseSince: 4000}
	tasks := func(states ...anvilwork.TaskState) []anvilwork.TaskState { return states }
	for _, c := range []struct {
		name  string
		steps [][]anvilwork.TaskState // each step comes after the one before
		gang  bool
		due   anvilclock.Millis
		want  []IdleStep
	}{
		{name: "waiting", steps: [][]anvilwork.TaskState{tasks(waiting, waiting)}, want: []IdleStep{{Since: 1000, Waiting: 2}}},
		{name: "released", steps: [][]anvilwork.TaskState{tasks(waiting, released)}, want: []IdleStep{{Since: 3000, Waiting: 2}}},
		{name: "not confirmed", steps: [][]anvilwork.TaskState{tasks(waiting, assigned)}, want: []IdleStep{{Since: 10_000, Waiting: 1, Assigned: 1}}},
		{name: "at work", steps: [][]anvilwork.TaskState{tasks(waiting, assigned, atWork)}},
		{name: "torn gang", gang: true, steps: [][]anvilwork.TaskState{tasks(waiting, assigned)}, want: []IdleStep{{Since: 10_000, Waiting: 1, Assigned: 1, Unready: 1}}},
		{
			name: "second step", steps: [][]anvilwork.TaskState{tasks(done, done), tasks(waiting)},
			want: []IdleStep{{Step: anvilwork.StepKey{Step: 1}, Since: 4000, Waiting: 1}},
		},
		{name: "first step not done", steps: [][]anvilwork.TaskState{tasks(done, waiting), tasks(waiting)}, want: []IdleStep{{Since: 4000, Waiting: 1}}},
		{name: "not due", due: 60_001, steps: [][]anvilwork.TaskState{tasks(waiting)}},
		{name: "due", due: 55_000, steps: [][]anvilwork.TaskState{tasks(waiting)}, want: []IdleStep{{Since: 5000, Waiting: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			job := &anvilwork.Job{ID: "j", Accepted: 1000, Occurrences: []anvilwork.Occurrence{{Due: c.due}}}
			for i, states := range c.steps {
				step := anvilwork.Step{Count: len(states), Gang: c.gang}
				if i > 0 {
					step.After = []int{i - 1}
				}
				remaining := 0
				for _, state := range states {
					if state.Phase != anvilwork.TaskDone {
						remaining++
					}
				}
				job.Spec.Steps = append(job.Spec.Steps, step)
				job.Occurrences[0].Tasks = append(job.Occurrences[0].Tasks, states)
				job.Occurrences[0].Remaining = append(job.Occurrences[0].Remaining, remaining)
			}
			for i := range c.want {
				c.want[i].Step.Job = "j"
			}
			found := AppendIdleSteps(nil, job, 10_000, 60_000, func(_ anvilwork.Task, state *anvilwork.TaskState) bool { return state.Run == 2 })
			assert.DeepEqual(t, found, c.want)
		})
	}
}
