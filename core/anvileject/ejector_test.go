package anvileject

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

func task(job anvilid.JobID) anvilwork.Task { return anvilwork.Task{Job: job} }

// TestEjection guards against a target on which every task fails and uses up the attempts of good
// jobs, and against ejecting such a target forever.
func TestEjection(t *testing.T) {
	ejector := New()
	ejector.Ended(0, "bad", task("j"), anvilwork.RunFailed)
	ejector.Ended(10, "bad", task("j"), anvilwork.RunFailed)
	assert.Equal(t, len(ejector.Ejected(20, 10)), 0, "one failed job may be its own fault")
	assert.Equal(t, ejector.Failures(task("j").StepKey())["bad"], 2)
	assert.Equal(t, len(ejector.Failures(task("k").StepKey())), 0)
	ejector.Ended(30, "bad", task("k"), anvilwork.RunFailed)
	assert.DeepEqual(t, ejector.Ejected(40, 10), []anvilid.TargetID{"bad"})
	assert.Equal(t, len(ejector.Ejected(30+firstEjection, 10)), 0, "the target is tried again after the ejection")
	ejector.Ended(3000, "bad", task("l"), anvilwork.RunFailed)
	assert.Equal(t, len(ejector.Ejected(3000+firstEjection, 10)), 1, "the second ejection is longer")
	ejector.Ended(9000, "bad", task("m"), anvilwork.RunDone)
	assert.Equal(t, len(ejector.Ejected(9000, 10)), 0)
	ejector.Forget("j")
	assert.Equal(t, len(ejector.Failures(task("j").StepKey())), 0)
}

// TestCommonFault guards against ejecting targets because of jobs that fail everywhere.
func TestCommonFault(t *testing.T) {
	ejector := New()
	for _, target := range []anvilid.TargetID{"a", "b", "c"} {
		ejector.Ended(0, target, task("j"), anvilwork.RunFailed)
		ejector.Ended(0, target, task("k"), anvilwork.RunFailed)
	}
	assert.Equal(t, len(ejector.Ejected(0, 6)), 0)
	assert.Equal(t, len(ejector.Ejected(0, 10)), 3)
}
