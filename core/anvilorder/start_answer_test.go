package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
)

// TestStartAwaitsAnswer guards against a start at a target that has died since its latest announcement: without an
// answer, the next run of the task waits for the lease of the first one.
func TestStartAwaitsAnswer(t *testing.T) {
	w := newWorld(t)
	w.learnClock()
	w.now += 2000 + testRetry + 1
	w.announced(w.now, TargetClock(w.now))
	w.place(taskA, 1)
	placed := w.now
	assert.Equal(t, len(w.advance(0).Starts), 0)
	assert.Equal(t, w.pendingPoll.Wait, anvilclock.Millis(0), "the target has to answer at once")
	idle := w.givenUpAfter(placed)
	assert.Assert(t, idle <= 2*anvilclock.Second, "withdrawn after %d ms", idle)
}

// TestStartAfterAnswer guards against a start that is never sent, because it waits for an answer.
func TestStartAfterAnswer(t *testing.T) {
	w := newWorld(t)
	w.learnClock()
	w.now += 2000 + testRetry + 1
	w.announced(w.now, TargetClock(w.now))
	w.place(taskA, 1)
	w.advance(0)
	w.answerPoll(w.takePoll(), 1, nil)
	assert.Equal(t, len(w.advance(0).Starts), 1)
}

// TestNewLeaderHearsTargetsFirst guards against a leader that places runs on targets which have died before its
// election: it asks all targets at once, and uses those that answer or announce themselves.
func TestNewLeaderHearsTargetsFirst(t *testing.T) {
	for name, hear := range map[string]func(*world){
		"answer":       func(w *world) { w.answerPoll(w.takePoll(), 1, nil) },
		"announcement": func(w *world) { w.announced(w.now, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.elect(2)
			assert.Assert(t, !w.tracker.Usable(w.now, "t", testLease))
			assert.Equal(t, len(w.advance(0).Polls), 1)
			assert.Equal(t, w.pendingPoll.Wait, anvilclock.Millis(0))
			hear(w)
			assert.Assert(t, w.tracker.Usable(w.now, "t", testLease))
		})
	}
}

// TestWaitingStartExtendsNoLease guards against runs on a dead target that are given up too late, because starts that
// waited for an answer and were never sent counted as extensions of its lease.
func TestWaitingStartExtendsNoLease(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	w.advance(1)
	poll := w.takePoll() // in flight; the target has died
	ended := w.tracker.targets["t"].lease.certainlyEndedAt()
	w.now += poll.Wait + testRetry + 1
	w.place(taskB, 1)
	assert.Equal(t, len(w.advance(0).Starts), 0)
	assert.Equal(t, w.tracker.targets["t"].lease.certainlyEndedAt(), ended)
}

// TestWithheldStartAfterAnswer guards against a start that waits for one more answer of a sound target, because a copy
// of it that wasn't sent, for want of a connection, counts as sent after the answer.
func TestWithheldStartAfterAnswer(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartUnanswered)
	poll := w.takePoll()
	starts := w.advance(testRetry).Starts
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].OnlyBound, "the target has answered nothing since the first copy")
	w.now += 10
	answer := PollAnswer{Answer: w.answer(w.now-50, w.now-20), Order: poll, Done: true, Complete: true}
	w.tracker.HandlePollAnswer(w.now, answer) // it arrived before the second copy, and is handled only now
	withheld := Answer{Target: "t", Incarnation: 1, Sent: w.now, Received: w.now, NotSent: true, Withheld: true}
	w.tracker.HandleStartAnswer(w.now, StartAnswer{Answer: withheld, Order: starts[0], Verdict: StartNotSent})
	starts = w.advance(testRetry).Starts
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, !starts[0].OnlyBound)
}
