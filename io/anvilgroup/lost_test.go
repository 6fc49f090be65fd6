package anvilgroup

import (
	"testing"
	"time"
)

// TestLostDisksBesideRemovedVoter guards against a group without a leader for good: a voter ends without leaving the group,
// although its successor has a vote, and two others lose their disks before the leader has noticed its silence. Three of
// the six voters have their disks.
func TestLostDisksBesideRemovedVoter(t *testing.T) {
	nodes := newTestNodes(t, 5)
	running := nodes.startGroup(6)
	running[1].stop()
	time.Sleep(300 * time.Millisecond)
	for _, lost := range []int{3, 4} {
		running[lost].stop()
	}
	for _, lost := range []int{3, 4} {
		running[lost] = nodes.start(lost, true)
	}
	rest := append(running[:1:1], running[2:]...)
	began := time.Now()
	leaderOf(t, rest...)
	t.Logf("a leader after %v", time.Since(began))
	for _, n := range rest {
		eventually(t, "all have a vote again", 20*time.Second, func() bool { return n.hasVote(5) })
	}
}
