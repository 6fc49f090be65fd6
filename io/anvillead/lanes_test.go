package anvillead

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilorder"
	"anvilshunt/io/anvilconn"
)

// TestUrgentOrdersDoNotWait guards against stops and starts of urgent jobs that wait behind the starts of a
// crest, and against more calls in flight than there are connections for them.
func TestUrgentOrdersDoNotWait(t *testing.T) {
	const limit = 3
	l := newLanes(anvilconn.Budget{Polls: 1, Stops: 1, UrgentStarts: 1, Starts: limit})
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
