package anvillead

import (
	"context"

	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvilconn"
)

// semaphore limits the calls of one kind that are in flight. Further calls wait, so that many orders at a
// time neither exhaust the connections nor delay each other beyond their timeouts.
type semaphore chan struct{}

// do runs a call once fewer than the limit are in flight.
func (s semaphore) do(call func()) {
	s <- struct{}{}
	defer func() { <-s }()
	call()
}

// callLimits are separate, so that stops and the starts of urgent jobs never wait for other orders.
type callLimits struct {
	polls, stops, urgentStarts, starts semaphore
}

func newCallLimits(budget anvilconn.Budget) callLimits {
	return callLimits{
		polls: make(semaphore, budget.Polls), stops: make(semaphore, budget.Stops),
		urgentStarts: make(semaphore, budget.UrgentStarts), starts: make(semaphore, budget.Starts),
	}
}

func (l *callLimits) forStart(order anvilorder.Start) semaphore {
	if order.Urgent {
		return l.urgentStarts
	}
	return l.starts
}

// sender sends the orders of one term. An order may have to wait for others. Meanwhile the
// term may have ended, this process may have been suspended, the capacity of the target may have shrunk, and its zone
// may have been evacuated, so that this is checked again right before the order is sent.
type sender struct {
	limits  callLimits
	calls   OutboundCalls
	leading func() bool
	// hasShrunk reports whether the capacity of a target has shrunk since it was as in the given record, or may
	// have, because the target hasn't announced itself for too long.
	hasShrunk func(anvilwork.Target) bool
	// evacuated reports whether the zone of a target is evacuated.
	evacuated func(anvilwork.Target) bool
}

// send makes a call once fewer than the limit are in flight, unless this process doesn't lead any more.
func (s *sender) send(limit semaphore, call func()) {
	limit.do(func() {
		if s.leading() {
			call()
		}
	})
}

func (s *sender) stop(order anvilorder.Stop) (answer anvilorder.StopAnswer) {
	answer = anvilorder.StopAnswer{Answer: withheld(order.Target), Order: order}
	s.send(s.limits.stops, func() { answer = s.calls.Stop(context.Background(), order) })
	return answer
}

func (s *sender) start(order anvilorder.Start) (answer anvilorder.StartAnswer) {
	answer = anvilorder.StartAnswer{Answer: withheld(order.Target), Order: order, Verdict: anvilorder.StartNotSent}
	s.send(s.limits.forStart(order), func() {
		if !s.hasShrunk(order.Target) && !s.evacuated(order.Target) {
			answer = s.calls.Start(context.Background(), order)
		}
	})
	return answer
}

func (s *sender) poll(order anvilorder.Poll) (answer anvilorder.PollAnswer) {
	answer = anvilorder.PollAnswer{Answer: withheld(order.Target), Order: order}
	s.send(s.limits.polls, func() { answer = s.calls.Poll(context.Background(), order) })
	return answer
}

// withheld returns the common part of the answer to an order that was not sent because this process doesn't
// lead any more, or because the target may have no room for the run any more or is in an evacuated zone.
func withheld(target anvilwork.Target) anvilorder.Answer {
	return anvilorder.Answer{Target: target.ID, Incarnation: target.Incarnation, NotSent: true, Withheld: true}
}
