package anvilraft

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
)

// TestJoiningGetsWholeLog guards against an instance with a new disk that needs a sync for each window of a long log before it
// has caught up: with 600 kB of commands that took 7 s with syncs of up to 1.5 s, and further disks were lost meanwhile.
func TestJoiningGetsWholeLog(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, []string{"a", "b", "c"}, WithLostStorages(), WithMessageBytes(400), WithMaxInflight(1000, 10))
	c.run(2000)
	leader, joining := c.leader(), c.add("d")
	commands := make([][]byte, 200)
	for i := range commands {
		commands[i] = make([]byte, 50)
	}
	c.step(leader, Propose{Key: 1, Commands: commands})
	c.run(2000)
	c.start(joining)
	joining.diskStalled = true
	c.step(leader, SendLog{To: joining.id, Empty: true})
	c.run(500)
	assert.Equal(t, joining.node.Status().Last, leader.node.Status().Last)
	assert.Assert(t, !leader.node.HasCaughtUp(joining.id))
	joining.diskStalled = false
	c.run(500)
	assert.Assert(t, leader.node.HasCaughtUp(joining.id))
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
