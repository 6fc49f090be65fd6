package anvilslot

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
)

// The seed of the property tests is fixed; the command line overrides it.
var _, _ = flag.Set("rapid.seed", "20261204"), flag.Set("rapid.checks", "2000")

const targetID anvilid.TargetID = "t"

// usageSimulation simulates a target that counts the slots and connections really in use, the
// target's successive owners, and the messages between them and the target.
type usageSimulation struct {
	*rapid.T
	random    *rand.Rand
	now       anvilclock.Millis
	events    []event
	limits    Limits
	fenced    bool
	gangSlots anvilid.SlotCount

	epoch           anvilid.Epoch
	sequence        uint64
	runningRequests int
	openConnections int
	usageAt         map[anvilclock.Millis]usage // usage at the end of each millisecond

	owners []*owner
}

type usage struct{ running, connections int }

type event struct {
	at     anvilclock.Millis
	action func()
}

type owner struct {
	ledger          *Ledger
	epoch           anvilid.Epoch
	idleConnections int
}

func (sim *usageSimulation) schedule(span anvilclock.Millis, do func()) {
	at := event{at: sim.now + span, action: do}
	i, _ := slices.BinarySearchFunc(sim.events, at, func(a, b event) int {
		if a.at <= b.at { // events with the same time keep their order
			return -1
		}
		return 1
	})
	sim.events = slices.Insert(sim.events, i, at)
}

func (sim *usageSimulation) advance(span anvilclock.Millis) {
	end := sim.now + span
	for sim.now <= end {
		for len(sim.events) > 0 && sim.events[0].at <= sim.now {
			do := sim.events[0].action
			sim.events = sim.events[1:]
			do()
		}
		sim.usageAt[sim.now] = usage{sim.runningRequests, sim.openConnections}
		sim.now++
	}
	sim.now = end
}

// randomDelay draws a delay. It returns the upper bound in a quarter of the cases, because errors
// in the handling of delays show up mostly at their bounds.
func (sim *usageSimulation) randomDelay(low, high anvilclock.Millis) anvilclock.Millis {
	if sim.random.IntN(4) == 0 {
		return high
	}
	return low + anvilclock.Millis(sim.random.Int64N(int64(high-low)+1))
}

// dispatch acquires a lease and sends a request. The answer to the request arrives or is lost.
func (sim *usageSimulation) dispatch(o *owner) {
	lease, ok := o.ledger.Acquire(sim.now, "s")
	if !ok {
		return
	}
	sendDelay := sim.randomDelay(0, MaxDispatchDelay)
	if sim.random.IntN(3) == 0 {
		sendDelay *= 10 // the lease may have expired by then
	}
	sim.schedule(sendDelay, func() {
		if !o.ledger.Valid(sim.now, lease) {
			o.ledger.Release(sim.now, lease)
			return
		}
		newConnection := o.idleConnections == 0
		if !newConnection {
			o.idleConnections--
		}
		lost := sim.random.IntN(4) == 0
		if lost {
			sim.schedule(sim.randomDelay(0, sim.randomDelay(10, 600)), func() { o.ledger.ReleaseUnknown(sim.now, lease) })
		}
		sim.schedule(sim.randomDelay(0, MaxPacketDelay), func() { sim.startRequest(o, lease, newConnection, lost) })
	})
}

func (sim *usageSimulation) startRequest(o *owner, lease Lease, newConnection, lost bool) {
	if newConnection {
		sim.openConnections++
	}
	// A fenced target can still get a connection from a previous owner after it was adopted. These
	// connections are covered by MaxOwnerConnections, the limit of 16 connections per owner.
	if !sim.fenced && sim.openConnections > int(sim.limits.Connections) {
		sim.Fatalf("%d connections open, limit %d, at %d ms", sim.openConnections, sim.limits.Connections, sim.now)
	}
	took := sim.randomDelay(1, 60)
	if sim.random.IntN(3) == 0 {
		took = sim.randomDelay(300, 4000)
	}
	if sim.fenced && lease.Epoch < sim.epoch {
		took = 0 // the target refuses the stale epoch
	} else {
		sim.runningRequests++
	}
	if used := sim.runningRequests + int(sim.gangSlots); used > int(sim.limits.Slots) {
		sim.Fatalf("%d slots in use, limit %d, at %d ms", used, sim.limits.Slots, sim.now)
	}
	sim.schedule(took, func() {
		if took > 0 {
			sim.runningRequests--
		}
		if lost {
			sim.openConnections--
			return
		}
		sim.schedule(sim.randomDelay(0, MaxPacketDelay), func() { sim.deliverAnswer(o, lease) })
	})
}

// deliverAnswer releases the lease and keeps the connection open for a while, as a connection pool
// does.
func (sim *usageSimulation) deliverAnswer(o *owner, lease Lease) {
	o.ledger.Release(sim.now, lease)
	o.idleConnections++
	sim.schedule(sim.randomDelay(0, 3000), func() {
		if o.idleConnections > 0 {
			o.idleConnections--
			sim.openConnections--
		}
	})
}

func (sim *usageSimulation) newReport(age anvilclock.Millis) *anvilreport.Report {
	then, ok := sim.usageAt[sim.now-age]
	if !ok || age == 0 {
		then, age = usage{sim.runningRequests, sim.openConnections}, 0
	}
	sim.sequence++
	report := &anvilreport.Report{
		Target: targetID, Incarnation: 1, Service: "s", Sequence: sim.sequence, UsageAge: age,
		UsedSlots: anvilid.SlotCount(then.running), OpenConnections: anvilid.ConnectionCount(then.connections),
	}
	if sim.fenced {
		report.Epoch = sim.epoch
	}
	return report
}

