package anvilwork

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnorderedAnnouncement guards against a capacity of another writer with a very high sequence number that
// stays in the state although the leader has found that the number doesn't count any more.
func TestUnorderedAnnouncement(t *testing.T) {
	s := New()
	announce := func(sequence uint64, cpu Millicores) Result {
		target := Target{ID: "t", Incarnation: 1, Sequence: sequence, Resources: Resources{CPU: cpu}}
		return s.Apply(1, Batch{Commands: []Command{{Announce: &Announce{Target: target}}}})[0]
	}
	assert.Equal(t, announce(maxSequence, 8000), Applied)
	assert.Equal(t, announce(8, 4000), Unchanged)
	assert.Equal(t, announce(UnorderedSequence, 4000), Applied)
	assert.Equal(t, announce(9, 4000), Unchanged)
	assert.Equal(t, announce(10, 2000), Applied)
	assert.Equal(t, announce(9, 4000), Unchanged, "the numbers count again")
	known, _ := s.Target("t")
	assert.Equal(t, known.Resources.CPU, Millicores(2000))
	invalid := Target{ID: "t", Incarnation: 1, Service: "s", Address: "10.0.0.1:80", Sequence: UnorderedSequence}
	assert.ErrorIs(t, invalid.Check(), ErrTarget, "only the leader may set it")
}
