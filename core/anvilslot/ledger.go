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
	"errors"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
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
