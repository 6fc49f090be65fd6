package anvilraft

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
)

// TestElectionState guards against a group without a leader whose state doesn't tell that the list before the latest one is
// what lacks a quorum: its change isn't known to be committed, and one voter of it is marked and another one lost.
func TestElectionState(t *testing.T) {
	t.Parallel()
	voter := func(name string) VoterID { return VoterID{anvilid.InstanceID(name), "1"} }
	lists := [][]string{{"a", "b", "c", "d", "f"}, {"a", "b", "c", "e", "g"}}
	node, now := newCandidate(lists, false, 1, "d")
	node.Step(now, StorageLost{voter("b")})
	before := node.ElectionState().Before
	assert.Equal(t, before.Needed, 3)
	assert.DeepEqual(t, [][]VoterID{before.Marked, before.Lost}, [][]VoterID{{voter("d")}, {voter("b")}})
	known, _ := newCandidate(lists, true, 0, "d")
	assert.Equal(t, len(known.ElectionState().Before.Voters), 0, "a committed change leaves one list")
}
