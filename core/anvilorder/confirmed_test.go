package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
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
	w.announced(w.now, 0)
	assert.Assert(t, !w.tracker.Usable(w.now, "t", 5000), "it may still not be reached")
	w.answerPoll(w.takePoll(), 1, nil)
	assert.Assert(t, w.tracker.Usable(w.now, "t", 5000))
}

// TestEndedRunThatIsNotListed guards against a task that is never placed again, because its target has ended
// the run and dropped the end, while a copy of the start got no answer.
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

// TestStartAfterFailedCommit guards against a start that is sent again although the command that releases its
// run, whose commit failed by timeout, may still be applied.
func TestStartAfterFailedCommit(t *testing.T) {
	w := newWorld(t)
	commands := w.answerStart(w.placeAndStart(taskA, 1), StartRejected).Commands
	assert.Equal(t, len(commands), 1)
	w.tracker.CommitFailed()
	assert.Equal(t, len(w.advance(2000).Starts), 0)
	assert.Assert(t, w.takePoll().Deadline > 0, "the lease is extended all the same")
	assert.Assert(t, w.tracker.CommitUncertain())
	w.apply(commands...)
	w.tracker.CommitSucceeded()
	assert.Equal(t, len(w.advance(1).Starts), 0, "the run was released")
}

// TestOlderRunIsStopped guards against an earlier run of a task that goes on beside the assigned one, because
// a late start of it was carried out at the same target.
func TestOlderRunIsStopped(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 2), StartUnanswered)
	effects := w.answerPoll(w.takePoll(), 1, []Running{{Task: taskA, Run: 1}})
	assert.Equal(t, len(effects.Stops), 1)
	assert.Equal(t, effects.Stops[0].Run, anvilwork.Run(1))
}

// TestTwoRowsOfOneTask guards against an assigned run that counts as missing, because the list has a row of
// another run of its task.
func TestTwoRowsOfOneTask(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 2), StartAccepted)
	for range 3 {
		w.now += testRetry
		effects := w.answerPoll(w.takePoll(), 1, []Running{{Task: taskA, Run: 2}, {Task: taskA, Run: 1}})
		assert.Equal(t, len(effects.Commands), 0)
	}
}

// TestStartsAfterOneBurst guards against the starts of a gang that wait for a poll of their target, because
// one start of each of its members got no answer at the same time.
func TestStartsAfterOneBurst(t *testing.T) {
	w := newWorld(t)
	w.apply(anvilwork.Command{Submit: &anvilwork.Submit{
		Job: "g", Policy: anvilwork.QueuePolicy{Service: "s", Attempts: 3},
		Spec: anvilwork.Spec{Steps: []anvilwork.Step{{Count: 4, Need: anvilwork.Resources{GPU: 1}, Gang: true}}},
	}})
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	w.answerPoll(w.takePoll(), 1, []Running{{Task: taskA, Run: 1}})
	w.advance(1) // a poll with a wait of 2 s is in flight
	var a []anvilwork.Assignment
	for i := range 4 {
		a = append(a, anvilwork.Assignment{Task: anvilwork.Task{Job: "g", Index: i}, Run: 1, Target: "t", Incarnation: 1})
	}
	w.apply(anvilwork.Command{Place: &anvilwork.Place{Assignments: a}})
	w.tracker.AddPlacements(a)
	starts := w.advance(1).Starts
	assert.Equal(t, len(starts), 4)
	sent := w.now
	w.now += 600 // orderCallTimeout
	for _, s := range starts {
		w.answerStart(s, StartUnanswered)
	}
	assert.Equal(t, len(w.advance(testRetry).Starts), 4, "%d ms after the first ones", w.now-sent)
}

// TestStartIsNotRepeatedAtLeavingTarget guards against new work on a target seconds after it has said that it
// leaves, because an unanswered start is sent again.
func TestStartIsNotRepeatedAtLeavingTarget(t *testing.T) {
	w := newWorld(t)
	order := w.placeAndStart(taskA, 1)
	record := order.Target
	record.Leaving = true
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: record}})
	w.answerStart(order, StartUnanswered)
	effects := w.advance(testRetry)
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(effects.Stops), 1)
}

// TestBegunIsReportedOnce guards against a job that isn't known to have begun, whether the answer to the start or a
// list shows it, and against one that counts as begun when a start got no answer.
func TestBegunIsReportedOnce(t *testing.T) {
	w := newWorld(t)
	order := w.placeAndStart(taskA, 1)
	assert.Equal(t, len(w.answerStart(order, StartUnanswered).Begun), 0)
	list := []Running{{Task: taskA, Run: 1}}
	assert.DeepEqual(t, w.answerPoll(w.takePoll(), 1, list).Begun, []anvilid.JobID{"j"})
	assert.Equal(t, len(w.answerPoll(w.takePoll(), 1, list).Begun), 0)
	assert.DeepEqual(t, w.answerStart(w.placeAndStart(taskB, 1), StartAccepted).Begun, []anvilid.JobID{"j"})
	w.pendingPoll = nil
	w.elect(2)
	assert.Equal(t, len(w.answerPoll(w.takePoll(), 1, list).Begun), 1, "a new leader learns it again")
}
