package anvilgroup

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
)

const (
	// lossDown is how long a voter is down that loses its disk.
	lossDown = 920 * time.Millisecond
	// catchUp is the time after which a voter with a lost disk must be a full member again, and contact what the pages
	// allow beside that.
	catchUp, contact = 4 * time.Second, 400 * time.Millisecond
)

// TestSecondLoss guards against voters with lost disks that aren't members again catchUp after they are back: the group
// then finds no leader for good when two further voters lose their disks. All syncs take 0.65 s. With a log, 250 entries a second
// are added, and one of the others would compact its log at an index that comes meanwhile (2400, 3200).
func TestSecondLoss(t *testing.T) {
	for _, test := range []struct {
		lost []int
		log  anvilid.Index // its length before the loss, or 0
	}{{lost: []int{3, 4}}, {lost: []int{2, 3}}, {lost: []int{4}}, {lost: []int{3, 4}, log: 2300}} {
		t.Run(fmt.Sprint(test.lost, test.log), func(t *testing.T) {
			t.Parallel()
			nodes := newTestNodes(t, 5)
			running := nodes.startGroup(5)
			if test.log > 0 {
				fill(t, leaderOf(t, running...), test.log)
			}
			nodes.syncIn.Store(650)
			back := nodes.loseDisks(running, test.lost)
			if test.log > 0 {
				load(t, running[:3], back.Add(catchUp))
			}
			time.Sleep(time.Until(back.Add(catchUp + contact)))
			nodes.loseDisks(running, []int{0, 1})
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

// load proposes 250 commands a second until the given time, and doesn't wait for them.
func load(t *testing.T, running []*testNode, end time.Time) {
	leader := leaderOf(t, running...)
	for ; time.Now().Before(end); time.Sleep(4 * time.Millisecond) {
		go func() { _, _, _ = leader.Voter.Propose(t.Context(), []byte{1}) }() // it may lead no longer
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
