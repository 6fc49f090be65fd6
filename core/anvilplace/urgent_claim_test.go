package anvilplace

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilwork"
)

// TestClaimWithoutEviction guards against targets that stay claimed for an urgent job beyond a guarantee, for which runs
// were to be stopped and now have too much work to lose: others would wait beside them without end.
func TestClaimWithoutEviction(t *testing.T) {
	w := newClusterWithRoom(t, 7)
	w.submit("young", "common", "b", anvilwork.Step{Count: 1, Need: gpus(1), Estimate: 600_000})
	w.plan()
	w.now += 35_500
	w.submit("u", "urgent", "b", anvilwork.Step{Count: 1, Need: gpus(8), Estimate: 5000})
	w.plan()
	assert.Equal(t, len(w.claimed), 1, "the eviction is postponed")
	assert.Equal(t, len(w.stopping), 0)
	w.submit("waits", "common", "b", anvilwork.Step{Count: 1, Need: gpus(2)})
	w.now += 1000
	assert.Equal(t, len(w.plan().Evictions), 0, "by now it would lose more work than the job does")
	wait := w.waitFor("waits", 1)
	assert.Assert(t, wait <= longestWait, "the job waits for %d ms", wait)
}
