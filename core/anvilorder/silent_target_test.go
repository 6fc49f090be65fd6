package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
)

// givenUpAfter returns how long after the given time the run of taskA is given up, while its target answers nothing.
func (w *world) givenUpAfter(since anvilclock.Millis) anvilclock.Millis {
	for w.now < since+2*(maxOrderDelay+testLease) {
		effects := w.advance(testRetry / 4)
		for _, start := range effects.Starts {
			w.answerStart(start, StartNotSent)
		}
		if w.pendingPoll != nil {
			w.failPoll(w.takePoll())
		}
		for _, command := range effects.Commands {
			if command.ExpireLease != nil || command.Unassign != nil {
				return w.now - since
			}
		}
	}
	w.t.Fatal("the run is never given up")
	return 0
}

// TestUnansweredStartOfDeadTarget guards against a job of which nothing runs for 12 s and a lease, because a start got
// no answer from a target that has died for good.
func TestUnansweredStartOfDeadTarget(t *testing.T) {
	for _, c := range []struct {
		name  string
		bound bool
		least anvilclock.Millis
	}{
		{"on a connection to the incarnation", true, testLease},
		{"on a new connection, which a later incarnation may have accepted", false, maxOrderDelay + testLease},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			order := w.placeAndStart(taskA, 1)
			sent := w.now
			w.now += 600
			answer := Answer{Target: "t", Incarnation: 1, Sent: sent, Received: w.now, Bound: c.bound}
			w.tracker.HandleStartAnswer(w.now, StartAnswer{Answer: answer, Order: order, Verdict: StartUnanswered})
			idle := w.givenUpAfter(sent)
			assert.Assert(t, idle >= c.least, "%d ms: the target may still run it", idle)
			assert.Assert(t, idle <= c.least+500, "%d ms", idle)
		})
	}
}
