package anvilgroup

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

const (
	// lossDown is how long a voter is down that loses its disk.
	lossDown = 920 * time.Millisecond
	// catchUp is the time after which a voter with a lost disk must be a full member again, and contact what the pages
	// allow beside that.
	catchUp, contact = 4 * time.Second, 400 * time.Millisecond
)

// TestSecondLoss guards against voters with lost disks that aren't members again catchUp after they are back: the group
// then finds no leader for good when two further voters lose their disks. All syncs take 0.65 s.
func TestSecondLoss(t *testing.T) {
	for _, lost := range [][]int{{3, 4}, {2, 3}, {4}} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			t.Parallel()
			nodes := newTestNodes(t, 5)
			running := nodes.startGroup(5)
			nodes.syncIn.Store(650)
			back := nodes.loseDisks(running, lost)
			time.Sleep(time.Until(back.Add(catchUp + contact)))
			nodes.loseDisks(running, []int{0, 1})
			began := time.Now()
			time.Sleep(time.Second)
			leaderOf(t, running...)
			t.Logf("a leader after %v", time.Since(began))
		})
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
