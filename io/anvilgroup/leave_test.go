package anvilgroup

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeave guards against a voter that ends after its successor has got a vote, and counts until the leader has noticed
// its silence: the two losses that the group is meant to bear at any time leave it without a majority. It also guards
// against voters that end at the same time and leave the group smaller than it is meant to be.
func TestLeave(t *testing.T) {
	for _, leads := range []bool{false, true} {
		nodes := newTestNodes(t, 5)
		running := []*testNode{nodes.start(0, true), nodes.start(1, true), nodes.start(2, true)}
		for n := 3; n < 6; n++ {
			joining := nodes.start(n, true)
			eventually(t, "the voter has a vote", 10*time.Second, func() bool {
				status := joining.Voter.Status()
				return status.Members.IsVoter(joining.ID()) && len(status.Members.Voters) == n+1
			})
			running = append(running, joining)
		}
		leader := leaderOf(t, running...)
		var former *testNode
		var ending, rest []*testNode
		for _, n := range running {
			switch {
			case (n == leader) == leads && former == nil:
				former = n
			case len(ending) < 2:
				ending = append(ending, n)
			default:
				rest = append(rest, n)
			}
		}
		began := time.Now()
		former.Leave(t.Context())
		assert.Assert(t, time.Since(began) < leaveTimeout)
		former.stop()
		if leads {
			leaderOf(t, append(ending, rest...)...)
		}
		var group sync.WaitGroup
		for _, n := range ending {
			group.Go(func() {
				n.Leave(t.Context())
				n.stop()
			})
		}
		group.Wait()
		assert.Equal(t, len(leaderOf(t, rest...).Voter.Status().Members.Voters), 5)
		for _, n := range rest {
			n.stop()
		}
	}
}
