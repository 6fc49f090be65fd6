package anvilplace

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// smallWork hands in small tasks that end one after the other and keep the
// whole system busy. It returns what makes the next one end and another one
// come.
func (w *world) smallWork(tasks int) func() {
	next, oldest := 0, 0
	add := func() {
		w.submit(anvilid.JobID(fmt.Sprintf("small-%d", next)), "common", "b",
			anvilwork.Step{Count: 1, Need: gpus(2), Estimate: 4000})
		next++
	}
	for range tasks {
		add()
	}
	w.plan()
	return func() {
		w.now += 100
		w.end(anvilwork.Task{Job: anvilid.JobID(fmt.Sprintf("small-%d", oldest))}, anvilwork.RunDone)
		oldest++
		add()
		w.plan()
	}
}

// TestGather answers the pattern of a steady stream of small tasks in a full
// system, of which each fills the gap that another one leaves: a gang that needs
// the whole of a rack starts all the same, within about the time of one task.
func TestGather(t *testing.T) {
	w := newWorld(t, 4, 2, 0)
	step := w.smallWork(32 + 8) // all room is taken, and some wait
	w.submit("gang", "common", "b", anvilwork.Step{Count: 2, Need: gpus(8), Gang: true, PreferOneRack: true, Estimate: 4000})
	for waited := 0; len(w.assigned("gang")) == 0; waited += 100 {
		assert.Assert(t, waited < 8000, "the gang still waits")
		step()
	}
	targets := w.assigned("gang")
	assert.Equal(t, targets[0][:2], targets[1][:2])
}

// TestGatherYields guards against room that is gathered for a gang while an
// urgent job waits, and against gathering more than a part of the system.
func TestGatherYields(t *testing.T) {
	w := newWorld(t, 4, 2, 0)
	w.submit("long", "common", "b", anvilwork.Step{Count: 32, Need: gpus(2), Estimate: 60_000})
	w.plan()
	for _, id := range []anvilid.JobID{"g1", "g2", "g3"} {
		w.submit(id, "common", "b", anvilwork.Step{Count: 2, Need: gpus(8), Gang: true, PreferOneRack: true, Estimate: 4000})
	}
	w.now += 50_000
	w.plan()
	assert.Equal(t, len(w.kept), 2, "%v", w.kept)
	for _, index := range []int{0, 1, 2, 3} {
		w.end(anvilwork.Task{Job: "long", Index: index}, anvilwork.RunDone)
	}
	w.submit("u", "urgent", "a", anvilwork.Step{Count: 1, Need: gpus(8)})
	assert.Equal(t, len(w.plan().Evictions), 0)
	assert.Equal(t, len(w.assigned("u")), 1)
}
