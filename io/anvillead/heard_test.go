package anvillead

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// TestHeardAnnouncements guards against an old announcement that counts because the later ones changed nothing
// and were not committed: the target would have grown again for the time until its next one.
func TestHeardAnnouncements(t *testing.T) {
	h := heardAnnouncements{}
	hear := func(incarnation anvilwork.Incarnation, sequence uint64) bool {
		return h.record(anvilwork.Target{ID: "t", Incarnation: incarnation, Sequence: sequence})
	}
	assert.Assert(t, !hear(1, 3))
	assert.Assert(t, !hear(1, 9))
	assert.Assert(t, hear(1, 5))
	assert.Assert(t, !hear(1, 9), "the target has sent it again, because it got no answer")
	assert.Assert(t, !hear(2, 1), "the next incarnation counts anew")
	assert.Assert(t, hear(1, 10))
	assert.Assert(t, !hear(2, 2))
}

// TestHeardAnnouncementsOfGoneTargets guards against a leader whose memory grows with each target that was ever there.
func TestHeardAnnouncementsOfGoneTargets(t *testing.T) {
	h, state := heardAnnouncements{}, anvilwork.New()
	state.Apply(1, anvilwork.Batch{Commands: []anvilwork.Command{{Announce: &anvilwork.Announce{Target: anvilwork.Target{ID: "t0", Sequence: 7}}}}})
	for i := range 10_000 {
		h.prune(state)
		h.record(anvilwork.Target{ID: anvilid.TargetID(fmt.Sprint("t", i)), Sequence: 7})
	}
	assert.Assert(t, len(h) <= 2*len(state.Targets())+maxForgotten+1, "%d are left", len(h))
	assert.Assert(t, h.record(anvilwork.Target{ID: "t0", Sequence: 6}), "a known target isn't forgotten")
}
