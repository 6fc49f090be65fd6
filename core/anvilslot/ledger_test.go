package anvilslot

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
)

// newAdoptedLedger returns a ledger that adopted the given targets at 0 ms. Each target reports the
// given number of running requests.
func newAdoptedLedger(t testing.TB, running anvilid.SlotCount, ids ...anvilid.TargetID) *Ledger {
	l := New()
	for _, id := range ids {
		l.Own(0, id, 1, Limits{Service: "s", Incarnation: 1, Slots: 8, Connections: 64}, 0)
		assert.NilError(t, l.HandleAdoption(0, 0, id, 1, usageReport(id, 1, running)))
	}
	return l
}

func usageReport(id anvilid.TargetID, sequence uint64, running anvilid.SlotCount) *anvilreport.Report {
	return &anvilreport.Report{Target: id, Incarnation: 1, Epoch: 1, Sequence: sequence, UsedSlots: running}
}

// TestReadings guards against usage readings that lower the estimate of foreign usage too far, and
// against usage that is not counted as foreign although no request of this owner explains it.
func TestReadings(t *testing.T) {
	for _, c := range []struct {
		name             string
		leased, released anvilclock.Millis
		reported, want   anvilid.SlotCount
	}{
		{"request held before and after the reading", 100, 2000, 2, 1},
		{"request that may have ended before the reading", 100, 1100, 2, 2},
		{"request that may have started after the reading", 900, 2000, 2, 2},
		{"usage that nothing explains", 100, 2000, 5, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newAdoptedLedger(t, 2, "a")
			lease, ok := l.Acquire(c.leased, "s")
			assert.Assert(t, ok)
			assert.NilError(t, l.HandlePoll(1000, 1000, "a", 1, usageReport("a", 2, c.reported)))
			if c.reported == 2 {
				view, _ := l.View("a")
				assert.Equal(t, view.Foreign, anvilid.SlotCount(2), "evaluated before answers in transit arrived")
			}
			if c.released < 2000 {
				l.Release(c.released, lease)
			}
			l.DuePolls(1300)
			view, _ := l.View("a")
			assert.Equal(t, view.Foreign, c.want)
		})
	}
}

// TestLateReportOfOwnUse guards against counting requests of this owner as foreign usage because they
// ended before the report that includes them arrived.
func TestLateReportOfOwnUse(t *testing.T) {
	l := newAdoptedLedger(t, 0, "a")
	lease, _ := l.Acquire(1, "s")
	assert.NilError(t, l.HandleReport(4000, usageReport("a", 2, 1)))
	l.Release(8000, lease)
	late := usageReport("a", 3, 1)
	late.UsageAge = 900
	assert.NilError(t, l.HandleReport(8500, late))
	view, _ := l.View("a")
	assert.Equal(t, view.Foreign, anvilid.SlotCount(0))
}

// TestDispatchOrder guards against dispatch to targets that must not get requests, and against
// uneven use of the other targets.
func TestDispatchOrder(t *testing.T) {
	l := newAdoptedLedger(t, 0, "a", "b", "c")
	acquire := func(now anvilclock.Millis) anvilid.TargetID {
		lease, _ := l.Acquire(now, "s")
		return lease.Target
	}
	assert.DeepEqual(t, []anvilid.TargetID{acquire(1), acquire(1), acquire(1), acquire(1)}, []anvilid.TargetID{"a", "b", "c", "a"})
	l.SetLimit("b", 0)
	l.SetLeaving("c")
	assert.Equal(t, acquire(2), anvilid.TargetID("a"))
	assert.Equal(t, l.Free(2, "s"), anvilid.SlotCount(5))
	probe, ok := l.AcquireOn(2, "b")
	assert.Assert(t, ok && probe.Target == "b")
	_, ok = l.AcquireOn(2, "c")
	assert.Assert(t, !ok, "a leaving target got a probe")
	l.SetReserved("a", 6)
	assert.Assert(t, !l.ReservationCleared("a"))
	assert.Equal(t, acquire(2), anvilid.TargetID(""))
	l.SetReserved("a", 0)
	assert.NilError(t, l.HandleReport(TargetLease-1, usageReport("b", 2, 0)))
	l.SetLimit("b", 4) // fewer free slots than "a", whose target lease has expired
	assert.Equal(t, acquire(TargetLease), anvilid.TargetID("b"), "a target that has not reported got work")
	assert.DeepEqual(t, l.Unresponsive(UnresponsiveAfter), []anvilid.TargetID{"a", "c"})
	l.Drain("b")
	assert.Assert(t, !l.Drained("b"))
	l.Disown("a")
	assert.DeepEqual(t, l.Loads(UnresponsiveAfter), []Load{{Service: "s", Targets: 2, Running: 4}})
}

