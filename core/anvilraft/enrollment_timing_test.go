package anvilraft

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
)

// TestVotesAfterLossOfLeader guards against an enrollment that takes too long on slow disks, as further losses may come then.
// The leader and another voter lose their disks while commands go on.
func TestVotesAfterLossOfLeader(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ span, bound anvilclock.Millis }{{10, 600}, {500, 1950}, {800, 3000}, {1000, 3850}} {
		var elected, seated []anvilclock.Millis
		for seed := range uint64(20) {
			e := newEnrollmentRun(t, seed, test.span)
			e.run()
			elected, seated = append(elected, e.electedAfter), append(seated, e.seatedAfter)
		}
		slices.Sort(elected)
		slices.Sort(seated)
		t.Logf("syncs of %d ms: a leader after %d ms (longest %d), votes committed after %d ms (longest %d)", test.span,
			elected[len(elected)/2], elected[len(elected)-1], seated[len(seated)/2], seated[len(seated)-1])
		assert.Check(t, seated[len(seated)-1] < test.bound, "syncs of %d ms", test.span)
	}
}

const (
	// lostFor is how long the voters are down that lose their disks.
	lostFor = 920 * anvilclock.Millisecond
	// askInterval is the interval at which voters without a leader ask for storages, and emptied ones for membership.
	askInterval = 300 * anvilclock.Millisecond
	// gatherSpan is how long an emptied voter waits for the rest of the log before its first sync.
	gatherSpan = 100 * anvilclock.Millisecond
)

// enrollmentRun acts like the group layer while two emptied voters join.
type enrollmentRun struct {
	c                         *cluster
	disks                     *slowDisks
	emptied                   []*voter
	copies                    map[*voter]*slowDisks // of emptied voters
	asked                     map[*voter]bool       // this leader knows of the emptied voters, or was asked by them
	key                       uint64
	electedAfter, seatedAfter anvilclock.Millis // from the start of the emptied voters on
}

func newEnrollmentRun(t *testing.T, seed uint64, span anvilclock.Millis) *enrollmentRun {
	c := newCluster(t, seed, []string{"a", "b", "c", "d", "e"}, WithElectionTimeout(350, 700), WithHeartbeat(80), WithLostStorages())
	c.latency = fixedLatency(1000)
	c.run(2000)
	leader := c.leader()
	e := &enrollmentRun{c: c, copies: map[*voter]*slowDisks{}, asked: map[*voter]bool{}, emptied: []*voter{leader}}
	for _, v := range c.voters {
		if v != leader && len(e.emptied) < 2 {
			e.emptied = append(e.emptied, v)
		}
	}
	e.disks = newSlowDisks(c, span, c.voters...)
	e.advance(3*span + anvilclock.Millis(seed*53%1000)) // the disks are lost at varying points of a sync
	return e
}

// advance lets the time pass while commands go on.
func (e *enrollmentRun) advance(span anvilclock.Millis) {
	for range span {
		e.disks.run()
		for _, v := range e.emptied {
			disk := e.copies[v]
			if disk == nil {
				continue
			}
			if len(v.unsynced) > 0 && disk.syncStartedAt[v] == 0 {
				disk.syncStartedAt[v] = e.c.now
			}
			if e.c.now-disk.syncStartedAt[v] >= int64(gatherSpan)*1000 {
				disk.syncDue()
			}
		}
		if leader := e.c.leader(); leader != nil && e.c.now/1000%100 == 0 {
			e.key++
			e.c.step(leader, Propose{Key: e.key, Commands: [][]byte{{0, 1, 2}}})
		}
	}
}

// run loses the disks, and returns once all voters have committed votes again.
func (e *enrollmentRun) run() {
	for _, v := range e.emptied {
		e.c.crash(v, 0)
		e.disks.voters = slices.DeleteFunc(slices.Clone(e.disks.voters), func(other *voter) bool { return other == v })
	}
	e.advance(lostFor)
	began := e.c.now
	for _, v := range e.emptied {
		e.c.wipe(v)
		e.c.start(v)
		e.copies[v] = newSlowDisks(e.c, e.disks.syncDuration, v)
	}
	for e.seatedAfter == 0 && e.c.now-began < 20_000_000 {
		e.advance(20)
		since := anvilclock.Millis(e.c.now-began) / 1000
		asks := since%askInterval < 20
		leader := e.c.leader()
		switch {
		case leader == nil && asks:
			e.c.reportLostStorages()
		case leader != nil:
			if e.electedAfter == 0 {
				e.electedAfter = since
			}
			e.asked[leader] = e.asked[leader] || asks || len(leader.node.lost) == len(e.emptied)
			e.enroll(leader, since)
		}
	}
}

// enroll does what the leader does for the emptied voters.
func (e *enrollmentRun) enroll(leader *voter, since anvilclock.Millis) {
	if !e.asked[leader] {
		return
	}
	members := leader.node.Status().Members
	var lost, seats []VoterID
	for _, v := range e.emptied {
		if members.IsVoter(v.id) {
			continue
		}
		e.c.step(leader, SendLog{To: v.id, Empty: v.node.hardState.Group == 0})
		if former := members.voterOf(v.id.Instance); !members.IsLost(former) {
			lost = append(lost, former)
		}
		if leader.node.HasCaughtUp(v.id) {
			seats = append(seats, v.id)
		}
	}
	e.key++
	switch {
	case len(lost) > 0:
		e.c.step(leader, ChangeVoters{Key: e.key, Lost: lost})
	case len(seats) > 0:
		e.c.step(leader, ChangeVoters{Key: e.key, Seat: seats})
	}
	committed := leader.node.CommittedMembers()
	if committed.IsVoter(e.emptied[0].id) && committed.IsVoter(e.emptied[1].id) {
		e.seatedAfter = since
	}
}

// TestHeldCommands guards against commands that wait for good, or are lost without an answer, when a voter is marked and no seat
// follows, and against a wait that slows down a group with fast disks.
func TestHeldCommands(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		span  anvilclock.Millis
		joins bool  // an instance joins that never catches up
		syncs int64 // the mark, the wait if an instance joins, the command
	}{{4, false, 2}, {400, false, 2}, {4, true, 3}, {400, true, 3}} {
		c := newCluster(t, 1, []string{"a", "b", "c"}, WithElectionTimeout(350, 700), WithLostStorages())
		c.run(2000)
		leader, lost := c.leader(), c.voters[0]
		if lost == leader {
			lost = c.voters[1]
		}
		c.crash(lost, 0)
		disks := newSlowDisks(c, test.span, c.voters...)
		if test.joins {
			c.step(leader, SendLog{To: VoterID{lost.id.Instance, "2"}, Empty: true})
		}
		c.step(leader, ChangeVoters{Key: 1, Lost: []VoterID{lost.id}})
		last := leader.node.log.last()
		c.step(leader, Propose{Key: 2, Commands: [][]byte{{0, 1}}})
		assert.Equal(t, leader.node.log.last(), last, "the command is held")
		start := c.now
		for leader.state[0] != 1 && c.now-start < 10_000_000 {
			disks.run()
		}
		took := anvilclock.Millis((c.now - start) / 1000)
		assert.Assert(t, took < anvilclock.Millis(test.syncs)*test.span+30, "%+v: %d ms", test, took)

		leader.node.hold(heldProposal{key: 3})
		leader.node.becomeFollower(leader.node.hardState.Term+1, VoterID{})
		c.step(leader, Tick{})
		rejected := leader.rejected[len(leader.rejected)-1]
		assert.Equal(t, rejected.Key, uint64(3))
		assert.ErrorIs(t, rejected.Reason, ErrNotLeader)
	}
}
