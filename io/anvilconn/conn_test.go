package anvilconn

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against limits that together exceed the descriptors of the process, and against a purpose that
// gets none.
func TestDivide(t *testing.T) {
	for _, limit := range []int{0, 100, 1024, 4096, 4324, 65_536} {
		b := Divide(limit)
		assert.Assert(t, b.Sum() <= max(limit-reservedDescriptors, minDivided), "limit %d: %+v", limit, b)
		for _, share := range []int{b.Inbound, b.Internal, b.Polls, b.Stops, b.UrgentStarts, b.Starts, b.Idle} {
			assert.Assert(t, share >= 16, "limit %d: %+v", limit, b)
		}
	}
}