// TestEvacuatedTarget guards against dispatch, probes included, to a target in an evacuated zone, against counting its
// slots as capacity, and against a target that isn't used again after the evacuation.
func TestEvacuatedTarget(t *testing.T) {
	l := newAdoptedLedger(t, 0, "a", "b")
	running, _ := l.Acquire(1, "s")
	l.SetEvacuated(running.Target, true)
	for range 4 {
		lease, _ := l.Acquire(1, "s")
		assert.Assert(t, lease.Target != running.Target)
	}
	_, ok := l.AcquireOn(1, running.Target)
	assert.Assert(t, !ok)
	loads := l.Loads(1)
	assert.Equal(t, loads[0].Slots, loads[0].Running-1+loads[0].Free)
	l.SetEvacuated(running.Target, false)
	lease, _ := l.Acquire(1, "s")
	assert.Equal(t, lease.Target, running.Target)
}

// TestStaleOwner guards against dispatch by an owner that has been replaced, and against dispatch
// to a target that has restarted.
func TestStaleOwner(t *testing.T) {
	for name, change := range map[string]func(*anvilreport.Report){
		"newer epoch":       func(r *anvilreport.Report) { r.Epoch = 2 },
		"newer incarnation": func(r *anvilreport.Report) { r.Incarnation = 2 },
	} {
		l := newAdoptedLedger(t, 0, "a")
		report := usageReport("a", 2, 0)
		change(report)
		assert.ErrorIs(t, l.HandleReport(1, report), ErrStaleEpoch, name)
		_, ok := l.Acquire(1, "s")
		assert.Assert(t, !ok, name)
	}
	l := newAdoptedLedger(t, 0, "a")
	lease, _ := l.Acquire(1, "s")
	assert.Assert(t, l.Valid(2, lease) && !l.Valid(1+MaxDispatchDelay, lease))
	l.Own(2, "a", 2, Limits{Service: "s", Incarnation: 1, Slots: 8, Connections: 64}, 0)
	assert.Assert(t, !l.Valid(2, lease), "a lease of a former epoch")
	l.Disown("a")
	assert.Assert(t, !l.Valid(2, lease), "a lease on a target of another owner")
}

func BenchmarkAcquireRelease(b *testing.B) {
	var ids []anvilid.TargetID
	for i := range 1000 {
		ids = append(ids, anvilid.TargetID(fmt.Sprintf("t%04d", i)))
	}
	l := newAdoptedLedger(b, 0, ids...)
	var held []Lease
	for range 4000 { // half of the slots are in use
		lease, _ := l.Acquire(0, "s")
		held = append(held, lease)
	}
	slices.Reverse(held)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		l.Release(1, held[i%len(held)])
		held[i%len(held)], _ = l.Acquire(1, "s")
		i++
	}
}

// TestConnectingLeaseIsNotRunning guards against a request that waits for its connection and is taken for the one of a
// former owner that a reading shows, and against a send after the target got another owner. The pattern is a target that
// is slow to connect to after a change of its owner: it got nine requests on eight slots.
func TestConnectingLeaseIsNotRunning(t *testing.T) {
	l := New()
	l.Own(0, targetID, 1, Limits{Service: "s", Incarnation: 1, Slots: 8, Connections: 64}, 0)
	sequence := uint64(0)
	report := func() *anvilreport.Report {
		sequence++
		return &anvilreport.Report{Target: targetID, Incarnation: 1, Slots: 8, Connections: 64, Epoch: 1, Sequence: sequence, UsedSlots: 1}
	}
	assert.NilError(t, l.HandleAdoption(1, 0, targetID, 1, report()))
	lease, ok := l.Acquire(10, "s")
	assert.Assert(t, ok && l.BeginSend(11, lease))
	assert.Assert(t, !l.BeginSend(11+MaxDispatchDelay, lease))
	for at := anvilclock.Millis(1000); at < 2000; at += 500 {
		assert.NilError(t, l.HandlePoll(at+10, at, targetID, 1, report()))
		l.DuePolls(at + 10 + MaxPacketDelay)
	}
	view, _ := l.View(targetID)
	assert.Equal(t, view.Foreign, anvilid.SlotCount(1), "the request of the former owner still runs")
	assert.Assert(t, l.Send(2000, lease))
	for at := anvilclock.Millis(3000); at < 4000; at += 500 {
		assert.NilError(t, l.HandlePoll(at+10, at, targetID, 1, report()))
		l.DuePolls(at + 10 + MaxPacketDelay)
	}
	view, _ = l.View(targetID)
	assert.Equal(t, view.Foreign, anvilid.SlotCount(0), "the request that runs is the own one")
	l.Own(4000, targetID, 2, Limits{Service: "s", Incarnation: 1, Slots: 8, Connections: 64}, 0)
	assert.Assert(t, !l.Send(4001, lease))
}
