package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestRepeatedStartOfRunningRun guards against placing a run again because the target rejected a repeated
// start of it, or the repetition couldn't be sent, after a list had shown that the run is at work.
func TestRepeatedStartOfRunningRun(t *testing.T) {
	for _, verdict := range []Verdict{StartRejected, StartNotSent, StartTicketInvalid, StartUnanswered, StartFenced, StartLeaseExpired, StartRunEnded} {
		w := newWorld(t)
		order := w.placeAndStart(taskA, 1)
		w.answerStart(order, StartUnanswered)
		for range maxUnsentStarts {
			starts := w.advance(testRetry).Starts
			if len(starts) > 0 {
				order = starts[0]
			}
			w.answerPoll(w.takePoll(), 1, []Running{{Task: taskA, Run: 1}})
			assert.Equal(t, len(w.answerStart(order, verdict).Commands), 0, "verdict %d", verdict)
		}
		assert.Equal(t, len(w.advance(testRetry).Starts), 0, "verdict %d", verdict)
		assert.Assert(t, w.tracker.targets["t"].runs[taskA].phase == running)
		assert.Assert(t, !w.tracker.Stopping("t", taskA))
	}
}

// TestSilentTargetIsUsedAgain guards against a target that gets no work for the rest of the term because it has
// once left a call unanswered and has no runs, for which it would be polled.
func TestSilentTargetIsUsedAgain(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	for len(w.state.Runs("t")) > 0 {
		w.failPoll(w.takePoll())
		for range 5 {
			w.apply(w.advance(testRetry).Commands...)
		}
	}
	assert.Assert(t, !w.tracker.Usable(w.now, "t", 5000))
	w.pendingPoll = nil
	assert.Equal(t, len(w.advance(testLease).Polls), 0, "a target that is silent and has no runs isn't polled")
	w.tracker.RecordAnnouncement(w.now, "t", 1)
	assert.Assert(t, !w.tracker.Usable(w.now, "t", 5000), "it may still not be reached")
	w.answerPoll(w.takePoll(), 1, nil)
	assert.Assert(t, w.tracker.Usable(w.now, "t", 5000))
}

// TestEndedRunThatIsNotListed guards against a task that is never placed again, because its target has ended the run
// and dropped the end, while a copy of the start got no answer.
func TestEndedRunThatIsNotListed(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartUnanswered)
	w.answerStart(w.advance(testRetry).Starts[0], StartRunEnded)
	for range 2 {
		w.now += 10
		w.apply(w.answerPoll(w.takePoll(), 1, nil).Commands...)
	}
	assert.Equal(t, len(w.state.Runs("t")), 0)
}
