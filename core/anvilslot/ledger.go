// Package anvilslot tracks the slots and connections in use on the targets that this instance owns,
// and selects the target for each short request.
//
// A target is owned by one instance at a time. Each assignment of an owner has a new epoch. The owner
// adopts the target with a call that tells it the epoch and that the target answers with a report of
// its usage; only then does the owner dispatch requests to it. A slot is the capacity to run one
// request. A member of a gang (the tasks that run a job together) uses one slot per accelerator.
//
// A target does not enforce its limits itself, so the number of used slots must never be
// underestimated. Own requests and leases are those of this owner. Usage that they do not explain is
// called foreign: requests of previous owners, and own requests that ended without a known result.
// The estimate of foreign usage is lowered only by reports whose usage was certainly measured late
// enough; see foreign.go.
//
// A Ledger is not safe for concurrent use.
package anvilslot

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
)

const (
	// TargetLease is how long a target continues to get new requests after its latest report.
	TargetLease = 5 * anvilclock.Second
	// UnresponsiveAfter is the time without a report after which Unresponsive lists a target.
	UnresponsiveAfter = 30 * anvilclock.Second
	// MaxPacketDelay is the assumed upper bound on network delay: from sending a request until it
	// starts at the target, and from the end of a request at the target until its answer arrives.
	MaxPacketDelay = 250 * anvilclock.Millisecond
	// MaxDispatchDelay is how long after a lease was acquired its request may still be sent.
	MaxDispatchDelay = 50 * anvilclock.Millisecond
	// maxStartDelay bounds the time from acquiring a lease until its request starts at the target.
	maxStartDelay = MaxDispatchDelay + MaxPacketDelay
	// MaxOwnerConnections is the largest number of connections that one owner opens to a target. It
	// lets four successive owners together stay within 64 connections.
	MaxOwnerConnections anvilid.ConnectionCount = 16
)

// Errors returned by HandleAdoption, HandlePoll and HandleReport.
var (
	ErrNotOwned   = errors.New("target is not owned by this instance")
	ErrStaleEpoch = errors.New("stale epoch")
	ErrEarlyRead  = errors.New("usage was measured too early to be used")
)

// State says whether the owner may dispatch new requests to a target.
type State string

// States of an owned target.
const (
	Waiting  State = "waiting"  // not adopted yet; no request may be dispatched
	Adopted  State = "adopted"  // may get requests
	Draining State = "draining" // gets no new requests, because it will be handed over to another owner
)

// Limits is what a target announced about itself: its service, its incarnation, and how many slots and
// connections it has.
type Limits struct {
	Service     anvilid.ServiceName
	Incarnation anvilid.Incarnation
	Slots       anvilid.SlotCount
	Connections anvilid.ConnectionCount
}

// Lease is the right to run one request on a target. The caller of Acquire or AcquireOn must end the
// lease with Release or ReleaseUnknown.
type Lease struct {
	Target anvilid.TargetID
	Epoch  anvilid.Epoch

	sequence uint64
	// acquired is when the lease was acquired, or when its request was sent if Send was called.
	acquired anvilclock.Millis
	// connecting means that BeginSend was called, but not Send yet.
	connecting bool
}

// Load summarizes the targets of one service that this instance owns.
type Load struct {
	Service anvilid.ServiceName `json:"service"`
	Targets int                 `json:"targets"`
	// Slots is the number of slots that this owner may use for short requests, whether they are leased
	// now or not. It is the sum, over the adopted targets that are not leaving or evacuated and have reported within
	// TargetLease, of max(0, min(all slots - gang slots - foreign slots, limit set by SetLimit)). Gang
	// slots are those reserved for gangs or used by them, whichever are more. Paused targets and the
	// limits on connections make no difference.
	Slots anvilid.SlotCount `json:"slots"`
	// Free is the number of slots that can be leased now.
	Free anvilid.SlotCount `json:"free"`
	// Running is the number of leases of this owner that have not been released.
	Running anvilid.SlotCount `json:"running"`
}

// View is the status of one owned target.
type View struct {
	Target         anvilid.TargetID
	Epoch          anvilid.Epoch
	State          State
	Leaving        bool
	Reported       anvilclock.Millis       // arrival time of the latest report
	Own            anvilid.SlotCount       // slots leased by this owner
	Foreign        anvilid.SlotCount       // estimated slots in foreign use
	Reserved       anvilid.SlotCount       // slots reserved for gangs or used by them, whichever are more
	Free           anvilid.SlotCount       // slots that can be leased now
	MaxConnections anvilid.ConnectionCount // largest number of connections that this owner may have open
}

