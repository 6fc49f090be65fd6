package anvillead

import (
	"anvilshunt/core/anvilorder"
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
