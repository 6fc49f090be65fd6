package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilwork"
)

// TestEndBeyondTheList guards against running a task again whose end is beyond the ends that its target lists
// at a time, whatever the leader last knew of the run.
func TestEndBeyondTheList(t *testing.T) {
	started := func(w *world) { w.answerStart(w.placeAndStart(taskA, 1), StartAccepted) }
	for name, prepare := range map[string]func(w *world){
		"confirmed": started,
		"listed": func(w *world) {
			started(w)
			w.answerPoll(w.takePoll(), 1, []Running{{Task: taskA, Run: 1}})
		},
		"start answered as already ended": func(w *world) {
			w.answerStart(w.placeAndStart(taskA, 1), StartUnanswered)
			w.answerStart(w.advance(testRetry).Starts[0], StartRunEnded)
		},
		"stopped": func(w *world) {
			started(w)
			w.tracker.StopRun("t", taskA)
			for _, stop := range w.advance(1).Stops {
				w.tracker.HandleStopAnswer(w.now, StopAnswer{Answer: w.answer(w.now-1, w.now), Order: stop, Done: true})
			}
		},
		"after a change of the leader": func(w *world) {
			started(w)
			w.pendingPoll = nil
			w.elect(2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			prepare(w)
			for number := uint64(1); number <= 4; number++ {
				w.now += 10
				other := anvilwork.RunEnd{Number: number, Task: taskB, Run: anvilwork.Run(number), Outcome: anvilwork.RunStopped}
				w.apply(w.answerPollInPart(w.takePoll(), nil, other).Commands...)
				assert.Equal(t, w.state.Runs("t")[taskA], anvilwork.Run(1), "after list %d", number)
			}
			w.now += 10
			end := anvilwork.RunEnd{Number: 5, Task: taskA, Run: 1, Outcome: anvilwork.RunDone}
			w.apply(w.answerPoll(w.takePoll(), 1, nil, end).Commands...)
			job, _ := w.state.Job("j")
			assert.Equal(t, job.State(taskA).Phase, anvilwork.TaskDone)
		})
	}
}

// TestMissingAfterCutList guards against a task that is never placed again because its run vanished while the
// lists of its target were cut short: the first complete lists without it show that it is gone.
func TestMissingAfterCutList(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	other := anvilwork.RunEnd{Number: 1, Task: taskB, Run: 1, Outcome: anvilwork.RunStopped}
	for range 2 {
		w.now += 10
		w.apply(w.answerPollInPart(w.takePoll(), nil, other).Commands...)
	}
	assert.Equal(t, len(w.state.Runs("t")), 1)
	for range 2 {
		w.now += 10
		w.apply(w.answerPoll(w.takePoll(), 1, nil).Commands...)
	}
	assert.Equal(t, len(w.state.Runs("t")), 0)
}
