package anvilgroup

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilraft"
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

// TestLatestDirectoryJoins guards against two data directories of one instance that are enrolled in turns, each of which
// removes the other one: the instance has lost its disk while the enrollment of the former one goes on.
func TestLatestDirectoryJoins(t *testing.T) {
	g := &Group{
		clock: anvilclock.Monotonic(), joiningSince: map[anvilraft.VoterID]anvilclock.Millis{}, requested: make(chan struct{}, 1),
	}
	former, present := anvilraft.VoterID{Instance: "v9", Storage: "1"}, anvilraft.VoterID{Instance: "v9", Storage: "2"}
	g.noteJoining(former)
	members := anvilraft.Members{Learners: []anvilraft.VoterID{former}}
	assert.DeepEqual(t, g.joining(members), []anvilraft.VoterID{former})
	g.noteJoining(present)
	assert.Assert(t, !g.claimJoining(former), "the former directory is enrolled after the request for the present one")
	g.replacedBy(former)
	assert.DeepEqual(t, g.joining(members), []anvilraft.VoterID{present})
}
