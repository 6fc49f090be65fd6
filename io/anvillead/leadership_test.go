package anvillead

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

// Guards against a negative waiting time in the log event of a job that was
// cancelled before its first run.
func TestWaited(t *testing.T) {
	job := &anvilwork.Job{Accepted: 1_000_000, Ended: 1_000_212}
	assert.Equal(t, waited(job, 0), anvilclock.Millis(212))
	assert.Equal(t, waited(job, 1_000_040), anvilclock.Millis(40))
}
