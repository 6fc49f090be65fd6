package anvilraft

import (
	"testing"

	"gotest.tools/v3/assert"
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
