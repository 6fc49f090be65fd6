package anvilgroup

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvillogs"
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
	_, _ = g.replacedBy(former, members)
	assert.DeepEqual(t, g.joining(members), []anvilraft.VoterID{present})
}

// TestSuccessorsJoinAtElection guards against a new leader that waits for the requests of voters whose new storages it knows, and
// against one that enrolls a storage that was replaced in turn.
func TestSuccessorsJoinAtElection(t *testing.T) {
	for _, test := range []struct {
		name  string
		since anvilclock.Millis // between the answer and the election
		asked anvilraft.StorageID
		want  anvilraft.StorageID
	}{{"known", 0, "", "2"}, {"long ago", enrollSpan, "", ""}, {"another one has asked", 0, "3", "3"}} {
		t.Run(test.name, func(t *testing.T) {
			clock := anvilclock.Manual{}
			g := newGroup(Settings{}, clock.Clock(), nil, anvillogs.Discard())
			g.noteSuccessor(anvilraft.VoterID{Instance: "v9", Storage: "2"})
			clock.Advance(test.since)
			var want []anvilraft.VoterID
			if test.want != "" {
				want = []anvilraft.VoterID{{Instance: "v9", Storage: test.want}}
			}
			if test.asked != "" {
				g.noteJoining(anvilraft.VoterID{Instance: "v9", Storage: test.asked})
			}
			g.noteLeading(true)
			assert.DeepEqual(t, g.joining(anvilraft.Members{}), want)
		})
	}
}

// TestVoteAfterOneSync guards against a voter with a lost disk that makes several syncs one after another before the leader can
// give it a vote: with syncs of a second it had none yet when two others lost their disks, and the group no leader for good. The
// syncs of its directory and of its copy of the log must begin together, and it must count for nothing before they end.
func TestVoteAfterOneSync(t *testing.T) {
	nodes := newTestNodes(t, 5)
	running := nodes.startGroup(5)
	former := running[4].ID()
	running[4].stop()
	const together = 3 // the syncs of the first segment, its directory, and the parent of that
	var begun atomic.Int64
	release, end := make(chan struct{}), make(chan struct{})
	nodes.hold = func() {
		wait := release
		if begun.Add(1) > together {
			wait = end
		}
		select {
		case <-wait:
		case <-time.After(5 * time.Second):
		}
	}
	joining := nodes.startEmptied(4)
	t.Cleanup(func() { close(end) })
	leader := leaderOf(t, running[:4]...)
	eventually(t, "the former storage is marked as lost", 10*time.Second, func() bool { return leader.Voter.Status().Members.IsLost(former) })
	eventually(t, "all syncs have begun", 10*time.Second, func() bool { return begun.Load() == together })
	assert.Assert(t, !leader.Voter.HasCaughtUp(joining.ID()), "an acknowledgement of what isn't stored")
	close(release)
	eventually(t, "the voter has a vote", 10*time.Second, func() bool { return leader.Voter.Status().Members.IsVoter(joining.ID()) })
}
