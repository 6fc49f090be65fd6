package anvilplace

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// TestGangBesideTasksThatLast guards against a gang that prefers one rack and waits for an empty one without end: each
// rack has a task that lasts, while the gang would fit twice into what is free in several racks.
func TestGangBesideTasksThatLast(t *testing.T) {
	const racks, size, wait = 3, 3, 20 * anvilclock.Second
	w := newTestCluster(t, racks, size, 0)
	for rack := range racks {
		w.submit(anvilid.JobID(fmt.Sprint("lasts-", rack)), "common", "b",
			anvilwork.Step{Count: 1, Need: gpus(1), LongRunning: true, PreferredRack: anvilid.RackName(fmt.Sprintf("r%d", rack))})
	}
	assert.Equal(t, len(w.plan().Placements), racks)
	w.submit("gang", "common", "b", anvilwork.Step{Count: size, Need: gpus(8), Gang: true, PreferOneRack: true})
	submitted := w.now
	for ; w.now < submitted+wait; w.now += anvilclock.Second {
		if len(w.plan().Placements) > 0 {
			t.Logf("placed after %d ms", w.now-submitted)
			return
		}
	}
	assert.Assert(t, false, "the gang has waited for %d ms, and %d targets are free", wait, racks*(size-1))
}
