// Package anvilupkeep carries out maintenance waves. A wave is a set of machines that must have
// maintenance within a given time, with a limited number of them down at once. The platform is the
// external system that starts and stops machines. The package decides which machine is drained next,
// when its maintenance is ordered from the platform, and when the maintenance is finished.
//
// The package does no I/O: the caller commits the commands to the replicated log, calls the platform,
// and passes in the answers and the list of machines. Everything that must survive a change of the
// leader is in the replicated state; the coordinator itself only remembers the platform's answers in
// its term.
package anvilupkeep

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// retryDelay is the delay before an order that the platform did not accept is repeated.
	retryDelay = 500 * anvilclock.Millisecond
	// stopGracePeriod is the time that runs get to end after they were asked to stop.
	stopGracePeriod = 1500 * anvilclock.Millisecond
	// drainShare determines how long the runs on a drained machine may take to end by themselves:
	// drainShare * (time for one machine - downtime - stopGracePeriod); see drainTimeout.
	drainShare = 0.5
)

// Machine is what the platform, the external system that starts and stops machines, reports about one
// machine.
type Machine struct {
	// Up means that the machine is on, isn't being moved and isn't in maintenance.
	Up     bool
	Target anvilid.TargetID // the target on this machine, or empty if there is none
}

// MachineList is the platform's list of all machines, as of some time after Sent.
type MachineList struct {
	// Sent is when the list was requested from the platform. It is zero until a list is known.
	Sent     anvilclock.Millis
	Machines map[anvilid.MachineID]Machine
	// Partial means that a part of the list could not be read, so that machines that aren't in Machines may
	// exist all the same.
	Partial bool
}

// AddAnnounced adds a machine that a target has announced, if a part of the list could not be read and the
// machine isn't in the rest.
func (l *MachineList) AddAnnounced(id anvilid.MachineID, target anvilid.TargetID) {
	if _, listed := l.Machines[id]; l.Partial && !listed && id != "" {
		l.Machines[id] = Machine{Up: true, Target: target}
	}
}

// Load describes the runs on a target: their number (Runs), and what stopping them would mean.
type Load struct {
	Runs int
	// Loss is the work that is lost if the runs are stopped, in core-milliseconds.
	Loss float64
	// Protected means that one of the runs must not be stopped now, because too many tasks of its step
	// would be unavailable at the same time.
	Protected bool
	// ProtectedTogether means that the runs must not be stopped all at once, though one after the other.
	ProtectedTogether bool
}

// Order identifies an order: a request to the platform to start the maintenance of a machine.
type Order struct {
	Wave    anvilwork.WaveNumber
	Machine anvilid.MachineID
}

// OrderResult is the platform's answer to an order.
type OrderResult uint8

// Results of an order.
const (
	// Accepted means that the maintenance has begun, through this order or an earlier one.
	Accepted OrderResult = iota + 1
	// RetryLater means that there was no clear answer or that the machine is busy.
	RetryLater
	// Impossible means that the machine doesn't exist or isn't part of the wave.
	Impossible
)

// Effects are what the caller must do: commit Commands to the replicated log, send Orders to the
// platform and stop runs.
type Effects struct {
	Commands []anvilwork.Command
	Orders   []Order
	// Stop lists the targets whose runs must be stopped.
	Stop []anvilid.TargetID
}

// orderState is the progress of one order.
type orderState struct {
	sending     bool
	nextAttempt anvilclock.Millis
	accepted    anvilclock.Millis // when the platform accepted the order, or 0
}

// Coordinator carries out the waves during one term of the leader.
type Coordinator struct {
	// downtime is how long a machine is down for maintenance.
	downtime anvilclock.Millis
	orders   map[Order]*orderState
	// seenAt is when each wave that isn't completed was first seen in this term. An earlier list of machines may
	// lack machines of the wave.
	seenAt map[anvilwork.WaveNumber]anvilclock.Millis
}

// New returns a coordinator. downtime is how long a machine is down for maintenance.
func New(downtime anvilclock.Millis) *Coordinator {
	return &Coordinator{downtime: downtime, orders: map[Order]*orderState{}, seenAt: map[anvilwork.WaveNumber]anvilclock.Millis{}}
}

// Step returns what is to be done now. now is the time of the leader's local clock, and wall the time
// of the replicated log's clock. The returned commands must be committed before the orders of the
// next step are sent, so that a new leader knows which machines are down.
func (c *Coordinator) Step(now, wall anvilclock.Millis, waves []*anvilwork.Wave, list MachineList, load func(anvilid.TargetID) Load) Effects {
	var effects Effects
	c.noteWaves(now, waves)
	for _, wave := range waves {
		if list.Sent >= c.seenAt[wave.Number] {
			c.stepWave(now, wall, wave, list, load, &effects)
		}
	}
	return effects
}

// noteWaves records which waves are seen for the first time, and forgets those that are completed.
func (c *Coordinator) noteWaves(now anvilclock.Millis, waves []*anvilwork.Wave) {
	seenAt := map[anvilwork.WaveNumber]anvilclock.Millis{}
	for _, wave := range waves {
		seenAt[wave.Number] = now
		if earlier, ok := c.seenAt[wave.Number]; ok {
			seenAt[wave.Number] = earlier
		}
	}
	c.seenAt = seenAt
}

