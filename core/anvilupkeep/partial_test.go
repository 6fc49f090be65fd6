package anvilupkeep

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// TestPartialList guards against a machine that is taken for gone, and gets no maintenance, because its entry
// in the list could not be read, and against a wave that never ends because a machine of it really is gone.
func TestPartialList(t *testing.T) {
	coordinator, orders := New(testDowntime), map[anvilid.MachineID]int{}
	state := anvilwork.New()
	wave := anvilwork.Wave{Number: 1, MaxDown: 1, MaxDuration: 10_000, Machines: []anvilwork.WaveMachine{{Machine: "announced"}, {Machine: "hidden"}, {Machine: "gone"}}}
	pending := []anvilwork.Command{{StartWave: &wave}}
	loads := map[anvilid.TargetID]Load{"t": {Runs: 1, Loss: 5}}
	for now := anvilclock.Millis(1000); now < 20_000; now += 100 {
		state.Apply(now, anvilwork.Batch{Commands: pending})
		list := MachineList{Sent: now, Machines: map[anvilid.MachineID]Machine{}, Partial: true}
		list.AddAnnounced("announced", "t")
		effects := coordinator.Step(now, now, state.Waves(), list, func(id anvilid.TargetID) Load { return loads[id] })
		pending = effects.Commands
		for _, id := range effects.Stop {
			delete(loads, id)
		}
		for _, order := range effects.Orders {
			assert.Assert(t, order.Machine != "announced" || len(loads) == 0, "a machine with runs was not drained")
			orders[order.Machine]++
			result := Accepted
			if order.Machine == "gone" {
				result = Impossible
			}
			pending = append(pending, coordinator.Answered(now, order, result).Commands...)
		}
	}
	assert.DeepEqual(t, orders, map[anvilid.MachineID]int{"announced": 1, "hidden": 1, "gone": 1})
	assert.Equal(t, len(state.Waves()), 0)
}

// TestAddAnnounced guards against an announced machine that takes the place of a listed one, or is added to a
// list that was read completely.
func TestAddAnnounced(t *testing.T) {
	list := MachineList{Machines: map[anvilid.MachineID]Machine{"m": {Target: "t"}}}
	list.AddAnnounced("n", "u")
	assert.Equal(t, len(list.Machines), 1)
	list.Partial = true
	list.AddAnnounced("m", "u")
	list.AddAnnounced("n", "u")
	list.AddAnnounced("", "v")
	assert.DeepEqual(t, list.Machines, map[anvilid.MachineID]Machine{"m": {Target: "t"}, "n": {Up: true, Target: "u"}})
}
