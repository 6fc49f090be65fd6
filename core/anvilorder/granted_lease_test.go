package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
)

// TestLateCallsGiveLongestLease guards against placing a run again while a later incarnation of its target is at work on
// it: its clock restarts, so that the deadline in a late call gives it the longest lease that a target accepts, however
// short the granted one was.
func TestLateCallsGiveLongestLease(t *testing.T) {
	const longest = 10_000
	begin := func() *world {
		w := newWorld(t)
		w.tracker = New(1, w.now, Timing{MaxLease: longest, GrantedLease: testLease, PollWait: 2000, RetryInterval: testRetry})
		w.tracker.Sync(w.now, w.state)
		return w
	}
	t.Run("start", func(t *testing.T) {
		w := begin()
		order := w.placeAndStart(taskA, 1)
		sent := w.now
		assert.Assert(t, order.Deadline <= TargetClock(sent+testLease))
		answer := Answer{Target: "t", Incarnation: 1, Sent: sent, Received: w.now}
		w.tracker.HandleStartAnswer(w.now, StartAnswer{Answer: answer, Order: order, Verdict: StartUnanswered})
		idle := w.givenUpAfter(sent)
		assert.Assert(t, idle >= maxOrderDelay+longest, "%d ms: a later incarnation may still run it", idle)
	})
	t.Run("poll", func(t *testing.T) {
		w := begin()
		w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
		w.failPoll(w.takePoll())
		until := w.tracker.targets["t"].lateCallsUntil()
		w.beginIncarnation(2)
		ended := w.tracker.targets["t"].lease.certainlyEndedAt()
		assert.Assert(t, ended >= until+longest, "%d ms after the late poll", ended-until)
	})
	t.Run("run of a target that has died", func(t *testing.T) {
		w := begin()
		w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
		idle := w.givenUpAfter(w.now)
		assert.Assert(t, idle <= testLease+2*anvilclock.Second, "%d ms: the granted lease bounds it", idle)
	})
}
