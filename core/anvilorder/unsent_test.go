package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilwork"
)

// TestUnsentStart guards against waiting until the end of a lease for a run whose start certainly never
// left this process, and against undoing the start of a whole gang because one connection failed once.
func TestUnsentStart(t *testing.T) {
	w := newWorld(t)
	order := w.placeAndStart(taskA, 1)
	for range maxUnsentStarts - 1 {
		assert.Equal(t, len(w.answerStart(order, StartNotSent).Commands), 0)
		assert.Equal(t, len(w.advance(testRetry-1).Starts), 0)
		starts := w.advance(1).Starts
		assert.Equal(t, len(starts), 1, "the same start is sent again")
		order = starts[0]
	}
	commands := w.answerStart(order, StartNotSent).Commands
	assert.Equal(t, len(commands), 1)
	assert.DeepEqual(t, commands[0].Unassign, &anvilwork.Unassign{Task: taskA, Run: 1})
	assert.Assert(t, !w.tracker.Usable(w.now, "t", 5000), "the target can't be reached")
}

// TestUnsentStartAfterUnansweredOne guards against withdrawing a run because a second start was not sent,
// although the target may still carry out the first one, which got no answer.
func TestUnsentStartAfterUnansweredOne(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartUnanswered)
	for range 2 * maxUnsentStarts {
		for _, start := range w.advance(testRetry).Starts {
			assert.Equal(t, len(w.answerStart(start, StartNotSent).Commands), 0)
		}
	}
	assert.Equal(t, w.state.Runs("t")[taskA], anvilwork.Run(1))
}

// TestStopOfUnsentStart guards against sending a stop to a target that never got the run, and against
// keeping its resources until the target answers.
func TestStopOfUnsentStart(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartNotSent)
	w.tracker.StopRun("t", taskA)
	effects := w.advance(testRetry)
	assert.Equal(t, len(effects.Stops), 0)
	assert.Equal(t, len(effects.Commands), 1)
	assert.DeepEqual(t, effects.Commands[0].Unassign, &anvilwork.Unassign{Task: taskA, Run: 1})
}

// TestFirstCallFails guards against giving up the runs of a target at its first failed call, when this
// leader has not sent it a lease yet: the whole gang of such a run would be stopped and started anew.
func TestFirstCallFails(t *testing.T) {
	w := newWorld(t)
	w.place(taskA, 1)
	for range maxFailedFirstCalls - 1 {
		w.failPoll(w.takePoll())
		assert.Equal(t, len(w.advance(0).Commands), 0)
		w.now += 4 * testRetry
	}
	w.failPoll(w.takePoll())
	commands := w.advance(0).Commands
	assert.Equal(t, len(commands), 1)
	assert.Equal(t, len(commands[0].ExpireLease.Runs), 1)
}

// TestStartsInFlight guards against a leader that places nothing more because starts at targets that don't
// answer are counted, and against counting none.
func TestStartsInFlight(t *testing.T) {
	w := newWorld(t)
	order := w.placeAndStart(taskA, 1)
	assert.Equal(t, w.tracker.StartsInFlight(), 1)
	w.answerStart(order, StartUnanswered)
	w.advance(testRetry)
	assert.Equal(t, w.tracker.StartsInFlight(), 0)
}

// TestWithheldOrders guards against a leader that loses its quorum for a moment, and then takes all targets for
// silent because it has sent them nothing.
func TestWithheldOrders(t *testing.T) {
	w := newWorld(t)
	order := w.placeAndStart(taskA, 1)
	answer := Answer{Target: "t", Incarnation: 1, NotSent: true, Withheld: true}
	for range 2 * maxUnsentStarts {
		effects := w.tracker.HandleStartAnswer(w.now, StartAnswer{Answer: answer, Order: order, Verdict: StartNotSent})
		assert.Equal(t, len(effects.Commands), 0)
		starts := w.advance(testRetry).Starts
		assert.Equal(t, len(starts), 1)
		order = starts[0]
	}
	w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: answer, Order: w.takePoll()})
	assert.Assert(t, w.tracker.Usable(w.now, "t", 5000))
	assert.Equal(t, len(w.advance(testRetry-1).Polls), 0)
	assert.Equal(t, len(w.advance(1).Polls), 1)

	w.answerStart(order, StartAccepted)
	w.tracker.StopRun("t", taskA)
	stops := w.advance(1).Stops
	assert.Equal(t, len(stops), 1)
	w.tracker.HandleStopAnswer(w.now, StopAnswer{Answer: answer, Order: stops[0]})
	assert.Assert(t, w.tracker.Usable(w.now, "t", 5000))
	assert.Equal(t, len(w.advance(testRetry).Stops), 1, "the stop is sent again")
}
