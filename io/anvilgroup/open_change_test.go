package anvilgroup

import (
	"slices"
	"testing"
	"time"
)

// TestLossWhileSeatIsOpen guards against a group that has no leader for good when two voters lose their disks before the others
// know that the vote of a replaced storage is committed: the leader that knew it is one of the two.
func TestLossWhileSeatIsOpen(t *testing.T) {
	t.Parallel()
	nodes := newTestNodes(t, 5)
	running := nodes.startGroup(5)
	nodes.syncIn.Store(100)
	nodes.loseDisks(running, []int{4})
	eventually(t, "the emptied voter has its vote in its own log", 10*time.Second, func() bool { return running[4].hasVote(5) })
	nodes.loseLeader(running)
}

// loseLeader lets the leader and another of the first four voters lose their disks, and waits for a leader. If the fifth one leads, the
// first two lose theirs.
func (n *testNodes) loseLeader(running []*testNode) {
	first := max(0, slices.Index(running[:4], leaderOf(n.t, running...)))
	n.loseDisks(running, []int{first, (first + 1) % 4})
	time.Sleep(time.Second)
	leaderOf(n.t, running...)
}
