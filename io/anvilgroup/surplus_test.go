package anvilgroup

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
)

// TestSurplusVoter guards against replaced voters that count towards the quorum for good, so that the group is lost
// with fewer further losses than it is meant to bear, and against the removal of a voter that the group needs.
func TestSurplusVoter(t *testing.T) {
	const now = 100 * anvilclock.Second
	for _, c := range []struct {
		name          string
		count, wanted int
		silent        map[int]anvilclock.Millis // how long voters have sent nothing, by position
		leading       anvilclock.Millis         // how long this voter has been the leader
		removed       int                       // position, or 0
	}{
		{name: "all are there", count: 7, wanted: 5, leading: 50_000},
		{name: "two of seven were replaced", count: 7, wanted: 5, leading: 50_000, silent: map[int]anvilclock.Millis{1: 1600, 2: 1700}, removed: 2},
		{name: "the second of them", count: 6, wanted: 5, leading: 50_000, silent: map[int]anvilclock.Millis{1: 1900}, removed: 1},
		{name: "one of seven is restarted", count: 7, wanted: 5, leading: 50_000, silent: map[int]anvilclock.Millis{1: 1000}},
		{name: "the leader is new", count: 7, wanted: 5, leading: 1000, silent: map[int]anvilclock.Millis{1: 40_000}},
		{name: "two of five are down", count: 5, wanted: 5, leading: 50_000, silent: map[int]anvilclock.Millis{1: 40_000, 2: 40_000}},
		{name: "one of four is down, three meant", count: 4, wanted: 3, leading: 50_000, silent: map[int]anvilclock.Millis{1: 3100}, removed: 1},
		{name: "one of four is restarted, three meant", count: 4, wanted: 3, leading: 50_000, silent: map[int]anvilclock.Millis{1: 2900}},
		{name: "one of four is down, number not known", count: 4, leading: 50_000, silent: map[int]anvilclock.Millis{1: 3100}, removed: 1},
		{name: "one of four is down while the fifth joins", count: 4, wanted: 5, leading: 50_000, silent: map[int]anvilclock.Millis{1: 29_900}},
		{name: "one of four is down for good", count: 4, wanted: 5, leading: 50_000, silent: map[int]anvilclock.Millis{1: 30_100}, removed: 1},
		{name: "two of five, one meant", count: 5, wanted: 1, leading: 50_000, silent: map[int]anvilclock.Millis{1: 40_000, 2: 40_000}},
		{name: "number not known", count: 7, leading: 50_000, silent: map[int]anvilclock.Millis{1: 40_000, 2: 40_000}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var members anvilraft.Members
			heard := map[anvilid.InstanceID]anvilclock.Millis{}
			for n := range c.count {
				id := anvilraft.VoterID{Instance: anvilid.InstanceID(fmt.Sprint("v", n)), Storage: "1"}
				members.Voters = append(members.Voters, id)
				heard[id.Instance] = now - c.silent[n]
			}
			g := &Group{
				settings: Settings{Voters: c.wanted}, clock: anvilclock.Clock{Now: func() anvilclock.Millis { return now }},
				id: members.Voters[0], lastHeard: heard, leadingSince: now - c.leading,
			}
			removed, ok := g.surplusVoter(members)
			assert.Equal(t, ok, c.removed > 0, "%v", removed)
			if ok {
				assert.Equal(t, removed, members.Voters[c.removed])
			}
		})
	}
}

// TestReplacedByNewLeader guards against a leader that, right after its election, takes voters that were never meant
// to send it anything for silent ones, and removes one of them in the place of the voter that was replaced.
func TestReplacedByNewLeader(t *testing.T) {
	now := 100 * anvilclock.Second
	var members anvilraft.Members
	for n := range 5 {
		members.Voters = append(members.Voters, anvilraft.VoterID{Instance: anvilid.InstanceID(fmt.Sprint("v", n)), Storage: "1"})
	}
	g := &Group{
		settings: Settings{Voters: 5}, clock: anvilclock.Clock{Now: func() anvilclock.Millis { return now }},
		id: members.Voters[0], lastHeard: map[anvilid.InstanceID]anvilclock.Millis{}, leadingSince: -1, joiningSince: map[anvilraft.VoterID]anvilclock.Millis{},
	}
	joining := anvilraft.VoterID{Instance: "v9", Storage: "1"}
	_, err := g.replacedBy(joining, members)
	assert.ErrorIs(t, err, anvilraft.ErrChangePending)
	g.noteLeading(true)
	now += replacedTimeout
	for n := range 4 {
		g.lastHeard[members.Voters[n].Instance] = now
	}
	removed, err := g.replacedBy(joining, members)
	assert.NilError(t, err)
	assert.Equal(t, removed, members.Voters[4])
}
