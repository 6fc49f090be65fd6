package anvilspeed

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// report gives one report of a task on each target, with its percent.
func report(j *Monitor, now anvilclock.Millis, job anvilid.JobID, percents ...int) {
	for i, percent := range percents {
		target := anvilid.TargetID(rune('a' + i))
		j.Observe(now, target, anvilwork.Task{Job: job, Index: i}, 1, percent)
	}
}

// TestSlowTarget guards against placing work on a target that works several
// times slower than others, and against doing without it for ever.
func TestSlowTarget(t *testing.T) {
	j := New()
	report(j, 1000, "x", 0, 0, 0)
	report(j, 1000, "y", 0, 0, 0)
	report(j, 2000, "x", 40, 38, 9)
	report(j, 2000, "y", 20, 19, 5)
	assert.DeepEqual(t, j.Slow(2000, 10), []anvilid.TargetID{"c"})
	assert.Equal(t, len(j.Slow(2000+freshSpan+1, 10)), 0)
	p, ok := j.Progress(2000, anvilwork.Task{Job: "x", Index: 2})
	assert.Assert(t, ok)
	assert.Equal(t, p, Progress{Percent: 9, Rate: 0.009, BestRate: 0.04})
}

// TestTurnsSlow guards against a target that turns slow while it runs one task,
// and against blaming it for a task that is only longer than its equals.
func TestTurnsSlow(t *testing.T) {
	j := New()
	report(j, 1000, "x", 0, 0, 0)
	report(j, 2000, "x", 40, 38, 9)
	assert.Equal(t, len(j.Slow(2000, 10)), 0)
	report(j, 2500, "x", 45, 58, 14)
	assert.DeepEqual(t, j.Slow(2500, 10), []anvilid.TargetID{"a"})
}

// TestLongTask guards against blaming a target for one task that is longer
// than its equals.
func TestLongTask(t *testing.T) {
	j := New()
	report(j, 1000, "x", 0, 0, 0)
	report(j, 1000, "y", 0, 0, 0)
	report(j, 2000, "x", 40, 38, 9)
	report(j, 2000, "y", 20, 19, 18)
	assert.Equal(t, len(j.Slow(2000, 10)), 0)
}

// TestMostAreSlow guards against a judge that leaves hardly any target.
func TestMostAreSlow(t *testing.T) {
	j := New()
	report(j, 1000, "x", 0, 0, 0)
	report(j, 2000, "x", 40, 40, 40)
	report(j, 3000, "x", 80, 45, 46)
	assert.Equal(t, len(j.Slow(3000, 10)), 2)
	assert.Equal(t, len(j.Slow(3000, 3)), 0)
}

// TestStill guards against a task that stands still unnoticed, and against
// taking one for it that is done and waits for its gang.
func TestStill(t *testing.T) {
	j := New()
	report(j, 1000, "x", 0, 50)
	report(j, 2000, "x", 0, 100)
	report(j, 4000, "x", 0, 100)
	p, _ := j.Progress(4000, anvilwork.Task{Job: "x"})
	assert.Equal(t, p.StalledFor, 3*anvilclock.Second)
	p, _ = j.Progress(4000, anvilwork.Task{Job: "x", Index: 1})
	assert.Equal(t, p.StalledFor, anvilclock.Millis(0))
	assert.Equal(t, p.Rate, 0.05)
}
