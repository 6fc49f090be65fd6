package anvilspeed

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// report reports the progress of the tasks of one step: task 0 runs on target a, task 1 on b, and so
// on.
func report(m *Monitor, now anvilclock.Millis, job anvilid.JobID, percents ...int) {
	for i, percent := range percents {
		target := anvilid.TargetID(rune('a' + i))
		m.Observe(now, target, anvilwork.Task{Job: job, Index: i}, 1, percent)
	}
}

// TestSlowTarget guards against giving work to a target that is several times slower than others,
// and against never trying it again.
func TestSlowTarget(t *testing.T) {
	m := New()
	report(m, 1000, "x", 0, 0, 0)
	report(m, 1000, "y", 0, 0, 0)
	report(m, 2000, "x", 40, 38, 9)
	report(m, 2000, "y", 20, 19, 5)
	assert.DeepEqual(t, m.Slow(2000, 10), []anvilid.TargetID{"c"})
	assert.Equal(t, len(m.Slow(2000+rateValidity+1, 10)), 0)
	p, ok := m.Progress(2000, anvilwork.Task{Job: "x", Index: 2})
	assert.Assert(t, ok)
	assert.Equal(t, p, Progress{Percent: 9, Rate: 0.009, BestRate: 0.04})
}

// TestTurnsSlow guards against missing that a target becomes slow while it runs a task, and against
// taking a target for slow because its task has more work than others of the same step.
func TestTurnsSlow(t *testing.T) {
	m := New()
	report(m, 1000, "x", 0, 0, 0)
	report(m, 2000, "x", 40, 38, 9)
	assert.Equal(t, len(m.Slow(2000, 10)), 0)
	report(m, 2500, "x", 45, 58, 14)
	assert.DeepEqual(t, m.Slow(2500, 10), []anvilid.TargetID{"a"})
}

// TestLongTask guards against taking a target for slow because one task on it has more work than
// others of the same step.
func TestLongTask(t *testing.T) {
	m := New()
	report(m, 1000, "x", 0, 0, 0)
	report(m, 1000, "y", 0, 0, 0)
	report(m, 2000, "x", 40, 38, 9)
	report(m, 2000, "y", 20, 19, 18)
	assert.Equal(t, len(m.Slow(2000, 10)), 0)
}

// TestMostAreSlow guards against reporting so many targets as slow that hardly any is left for work.
func TestMostAreSlow(t *testing.T) {
	m := New()
	report(m, 1000, "x", 0, 0, 0)
	report(m, 2000, "x", 40, 40, 40)
	report(m, 3000, "x", 80, 45, 46)
	assert.Equal(t, len(m.Slow(3000, 10)), 2)
	assert.Equal(t, len(m.Slow(3000, 3)), 0)
}

// TestStill guards against not noticing a run that makes no progress, and against reporting a task
// as stalled that is done and waits for its gang.
func TestStill(t *testing.T) {
	m := New()
	report(m, 1000, "x", 0, 50)
	report(m, 2000, "x", 0, 100)
	report(m, 4000, "x", 0, 100)
	p, _ := m.Progress(4000, anvilwork.Task{Job: "x"})
	assert.Equal(t, p.StalledFor, 3*anvilclock.Second)
	p, _ = m.Progress(4000, anvilwork.Task{Job: "x", Index: 1})
	assert.Equal(t, p.StalledFor, anvilclock.Millis(0))
	assert.Equal(t, p.Rate, 0.05)
}
