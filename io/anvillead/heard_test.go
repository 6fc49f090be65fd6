package anvillead

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
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

// TestOutdatedKeepalive guards against a foreign capacity with a very high sequence number that counts as fresh
// because the announcements of the target itself, which the state doesn't take, are keepalives.
func TestOutdatedKeepalive(t *testing.T) {
	l := &Leader{state: anvilwork.New(), clock: anvilclock.Boot(), keepalives: make(chan keepalive, 4)}
	own, foreign := anvilwork.Target{ID: "t", Incarnation: 1, Sequence: 7}, anvilwork.Target{ID: "t", Incarnation: 1, Sequence: 1 << 50}
	own.Resources.GPU, foreign.Resources.GPU = 4, 8
	l.state.Apply(1, anvilwork.Batch{Commands: []anvilwork.Command{{Announce: &anvilwork.Announce{Target: own}}}})
	l.keepAlive(own)
	assert.Equal(t, len(l.keepalives), 1, "it confirms the record")
	l.state.Apply(2, anvilwork.Batch{Commands: []anvilwork.Command{{Announce: &anvilwork.Announce{Target: foreign}}}})
	own.Sequence++
	l.keepAlive(own)
	assert.Equal(t, len(l.keepalives), 1, "the state has 8 accelerators, the target 4")
}