// Ledger tracks the targets that this instance owns.
type Ledger struct {
	targets      map[anvilid.TargetID]*target
	services     map[anvilid.ServiceName]*service
	byReportTime reportList
	useCounter   uint64 // incremented with each lease; gives target.lastUse its value
	leaseCounter uint64
}

type service struct {
	available targetHeap // targets with free slots
	targets   int
	free      anvilid.SlotCount // slots that can be leased now
	running   anvilid.SlotCount // leases of this owner that have not been released
	usable    anvilid.SlotCount // slots that this owner may use for short requests, leased or not; see Load.Slots
}

type target struct {
	id           anvilid.TargetID
	epoch        anvilid.Epoch
	limits       Limits
	state        State
	leaving      bool
	evacuated    bool              // set by SetEvacuated
	leaseLimit   anvilid.SlotCount // upper bound on own leases, set by SetLimit
	leaseExpired bool              // no report has arrived within TargetLease

	reserved  anvilid.SlotCount // slots reserved for gangs whose members were placed on this target
	taskSlots anvilid.SlotCount // slots used by gang members that have not ended, according to the latest report
	ownLeases []Lease
	foreignEstimate

	service   *service
	lastUse   uint64            // Ledger.useCounter at the latest lease; larger means used more recently
	heapIndex int               // position in service.available, or -1
	free      anvilid.SlotCount // slots that can be leased now
	usable    anvilid.SlotCount // slots that this owner may use for short requests, leased or not; see Load.Slots

	ownedSince   anvilclock.Millis
	lastReport   anvilclock.Millis
	older, newer *target // neighbors in Ledger.byReportTime
	listed       bool    // whether the target is in Ledger.byReportTime
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{targets: map[anvilid.TargetID]*target{}, services: map[anvilid.ServiceName]*service{}}
}

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

// Acquire leases a slot on the target of the service with the most free slots. Among targets with
// equally many free slots it selects the least recently used one.
func (l *Ledger) Acquire(now anvilclock.Millis, name anvilid.ServiceName) (Lease, bool) {
	l.expireTargetLeases(now)
	s, ok := l.services[name]
	if !ok || len(s.available) == 0 {
		return Lease{}, false
	}
	return l.addLease(now, s.available[0]), true
}

// AcquireOn leases a slot on the given target, for a health probe. It ignores the limit set by
// SetLimit but respects all other limits.
func (l *Ledger) AcquireOn(now anvilclock.Millis, id anvilid.TargetID) (Lease, bool) {
	l.expireTargetLeases(now)
	t, ok := l.targets[id]
	if !ok || t.headroom(t.limits.Slots) <= 0 {
		return Lease{}, false
	}
	return l.addLease(now, t), true
}

func (l *Ledger) addLease(now anvilclock.Millis, t *target) Lease {
	l.leaseCounter++
	l.useCounter++
	lease := Lease{Target: t.id, Epoch: t.epoch, sequence: l.leaseCounter, acquired: now}
	t.ownLeases = append(t.ownLeases, lease)
	t.lastUse = l.useCounter
	t.service.running++
	t.recordLeasePeak(now)
	l.updateFreeSlots(t)
	return lease
}

// Valid reports whether a lease still allows its request to be sent. Call it immediately before
// sending the request, or BeginSend if it has no connection yet.
func (l *Ledger) Valid(now anvilclock.Millis, lease Lease) bool {
	return l.held(lease) != nil && now-lease.acquired < MaxDispatchDelay
}

// held returns the ledger's entry of a lease, or nil if it was released or its target is no longer owned in the
// same epoch.
func (l *Ledger) held(lease Lease) *Lease {
	t, ok := l.targets[lease.Target]
	if !ok || t.epoch != lease.Epoch {
		return nil
	}
	if i := t.leaseIndex(lease); i >= 0 {
		return &t.ownLeases[i]
	}
	return nil
}

// BeginSend is like Valid, for a request for which a connection must be obtained before it is sent. Until
// Send, the request isn't taken for one that the target runs, however long the connection takes.
func (l *Ledger) BeginSend(now anvilclock.Millis, lease Lease) bool {
	if !l.Valid(now, lease) {
		return false
	}
	l.held(lease).connecting = true
	return true
}

// Send reports whether the request of a lease may be sent now that it has a connection: its target is still owned in
// the same epoch.
func (l *Ledger) Send(now anvilclock.Millis, lease Lease) bool {
	held := l.held(lease)
	if held == nil {
		return false
	}
	held.acquired, held.connecting = now, false
	return true
}

