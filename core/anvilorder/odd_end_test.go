package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilwork"
)

// TestOddEndNumber guards against one end with a number out of range that is acknowledged: the target then
// forgets all its ends, and the leader ignores them, so that work that is done is started again.
func TestOddEndNumber(t *testing.T) {
	for _, number := range []uint64{1 << 63, 1<<64 - 1, 1 << 40} {
		w := newWorld(t)
		w.placeAndStart(taskA, 1)
		odd := anvilwork.RunEnd{Number: number, Task: anvilwork.Task{Job: "other"}, Run: 1, Outcome: anvilwork.RunDone}
		w.advance(1000)
		w.apply(w.answerPoll(w.takePoll(), 1, []Running{{Task: taskA, Run: 1}}, odd).Commands...)
		target, _ := w.state.Target("t")
		assert.Equal(t, target.Cursor, uint64(0))

		w.advance(1000)
		done := anvilwork.RunEnd{Number: 1, Task: taskA, Run: 1, Outcome: anvilwork.RunDone}
		w.apply(w.answerPoll(w.takePoll(), 1, nil, done, odd).Commands...)
		job, _ := w.state.Job("j")
		assert.Equal(t, job.State(taskA).Phase, anvilwork.TaskDone)
		target, _ = w.state.Target("t")
		assert.Equal(t, target.Cursor, uint64(1))
	}
}
