package anvilraft

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// TestJoiningGetsWholeLog guards against an instance with a new disk that needs a sync for each window of a long log, or one for a snapshot
// and another for the entries after it, or two for each large entry, before it has caught up: with syncs of up to 1.5 s that took 7 s, and further disks were lost meanwhile.
// What is lost or overtaken on the way must follow within a heartbeat or two of the first sync, before which nothing is answered, without
// another snapshot, and not once for each message that is rejected.
func TestJoiningGetsWholeLog(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name       string
		compacted  bool
		lost, late int  // the numbers of a message that is lost and of one that comes 20 ms late
		again      bool // the leader compacts its log before the first sync ends
		large      bool // one of ten commands is sent in parts
	}{
		{name: "entries"},
		{name: "snapshot", compacted: true},
		{name: "a lost part", compacted: true, lost: 3},
		{name: "a late part", compacted: true, late: 5},
		{name: "a lost batch", compacted: true, lost: 20},
		{name: "a lost batch and a compaction", lost: 3, again: true},
		{name: "a lost batch and another compaction", compacted: true, lost: 20, again: true},
		{name: "large entries", large: true},
		{name: "large entries behind a snapshot", compacted: true, large: true},
		{name: "a lost part of a large entry", large: true, lost: 5},
		{name: "a late part of a large entry", large: true, late: 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 1, []string{"a", "b", "c"}, WithLostStorages(), WithTrailingEntries(0), WithMessageBytes(400), WithMaxInflight(1000, 10), WithEntryBytes(600))
			c.run(2000)
			leader, joining := c.leader(), c.add("d")
			commands := slices.Repeat([][]byte{make([]byte, 50)}, 100)
			for i := 2; test.large && i < len(commands); i += 10 {
				commands[i] = make([]byte, 700)
			}
			c.step(leader, Propose{Key: 1, Commands: commands})
			c.run(2000)
			if test.compacted {
				c.step(leader, Compact{leader.applied, snapshotData(leader.state, 5000)})
			}
			snapshotIndex := leader.node.snapshot.Index
			c.step(leader, Propose{Key: 2, Commands: commands})
			c.run(2000)
			sent := 0
			c.latency = func(_ *voter, m Message) int64 {
				if m.To != joining.id || m.Chunk == nil && len(m.Entries) == 0 {
					return 1000
				}
				switch sent++; sent {
				case test.lost:
					return -1
				case test.late:
					return 20_000
				}
				return 1000
			}
			c.start(joining)
			joining.diskStalled = true
			c.step(leader, SendLog{To: joining.id, Empty: true})
			c.run(500)
			once := sent
			if test.lost+test.late == 0 {
				assert.Equal(t, joining.node.Status().Last, leader.node.Status().Last)
			}
			assert.Assert(t, !leader.node.HasCaughtUp(joining.id))
			if test.again {
				c.step(leader, Compact{leader.applied, snapshotData(leader.state, 5000)})
			}
			joining.diskStalled = false
			c.step(joining, Tick{})
			c.run(200)
			assert.Equal(t, joining.node.Status().Last, leader.node.Status().Last)
			assert.Assert(t, leader.node.HasCaughtUp(joining.id))
			assert.Equal(t, joining.node.snapshot.Index, snapshotIndex, "it was sent another snapshot")
			assert.Assert(t, sent <= 3*once, "%d messages in place of %d", sent, once)
		})
	}
}

// TestJoiningUnderLoad guards against a bound on the entries that a new voter may lack: on a disk that syncs in a second, an instance lacks what
// the group has written in a second, so that it never got its vote under load. One whose process is frozen must not get one.
func TestJoiningUnderLoad(t *testing.T) {
	t.Parallel()
	const syncs = anvilclock.Second
	for _, perSecond := range []int{10, 100, 1000} {
		for _, compacted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/compacted=%t", perSecond, compacted), func(t *testing.T) {
				c := newCluster(t, 1, []string{"a", "b", "c"}, WithLostStorages(), WithTrailingEntries(0))
				c.run(2000)
				leader, joining := c.leader(), c.add("d")
				c.step(leader, Propose{Key: 1, Commands: slices.Repeat([][]byte{make([]byte, 300)}, 500)})
				c.run(1000)
				if compacted {
					c.step(leader, Compact{leader.applied, snapshotData(leader.state, 50_000)})
				}
				c.start(joining)
				disk := newSlowDisks(c, syncs, joining)
				run := func(span anvilclock.Millis) {
					for ms := range int(span) {
						if ms%(1000/perSecond) == 0 {
							c.step(leader, Propose{Key: 2, Commands: [][]byte{make([]byte, 300)}})
						}
						if ms%20 == 0 {
							c.step(leader, SendLog{To: joining.id, Empty: joining.node.hardState.Group == 0})
						}
						disk.run()
					}
				}
				run(syncs - 50)
				assert.Assert(t, !leader.node.HasCaughtUp(joining.id))
				run(150)
				assert.Assert(t, leader.node.HasCaughtUp(joining.id))
				joining.frozen = true
				run(1000)
				assert.Assert(t, !leader.node.HasCaughtUp(joining.id), "a frozen process")
			})
		}
	}
}

// TestChangesFollowAtOnce guards against a change of the members that waits on each slow disk for the sync of the empty entry after the change
// before it: two voters that had lost their disks then had their votes 5 s after their start, with syncs of up to 1.5 s.
func TestChangesFollowAtOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, []string{"a", "b", "c"}, WithLostStorages())
	c.run(2000)
	leader := c.leader()
	var changeAt anvilid.Index
	c.onEffects = func(v *voter, _ Effects) {
		if v == leader && changeAt > 0 && v.node.commit == changeAt && changeAt == v.node.log.last() {
			changeAt = 0
			c.step(leader, ChangeVoters{Key: 2, AddLearner: VoterID{"e", "1"}})
		}
	}
	c.step(leader, ChangeVoters{Key: 1, AddLearner: VoterID{"d", "1"}})
	changeAt = leader.node.members.lastChangeIndex()
	first := changeAt
	c.run(1000)
	assert.Equal(t, leader.node.members.lastChangeIndex(), first+1)
	assert.Equal(t, leader.node.log.last(), first+2, "the others don't store that the members are committed")
	for _, v := range c.voters[:3] {
		assert.Equal(t, v.disk.Hard.MembersAt, first+1)
	}
}
