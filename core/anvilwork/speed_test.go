package anvilwork

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
)

// TestSpeedBound guards against a table of speeds that grows with each machine that was ever part of the
// deployment, and against dropping the speeds of machines that are still there.
func TestSpeedBound(t *testing.T) {
	s := New()
	s.setTarget(&Target{ID: "t", Machine: "here"})
	speeds := []MachineSpeed{{Machine: "here", Level: 5}}
	for i := range maxSpeeds - 1 {
		speeds = append(speeds, MachineSpeed{Machine: anvilid.MachineID(fmt.Sprint("gone", i)), Level: -3})
	}
	assert.Equal(t, s.recordSpeeds(RecordSpeeds{Speeds: speeds}), Applied)
	assert.Equal(t, len(s.speeds), maxSpeeds)
	assert.Equal(t, s.recordSpeeds(RecordSpeeds{Speeds: speeds}), Unchanged)
	assert.Equal(t, s.recordSpeeds(RecordSpeeds{Speeds: []MachineSpeed{{Machine: "new", Level: 1}}}), Applied)
	assert.Equal(t, len(s.speeds), 2)
	speed, ok := s.SpeedOf("here")
	assert.Assert(t, ok && speed.Level == 5)
}
