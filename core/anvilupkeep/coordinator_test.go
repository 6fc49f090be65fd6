package anvilupkeep

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const testDowntime = 2000 * anvilclock.Millisecond

// simulation is a replicated state with one wave, and the machines as the platform knows them.
type simulation struct {
	t     *testing.T
	state *anvilwork.State
	now   anvilclock.Millis
	// upAt is when a machine is up again, or 0 if it has had no maintenance.
	upAt        map[anvilid.MachineID]anvilclock.Millis
	loads       map[anvilid.TargetID]Load
	coordinator *Coordinator
	pending     []anvilwork.Command
	// answer simulates the platform: it may carry out an order, and returns the answer to it.
	answer func(Order) OrderResult
	// stopped contains the targets whose runs the coordinator wanted to be stopped.
	stopped map[anvilid.TargetID]bool
	maxDown int // the largest number of machines that were down at the same time
	started []anvilid.MachineID
}

func newSimulation(t *testing.T, machines, limit int, span anvilclock.Millis) *simulation {
	w := &simulation{
		t: t, state: anvilwork.New(), now: 1000, upAt: map[anvilid.MachineID]anvilclock.Millis{}, loads: map[anvilid.TargetID]Load{},
		coordinator: New(testDowntime), stopped: map[anvilid.TargetID]bool{},
	}
	w.answer = w.startMaintenance
	wave := anvilwork.Wave{Number: 1, MaxDown: limit, MaxDuration: span}
	for n := range machines {
		id := anvilid.MachineID(fmt.Sprint("m", n))
		wave.Machines = append(wave.Machines, anvilwork.WaveMachine{Machine: id})
		w.upAt[id] = 0
	}
	assert.NilError(t, wave.Check())
	w.pending = []anvilwork.Command{{StartWave: &wave}}
	return w
}

// startMaintenance starts the maintenance of a machine unless it already had maintenance.
func (w *simulation) startMaintenance(order Order) OrderResult {
	if w.upAt[order.Machine] == 0 {
		w.upAt[order.Machine] = w.now + testDowntime
		w.started = append(w.started, order.Machine)
		w.loads[anvilid.TargetID("t-"+order.Machine)] = Load{}
	}
	down := 0
	for _, back := range w.upAt {
		if back > w.now {
			down++
		}
	}
	w.maxDown = max(w.maxDown, down)
	return Accepted
}

func (w *simulation) list() MachineList {
	list := MachineList{Sent: w.now, Machines: map[anvilid.MachineID]Machine{}}
	for id, back := range w.upAt {
		list.Machines[id] = Machine{Up: back <= w.now, Target: anvilid.TargetID("t-" + id)}
	}
	return list
}

// step commits the commands of the previous step, calls Coordinator.Step once and answers its orders.
func (w *simulation) step() {
	w.now += 100
	if len(w.pending) > 0 {
		w.state.Apply(w.now, anvilwork.Batch{Commands: w.pending})
		w.pending = nil
	}
	effects := w.coordinator.Step(w.now, w.now, w.state.Waves(), w.list(), func(id anvilid.TargetID) Load { return w.loads[id] })
	w.pending = effects.Commands
	for _, id := range effects.Stop {
		w.stopped[id] = true
	}
	for _, order := range effects.Orders {
		w.pending = append(w.pending, w.coordinator.Answered(w.now, order, w.answer(order)).Commands...)
	}
}

func (w *simulation) completed() bool {
	wave, ok := w.state.Wave(1)
	return ok && wave.Completed()
}

func (w *simulation) run(span anvilclock.Millis) {
	for until := w.now + span; w.now < until && !w.completed(); {
		w.step()
	}
}

// Guards against more machines down at a time than allowed, and against reporting a wave as
// completed before each machine has had its maintenance.
func TestWave(t *testing.T) {
	w := newSimulation(t, 5, 2, 20_000)
	w.run(20_000)
	assert.Assert(t, w.completed())
	assert.Equal(t, w.maxDown, 2)
	assert.Equal(t, len(w.started), 5)
}

// Guards against draining busy machines while idle ones could have their maintenance first, and
// against stopping runs although the wave has time to wait for them.
func TestIdleMachinesFirst(t *testing.T) {
	w := newSimulation(t, 3, 1, 30_000)
	w.loads["t-m0"] = Load{Runs: 3, Loss: 9000}
	w.run(2 * (testDowntime + 500))
	assert.DeepEqual(t, w.started, []anvilid.MachineID{"m1", "m2"})
	assert.Equal(t, len(w.stopped), 0)
	w.run(2000)
	assert.Equal(t, len(w.started), 2, "runs on m0 still have time to end")
	w.run(10_000)
	assert.Assert(t, w.stopped["t-m0"])
	assert.Assert(t, w.completed())
}

// Guards against maintenance of a machine with a protected run: a long-running task that must not be
// stopped at the moment.
func TestHeldMachine(t *testing.T) {
	w := newSimulation(t, 2, 2, 20_000)
	w.loads["t-m0"] = Load{Runs: 1, Protected: true}
	w.run(10_000)
	assert.DeepEqual(t, w.started, []anvilid.MachineID{"m1"})
	w.loads["t-m0"] = Load{Runs: 1}
	w.run(20_000)
	assert.Assert(t, w.completed())
}

// Guards against draining further machines while an order without an answer may still be carried
// out, against a new leader that doesn't know which machines are down, and against waiting for
// machines that don't exist any more.
func TestUnansweredOrder(t *testing.T) {
	w := newSimulation(t, 3, 1, 20_000)
	w.answer = func(Order) OrderResult { return RetryLater }
	w.run(8000)
	wave, _ := w.state.Wave(1)
	ordered := 0
	for _, m := range wave.Machines {
		if m.Phase != anvilwork.WaveWaiting {
			ordered++
		}
	}
	assert.Equal(t, ordered, 1)
	w.coordinator, w.answer = New(testDowntime), w.startMaintenance // a new leader
	delete(w.upAt, "m2")
	w.run(12_000)
	assert.Assert(t, w.completed())
	assert.Equal(t, w.maxDown, 1)
	assert.Equal(t, len(w.started), 2)
}

// Guards against repeating an order forever for a machine that the platform doesn't consider part
// of the wave.
func TestImpossibleOrder(t *testing.T) {
	w := newSimulation(t, 1, 1, 20_000)
	orders := 0
	w.answer = func(Order) OrderResult { orders++; return Impossible }
	w.run(5000)
	assert.Assert(t, w.completed())
	assert.Equal(t, orders, 1)
}

// Guards against the maintenance of a machine with two tasks of a step of which one may be unavailable: each may
// be stopped, but not both at once.
func TestTasksOfOneStep(t *testing.T) {
	w := newSimulation(t, 1, 1, 6000)
	w.loads["t-m0"] = Load{Runs: 2, ProtectedTogether: true}
	w.run(10_000)
	assert.Equal(t, len(w.started), 0)
	assert.Assert(t, w.stopped["t-m0"])
	w.loads["t-m0"] = Load{Runs: 1}
	w.run(10_000)
	assert.Assert(t, w.completed())
}
