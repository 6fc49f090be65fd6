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

const subject anvilid.TargetID = "t"

// world is a target that counts its true use, the owners it has had, and the
// messages between them.
type world struct {
	*rapid.T
	random *rand.Rand
	now    anvilclock.Millis
	events []event
	limits Limits
	fenced bool
	gangs  anvilid.SlotCount

	epoch    anvilid.Epoch
	sequence uint64
	running  int
	open     int
	past     map[anvilclock.Millis]usage // usage per instant

	owners []*owner
}

type usage struct{ running, open int }

type event struct {
	at anvilclock.Millis
	do func()
}

type owner struct {
	ledger *Ledger
	epoch  anvilid.Epoch
	pool   int // idle connections
}

func (w *world) after(span anvilclock.Millis, do func()) {
	at := event{at: w.now + span, do: do}
	i, _ := slices.BinarySearchFunc(w.events, at, func(a, b event) int {
		if a.at <= b.at { // events of one instant keep their order
			return -1
		}
		return 1
	})
	w.events = slices.Insert(w.events, i, at)
}

func (w *world) advance(span anvilclock.Millis) {
	end := w.now + span
	for w.now <= end {
		for len(w.events) > 0 && w.events[0].at <= w.now {
			do := w.events[0].do
			w.events = w.events[1:]
			do()
		}
		w.past[w.now] = usage{w.running, w.open}
		w.now++
	}
	w.now = end
}

// span draws a span. The longest one is frequent, because bounds on delays
// matter most where they are reached.
func (w *world) span(low, high anvilclock.Millis) anvilclock.Millis {
	if w.random.IntN(4) == 0 {
		return high
	}
	return low + anvilclock.Millis(w.random.Int64N(int64(high-low)+1))
}

// dispatch sends a request under a lease. Its answer arrives or is lost.
func (w *world) dispatch(o *owner) {
	lease, ok := o.ledger.Acquire(w.now, "s")
	if !ok {
		return
	}
	idle := w.span(0, MaxDispatchDelay)
	if w.random.IntN(3) == 0 {
		idle *= 10 // a lease that must not be used any more
	}
	w.after(idle, func() {
		if !o.ledger.Valid(w.now, lease) {
			o.ledger.Release(w.now, lease)
			return
		}
		fresh := o.pool == 0
		if !fresh {
			o.pool--
		}
		lost := w.random.IntN(4) == 0
		if lost {
			w.after(w.span(0, w.span(10, 600)), func() { o.ledger.ReleaseUnknown(w.now, lease) })
		}
		w.after(w.span(0, MaxPacketDelay), func() { w.run(o, lease, fresh, lost) })
	})
}

func (w *world) run(o *owner, lease Lease, fresh, lost bool) {
	if fresh {
		w.open++
	}
	// A fenced target may still get a connection of a former owner after it
	// was adopted; the bound of 16 connections per owner covers these.
	if !w.fenced && w.open > int(w.limits.Connections) {
		w.Fatalf("%d connections open, limit %d, at %d ms", w.open, w.limits.Connections, w.now)
	}
	took := w.span(1, 60)
	if w.random.IntN(3) == 0 {
		took = w.span(300, 4000)
	}
	if w.fenced && lease.Epoch < w.epoch {
		took = 0 // refused
	} else {
		w.running++
	}
	if used := w.running + int(w.gangs); used > int(w.limits.Slots) {
		w.Fatalf("%d slots in use, limit %d, at %d ms", used, w.limits.Slots, w.now)
	}
	w.after(took, func() {
		if took > 0 {
			w.running--
		}
		if lost {
			w.open--
			return
		}
		w.after(w.span(0, MaxPacketDelay), func() { w.answer(o, lease) })
	})
}

// answer keeps the connection open for a while, as a connection pool does.
func (w *world) answer(o *owner, lease Lease) {
	o.ledger.Release(w.now, lease)
	o.pool++
	w.after(w.span(0, 3000), func() {
		if o.pool > 0 {
			o.pool--
			w.open--
		}
	})
}

func (w *world) read(age anvilclock.Millis) *anvilreport.Report {
	then, ok := w.past[w.now-age]
	if !ok || age == 0 {
		then, age = usage{w.running, w.open}, 0
	}
	w.sequence++
	report := &anvilreport.Report{
		Target: subject, Incarnation: 1, Service: "s", Sequence: w.sequence, Age: age,
		Running: anvilid.SlotCount(then.running), Open: anvilid.ConnectionCount(then.open),
	}
	if w.fenced {
		report.Epoch = w.epoch
	}
	return report
}

