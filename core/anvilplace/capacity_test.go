package anvilplace

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// resize changes the capacity of a target.
func (w *testCluster) resize(id anvilid.TargetID, resources anvilwork.Resources) {
	known, _ := w.state.Target(id)
	target := *known
	target.Resources = resources
	target.Sequence++
	w.state.Apply(w.now, anvilwork.Batch{Commands: []anvilwork.Command{{Announce: &anvilwork.Announce{Target: target}}}})
}

// planAfterShrink is like plan for targets that may be over their capacity already: it checks that those
// get no further runs.
func (w *testCluster) planAfterShrink() Decision {
	before := map[anvilid.TargetID]int{}
	for _, target := range w.state.Targets() {
		before[target.ID] = len(w.state.Runs(target.ID))
	}
	decision := Plan(w.input())
	w.claimed = decision.Claims
	for i := range decision.Placements {
		w.apply(anvilwork.Command{Place: &decision.Placements[i]})
	}
	for _, e := range decision.Evictions {
		w.stopping[e.Task] = true
	}
	for _, target := range w.state.Targets() {
		load := w.state.Load(target.ID)
		assert.Assert(w.t, len(w.state.Runs(target.ID)) == before[target.ID] || target.Resources.Holds(load),
			"target %s has %v and got further runs, so that all need %v", target.ID, target.Resources, load)
	}
	return decision
}

// TestOverloadedTarget guards against further tasks on a target that has shrunk below what runs there, because
// they need none of the resources that it lacks.
func TestOverloadedTarget(t *testing.T) {
	w := newTestCluster(t, 1, 1, 8)
	w.submit("c", "common", "b", anvilwork.Step{Count: 2, Need: gpus(4)})
	w.plan()
	w.resize("r0-00", anvilwork.Resources{CPU: 32000, Memory: 64000, GPU: 4})
	w.submit("processors", "common", "b", anvilwork.Step{Count: 1, Need: gpus(0)})
	w.submit("fills", "common", "b", anvilwork.Step{Count: 1, Need: gpus(0), BestEffort: true})
	assert.Equal(t, len(w.planAfterShrink().Placements), 0)
	w.end(anvilwork.Task{Job: "c"}, anvilwork.RunDone)
	assert.Equal(t, len(w.planAfterShrink().Placements), 2)
}

// TestStoppingRunOnShrunkTarget guards against counting the resources of a run that is being stopped as free on
// a target that has shrunk.
func TestStoppingRunOnShrunkTarget(t *testing.T) {
	w := newTestCluster(t, 1, 1, 8)
	w.submit("c", "common", "b", anvilwork.Step{Count: 2, Need: gpus(4)})
	w.plan()
	w.resize("r0-00", anvilwork.Resources{CPU: 32000, Memory: 64000, GPU: 4})
	w.submit("u", "urgent", "a", anvilwork.Step{Count: 1, Need: gpus(4)})
	w.now += maxReclaimWait
	assert.Equal(t, len(w.planAfterShrink().Evictions), 2, "both must end before the urgent job fits")
	w.end(anvilwork.Task{Job: "c"}, anvilwork.RunStopped)
	assert.Equal(t, len(w.planAfterShrink().Placements), 0)
	w.endStopping()
	assert.Equal(t, len(w.planAfterShrink().Placements), 1)
	assert.Equal(t, len(w.assigned("u")), 1)
}

// drawStep draws a step that may need no accelerators, be a gang, or use idle processors only.
func drawStep(t *rapid.T) anvilwork.Step {
	return anvilwork.Step{
		Count: rapid.IntRange(1, 6).Draw(t, "count"), Gang: rapid.Bool().Draw(t, "gang"), BestEffort: rapid.Bool().Draw(t, "fills"),
		PreferOneRack: rapid.Bool().Draw(t, "rack"), Need: anvilwork.Resources{
			CPU: anvilwork.Millicores(1000 * rapid.IntRange(0, 20).Draw(t, "cpu")), Memory: anvilwork.Megabytes(rapid.IntRange(0, 30000).Draw(t, "memory")),
			GPU: anvilid.AcceleratorCount(rapid.IntRange(0, 4).Draw(t, "gpu")),
		},
	}
}

// TestRandomCapacities guards against placements beyond the capacity of a target while capacities shrink and
// grow at random among jobs of all kinds, urgent ones that evict others included.
func TestRandomCapacities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestCluster(t, 2, 2, 8)
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			w.now += 400
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				queue := anvilwork.QueueName(rapid.SampledFrom([]string{"urgent", "common"}).Draw(t, "queue"))
				w.submit(anvilid.JobID(fmt.Sprint("j", i)), queue, "a", drawStep(t))
			case 1:
				id := anvilid.TargetID(fmt.Sprintf("r%d-0%d", rapid.IntRange(0, 1).Draw(t, "rack"), rapid.IntRange(0, 1).Draw(t, "target")))
				w.resize(id, anvilwork.Resources{
					CPU: anvilwork.Millicores(rapid.IntRange(0, 32).Draw(t, "cpu") * 1000), Memory: anvilwork.Megabytes(rapid.IntRange(0, 64000).Draw(t, "memory")),
					GPU: anvilid.AcceleratorCount(rapid.IntRange(0, 8).Draw(t, "gpu")),
				})
			case 2:
				w.endStopping()
			case 3:
				for _, target := range w.state.Targets() {
					for _, task := range slices.SortedFunc(maps.Keys(w.state.Runs(target.ID)), anvilwork.Task.Compare) {
						w.end(task, anvilwork.RunDone)
						break
					}
				}
			}
			w.planAfterShrink()
		}
	})
}

// TestUnavailableTarget guards against placing tasks that occupy no resources on a target that may get none,
// because it doesn't answer or is claimed for another job.
func TestUnavailableTarget(t *testing.T) {
	w := newTestCluster(t, 1, 1, 8)
	w.submit("fills", "common", "b", anvilwork.Step{Count: 1, Need: anvilwork.Resources{CPU: 1000}, BestEffort: true})
	input := w.input()
	input.Usable = func(anvilid.TargetID) bool { return false }
	assert.Equal(t, len(Plan(input).Placements), 0)
	w.claimed = map[anvilid.TargetID]anvilid.JobID{"r0-00": "u"}
	w.submit("u", "urgent", "a", anvilwork.Step{Count: 2, Need: gpus(8), Gang: true})
	assert.Equal(t, len(Plan(w.input()).Placements), 0)
	assert.Equal(t, len(Plan(w.input()).Claims), 1)
	w.claimed = nil
	assert.Equal(t, len(Plan(w.input()).Placements), 1)
}
