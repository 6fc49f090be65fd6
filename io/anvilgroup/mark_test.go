package anvilgroup

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// successorSync is by how much longer a sync of the successor takes.
const successorSync = 1500 * time.Millisecond

// TestLossWhileSilentVoterIsMarked guards against a group that has no leader for good because a voter that was only silent
// is marked as lost, and its successor has no vote yet, when one of the others loses its disk and all lose power. Two disks
// are lost: that of a removed instance, whose successor joins, and that one.
func TestLossWhileSilentVoterIsMarked(t *testing.T) {
	t.Parallel()
	nodes := newTestNodes(t, 5)
	running := nodes.startGroup(5)
	nodes.syncIn.Store(300)
	leader := leaderOf(t, running...)
	others := []int{}
	for number := range 5 {
		if running[number] != leader {
			others = append(others, number)
		}
	}
	silent, removed, emptied, left := others[0], others[1], others[2], others[3]
	running[silent].stop() // it has lost power, and is back with its disk after the final fault
	time.Sleep(500 * time.Millisecond)
	running[removed].stop()
	nodes.hold = func() { time.Sleep(successorSync) }
	successor := nodes.start(5, true)
	nodes.hold = nil
	eventually(t, "the mark is in the log of a voter", 10*time.Second, func() bool {
		return running[left].Voter.Status().Members.IsLost(running[silent].ID())
	})
	time.Sleep(350 * time.Millisecond) // that voter has synced it
	t.Logf("the successor has its vote: %v", running[left].Voter.Status().Members.IsVoter(successor.ID()))
	first := 0
	for running[first] != leader {
		first++
	}
	var stops sync.WaitGroup
	for _, node := range []*testNode{leader, running[emptied], running[left], successor} {
		stops.Go(node.stop)
	}
	stops.Wait()
	after := []*testNode{
		nodes.restart(leader, first), nodes.restart(running[left], left), nodes.restart(running[silent], silent),
		nodes.restart(successor, 5), nodes.startEmptied(emptied),
	}
	leaderOf(t, after...)
}

// TestMarkedLeader guards against a mark that is never taken back because the marked voter leads itself: no one sends it
// messages or answers its deliveries.
func TestMarkedLeader(t *testing.T) {
	t.Parallel()
	nodes := newTestNodes(t, 5)
	leader := leaderOf(t, nodes.startGroup(5)...)
	time.Sleep(2 * replacedTimeout.Duration())
	assert.Assert(t, !leader.isUnreachable(leader.ID()))
}

// TestSuccessorOfReplacedVoter guards against a group that gets a sixth voter, which bears one loss less, when a voter loses its
// disk, is then removed before its new storage has a vote, and its successor joins at another address.
func TestSuccessorOfReplacedVoter(t *testing.T) {
	t.Parallel()
	nodes := newTestNodes(t, 5)
	running := nodes.startGroup(5)
	leader := leaderOf(t, running...)
	number := 0
	if running[number] == leader {
		number = 1
	}
	released := make(chan struct{})
	nodes.hold = func() { <-released }
	former := running[number].ID()
	nodes.loseDisks(running, []int{number})
	nodes.hold = nil
	eventually(t, "the former storage is marked", 10*time.Second, func() bool { return leader.Voter.Status().Members.IsLost(former) })
	close(released)
	running[number].stop()
	if running[number].Voter.Status().Members.IsVoter(running[number].ID()) || leader.Voter.Status().Members.IsVoter(running[number].ID()) {
		t.Skip("the new storage has a vote already")
	}
	successor := nodes.start(5, true)
	most, began := 0, time.Now()
	eventually(t, "the successor has its vote", 20*time.Second, func() bool {
		members := leader.Voter.Status().Members
		most = max(most, len(members.Voters))
		return members.IsVoter(successor.ID()) && !members.IsVoter(former)
	})
	t.Logf("at most %d voters, the successor has the place after %v", most, time.Since(began))
	assert.Equal(t, most, 5)
}

// TestLossAfterTwoSuccessors guards against a group that has no leader for good when two voters lose their disks catchUp after
// the successors of two removed instances were started.
func TestLossAfterTwoSuccessors(t *testing.T) {
	for _, syncIn := range []int64{100, 400, 650, 800} {
		t.Run(fmt.Sprint(syncIn), func(t *testing.T) {
			t.Parallel()
			nodes := newTestNodes(t, 5)
			running := nodes.startGroup(5)
			nodes.syncIn.Store(syncIn)
			leader := leaderOf(t, running...)
			var removed, left []int
			for number := range 5 {
				if running[number] != leader && len(removed) < 2 {
					removed = append(removed, number)
				} else {
					left = append(left, number)
				}
			}
			var stops sync.WaitGroup
			for _, number := range removed {
				stops.Go(running[number].stop)
			}
			stops.Wait()
			back := time.Now()
			running[removed[0]], running[removed[1]] = nodes.start(5, true), nodes.start(6, true)
			time.Sleep(time.Until(back.Add(catchUp + contact)))
			t.Logf("votes at the loss: %v %v", running[removed[0]].hasVote(5), running[removed[1]].hasVote(5))
			nodes.loseDisks(running, left[:2])
			began := time.Now()
			time.Sleep(time.Second)
			leaderOf(t, running...)
			t.Logf("a leader after %v", time.Since(began))
		})
	}
}