func (c *Coordinator) stepWave(now, wall anvilclock.Millis, wave *anvilwork.Wave, list MachineList, load func(anvilid.TargetID) Load, effects *Effects) {
	unavailable := 0
	for _, m := range wave.Machines {
		switch m.Phase {
		case anvilwork.WaveDraining:
			unavailable++
			c.drain(wall, wave, m, list, load, effects)
		case anvilwork.WaveRequested:
			unavailable++
			c.requestMaintenance(now, wave, m, list, effects)
		}
	}
	for _, m := range c.candidates(wave, list, load, effects) {
		if unavailable >= wave.MaxDown {
			return
		}
		unavailable++
		addPhaseChange(effects, wave, m, anvilwork.WaveDraining)
	}
}

func addPhaseChange(effects *Effects, wave *anvilwork.Wave, machine anvilid.MachineID, phase anvilwork.WavePhase) {
	effects.Commands = append(effects.Commands, anvilwork.Command{
		AdvanceWave: &anvilwork.AdvanceWave{Wave: wave.Number, Machine: machine, Phase: phase},
	})
}

// candidates returns the waiting machines that can be drained now, ordered by the work that is lost
// if their runs are stopped, the least first. Machines that the platform no longer lists are marked
// as done. If a part of the list could not be read, the order for such a machine shows whether it exists.
func (c *Coordinator) candidates(wave *anvilwork.Wave, list MachineList, load func(anvilid.TargetID) Load, effects *Effects) []anvilid.MachineID {
	var found []anvilid.MachineID
	for _, m := range wave.Machines {
		if m.Phase != anvilwork.WaveWaiting {
			continue
		}
		machine, known := list.Machines[m.Machine]
		switch {
		case !known && !list.Partial:
			addPhaseChange(effects, wave, m.Machine, anvilwork.WaveDone)
		case (machine.Up || !known) && !load(machine.Target).Protected:
			found = append(found, m.Machine)
		}
	}
	slices.SortStableFunc(found, func(a, b anvilid.MachineID) int {
		return cmp.Compare(load(list.Machines[a].Target).Loss, load(list.Machines[b].Target).Loss)
	})
	return found
}

// drain waits until nothing runs on a machine, and then moves the machine to the phase in which its
// maintenance is ordered. Runs that have not ended after drainTimeout are stopped. If they have still
// not ended stopGracePeriod later, the maintenance is ordered all the same, unless one of them is
// protected, or all together are (see Load).
func (c *Coordinator) drain(wall anvilclock.Millis, wave *anvilwork.Wave, m anvilwork.WaveMachine, list MachineList, load func(anvilid.TargetID) Load, effects *Effects) {
	target := list.Machines[m.Machine].Target
	timeout := c.drainTimeout(wave)
	current := load(target)
	switch waited := wall - m.Since; {
	case current.Runs == 0 || waited > timeout+stopGracePeriod && !current.Protected && !current.ProtectedTogether:
		addPhaseChange(effects, wave, m.Machine, anvilwork.WaveRequested)
	case waited > timeout:
		effects.Stop = append(effects.Stop, target)
	}
}

// drainTimeout returns how long a machine's runs may continue while it is drained. The time for one
// machine is MaxDuration * MaxDown / (number of machines).
func (c *Coordinator) drainTimeout(wave *anvilwork.Wave) anvilclock.Millis {
	timePerMachine := wave.MaxDuration * anvilclock.Millis(wave.MaxDown) / anvilclock.Millis(max(1, len(wave.Machines)))
	return max(0, anvilclock.Millis(drainShare*float64(timePerMachine-c.downtime-stopGracePeriod)))
}

// requestMaintenance sends the order for a machine's maintenance until the platform accepts it. The
// machine is done once a machine list that was requested at least downtime after the acceptance shows
// it as up, or no longer contains it.
func (c *Coordinator) requestMaintenance(now anvilclock.Millis, wave *anvilwork.Wave, m anvilwork.WaveMachine, list MachineList, effects *Effects) {
	key := Order{Wave: wave.Number, Machine: m.Machine}
	o := c.orders[key]
	if o == nil {
		o = &orderState{}
		c.orders[key] = o
	}
	machine, known := list.Machines[m.Machine]
	switch {
	case o.accepted > 0 && list.Sent >= o.accepted+c.downtime && (machine.Up || !known):
		delete(c.orders, key)
		addPhaseChange(effects, wave, m.Machine, anvilwork.WaveDone)
	case o.accepted == 0 && !o.sending && now >= o.nextAttempt:
		o.sending = true
		effects.Orders = append(effects.Orders, key)
	}
}

// Answered records the platform's answer to an order and returns what is to be done because of it.
func (c *Coordinator) Answered(now anvilclock.Millis, key Order, result OrderResult) Effects {
	var effects Effects
	o := c.orders[key]
	if o == nil {
		return effects
	}
	o.sending = false
	switch result {
	case Accepted:
		o.accepted = now
	case Impossible:
		delete(c.orders, key)
		addPhaseChange(&effects, &anvilwork.Wave{Number: key.Wave}, key.Machine, anvilwork.WaveDone)
	default:
		o.nextAttempt = now + retryDelay
	}
	return effects
}
