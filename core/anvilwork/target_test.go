package anvilwork

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSequenceOutOfRange guards against an announcement of a broken writer whose sequence number no target can
// reach, so that all announcements of the target itself count as older.
func TestSequenceOutOfRange(t *testing.T) {
	target := Target{ID: "t", Incarnation: 1, Service: "s", Address: "10.0.0.1:80"}
	for _, sequence := range []uint64{0, 1, maxSequence} {
		target.Sequence = sequence
		assert.NilError(t, target.Check())
	}
	for _, sequence := range []uint64{maxSequence + 1, math.MaxInt64, math.MaxUint64} {
		target.Sequence = sequence
		assert.ErrorIs(t, target.Check(), ErrTarget)
	}
}
