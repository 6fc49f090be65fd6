package anvillead

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvilconn"
)

// TestUrgentOrdersDoNotWait guards against stops and starts of urgent jobs that wait behind the starts of
// many other jobs, and against more calls in flight than there are connections for them.
func TestUrgentOrdersDoNotWait(t *testing.T) {
	const limit = 3
	l := newCallLimits(anvilconn.Budget{Polls: 1, Stops: 1, UrgentStarts: 1, Starts: limit})
	finish, begun := make(chan struct{}), make(chan struct{})
	var inFlight, most atomic.Int64
	for range 4 * limit {
		go l.forStart(anvilorder.Start{}).do(func() {
			most.Store(max(most.Load(), inFlight.Add(1)))
			begun <- struct{}{}
			<-finish
			inFlight.Add(-1)
		})
	}
	for range limit {
		<-begun
	}
	urgent, stopped := false, false
	l.forStart(anvilorder.Start{Urgent: true}).do(func() { urgent = true })
	l.stops.do(func() { stopped = true })
	assert.Assert(t, urgent && stopped)
	close(finish)
	for range 3 * limit {
		<-begun
	}
	assert.Assert(t, most.Load() <= limit, "%d calls were in flight", most.Load())
}

// TestPausedSender guards against a leader that was suspended while an order waited, and sends it after
// another leader was elected: both would give orders for the same target.
func TestPausedSender(t *testing.T) {
	var leads atomic.Bool
	leads.Store(true)
	sent := 0
	no := func(anvilwork.Target) bool { return false }
	s := sender{limits: newCallLimits(anvilconn.Budget{Polls: 1, Stops: 1, UrgentStarts: 1, Starts: 1}), leading: leads.Load, hasShrunk: no, evacuated: no, calls: OutboundCalls{
		Start: func(context.Context, anvilorder.Start) anvilorder.StartAnswer {
			sent++
			return anvilorder.StartAnswer{Verdict: anvilorder.StartAccepted}
		},
		Stop: func(context.Context, anvilorder.Stop) anvilorder.StopAnswer {
			sent++
			return anvilorder.StopAnswer{Done: true}
		},
		Poll: func(context.Context, anvilorder.Poll) anvilorder.PollAnswer {
			sent++
			return anvilorder.PollAnswer{Done: true}
		},
	}}
	assert.Equal(t, s.start(anvilorder.Start{}).Verdict, anvilorder.StartAccepted)
	s.limits.starts <- struct{}{} // the limit is reached, so that the next start waits
	answer := make(chan anvilorder.StartAnswer)
	go func() { answer <- s.start(anvilorder.Start{}) }()
	leads.Store(false)
	<-s.limits.starts
	withheld := <-answer
	assert.Assert(t, withheld.Verdict == anvilorder.StartNotSent && withheld.Withheld)
	stopped, polled := s.stop(anvilorder.Stop{}), s.poll(anvilorder.Poll{})
	assert.Assert(t, stopped.Withheld && !stopped.Done && polled.Withheld && !polled.Done)
	assert.Equal(t, sent, 1)
}

// TestStartWaitsForEvacuation guards against a start that has waited for others while the zone of its target was
// evacuated, and is sent all the same.
func TestStartWaitsForEvacuation(t *testing.T) {
	s := sender{
		limits:  newCallLimits(anvilconn.Budget{Polls: 1, Stops: 1, UrgentStarts: 1, Starts: 1}),
		leading: func() bool { return true }, hasShrunk: func(anvilwork.Target) bool { return false },
		evacuated: func(target anvilwork.Target) bool { return target.Zone == "east" },
		calls: OutboundCalls{Start: func(_ context.Context, order anvilorder.Start) anvilorder.StartAnswer {
			return anvilorder.StartAnswer{Order: order, Verdict: anvilorder.StartAccepted}
		}},
	}
	withheld := s.start(anvilorder.Start{Target: anvilwork.Target{Zone: "east"}})
	assert.Assert(t, withheld.Verdict == anvilorder.StartNotSent && withheld.Withheld)
	assert.Equal(t, s.start(anvilorder.Start{Target: anvilwork.Target{Zone: "west"}}).Verdict, anvilorder.StartAccepted)
}
