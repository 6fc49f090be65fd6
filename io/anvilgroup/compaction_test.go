package anvilgroup

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCommitDuringCompaction guards against a group that commits nothing for many syncs, because all voters compact
// their logs at the same index and make the syncs of that one after another.
func TestCommitDuringCompaction(t *testing.T) {
	const syncIn = 500 * time.Millisecond
	nodes := newTestNodes(t, 3)
	running := []*testNode{nodes.start(0, false), nodes.start(1, false), nodes.start(2, false)}
	leader := leaderOf(t, running...)
	fill(t, leader, 2*compactAfter-5)
	nodes.syncIn.Store(syncIn.Milliseconds())
	var took []time.Duration
	for range 14 {
		began := time.Now()
		_, _, err := leader.Voter.Propose(t.Context(), []byte{1})
		assert.NilError(t, err)
		took = append(took, time.Since(began).Round(10*time.Millisecond))
	}
	t.Logf("commits took %v", took)
	slices.Sort(took)
	assert.Assert(t, took[len(took)-1] <= 5*syncIn, "longest commit %v, median %v", took[len(took)-1], took[len(took)/2])
}
