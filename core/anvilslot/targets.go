package anvilslot

import (
	"container/heap"
	"fmt"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
)

// Own starts or updates the ownership of a target. A target that is owned in a new epoch must be
// adopted again. Leases of an earlier epoch become invalid: Valid returns false and Release does
// nothing. Requests of such leases that still run are part of the usage that the target reports in its
// answer to the adoption call, and so count as foreign usage.
func (l *Ledger) Own(now anvilclock.Millis, id anvilid.TargetID, epoch anvilid.Epoch, limits Limits, reserved anvilid.SlotCount) {
	if existing, ok := l.targets[id]; ok {
		if existing.epoch > epoch {
			return
		}
		if existing.epoch == epoch {
			existing.reserved = reserved
			l.updateFreeSlots(existing)
			return
		}
		l.Disown(id)
	}
	s, ok := l.services[limits.Service]
	if !ok {
		s = &service{}
		l.services[limits.Service] = s
	}
	s.targets++
	t := &target{
		id: id, epoch: epoch, limits: limits, state: Waiting, leaseLimit: limits.Slots,
		reserved: reserved, service: s, heapIndex: -1, ownedSince: now, lastReport: now,
	}
	l.targets[id] = t
	l.byReportTime.moveToNewest(t)
}

// Disown removes a target. Leases on it become invalid: Valid returns false and Release does nothing.
func (l *Ledger) Disown(id anvilid.TargetID) {
	t, ok := l.targets[id]
	if !ok {
		return
	}
	t.state = Draining
	l.updateFreeSlots(t)
	t.service.running -= anvilid.SlotCount(len(t.ownLeases))
	t.service.targets--
	if t.service.targets == 0 {
		delete(l.services, t.limits.Service)
	}
	l.byReportTime.remove(t)
	delete(l.targets, id)
}

// SetReserved sets the number of slots on a target that are reserved for gangs.
func (l *Ledger) SetReserved(id anvilid.TargetID, reserved anvilid.SlotCount) {
	if t, ok := l.targets[id]; ok {
		t.reserved = reserved
		l.updateFreeSlots(t)
	}
}

// ReservationCleared reports whether no short request uses the reserved slots of an adopted target any
// more, so that gang members may be prepared on it: gang slots, own leases and foreign usage together
// are no more than the slots of the target. It returns false for a target that is not adopted.
func (l *Ledger) ReservationCleared(id anvilid.TargetID) bool {
	t, ok := l.targets[id]
	return ok && t.state == Adopted &&
		t.gangSlots()+anvilid.SlotCount(len(t.ownLeases))+t.foreign <= t.limits.Slots
}

// SetLeaving stops dispatch to a target that is shutting down.
func (l *Ledger) SetLeaving(id anvilid.TargetID) {
	if t, ok := l.targets[id]; ok {
		t.leaving = true
		l.updateFreeSlots(t)
	}
}

// SetEvacuated stops dispatch to a target whose zone is evacuated, or resumes it.
func (l *Ledger) SetEvacuated(id anvilid.TargetID, evacuated bool) {
	if t, ok := l.targets[id]; ok && t.evacuated != evacuated {
		t.evacuated = evacuated
		l.updateFreeSlots(t)
	}
}

// SetLimit limits the number of this owner's leases on a target. A limit of 0 ejects the target because it is
// unhealthy. AcquireOn, which is used for health probes, ignores this limit.
func (l *Ledger) SetLimit(id anvilid.TargetID, limit anvilid.SlotCount) {
	if t, ok := l.targets[id]; ok && t.leaseLimit != limit {
		t.leaseLimit = limit
		l.updateFreeSlots(t)
	}
}

// Drain stops dispatch to a target that will be handed over to another owner.
func (l *Ledger) Drain(id anvilid.TargetID) {
	if t, ok := l.targets[id]; ok {
		t.state = Draining
		l.updateFreeSlots(t)
	}
}

// Drained reports whether a draining target has no own leases left.
func (l *Ledger) Drained(id anvilid.TargetID) bool {
	t, ok := l.targets[id]
	return ok && t.state == Draining && len(t.ownLeases) == 0
}

// gangSlots returns the number of slots in use by or reserved for gangs, whichever is larger. A gang
// member that still runs on the target after its placement was removed is included.
func (t *target) gangSlots() anvilid.SlotCount { return max(t.reserved, t.taskSlots) }

// connectionCap returns the largest number of connections, idle ones included, that this owner may have
// open to the target. It is 0 in state Waiting.
func (t *target) connectionCap() anvilid.ConnectionCount {
	if t.state == Waiting {
		return 0
	}
	return max(0, min(MaxOwnerConnections, t.limits.Connections-t.foreignConnections))
}

// headroom returns how many more leases the target may get if it may have at most limit leases in
// all. It can be negative.
func (t *target) headroom(limit anvilid.SlotCount) anvilid.SlotCount {
	if t.state != Adopted || t.leaving || t.evacuated || t.leaseExpired || t.paused {
		return 0
	}
	own := anvilid.SlotCount(len(t.ownLeases))
	return min(
		t.limits.Slots-t.gangSlots()-t.foreign-own,
		anvilid.SlotCount(t.connectionCap())-own,
		limit-own,
	)
}

// updateFreeSlots recomputes the free slots of a target after a change and updates the totals of
// its service.
func (l *Ledger) updateFreeSlots(t *target) {
	s := t.service
	free := max(0, t.headroom(t.leaseLimit))
	usable := anvilid.SlotCount(0)
	if t.state == Adopted && !t.leaving && !t.evacuated && !t.leaseExpired {
		usable = max(0, min(t.limits.Slots-t.gangSlots()-t.foreign, t.leaseLimit))
	}
	s.free += free - t.free
	s.usable += usable - t.usable
	t.free, t.usable = free, usable
	switch {
	case free > 0 && t.heapIndex < 0:
		heap.Push(&s.available, t)
	case free > 0:
		heap.Fix(&s.available, t.heapIndex)
	case t.heapIndex >= 0:
		heap.Remove(&s.available, t.heapIndex)
	}
}

func (l *Ledger) ownedTarget(id anvilid.TargetID) (*target, error) {
	t, ok := l.targets[id]
	if !ok {
		return nil, fmt.Errorf("%w: target %q; pass the report on to the owner of the target", ErrNotOwned, id)
	}
	return t, nil
}

// recordReport records the arrival of a report, whether the target is leaving, and the slots in use
// by gang members. The report must have a higher sequence number than all earlier ones.
func (l *Ledger) recordReport(now anvilclock.Millis, t *target, report *anvilreport.Report) {
	t.lastReport = now
	t.leaseExpired = false
	l.byReportTime.moveToNewest(t)
	t.leaving = t.leaving || report.Leaving
	t.taskSlots = 0
	for _, task := range report.Tasks {
		if !task.State.Final() {
			t.taskSlots += anvilid.SlotCount(task.Accelerators)
		}
	}
}