// Release ends a lease whose request has certainly ended at the target or was never sent. It does
// nothing if the lease was already released, or if the target got a new epoch or was disowned.
func (l *Ledger) Release(now anvilclock.Millis, lease Lease) {
	l.removeLease(now, lease)
}

// ReleaseUnknown ends a lease whose request may still be running at the target. Its slot counts as
// foreign usage until a later usage reading of the target shows that it is free.
func (l *Ledger) ReleaseUnknown(now anvilclock.Millis, lease Lease) {
	if t := l.removeLease(now, lease); t != nil {
		t.addUnknownEnd(now)
		l.updateFreeSlots(t)
	}
}

func (l *Ledger) removeLease(now anvilclock.Millis, lease Lease) *target {
	t, ok := l.targets[lease.Target]
	if !ok || t.epoch != lease.Epoch {
		return nil
	}
	i := t.leaseIndex(lease)
	if i < 0 {
		return nil
	}
	t.recordLeasePeak(now)
	last := len(t.ownLeases) - 1
	t.ownLeases[i] = t.ownLeases[last]
	t.ownLeases = t.ownLeases[:last]
	t.service.running--
	l.updateFreeSlots(t)
	return t
}

// Free returns the number of slots of a service that can be leased now.
func (l *Ledger) Free(now anvilclock.Millis, name anvilid.ServiceName) anvilid.SlotCount {
	l.expireTargetLeases(now)
	if s, ok := l.services[name]; ok {
		return s.free
	}
	return 0
}

// Loads returns the load of each service, ordered by name.
func (l *Ledger) Loads(now anvilclock.Millis) []Load {
	l.expireTargetLeases(now)
	loads := make([]Load, 0, len(l.services))
	for name, s := range l.services {
		loads = append(loads, Load{Service: name, Targets: s.targets, Slots: s.usable, Free: s.free, Running: s.running})
	}
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Service, b.Service) })
	return loads
}

// Unresponsive returns the targets that have not reported for UnresponsiveAfter, ordered by id.
func (l *Ledger) Unresponsive(now anvilclock.Millis) []anvilid.TargetID {
	var gone []anvilid.TargetID
	for t := l.byReportTime.oldest; t != nil && now-t.lastReport >= UnresponsiveAfter; t = t.newer {
		gone = append(gone, t.id)
	}
	slices.Sort(gone)
	return gone
}

// View returns the status of the target with the given id, and false if this instance doesn't own it.
func (l *Ledger) View(id anvilid.TargetID) (View, bool) {
	t, ok := l.targets[id]
	if !ok {
		return View{}, false
	}
	return View{
		Target: id, Epoch: t.epoch, State: t.state, Leaving: t.leaving, Reported: t.lastReport,
		Own: anvilid.SlotCount(len(t.ownLeases)), Foreign: t.foreign, Reserved: t.gangSlots(), Free: t.free,
		MaxConnections: t.connectionCap(),
	}, true
}

// Views returns the status of all owned targets, ordered by id.
func (l *Ledger) Views() []View {
	views := make([]View, 0, len(l.targets))
	for id := range l.targets {
		view, _ := l.View(id)
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Target, b.Target) })
	return views
}

// ConnectionCap returns the largest number of connections, idle ones included, that this owner may
// have open to a target. It is 0 for a target in state Waiting and for one that is not owned.
func (l *Ledger) ConnectionCap(id anvilid.TargetID) anvilid.ConnectionCount {
	if t, ok := l.targets[id]; ok {
		return t.connectionCap()
	}
	return 0
}

// expireTargetLeases excludes targets from dispatch that have not reported within TargetLease.
func (l *Ledger) expireTargetLeases(now anvilclock.Millis) {
	for t := l.byReportTime.firstLive(); t != nil && now-t.lastReport >= TargetLease; t = l.byReportTime.firstLive() {
		t.leaseExpired = true
		l.byReportTime.oldestLive = t.newer
		l.updateFreeSlots(t)
	}
}

func (t *target) leaseIndex(lease Lease) int {
	for i := range t.ownLeases {
		if t.ownLeases[i].sequence == lease.sequence {
			return i
		}
	}
	return -1
}

// gangSlots returns the number of slots in use by or reserved for gangs, whichever is larger. A gang
// member that still runs on the target after its placement was removed is included.
func (t *target) gangSlots() anvilid.SlotCount { return max(t.reserved, t.taskSlots) }

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
