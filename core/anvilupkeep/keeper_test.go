package anvilupkeep

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const testUpkeep = 2000 * anvilclock.Millisecond

// world is a state with one wave, and the machines as the platform has them.
type world struct {
	t     *testing.T
	state *anvilwork.State
	now   anvilclock.Millis
	// back is when a machine is up again, or 0.
	back    map[anvilid.MachineID]anvilclock.Millis
	loads   map[anvilid.TargetID]Load
	keeper  *Coordinator
	pending []anvilwork.Command
	// answer decides what becomes of an order.
	answer func(Order) OrderResult
	// stopped has the targets whose runs were to end.
	stopped map[anvilid.TargetID]bool
	most    int // machines down at a time
	begun   []anvilid.MachineID
}

func newWorld(t *testing.T, machines, limit int, span anvilclock.Millis) *world {
	w := &world{
		t: t, state: anvilwork.New(), now: 1000, back: map[anvilid.MachineID]anvilclock.Millis{}, loads: map[anvilid.TargetID]Load{},
		keeper: New(testUpkeep), stopped: map[anvilid.TargetID]bool{},
	}
	w.answer = w.begin
	wave := anvilwork.Wave{Number: 1, MaxDown: limit, MaxDuration: span}
	for n := range machines {
		id := anvilid.MachineID(fmt.Sprint("m", n))
		wave.Machines = append(wave.Machines, anvilwork.WaveMachine{Machine: id})
		w.back[id] = 0
	}
	assert.NilError(t, wave.Check())
	w.pending = []anvilwork.Command{{StartWave: &wave}}
	return w
}

// begin carries an order out.
func (w *world) begin(order Order) OrderResult {
	if w.back[order.Machine] == 0 {
		w.back[order.Machine] = w.now + testUpkeep
		w.begun = append(w.begun, order.Machine)
		w.loads[anvilid.TargetID("t-"+order.Machine)] = Load{}
	}
	down := 0
	for _, back := range w.back {
		if back > w.now {
			down++
		}
	}
	w.most = max(w.most, down)
	return Accepted
}

func (w *world) list() MachineList {
	list := MachineList{Sent: w.now, Machines: map[anvilid.MachineID]Machine{}}
	for id, back := range w.back {
		list.Machines[id] = Machine{Up: back <= w.now, Target: anvilid.TargetID("t-" + id)}
	}
	return list
}

// step commits what is pending and takes one step.
func (w *world) step() {
	w.now += 100
	if len(w.pending) > 0 {
		w.state.Apply(w.now, anvilwork.Batch{Commands: w.pending})
		w.pending = nil
	}
	effects := w.keeper.Step(w.now, w.now, w.state.Waves(), w.list(), func(id anvilid.TargetID) Load { return w.loads[id] })
	w.pending = effects.Commands
	for _, id := range effects.Stop {
		w.stopped[id] = true
	}
	for _, order := range effects.Orders {
		w.pending = append(w.pending, w.keeper.Answered(w.now, order, w.answer(order)).Commands...)
	}
}

func (w *world) completed() bool {
	wave, ok := w.state.Wave(1)
	return ok && wave.Completed()
}

func (w *world) run(span anvilclock.Millis) {
	for until := w.now + span; w.now < until && !w.completed(); {
		w.step()
	}
}

// Guards against more machines down at a time than allowed, and against a wave
// that is called completed before each machine has had its upkeep.
func TestWave(t *testing.T) {
	w := newWorld(t, 5, 2, 20_000)
	w.run(20_000)
	assert.Assert(t, w.completed())
	assert.Equal(t, w.most, 2)
	assert.Equal(t, len(w.begun), 5)
}

// Guards against machines that lose work while idle ones could go first, and
// against work that is cut off although the wave has time.
func TestIdleMachinesFirst(t *testing.T) {
	w := newWorld(t, 3, 1, 30_000)
	w.loads["t-m0"] = Load{Runs: 3, Loss: 9000}
	w.run(2 * (testUpkeep + 500))
	assert.DeepEqual(t, w.begun, []anvilid.MachineID{"m1", "m2"})
	assert.Equal(t, len(w.stopped), 0)
	w.run(2000)
	assert.Equal(t, len(w.begun), 2, "its runs have time to end")
	w.run(10_000)
	assert.Assert(t, w.stopped["t-m0"])
	assert.Assert(t, w.completed())
}

// Guards against ending a lasting task whose caller can't miss it now.
func TestHeldMachine(t *testing.T) {
	w := newWorld(t, 2, 2, 20_000)
	w.loads["t-m0"] = Load{Runs: 1, Protected: true}
	w.run(10_000)
	assert.DeepEqual(t, w.begun, []anvilid.MachineID{"m1"})
	w.loads["t-m0"] = Load{Runs: 1}
	w.run(20_000)
	assert.Assert(t, w.completed())
}

// Guards against a machine that counts as up while an order without an answer
// may still be carried out, against a new leader that forgets which machines
// are down, and against waiting for machines that don't exist any more.
func TestUnansweredOrder(t *testing.T) {
	w := newWorld(t, 3, 1, 20_000)
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
	w.keeper, w.answer = New(testUpkeep), w.begin // another leader
	delete(w.back, "m2")
	w.run(12_000)
	assert.Assert(t, w.completed())
	assert.Equal(t, w.most, 1)
	assert.Equal(t, len(w.begun), 2)
}

// Guards against orders for machines that the platform doesn't take for a part
// of the wave, again and again.
func TestImpossibleOrder(t *testing.T) {
	w := newWorld(t, 1, 1, 20_000)
	orders := 0
	w.answer = func(Order) OrderResult { orders++; return Impossible }
	w.run(5000)
	assert.Assert(t, w.completed())
	assert.Equal(t, orders, 1)
}
