package anvilgroup

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvilvoter"
)

// TestSlowDiskBesideGoneVoter guards against the removal of a voter that waits for a sync of 2 s after an election, in
// place of one that is gone: both send nothing, and only the process of the first answers.
func TestSlowDiskBesideGoneVoter(t *testing.T) {
	for _, order := range [][2]int{{3, 4}, {4, 3}} {
		gone, slow := order[0], order[1]
		t.Run(fmt.Sprintf("gone=%d", gone), func(t *testing.T) {
			now := 100 * anvilclock.Second
			var members anvilraft.Members
			for n := range 6 {
				members.Voters = append(members.Voters, anvilraft.VoterID{Instance: anvilid.InstanceID(fmt.Sprint("v", n)), Storage: "1"})
			}
			id := members.Voters[0]
			leader := &Group{
				settings: Settings{Voters: 5}, clock: anvilclock.Clock{Now: func() anvilclock.Millis { return now }}, id: id,
				Voter: anvilvoter.New(id.Instance), leadingSince: -1,
				lastHeard: map[anvilid.InstanceID]anvilclock.Millis{}, lastReached: map[anvilid.InstanceID]anvilclock.Millis{},
			}
			leader.noteTerm(7)
			for elected := now; now < elected+10*anvilclock.Second; now += 20 {
				leader.noteLeading(true)
				for n, voter := range members.Voters {
					if n != gone {
						leader.lastReached[voter.Instance] = now
					}
					if n != gone && (n != slow || now-elected >= 2*anvilclock.Second) {
						leader.lastHeard[voter.Instance] = now
					}
				}
				leader.updateReport(members)
				if removed, ok := leader.surplusVoter(members); ok {
					assert.Equal(t, removed, members.Voters[gone], "after %d ms", now-elected)
					return
				}
			}
			t.Fatal("the voter that is gone was not removed")
		})
	}
}

// TestQuorumLostForAMoment guards against a starved leader, whose quorum is lost each time that its process has not run,
// that forgets the voters that wait to be added, and against one that takes its own pause for silence of the others.
func TestQuorumLostForAMoment(t *testing.T) {
	now := 100 * anvilclock.Second
	clock := anvilclock.Clock{Now: func() anvilclock.Millis { return now }}
	voters := []anvilraft.VoterID{{Instance: "v0", Storage: "1"}, {Instance: "v1", Storage: "1"}}
	joining := anvilraft.VoterID{Instance: "v2", Storage: "1"}
	g := &Group{
		clock: clock, id: voters[0], leadingSince: -1, lastHeard: map[anvilid.InstanceID]anvilclock.Millis{},
		joiningSince: map[anvilraft.VoterID]anvilclock.Millis{}, requested: make(chan struct{}, 1),
	}
	g.noteLeading(true)
	g.noteJoining(joining)
	now += 2 * anvilclock.Second
	g.noteQuorumLost()
	g.noteLeading(true)
	assert.DeepEqual(t, g.joining(anvilraft.Members{Voters: voters}), []anvilraft.VoterID{joining})
	assert.Equal(t, g.countSilent(anvilraft.Members{Voters: voters}), 0)
	g.noteLeading(false)
	assert.Equal(t, len(g.joining(anvilraft.Members{Voters: voters})), 0, "another leader decides")
}