// push sends a report to any owner; it may be lost or late.
func (w *world) push() {
	report := w.read(w.span(0, 900))
	to := w.owners[w.random.IntN(len(w.owners))]
	if w.random.IntN(3) > 0 {
		w.after(w.span(0, 2500), func() { _ = to.ledger.HandleReport(w.now, report) })
	}
}

// adopt calls the target with the owner's epoch; the call or its answer may
// be late.
func (w *world) adopt(o *owner) {
	sent := w.now
	w.after(w.span(0, w.span(1, 400)), func() {
		if w.fenced {
			w.epoch = max(w.epoch, o.epoch)
		}
		report := w.read(0)
		w.after(w.span(0, w.span(1, 400)), func() { _ = o.ledger.HandleAdoption(w.now, sent, subject, o.epoch, report) })
	})
}

func (w *world) take() {
	if last := len(w.owners) - 1; last >= 0 {
		w.owners[last].ledger.Disown(subject)
	}
	o := &owner{ledger: New(), epoch: anvilid.Epoch(len(w.owners) + 1)}
	o.ledger.Own(w.now, subject, o.epoch, w.limits, w.gangs)
	w.owners = append(w.owners, o)
	w.adopt(o)
	w.after(MaxPacketDelay, func() { w.adopt(o) })
}

func (w *world) step() {
	o := w.owners[w.random.IntN(len(w.owners))]
	if w.random.IntN(3) > 0 {
		o = w.owners[len(w.owners)-1]
	}
	switch w.random.IntN(16) {
	case 0:
		if len(w.owners) < 6 && w.random.IntN(2) == 0 {
			w.take()
		}
	case 1:
		w.adopt(o)
	case 2, 3:
		w.push()
	case 4, 5, 6:
		w.advance(w.span(0, 300))
		for range o.ledger.DuePolls(w.now) {
			w.adopt(o)
		}
	default:
		w.dispatch(o)
		w.advance(w.span(0, 40))
	}
}

// TestSlotsNeverExceeded guards against overload of a target: whatever order
// ownership, dispatch, reports, losses and adoption take, no more than its
// slots and connections are in use.
func TestSlotsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		w := &world{
			T: t, random: rand.New(rand.NewPCG(seed, seed)),
			past: map[anvilclock.Millis]usage{}, fenced: rapid.Bool().Draw(t, "fenced"),
		}
		w.limits = Limits{Service: "s", Incarnation: 1, Slots: anvilid.SlotCount(rapid.IntRange(1, 4).Draw(t, "slots")), Connections: 64}
		if rapid.Bool().Draw(t, "tight") {
			w.limits.Connections = 4
		}
		w.gangs = anvilid.SlotCount(rapid.IntRange(0, int(w.limits.Slots)-1).Draw(t, "gangs"))
		w.take()
		for range 300 {
			w.step()
		}
		w.advance(5000)
	})
}

// TestForeignUsageIsRecovered guards against slots that stay lost: once the
// former owner's requests have ended, all slots are free again, also while
// short requests keep the target busy.
func TestForeignUsageIsRecovered(t *testing.T) {
	for _, took := range []anvilclock.Millis{20, 300, 2000} {
		t.Run(fmt.Sprintf("requests of %d ms", took), func(t *testing.T) {
			l := New()
			l.Own(0, subject, 5, Limits{Service: "s", Incarnation: 1, Slots: 8, Connections: 64}, 0)
			sequence := uint64(1)
			foreign := 5
			report := func() *anvilreport.Report {
				sequence++
				view, _ := l.View(subject)
				return &anvilreport.Report{
					Target: subject, Incarnation: 1, Epoch: 5, Sequence: sequence,
					Running: view.Own + anvilid.SlotCount(foreign), Open: anvilid.ConnectionCount(int(view.Own) + foreign),
				}
			}
			assert.NilError(t, l.HandleAdoption(1, 0, subject, 5, report()))
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
			view, _ := l.View(subject)
			assert.Equal(t, view.Foreign, anvilid.SlotCount(0))
			assert.Equal(t, len(held), 8)
		})
	}
}
