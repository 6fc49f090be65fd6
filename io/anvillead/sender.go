package anvillead

import (
	"context"

	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvilconn"
)

// lane limits the calls of one kind that are in flight. A call waits until its lane has room, so that
// the orders of a crest neither exhaust the connections nor delay each other beyond their timeouts.
type lane chan struct{}

// do runs a call once the lane has room.
func (l lane) do(call func()) {
	l <- struct{}{}
	defer func() { <-l }()
	call()
}

// lanes are separate, so that stops and the starts of urgent jobs never wait for other orders.
type lanes struct {
	polls, stops, urgentStarts, starts lane
}

func newLanes(budget anvilconn.Budget) lanes {
	return lanes{
		polls: make(lane, budget.Polls), stops: make(lane, budget.Stops),
		urgentStarts: make(lane, budget.UrgentStarts), starts: make(lane, budget.Starts),
	}
}

func (l *lanes) forStart(order anvilorder.Start) lane {
	if order.Urgent {
		return l.urgentStarts
	}
	return l.starts
}

// sender sends the orders of one term. Each call waits until the lane of the order has room. Meanwhile the
// term may have ended, and this process may have been suspended, so that the leadership is checked again
// right before the order is sent.
type sender struct {
	lanes   lanes
	calls   OutboundCalls
	leading func() bool
}

func (s *sender) stop(order anvilorder.Stop) (answer anvilorder.StopAnswer) {
	answer = anvilorder.StopAnswer{Answer: withheld(order.Target), Order: order}
	s.lanes.stops.do(func() {
		if s.leading() {
			answer = s.calls.Stop(context.Background(), order)
		}
	})
	return answer
}

func (s *sender) start(order anvilorder.Start) (answer anvilorder.StartAnswer) {
	answer = anvilorder.StartAnswer{Answer: withheld(order.Target), Order: order, Verdict: anvilorder.StartNotSent}
	s.lanes.forStart(order).do(func() {
		if s.leading() {
			answer = s.calls.Start(context.Background(), order)
		}
	})
	return answer
}

func (s *sender) poll(order anvilorder.Poll) (answer anvilorder.PollAnswer) {
	answer = anvilorder.PollAnswer{Answer: withheld(order.Target), Order: order}
	s.lanes.polls.do(func() {
		if s.leading() {
			answer = s.calls.Poll(context.Background(), order)
		}
	})
	return answer
}

// withheld returns the common part of the answer to an order that was not sent because this process doesn't
// lead any more.
func withheld(target anvilwork.Target) anvilorder.Answer {
	return anvilorder.Answer{Target: target.ID, Incarnation: target.Incarnation, NotSent: true, Withheld: true}
}
