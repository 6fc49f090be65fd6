package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
)

// TestStartsExtendNoLease guards against runs of a dead target that are given up too late, because starts that were sent
// there before its first call without an answer extended its lease.
func TestStartsExtendNoLease(t *testing.T) {
	w := newWorld(t)
	w.tracker = New(1, w.now, Timing{MaxLease: testLease, PollWait: 1000, RetryInterval: testRetry})
	w.tracker.Sync(w.now, w.state)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	w.answerPoll(w.takePoll(), 1, []Running{{Task: taskA, Run: 1}})
	died := w.now
	w.advance(1)
	poll := w.takePoll()
	w.now = died + 1150
	w.place(taskB, 1)
	starts := w.advance(0).Starts
	assert.Equal(t, len(starts), 1)
	w.now = died + 1601
	w.failPoll(poll)
	w.now = died + 1750
	w.tracker.HandleStartAnswer(w.now, StartAnswer{Answer: Answer{Target: "t", Incarnation: 1, Sent: died + 1150, Received: w.now, Bound: true}, Order: starts[0], Verdict: StartUnanswered})
	idle := w.givenUpAfter(died)
	assert.Assert(t, idle <= 7*anvilclock.Second, "%d ms", idle)
}
