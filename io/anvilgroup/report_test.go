package anvilgroup

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvilrpc"
	"anvilshunt/io/anvilvoter"
)

// TestSilenceOutlastsLeaders guards against a replaced voter that is never removed because leaders change every second,
// and against the removal of a healthy one, because its disk is slow or one leader can't reach it.
func TestSilenceOutlastsLeaders(t *testing.T) {
	for _, c := range []struct {
		name string
		// heard and reached tell whether the fifth voter sends messages to a leader, and whether its process answers.
		heard, reached func(leader int, now anvilclock.Millis) bool
		removed        bool
		same           bool // one voter is elected again and again
	}{
		{name: "gone", removed: true},
		{name: "gone, the same leader", removed: true, same: true},
		{name: "slow disk", reached: func(int, anvilclock.Millis) bool { return true }},
		{name: "cut off from one leader", heard: func(leader int, _ anvilclock.Millis) bool { return leader == 1 }},
		{name: "restarted", heard: func(_ int, now anvilclock.Millis) bool { return now%4000 >= 1200 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := 100 * anvilclock.Second
			var members anvilraft.Members
			for n := range 5 {
				members.Voters = append(members.Voters, anvilraft.VoterID{Instance: anvilid.InstanceID(fmt.Sprint("v", n)), Storage: "1"})
			}
			var groups []*Group
			for _, id := range members.Voters[:2] {
				groups = append(groups, &Group{
					clock: anvilclock.Clock{Now: func() anvilclock.Millis { return now }}, id: id, Voter: anvilvoter.New(id.Instance), leadingSince: -1,
					lastHeard: map[anvilid.InstanceID]anvilclock.Millis{}, lastReached: map[anvilid.InstanceID]anvilclock.Millis{},
				})
			}
			removed := anvilraft.VoterID{}
			for begin := now; now < begin+20*anvilclock.Second; now += 100 {
				term := int((now - begin) / 1000)
				leading := term % 2
				if c.same {
					leading = 0
				}
				leader, follower := groups[leading], groups[1-leading]
				follower.noteLeading(false)
				leader.noteTerm(anvilid.Term(term + 1))
				if (now-begin)%1000 < 200 { // an election
					leader.noteLeading(false)
					continue
				}
				for _, voter := range members.Voters[:4] {
					leader.lastHeard[voter.Instance], leader.lastReached[voter.Instance] = now, now
				}
				last := members.Voters[4].Instance
				if c.heard != nil && c.heard(leading, now) {
					leader.lastHeard[last], leader.lastReached[last] = now, now
				}
				if c.reached != nil && c.reached(leading, now) {
					leader.lastReached[last] = now
				}
				leader.noteLeading(true)
				leader.updateReport(members)
				request := &anvilrpc.DeliverRequest{From: string(leader.id.Instance)}
				leader.addReport(request)
				_, err := follower.Deliver(t.Context(), request)
				assert.NilError(t, err)
				if silent, ok := leader.mostSilent(members, replacedTimeout); ok {
					removed = silent
					assert.Assert(t, !c.removed || now-begin <= 4*anvilclock.Second, "removed after %d ms", now-begin)
					break
				}
			}
			want := anvilraft.VoterID{}
			if c.removed {
				want = members.Voters[4]
			}
			assert.Equal(t, removed, want)
		})
	}
}
