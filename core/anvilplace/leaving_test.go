package anvilplace

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// leave announces that a target leaves at a time, which is in wall time like the clock of the test.
func (w *testCluster) leave(id anvilid.TargetID) {
	known, _ := w.state.Target(id)
	target := *known
	target.Leaving, target.LeavesAt = true, w.now+1500
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: target}})
}

// TestLeavingTargets answers many targets that are taken at short notice. It guards against gangs that work
// on until one of their targets ends, and then lose the work of all their members.
func TestLeavingTargets(t *testing.T) {
	w := newTestCluster(t, 1, 3, 0)
	w.submit("long", "common", "b", anvilwork.Step{Count: 2, Need: gpus(8), Gang: true, Estimate: 9000})
	w.plan()
	w.submit("short", "common", "b", anvilwork.Step{Count: 1, Need: gpus(8), Estimate: 2000})
	w.plan()
	leaving := []anvilid.TargetID{w.assigned("long")[0], w.assigned("short")[0]}
	for _, id := range leaving {
		w.leave(id)
	}
	assert.Equal(t, len(w.plan().Evictions), 0, "the gang fits nowhere else")
	// A target is added, so that the gang fits beside it on the one that stays.
	known, _ := w.state.Target("r0-02")
	added := *known
	added.ID, added.Address, added.Leaving, added.LeavesAt = "r0-03", "added:1", false, 0
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: added}})
	assert.DeepEqual(t, evicted(w.plan()), []anvilid.JobID{"long"})
	w.endStopping()
	w.plan()
	for _, id := range w.assigned("long") {
		assert.Assert(t, id != leaving[0] && id != leaving[1])
	}
	assert.Equal(t, len(w.assigned("short")), 1, "it ends before its target does")
}
