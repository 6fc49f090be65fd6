package anvilupkeep

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// TestListFromBeforeTheWave guards against a wave that is completed without the maintenance of a machine, because
// the machine was added after the list of machines of an earlier wave, and against the order for a machine
// whose runs are on a target that such a list doesn't name.
func TestListFromBeforeTheWave(t *testing.T) {
	w := newSimulation(t, 2, 2, 20_000)
	w.run(20_000)
	assert.Assert(t, w.completed())
	old := w.list()
	w.upAt["m2"], w.started = 0, nil
	w.loads["t-m2"] = Load{Runs: 1}
	wave := anvilwork.Wave{Number: 2, MaxDown: 2, MaxDuration: 20_000, Machines: []anvilwork.WaveMachine{{Machine: "m2"}}}
	w.state.Apply(w.now, anvilwork.Batch{Commands: []anvilwork.Command{{StartWave: &wave}}})
	w.now += 100
	effects := w.coordinator.Step(w.now, w.now, w.state.Waves(), old, func(id anvilid.TargetID) Load { return w.loads[id] })
	assert.Equal(t, len(effects.Commands), 0)
	delete(w.loads, "t-m2")
	for range 100 {
		w.step()
	}
	assert.DeepEqual(t, w.started, []anvilid.MachineID{"m2"})
	second, _ := w.state.Wave(2)
	assert.Assert(t, second.Completed())
}
