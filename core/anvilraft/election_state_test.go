package anvilraft

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
)

// TestElectionState guards against a group without a leader whose state doesn't tell that the list before the latest one is
// what lacks a quorum: its change isn't known to be committed, and one voter of it is marked and two are lost.
func TestElectionState(t *testing.T) {
	t.Parallel()
	voter := func(name string) VoterID { return VoterID{anvilid.InstanceID(name), "1"} }
	lists := [][]string{{"a", "b", "c", "d", "f"}, {"a", "b", "c", "e", "g"}}
	node, now := newCandidate(lists, false, 1, "d")
	for _, lost := range []string{"b", "c"} {
		node.Step(now, StorageLost{voter(lost)})
	}
	state := node.ElectionState()
	assert.DeepEqual(t, state.Before.Marked, []VoterID{voter("d")})
	assert.DeepEqual(t, state.Before.Lost, []VoterID{voter("b"), voter("c")})
	assert.Equal(t, state.Before.Needed, 3)
	assert.Equal(t, len(state.Before.Voters), 5)
	assert.DeepEqual(t, state.Latest.Lost, []VoterID{voter("b"), voter("c")})
	assert.Equal(t, state.Latest.Needed, 3)
	known, _ := newCandidate(lists, true, 0, "d")
	assert.Equal(t, len(known.ElectionState().Before.Voters), 0, "a committed change leaves one list")
	assert.Equal(t, known.ElectionState().Campaigns, 1)
}
