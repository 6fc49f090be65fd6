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

// TestForeignRecord guards against a target that is never used, because another writer announced a later
// incarnation of an unknown service before there was a configuration.
func TestForeignRecord(t *testing.T) {
	state := New()
	announce := func(target Target) Result {
		return state.Apply(1, Batch{Commands: []Command{{Announce: &Announce{Target: target}}}})[0]
	}
	own := Target{ID: "t", Incarnation: 1, Service: "s", Address: "127.0.0.1:1", Sequence: 9}
	assert.Equal(t, announce(Target{ID: "t", Incarnation: 2, Service: "odd", Address: "127.0.0.1:1", Sequence: 1}), Applied)
	assert.Equal(t, announce(own), Unchanged, "nothing tells yet which one is foreign")
	state.Apply(1, Batch{Commands: []Command{{Configure: &Config{Version: 1, Services: []Service{{Name: "s"}}}}}})
	assert.Equal(t, announce(own), Applied)
	record, _ := state.Target("t")
	assert.Equal(t, record.Incarnation, Incarnation(1))
	assert.Equal(t, announce(Target{ID: "t", Incarnation: 2, Service: "s", Address: "127.0.0.1:1"}), Applied)
	assert.Equal(t, announce(own), Unchanged)
}
