package anvilwork

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
)

// TestRestoreLargeState guards against a state that can be stored and not be read again, so that no voter can
// start or catch up from its snapshot: the decoder's limits are lower than what the state may hold.
func TestRestoreLargeState(t *testing.T) {
	s := New()
	for i := range 140_000 {
		s.setTarget(&Target{ID: anvilid.TargetID(fmt.Sprint(i))})
	}
	s.setTarget(&Target{ID: "\xff", Labels: make([]string, 140_000)})
	data, err := s.Snapshot()
	assert.NilError(t, err)
	restored, err := Restore(data)
	assert.NilError(t, err)
	assert.Equal(t, len(restored.Targets()), 140_001)

	data, err = Encode(Batch{Commands: []Command{{Cancel: &Cancel{Job: "\xff"}}, {Cancel: &Cancel{Job: "j"}}}})
	assert.NilError(t, err)
	batch, err := Decode(data)
	assert.NilError(t, err)
	assert.Equal(t, batch.Commands[1].Cancel.Job, anvilid.JobID("j"))
}
