package anvilgroup

import (
	"context"
	"testing"
	"time"
)

// TestEnrollmentOutlastsCall guards against an enrollment that stands still between the calls of the voter that joins:
// with slow syncs its changes don't fit into one call, and the leader that has begun it may be replaced.
func TestEnrollmentOutlastsCall(t *testing.T) {
	nodes := newTestNodes(t, 0)
	voters := []*testNode{nodes.start(0, false), nodes.start(1, false), nodes.start(2, false)}
	leader := leaderOf(t, voters...)
	joining := nodes.start(3, false)
	nodes.syncIn.Store(200)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_ = leader.Enroll(ctx, joining.ID()) // times out
	eventually(t, "the voter that joins has a vote", 4*time.Second, func() bool { return joining.Voter.Status().Members.IsVoter(joining.ID()) })
}
