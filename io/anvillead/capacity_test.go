package anvillead

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvillock"
	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvilconn"
)

// TestTargetShrinksWhileStartWaits guards against sending a start that has waited for others, although the
// capacity of its target has shrunk in the meantime.
func TestTargetShrinksWhileStartWaits(t *testing.T) {
	l := &Leader{shared: anvillock.New(shared{state: anvilwork.New()})}
	announce := func(incarnation anvilwork.Incarnation, resources anvilwork.Resources) anvilwork.Target {
		target := anvilwork.Target{ID: "t", Incarnation: incarnation, Resources: resources}
		l.applyNow(1, anvilwork.Command{Announce: &anvilwork.Announce{Target: target}})
		return target
	}
	s := sender{
		limits:  newCallLimits(anvilconn.Budget{Polls: 1, Stops: 1, UrgentStarts: 1, Starts: 1}),
		leading: func() bool { return true }, hasShrunk: l.hasShrunk, evacuated: l.zoneEvacuated, calls: OutboundCalls{
			Start: func(context.Context, anvilorder.Start) anvilorder.StartAnswer {
				return anvilorder.StartAnswer{Verdict: anvilorder.StartAccepted}
			},
		},
	}
	large := announce(1, anvilwork.Resources{CPU: 8000, GPU: 4})
	assert.Equal(t, s.start(anvilorder.Start{Target: large}).Verdict, anvilorder.StartAccepted)
	s.limits.starts <- struct{}{} // the limit is reached, so that the next start waits
	answer := make(chan anvilorder.StartAnswer)
	go func() { answer <- s.start(anvilorder.Start{Target: large}) }()
	small := announce(1, anvilwork.Resources{CPU: 8000, GPU: 2})
	<-s.limits.starts
	withheld := <-answer
	assert.Assert(t, withheld.Withheld && withheld.Verdict == anvilorder.StartNotSent)
	assert.Equal(t, s.start(anvilorder.Start{Target: small}).Verdict, anvilorder.StartAccepted)
	announce(1, anvilwork.Resources{CPU: 9000, GPU: 2})
	assert.Equal(t, s.start(anvilorder.Start{Target: small}).Verdict, anvilorder.StartAccepted, "it has grown")
	announce(2, anvilwork.Resources{CPU: 9000, GPU: 2})
	assert.Assert(t, s.start(anvilorder.Start{Target: small}).Withheld, "the next incarnation might carry it out")
}

// TestTargetFallsSilentWhileStartWaits guards against sending a start that has waited for others for so long
// that the target may have shrunk without being heard.
func TestTargetFallsSilentWhileStartWaits(t *testing.T) {
	a := newAnnouncer(t)
	a.announce(1, 4)
	target := a.record()
	s := sender{
		limits:  newCallLimits(anvilconn.Budget{Polls: 1, Stops: 1, UrgentStarts: 1, Starts: 1}),
		leading: func() bool { return true }, hasShrunk: a.leader.hasShrunk, evacuated: a.leader.zoneEvacuated, calls: OutboundCalls{
			Start: func(context.Context, anvilorder.Start) anvilorder.StartAnswer {
				return anvilorder.StartAnswer{Verdict: anvilorder.StartAccepted}
			},
		},
	}
	a.clock.Advance(a.leader.bounds.Orders.MaxAnnouncementAge)
	assert.Equal(t, s.start(anvilorder.Start{Target: target}).Verdict, anvilorder.StartAccepted)
	s.limits.starts <- struct{}{} // the limit is reached, so that the next start waits
	answer := make(chan anvilorder.StartAnswer)
	go func() { answer <- s.start(anvilorder.Start{Target: target}) }()
	a.clock.Advance(1)
	<-s.limits.starts
	withheld := <-answer
	assert.Assert(t, withheld.Withheld && withheld.Verdict == anvilorder.StartNotSent)
	a.announce(2, 4)
	assert.Equal(t, s.start(anvilorder.Start{Target: target}).Verdict, anvilorder.StartAccepted)
	a.clock.Advance(a.leader.bounds.Orders.MaxAnnouncementAge + 1)
	a.forget()
	assert.Equal(t, s.start(anvilorder.Start{Target: target}).Verdict, anvilorder.StartAccepted, "a new leader goes by the age of the state")
}

// TestTermEvidence guards against a new leader that takes the changes of a leader which led for a moment for a sign
// that the announcements of all targets were heard until then, and starts a run on a target that has shrunk.
func TestTermEvidence(t *testing.T) {
	const interval = 1500 * anvilclock.Millisecond
	var e termEvidence
	e.applied(1, 10_000, interval)
	assert.Equal(t, e.heardAt, anvilclock.Millis(0), "nothing is known of the time before")
	e.applied(1, 10_000+minHeardIntervals*interval, interval)
	assert.Equal(t, e.heardAt, 10_000+(minHeardIntervals-1)*interval)
	e.applied(1, 20_000, interval)
	assert.Equal(t, e.heardAt, 20_000-interval)
	e.applied(2, 24_000, interval)
	e.applied(2, 24_500, interval)
	e.applied(3, 25_000, interval)
	assert.Equal(t, e.heardAt, 20_000-interval, "the leaders of terms 2 and 3 may have heard no target")
}
