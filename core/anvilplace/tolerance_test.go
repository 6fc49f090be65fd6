package anvilplace

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// fail ends the run of the only task of a job as failed, and counts the failure as the leader does.
func (w *testCluster) fail(id anvilid.JobID) anvilid.TargetID {
	target := w.assigned(id)[0]
	w.end(anvilwork.Task{Job: id}, anvilwork.RunFailed)
	if w.failed == nil {
		w.failed = map[anvilid.TargetID]int{}
	}
	w.failed[target]++
	return target
}

// TestFailedEverywhere guards against a task that lasts, and may fail any number of times, and is never started
// again once it has failed on each target.
func TestFailedEverywhere(t *testing.T) {
	w := newTestCluster(t, 1, 4, 0)
	w.submit("x", "common", "b", anvilwork.Step{Count: 1, Need: gpus(8), LongRunning: true})
	for round := range 3 {
		seen := map[anvilid.TargetID]bool{}
		for range 4 {
			w.plan()
			assert.Equal(t, len(w.assigned("x")), 1, "round %d, after %d targets", round, len(seen))
			seen[w.fail("x")] = true
		}
		assert.Equal(t, len(seen), 4, "each target is tried as often as the others")
	}
}

// TestFailedOnBusyTargets guards against a task that waits for a target on which it hasn't failed, while runs
// that last occupy that target and others are idle.
func TestFailedOnBusyTargets(t *testing.T) {
	w := newTestCluster(t, 1, 2, 0)
	w.submit("lasting", "common", "b", anvilwork.Step{Count: 1, Need: gpus(8), LongRunning: true})
	w.plan()
	w.submit("x", "common", "b", anvilwork.Step{Count: 1, Need: gpus(8)})
	w.plan()
	first := w.fail("x")
	w.plan()
	assert.Equal(t, len(w.assigned("x")), 0, "the other target may be free soon")
	w.now += failurePatience
	w.plan()
	assert.DeepEqual(t, w.assigned("x"), []anvilid.TargetID{first})
}

// TestGangFailedEverywhere guards against a gang that is never placed again, because too few targets are left on
// which it hasn't failed.
func TestGangFailedEverywhere(t *testing.T) {
	w := newTestCluster(t, 1, 3, 0)
	w.submit("x", "common", "b", anvilwork.Step{Count: 2, Need: gpus(8), Gang: true})
	w.plan()
	assert.Equal(t, len(w.assigned("x")), 2)
	w.failed = map[anvilid.TargetID]int{}
	for index, target := range w.assigned("x") {
		w.failed[target]++
		w.end(anvilwork.Task{Job: "x", Index: index}, anvilwork.RunFailed)
	}
	w.plan()
	assert.Equal(t, len(w.assigned("x")), 2)
}

// TestOnlySlowTargets guards against a task that waits for as long as all targets that suit it are ejected or slow.
func TestOnlySlowTargets(t *testing.T) {
	w := newTestCluster(t, 1, 2, 0)
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: anvilwork.Target{
		ID: "labelled", Incarnation: 1, Service: "s", Address: "9:1", Rack: "r0", Labels: []string{"y"}, Resources: testResources,
	}}})
	w.slow = map[anvilid.TargetID]bool{"labelled": true}
	w.submit("x", "common", "b", anvilwork.Step{Count: 1, Need: gpus(1), Label: "y"})
	w.submit("z", "common", "b", anvilwork.Step{Count: 1, Need: gpus(1)})
	w.plan()
	assert.DeepEqual(t, w.assigned("x"), []anvilid.TargetID{"labelled"})
	assert.Assert(t, w.assigned("z")[0] != "labelled", "a slow target is avoided where there are others")
}
