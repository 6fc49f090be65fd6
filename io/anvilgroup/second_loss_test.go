package anvilgroup

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
)

const (
	// lossDown is how long a voter is down that loses its disk.
	lossDown = 920 * time.Millisecond
	// catchUp is the time after which a voter with a lost disk must be a full member again, and contact what the pages
	// allow beside that.
	catchUp, contact = 4 * time.Second, 400 * time.Millisecond
)

// TestSecondLoss guards against voters with lost disks that aren't members again catchUp after they are back: the group
// then finds no leader for good when two further voters lose their disks. Commands go on, and all syncs take the same time. The
// leader may be among the first voters (0). With a log, 250 commands a second go on, and one of the others would compact its log at
// an index that comes meanwhile (2400, 3200). Large commands at its beginning
// are sent in parts, which must not take a sync or two each.
func TestSecondLoss(t *testing.T) {
	for _, test := range []struct {
		lost   []int // counted from the leader
		syncIn int64
		log    anvilid.Index // its length before the loss, or 0
		large  int           // how many large commands come first, each followed by a small one
	}{
		{[]int{3, 4}, 650, 0, 0},
		{[]int{2, 3}, 650, 0, 0},
		{[]int{4}, 650, 0, 0},
		{[]int{0, 1}, 650, 0, 0},
		{[]int{0, 1}, 900, 0, 0},
		{[]int{3, 4}, 650, 2300, 0},
		{[]int{3, 4}, 650, 400, 6},
	} {
		t.Run(fmt.Sprint(test.lost, test.syncIn, test.log, test.large), func(t *testing.T) {
			t.Parallel()
			nodes := newTestNodes(t, 5)
			running := nodes.startGroup(5)
			leader := slices.Index(running, leaderOf(t, running...))
			at := func(number int) int { return (leader + number) % len(running) }
			pause := 100 * time.Millisecond
			for range test.large {
				for _, size := range []int{200 << 10, 1} {
					_, _, err := running[leader].Voter.Propose(t.Context(), make([]byte, size))
					assert.NilError(t, err)
				}
			}
			if test.log > 0 {
				fill(t, running[leader], test.log)
				pause = 4 * time.Millisecond
			}
			nodes.syncIn.Store(test.syncIn)
			for _, node := range running {
				go node.propose(pause)
			}
			time.Sleep(2 * time.Duration(test.syncIn) * time.Millisecond) // a sync is always under way
			var first, then []int
			for number := range running {
				switch {
				case slices.Contains(test.lost, number):
					first = append(first, at(number))
				case len(then) < 2:
					then = append(then, at(number))
				}
			}
			back := nodes.loseDisks(running, first)
			var votes sync.WaitGroup
			defer votes.Wait()
			for _, number := range first {
				node := running[number]
				votes.Go(func() {
					eventually(t, "a vote", 10*time.Second, func() bool { return node.hasVote(5) })
					t.Logf("a vote after %v", time.Since(back))
				})
			}
			time.Sleep(time.Until(back.Add(catchUp + contact)))
			nodes.loseDisks(running, then)
			began := time.Now()
			time.Sleep(time.Second)
			leaderOf(t, running...)
			t.Logf("a leader after %v", time.Since(began))
		})
	}
}

// fill proposes commands until the log has the given length. Those that are proposed at the same time share their syncs.
func fill(t *testing.T, leader *testNode, length anvilid.Index) {
	for missing := 1; missing > 0 && !t.Failed(); {
		var proposals sync.WaitGroup
		missing = int(length) - int(leader.Voter.Status().Applied)
		for range min(missing, 200) {
			proposals.Go(func() {
				_, _, err := leader.Voter.Propose(t.Context(), []byte{1})
				assert.Check(t, err)
			})
		}
		proposals.Wait()
	}
}

// propose lets commands go on, wherever the leader is, until the node is stopped.
func (n *testNode) propose(pause time.Duration) {
	for {
		select {
		case <-n.ended:
			return
		case <-time.After(pause):
			if n.Voter.Status().Role == anvilraft.Leader {
				go func() { _, _, _ = n.Voter.Propose(context.Background(), []byte{1}) }()
			}
		}
	}
}

// loseDisks stops voters, and starts them again with empty data directories. It returns when it began to start them.
func (n *testNodes) loseDisks(running []*testNode, lost []int) time.Time {
	var stops, starts sync.WaitGroup
	for _, number := range lost {
		stops.Go(running[number].stop)
	}
	stops.Wait()
	time.Sleep(lossDown)
	back := time.Now()
	for _, number := range lost {
		starts.Go(func() { running[number] = n.startEmptied(number) })
	}
	starts.Wait()
	return back
}
