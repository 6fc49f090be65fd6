// Package anvilupkeep carries out waves: it decides which machine is emptied
// next, when its upkeep is ordered, and when it has had it.
//
// It is pure: the caller commits the commands, makes the calls and passes the
// answers and the list of machines in. What must survive a change of the leader
// is in the replicated state; the keeper only remembers answers of its term.
package anvilupkeep

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// retryPause is the pause before an order that wasn't accepted is repeated.
	retryPause = 500 * anvilclock.Millisecond
	// stopSpan is the time that runs get to end after they were stopped.
	stopSpan = 1500 * anvilclock.Millisecond
	// emptyShare of a machine's share of the wave's time is left to its runs to
	// end by themselves.
	emptyShare = 0.5
)

// Machine is what the platform says of one machine.
type Machine struct {
	// Up tells that it is on and neither moves nor has its upkeep.
	Up     bool
	Target anvilid.TargetID // empty if none runs there
}

// MachineList is the platform's list of machines.
type MachineList struct {
	// Sent is when it was asked for. A list of zero time isn't known.
	Sent     anvilclock.Millis
	Machines map[anvilid.MachineID]Machine
}

// Load is what runs on a target.
type Load struct {
	Runs int
	// Loss is the work that ends with it, in core-milliseconds.
	Loss float64
	// Protected tells that a run must not be ended now.
	Protected bool
}

// Order asks the platform for the upkeep of a machine.
type Order struct {
	Wave    anvilwork.WaveNumber
	Machine anvilid.MachineID
}

// OrderResult is the platform's answer to an order.
type OrderResult uint8

// Verdicts on an order.
const (
	// Accepted means that the upkeep has begun, now or before.
	Accepted OrderResult = iota + 1
	// RetryLater means that nothing is known or that the machine is busy.
	RetryLater
	// Impossible means that the machine isn't there or isn't of the wave.
	Impossible
)

// Effects are what the caller does after a step.
type Effects struct {
	Commands []anvilwork.Command
	Orders   []Order
	// Stop names the targets whose runs shall end.
	Stop []anvilid.TargetID
}

type order struct {
	sending  bool
	next     anvilclock.Millis
	accepted anvilclock.Millis // when the platform accepted it, or 0
}

// Coordinator carries the waves out in one term.
type Coordinator struct {
	// upkeep is how long a machine is down.
	upkeep anvilclock.Millis
	orders map[Order]*order
}

// New returns a keeper for machines that are down for a span.
func New(upkeep anvilclock.Millis) *Coordinator {
	return &Coordinator{upkeep: upkeep, orders: map[Order]*order{}}
}

// Step returns what is due. Wall is the clock of the log. The commands must be committed before the orders
// of the next step are due, so that a new leader knows which machines are down.
func (k *Coordinator) Step(now, wall anvilclock.Millis, waves []*anvilwork.Wave, list MachineList, load func(anvilid.TargetID) Load) Effects {
	var effects Effects
	if list.Sent == 0 {
		return effects
	}
	for _, wave := range waves {
		k.stepWave(now, wall, wave, list, load, &effects)
	}
	return effects
}

func (k *Coordinator) stepWave(now, wall anvilclock.Millis, wave *anvilwork.Wave, list MachineList, load func(anvilid.TargetID) Load, effects *Effects) {
	away := 0
	for _, m := range wave.Machines {
		switch m.Phase {
		case anvilwork.WaveDraining:
			away++
			k.empty(wall, wave, m, list, load, effects)
		case anvilwork.WaveRequested:
			away++
			k.order(now, wave, m, list, effects)
		}
	}
	for _, m := range k.candidates(wave, list, load, effects) {
		if away >= wave.MaxDown {
			return
		}
		away++
		advance(effects, wave, m, anvilwork.WaveDraining)
	}
}

func advance(effects *Effects, wave *anvilwork.Wave, machine anvilid.MachineID, phase anvilwork.WavePhase) {
	effects.Commands = append(effects.Commands, anvilwork.Command{
		AdvanceWave: &anvilwork.AdvanceWave{Wave: wave.Number, Machine: machine, Phase: phase},
	})
}

// candidates lists the waiting machines that can be emptied now, those with the
// least to lose first. Machines that don't exist any more are done.
func (k *Coordinator) candidates(wave *anvilwork.Wave, list MachineList, load func(anvilid.TargetID) Load, effects *Effects) []anvilid.MachineID {
	var found []anvilid.MachineID
	for _, m := range wave.Machines {
		if m.Phase != anvilwork.WaveWaiting {
			continue
		}
		machine, known := list.Machines[m.Machine]
		switch {
		case !known:
			advance(effects, wave, m.Machine, anvilwork.WaveDone)
		case machine.Up && !load(machine.Target).Protected:
			found = append(found, m.Machine)
		}
	}
	slices.SortStableFunc(found, func(a, b anvilid.MachineID) int {
		return cmp.Compare(load(list.Machines[a].Target).Loss, load(list.Machines[b].Target).Loss)
	})
	return found
}

// empty waits until nothing runs on a machine, stops what runs too long, and
// orders the upkeep when the time is up.
func (k *Coordinator) empty(wall anvilclock.Millis, wave *anvilwork.Wave, m anvilwork.WaveMachine, list MachineList, load func(anvilid.TargetID) Load, effects *Effects) {
	target := list.Machines[m.Machine].Target
	patience := k.patience(wave)
	present := load(target)
	switch waited := wall - m.Since; {
	case present.Runs == 0 || waited > patience+stopSpan && !present.Protected:
		advance(effects, wave, m.Machine, anvilwork.WaveRequested)
	case waited > patience:
		effects.Stop = append(effects.Stop, target)
	}
}

// patience is how long a machine's runs may go on while it is emptied.
func (k *Coordinator) patience(wave *anvilwork.Wave) anvilclock.Millis {
	share := wave.MaxDuration * anvilclock.Millis(wave.MaxDown) / anvilclock.Millis(max(1, len(wave.Machines)))
	return max(0, anvilclock.Millis(emptyShare*float64(share-k.upkeep-stopSpan)))
}

// order repeats the order until the platform accepts it, and finishes the
// machine once a list that was asked for after its upkeep shows it up again.
func (k *Coordinator) order(now anvilclock.Millis, wave *anvilwork.Wave, m anvilwork.WaveMachine, list MachineList, effects *Effects) {
	key := Order{Wave: wave.Number, Machine: m.Machine}
	o := k.orders[key]
	if o == nil {
		o = &order{}
		k.orders[key] = o
	}
	machine, known := list.Machines[m.Machine]
	switch {
	case o.accepted > 0 && list.Sent >= o.accepted+k.upkeep && (machine.Up || !known):
		delete(k.orders, key)
		advance(effects, wave, m.Machine, anvilwork.WaveDone)
	case o.accepted == 0 && !o.sending && now >= o.next:
		o.sending = true
		effects.Orders = append(effects.Orders, key)
	}
}

// Answered takes the platform's answer to an order.
func (k *Coordinator) Answered(now anvilclock.Millis, key Order, verdict OrderResult) Effects {
	var effects Effects
	o := k.orders[key]
	if o == nil {
		return effects
	}
	o.sending = false
	switch verdict {
	case Accepted:
		o.accepted = now
	case Impossible:
		delete(k.orders, key)
		advance(&effects, &anvilwork.Wave{Number: key.Wave}, key.Machine, anvilwork.WaveDone)
	default:
		o.next = now + retryPause
	}
	return effects
}
