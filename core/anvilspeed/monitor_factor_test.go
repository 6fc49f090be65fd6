package anvilspeed

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
)

// TestLastingSpeedIsNotSlow guards against avoiding a target as disrupted because it is known to be slower than
// others at all times, and against missing a disruption of one that is known to be fast.
func TestLastingSpeedIsNotSlow(t *testing.T) {
	m := New()
	m.Factor = func(id anvilid.TargetID) Factor { return map[anvilid.TargetID]Factor{"a": 1.6, "c": 0.6}[id] }
	for _, job := range []anvilid.JobID{"x", "y"} {
		report(m, 1000, job, 0, 0, 0, 0)
		report(m, 2000, job, 48, 30, 18, 3)
	}
	assert.DeepEqual(t, m.Slow(2000, 10), []anvilid.TargetID{"d"})
	m = New()
	m.Factor = func(id anvilid.TargetID) Factor { return map[anvilid.TargetID]Factor{"a": 1.6}[id] }
	for _, job := range []anvilid.JobID{"x", "y"} {
		report(m, 1000, job, 0, 0, 0)
		report(m, 2000, job, 20, 30, 28)
	}
	assert.DeepEqual(t, m.Slow(2000, 10), []anvilid.TargetID{"a"})
}
