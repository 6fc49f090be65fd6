package anvileject

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

func task(job anvilid.JobID) anvilwork.Task { return anvilwork.Task{Job: job} }

// TestEjection guards against a target that fails everything and uses up the
// attempts of good jobs, and against ejecting it for ever.
func TestEjection(t *testing.T) {
	b := New()
	b.Ended(0, "bad", task("j"), anvilwork.RunFailed)
	b.Ended(10, "bad", task("j"), anvilwork.RunFailed)
	assert.Equal(t, len(b.Ejected(20, 10)), 0, "the job itself may be at fault")
	assert.Assert(t, b.Failed(task("j"), "bad"))
	assert.Assert(t, !b.Failed(task("k"), "bad"))
	b.Ended(30, "bad", task("k"), anvilwork.RunFailed)
	assert.DeepEqual(t, b.Ejected(40, 10), []anvilid.TargetID{"bad"})
	assert.Equal(t, len(b.Ejected(30+firstSpan, 10)), 0, "it is tried again")
	b.Ended(3000, "bad", task("l"), anvilwork.RunFailed)
	assert.Equal(t, len(b.Ejected(3000+firstSpan, 10)), 1, "and ejected for longer")
	b.Ended(9000, "bad", task("m"), anvilwork.RunDone)
	assert.Equal(t, len(b.Ejected(9000, 10)), 0)
	b.Forget("j")
	assert.Assert(t, !b.Failed(task("j"), "bad"))
}

// TestCommonFault guards against ejecting targets for jobs that fail everywhere.
func TestCommonFault(t *testing.T) {
	b := New()
	for _, target := range []anvilid.TargetID{"a", "b", "c"} {
		b.Ended(0, target, task("j"), anvilwork.RunFailed)
		b.Ended(0, target, task("k"), anvilwork.RunFailed)
	}
	assert.Equal(t, len(b.Ejected(0, 6)), 0)
	assert.Equal(t, len(b.Ejected(0, 10)), 3)
}
