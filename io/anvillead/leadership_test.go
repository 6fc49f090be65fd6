package anvillead

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

// Guards against an event that tells of a negative wait for a job that was
// cancelled before it had a run.
func TestWaited(t *testing.T) {
	job := &anvilwork.Job{Accepted: 1_000_000, Ended: 1_000_212}
	assert.Equal(t, waited(job, 0), anvilclock.Millis(212))
	assert.Equal(t, waited(job, 1_000_040), anvilclock.Millis(40))
}
