package anvilspeed

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

// record commits the changes of a leader's estimates, in as many steps as it takes.
func record(t *testing.T, e *Estimator, state *anvilwork.State) (count int) {
	t.Helper()
	for {
		changes := e.Changes(state)
		if len(changes) == 0 {
			return count
		}
		count += len(changes)
		command := anvilwork.Command{RecordSpeeds: &anvilwork.RecordSpeeds{Speeds: changes}}
		assert.Equal(t, state.Apply(1, anvilwork.Batch{Commands: []anvilwork.Command{command}})[0], anvilwork.Applied)
	}
}

// TestHandOver guards against a new leader that plans without the speeds that the former one has learnt, also after
// it was restored from a snapshot, and against one that takes the unequal machines for all there are.
func TestHandOver(t *testing.T) {
	w := newWorkload(10, 90, threeSpeeds)
	w.mix(30 * anvilclock.Second)
	state := anvilwork.New()
	record(t, w.estimator, state)
	snapshot, err := state.Snapshot()
	assert.NilError(t, err)
	restored, err := anvilwork.Restore(snapshot)
	assert.NilError(t, err)
	next := NewEstimator()
	for _, speed := range restored.Speeds() {
		next.Inherit(1, speed)
	}
	next.Fit(2000)
	for i := range w.machines {
		former, inherited := float64(w.estimator.Speed(machineName(i))), float64(next.Speed(machineName(i)))
		assert.Assert(t, math.Abs(math.Log(former/inherited)) < 0.15, "machine %d: %.2f, inherited %.2f", i, former, inherited)
	}
}

// TestSpeedsAreWrittenRarely guards against speeds that are written to the replicated log again and again because
// of noise, and against any such write where all machines are equal.
func TestSpeedsAreWrittenRarely(t *testing.T) {
	w, state := newWorkload(11, 90, threeSpeeds), anvilwork.New()
	w.mix(60 * anvilclock.Second)
	record(t, w.estimator, state)
	written := 0
	for range 10 {
		w.mix(10 * anvilclock.Second)
		written += record(t, w.estimator, state)
	}
	assert.Assert(t, written < w.machines, "%d speeds of %d machines in 100 s", written, w.machines)

	equal := newWorkload(12, 90, func(int) float64 { return 1 })
	equal.mix(20 * anvilclock.Second)
	assert.Equal(t, len(equal.estimator.Changes(anvilwork.New())), 0)
}

// TestLevels guards against speeds that change by more than a level when they are recorded, or that overflow.
func TestLevels(t *testing.T) {
	for _, speed := range []Factor{0.01, 0.6, 1, 1.6, 100} {
		assert.Assert(t, math.Abs(math.Log(float64(FactorOf(LevelOf(speed))/speed))) <= 0.5/levelsPerUnit)
	}
	assert.Equal(t, LevelOf(1e9), anvilwork.SpeedLevel(maxLevel))
	assert.Equal(t, LevelOf(1e-9), anvilwork.SpeedLevel(-maxLevel))
	assert.Equal(t, LevelOf(0), anvilwork.SpeedLevel(0))
}