// pushReport sends a report to a random owner; it may be lost or delayed.
func (sim *usageSimulation) pushReport() {
	report := sim.newReport(sim.randomDelay(0, 900))
	to := sim.owners[sim.random.IntN(len(sim.owners))]
	if sim.random.IntN(3) > 0 {
		sim.schedule(sim.randomDelay(0, 2500), func() { _ = to.ledger.HandleReport(sim.now, report) })
	}
}

// sendAdoptionCall sends an adoption call with the epoch of the owner; the call and its answer may
// be delayed.
func (sim *usageSimulation) sendAdoptionCall(o *owner) {
	sent := sim.now
	sim.schedule(sim.randomDelay(0, sim.randomDelay(1, 400)), func() {
		if sim.fenced {
			sim.epoch = max(sim.epoch, o.epoch)
		}
		report := sim.newReport(0)
		sim.schedule(sim.randomDelay(0, sim.randomDelay(1, 400)), func() { _ = o.ledger.HandleAdoption(sim.now, sent, targetID, o.epoch, report) })
	})
}

func (sim *usageSimulation) addOwner() {
	if last := len(sim.owners) - 1; last >= 0 {
		sim.owners[last].ledger.Disown(targetID)
	}
	o := &owner{ledger: New(), epoch: anvilid.Epoch(len(sim.owners) + 1)}
	o.ledger.Own(sim.now, targetID, o.epoch, sim.limits, sim.gangSlots)
	sim.owners = append(sim.owners, o)
	sim.sendAdoptionCall(o)
	sim.schedule(MaxPacketDelay, func() { sim.sendAdoptionCall(o) })
}

func (sim *usageSimulation) step() {
	o := sim.owners[sim.random.IntN(len(sim.owners))]
	if sim.random.IntN(3) > 0 {
		o = sim.owners[len(sim.owners)-1]
	}
	switch sim.random.IntN(16) {
	case 0:
		if len(sim.owners) < 6 && sim.random.IntN(2) == 0 {
			sim.addOwner()
		}
	case 1:
		sim.sendAdoptionCall(o)
	case 2, 3:
		sim.pushReport()
	case 4, 5, 6:
		sim.advance(sim.randomDelay(0, 300))
		for range o.ledger.DuePolls(sim.now) {
			sim.sendAdoptionCall(o)
		}
	default:
		sim.dispatch(o)
		sim.advance(sim.randomDelay(0, 40))
	}
}

// TestSlotsNeverExceeded guards against overloading a target: in any order of ownership changes,
// dispatch, reports, lost answers and adoption, the slots and connections in use must stay within
// the limits of the target.
func TestSlotsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		sim := &usageSimulation{
			T: t, random: rand.New(rand.NewPCG(seed, seed)),
			usageAt: map[anvilclock.Millis]usage{}, fenced: rapid.Bool().Draw(t, "fenced"),
		}
		sim.limits = Limits{Service: "s", Incarnation: 1, Slots: anvilid.SlotCount(rapid.IntRange(1, 4).Draw(t, "slots")), Connections: 64}
		if rapid.Bool().Draw(t, "tight") {
			sim.limits.Connections = 4
		}
		sim.gangSlots = anvilid.SlotCount(rapid.IntRange(0, int(sim.limits.Slots)-1).Draw(t, "gangs"))
		sim.addOwner()
		for range 300 {
			sim.step()
		}
		sim.advance(5000)
	})
}

// TestForeignUsageIsRecovered guards against slots that stay counted as foreign: once the requests
// of the previous owner have ended, all slots must become free again, even while short requests
// keep the target busy.
func TestForeignUsageIsRecovered(t *testing.T) {
	for _, took := range []anvilclock.Millis{20, 300, 2000} {
		t.Run(fmt.Sprintf("requests of %d ms", took), func(t *testing.T) {
			l := New()
			l.Own(0, targetID, 5, Limits{Service: "s", Incarnation: 1, Slots: 8, Connections: 64}, 0)
			sequence := uint64(1)
			foreign := 5
			report := func() *anvilreport.Report {
				sequence++
				view, _ := l.View(targetID)
				return &anvilreport.Report{
					Target: targetID, Incarnation: 1, Epoch: 5, Sequence: sequence,
					UsedSlots: view.Own + anvilid.SlotCount(foreign), OpenConnections: anvilid.ConnectionCount(int(view.Own) + foreign),
				}
			}
			assert.NilError(t, l.HandleAdoption(1, 0, targetID, 5, report()))
			var held []Lease
			for now := anvilclock.Millis(2); now < 60_000; now++ {
				if now == 4000 {
					foreign = 0
				}
				for len(held) > 0 && now-held[0].acquired >= took {
					l.Release(now, held[0])
					held = held[1:]
				}
				for lease, ok := l.Acquire(now, "s"); ok; lease, ok = l.Acquire(now, "s") {
					held = append(held, lease)
				}
				assert.Assert(t, len(held)+foreign <= 8)
				if now%1000 == 0 {
					assert.NilError(t, l.HandleReport(now, report()))
				}
				if now%50 == 0 {
					for _, id := range l.DuePolls(now) {
						assert.NilError(t, l.HandlePoll(now, now, id, 5, report()))
					}
				}
			}
			view, _ := l.View(targetID)
			assert.Equal(t, view.Foreign, anvilid.SlotCount(0))
			assert.Equal(t, len(held), 8)
		})
	}
}
