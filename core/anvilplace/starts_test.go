package anvilplace

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// TestEverythingWaitsAtOnce answers the load after all voters were down, when all jobs wait at once and all targets
// are empty. It guards against placing everything in one step: the starts delay each other, and gangs wait in
// vain for members whose starts have not been sent yet.
func TestEverythingWaitsAtOnce(t *testing.T) {
	const limit = 20
	w := newTestCluster(t, 4, 8, 0)
	w.maxStarts = limit
	for i := range 12 {
		w.submit(anvilid.JobID(fmt.Sprint("gang-", i)), "common", "b", anvilwork.Step{Count: 7, Need: gpus(1), Gang: true})
	}
	w.submit("wide", "common", "b", anvilwork.Step{Count: 30, Need: gpus(1)})
	w.submit("urgent", "urgent", "a", anvilwork.Step{Count: 6, Need: gpus(1), Gang: true})

	assert.Equal(t, w.placeTasks(), 6+2*7, "the urgent gang, and gangs until the limit is reached")
	w.starts = limit
	w.submit("later", "urgent", "a", anvilwork.Step{Count: 30, Need: gpus(1)})
	assert.Equal(t, w.placeTasks(), limit, "only urgent tasks, up to twice the limit")
	w.starts = 0
	placed := 0
	for range 20 {
		count := w.placeTasks()
		assert.Assert(t, count < limit+7, "%d tasks were placed at once", count)
		placed += count
	}
	assert.Equal(t, placed, 10*7+30+10, "everything else is placed in turn")
}

// placeTasks plans once and returns the number of tasks that were placed.
func (w *testCluster) placeTasks() int {
	count := 0
	for _, placement := range w.plan().Placements {
		count += len(placement.Assignments)
	}
	return count
}
