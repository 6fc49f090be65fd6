package anvilgroup

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilraft"
)

// TestLossWhileSuccessorJoins guards against a group that has no leader for good when two voters lose their disks while the change is open by
// which the successor of a removed instance, at another address, takes its place.
func TestLossWhileSuccessorJoins(t *testing.T) {
	t.Parallel()
	nodes := newTestNodes(t, 5)
	running := nodes.startGroup(5)
	nodes.syncIn.Store(100)
	running[4].stop()
	running[4] = nodes.start(5, true)
	eventually(t, "the successor has its vote in its own log", 20*time.Second, func() bool { return running[4].hasVote(5) })
	nodes.loseLeader(running)
}

// TestLossAfterSuccessorAndDisk guards against a group that has no leader for good when two voters lose their disks catchUp after the successor
// of a removed instance was started, and another voter lost its disk at the time of the removal.
func TestLossAfterSuccessorAndDisk(t *testing.T) {
	for _, syncIn := range []int64{650, 800} {
		for _, removesLeader := range []bool{false, true} {
			t.Run(fmt.Sprint(syncIn, removesLeader), func(t *testing.T) {
				t.Parallel()
				nodes := newTestNodes(t, 5)
				running := nodes.startGroup(5)
				nodes.syncIn.Store(syncIn)
				leader := leaderOf(t, running...)
				removed := 0
				for (running[removed] == leader) != removesLeader {
					removed++
				}
				emptied := (removed + 1) % 5
				for running[emptied] == leader {
					emptied = (emptied + 1) % 5
				}
				go running[removed].stop()
				nodes.loseDisks(running, []int{emptied})
				back := time.Now()
				running[removed] = nodes.start(5, true)
				time.Sleep(time.Until(back.Add(catchUp + contact)))
				t.Logf("votes at the loss: %v %v", running[removed].hasVote(5), running[emptied].hasVote(5))
				lost := []int{}
				for number := range 5 {
					if number != removed && number != emptied && len(lost) < 2 {
						lost = append(lost, number)
					}
				}
				nodes.loseDisks(running, lost)
				began := time.Now()
				time.Sleep(time.Second)
				leaderOf(t, running...)
				t.Logf("a leader after %v", time.Since(began))
			})
		}
	}
}

// TestMarkIsTakenBack guards against a voter that never counts again because it was marked as lost while it was only silent.
func TestMarkIsTakenBack(t *testing.T) {
	t.Parallel()
	nodes := newTestNodes(t, 5)
	running := nodes.startGroup(5)
	leader := leaderOf(t, running...)
	silent := running[0]
	if silent == leader {
		silent = running[1]
	}
	assert.NilError(t, leader.Voter.ChangeVoters(t.Context(), anvilraft.ChangeVoters{Lost: []anvilraft.VoterID{silent.ID()}}))
	eventually(t, "the voter counts again", 10*time.Second, func() bool { return !leader.Voter.Status().Members.IsLost(silent.ID()) })
	assert.Assert(t, leader.Voter.Status().Members.IsVoter(silent.ID()))
}
