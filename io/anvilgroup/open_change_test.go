package anvilgroup

import (
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
	leader := leaderOf(t, running...)
	lost := []int{}
	for number := range 4 {
		if running[number] == leader {
			lost = append(lost, number)
		}
	}
	lost = append(lost, (lost[0]+1)%4)
	nodes.loseDisks(running, lost)
	time.Sleep(time.Second)
	leaderOf(t, running...)
}
