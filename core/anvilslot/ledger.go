// Package anvilslot counts the slots and connections of the targets that
// this instance owns and decides which target gets the next short request.
//
// A target enforces no limit, so the count must never be too low. Usage that
// this owner has not caused is called foreign: requests of former owners, and
// own requests whose end is unknown. Foreign usage is lowered only by reports
// whose usage was certainly read late enough; see evidence.go.
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
	// TargetLease is how long a target gets new work after its last report.
	TargetLease = 5 * anvilclock.Second
	// UnresponsiveAfter is how long a target may stay silent before Gone lists it.
	UnresponsiveAfter = 30 * anvilclock.Second
	// MaxPacketDelay is the assumed bound on the time between the sending of a
	// request and its start at the target, and between the end of a request
	// at the target and the arrival of its answer.
	MaxPacketDelay = 250 * anvilclock.Millisecond
	// MaxDispatchDelay is how long after its acquisition a lease permits the
	// request to be sent.
	MaxDispatchDelay = 50 * anvilclock.Millisecond
	// startWithin bounds the time from a lease to the start of its request.
	startWithin = MaxDispatchDelay + MaxPacketDelay
	// MaxOwnerConnections is the most connections that one owner opens to a
	// target, so that four successive owners stay within 64.
	MaxOwnerConnections anvilid.ConnectionCount = 16
)

// Errors of Adopted, Polled and Report.
var (
	ErrNotOwned   = errors.New("target is not owned")
	ErrStaleEpoch = errors.New("stale epoch")
	ErrEarlyRead  = errors.New("usage was read too early")
)

// State is the state of an owned target.
type State string

// States of an owned target.
const (
	Waiting  State = "waiting"  // for adoption; nothing may be dispatched
	Adopted  State = "adopted"  // may get work
	Draining State = "draining" // gets no new work, to be released to a next owner
)

// Limits are the limits that a target announced.
type Limits struct {
	Service     anvilid.ServiceName
	Incarnation anvilid.Incarnation
	Slots       anvilid.SlotCount
	Connections anvilid.ConnectionCount
}

// Lease is the right to run one request on a target. The holder ends it with
// Release or ReleaseUnknown.
type Lease struct {
	Target anvilid.TargetID
	Epoch  anvilid.Epoch

	sequence uint64
	acquired anvilclock.Millis
}

// Load sums up the targets of one service.
type Load struct {
	Service anvilid.ServiceName `json:"service"`
	Targets int                 `json:"targets"`
	// Slots is the sum of slots that are neither reserved nor foreign on
	// targets that may get work.
	Slots anvilid.SlotCount `json:"slots"`
	Free  anvilid.SlotCount `json:"free"`
	// Running counts the leases that this owner holds.
	Running anvilid.SlotCount `json:"running"`
}

// View shows one owned target.
type View struct {
	Target         anvilid.TargetID
	Epoch          anvilid.Epoch
	State          State
	Leaving        bool
	Reported       anvilclock.Millis // when the latest report arrived
	Own            anvilid.SlotCount
	Foreign        anvilid.SlotCount
	Reserved       anvilid.SlotCount
	Free           anvilid.SlotCount
	MaxConnections anvilid.ConnectionCount // the most that this owner may have open
}

// Ledger holds the targets that this instance owns.
type Ledger struct {
	targets  map[anvilid.TargetID]*target
	services map[anvilid.ServiceName]*service
	reported recency
	uses     uint64 // orders targets by their latest use
	leases   uint64
}

type service struct {
	ready   targetHeap // targets with free slots
	targets int
	free    anvilid.SlotCount
	running anvilid.SlotCount
	usable  anvilid.SlotCount
}

type target struct {
	id      anvilid.TargetID
	epoch   anvilid.Epoch
	limits  Limits
	state   State
	leaving bool
	limit   anvilid.SlotCount // bound on own leases, set by SetLimit
	silent  bool              // the target lease has lapsed

	reserved anvilid.SlotCount // by placements
	tasks    anvilid.SlotCount // by gang members on the latest report
	own      []Lease
	evidence

	service *service
	used    uint64
	index   int // in service.ready, or -1
	free    anvilid.SlotCount
	usable  anvilid.SlotCount

	owned         anvilclock.Millis
	reported      anvilclock.Millis
	older, newer  *target // in Ledger.reported
	inRecencyList bool
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{targets: map[anvilid.TargetID]*target{}, services: map[anvilid.ServiceName]*service{}}
}

// Own starts or renews the ownership of a target. A new epoch must be
// adopted again, and leases of a former epoch become void: the adoption
// report counts whatever they still run.
func (l *Ledger) Own(now anvilclock.Millis, id anvilid.TargetID, epoch anvilid.Epoch, limits Limits, reserved anvilid.SlotCount) {
	if known, ok := l.targets[id]; ok {
		if known.epoch > epoch {
			return
		}
		if known.epoch == epoch {
			known.reserved = reserved
			l.refresh(known)
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
		id: id, epoch: epoch, limits: limits, state: Waiting, limit: limits.Slots,
		reserved: reserved, service: s, index: -1, owned: now, reported: now,
	}
	l.targets[id] = t
	l.reported.touch(t)
}

// Disown forgets a target. Leases on it become void.
func (l *Ledger) Disown(id anvilid.TargetID) {
	t, ok := l.targets[id]
	if !ok {
		return
	}
	t.state = Draining
	l.refresh(t)
	t.service.running -= anvilid.SlotCount(len(t.own))
	t.service.targets--
	if t.service.targets == 0 {
		delete(l.services, t.limits.Service)
	}
	l.reported.remove(t)
	delete(l.targets, id)
}

// SetReserved sets the slots that gangs hold on a target.
func (l *Ledger) SetReserved(id anvilid.TargetID, reserved anvilid.SlotCount) {
	if t, ok := l.targets[id]; ok {
		t.reserved = reserved
		l.refresh(t)
	}
}

// ReservationCleared tells whether the reserved slots of a target are clear of short
// requests, so that gang members may be prepared.
func (l *Ledger) ReservationCleared(id anvilid.TargetID) bool {
	t, ok := l.targets[id]
	return ok && t.state == Adopted &&
		t.held()+anvilid.SlotCount(len(t.own))+t.foreign <= t.limits.Slots
}

// SetLeaving stops dispatch to a target that leaves.
func (l *Ledger) SetLeaving(id anvilid.TargetID) {
	if t, ok := l.targets[id]; ok {
		t.leaving = true
		l.refresh(t)
	}
}

// SetLimit bounds the leases on a target, 0 for a target that was ejected.
// AcquireOn ignores the bound.
func (l *Ledger) SetLimit(id anvilid.TargetID, limit anvilid.SlotCount) {
	if t, ok := l.targets[id]; ok && t.limit != limit {
		t.limit = limit
		l.refresh(t)
	}
}

// Drain stops dispatch to a target that is to be released to a next owner.
func (l *Ledger) Drain(id anvilid.TargetID) {
	if t, ok := l.targets[id]; ok {
		t.state = Draining
		l.refresh(t)
	}
}

// Drained tells whether a draining target has no own leases left.
func (l *Ledger) Drained(id anvilid.TargetID) bool {
	t, ok := l.targets[id]
	return ok && t.state == Draining && len(t.own) == 0
}

// Acquire leases a slot on the target of the service that has the most free
// slots. Among equals it takes the least recently used one.
func (l *Ledger) Acquire(now anvilclock.Millis, name anvilid.ServiceName) (Lease, bool) {
	l.expire(now)
	s, ok := l.services[name]
	if !ok || len(s.ready) == 0 {
		return Lease{}, false
	}
	return l.lease(now, s.ready[0]), true
}

// AcquireOn leases a slot on a given target, for a probe. It ignores
// SetLimit and keeps every other bound.
func (l *Ledger) AcquireOn(now anvilclock.Millis, id anvilid.TargetID) (Lease, bool) {
	l.expire(now)
	t, ok := l.targets[id]
	if !ok || t.room(t.limits.Slots) <= 0 {
		return Lease{}, false
	}
	return l.lease(now, t), true
}

func (l *Ledger) lease(now anvilclock.Millis, t *target) Lease {
	l.leases++
	l.uses++
	lease := Lease{Target: t.id, Epoch: t.epoch, sequence: l.leases, acquired: now}
	t.own = append(t.own, lease)
	t.used = l.uses
	t.service.running++
	t.notePeak(now)
	l.refresh(t)
	return lease
}

// Valid tells whether a lease still permits a dispatch. It must be checked
// right before the request is sent.
func (l *Ledger) Valid(now anvilclock.Millis, lease Lease) bool {
	t, ok := l.targets[lease.Target]
	return ok && t.epoch == lease.Epoch && t.find(lease) >= 0 && now-lease.acquired < MaxDispatchDelay
}

// Release ends a lease whose request has certainly ended at the target, or
// was never sent. It is a no-op for a void lease.
func (l *Ledger) Release(now anvilclock.Millis, lease Lease) {
	l.drop(now, lease)
}

// ReleaseUnknown ends a lease whose request may still run at the target. Its
// slot counts as foreign until a report that was read later shows it free.
func (l *Ledger) ReleaseUnknown(now anvilclock.Millis, lease Lease) {
	if t := l.drop(now, lease); t != nil {
		t.noteUnknown(now)
		l.refresh(t)
	}
}

func (l *Ledger) drop(now anvilclock.Millis, lease Lease) *target {
	t, ok := l.targets[lease.Target]
	if !ok || t.epoch != lease.Epoch {
		return nil
	}
	i := t.find(lease)
	if i < 0 {
		return nil
	}
	t.notePeak(now)
	last := len(t.own) - 1
	t.own[i] = t.own[last]
	t.own = t.own[:last]
	t.service.running--
	l.refresh(t)
	return t
}

// Free returns the free slots of a service.
func (l *Ledger) Free(now anvilclock.Millis, name anvilid.ServiceName) anvilid.SlotCount {
	l.expire(now)
	if s, ok := l.services[name]; ok {
		return s.free
	}
	return 0
}

// Loads returns the load of each service, ordered by name.
func (l *Ledger) Loads(now anvilclock.Millis) []Load {
	l.expire(now)
	loads := make([]Load, 0, len(l.services))
	for name, s := range l.services {
		loads = append(loads, Load{Service: name, Targets: s.targets, Slots: s.usable, Free: s.free, Running: s.running})
	}
	slices.SortFunc(loads, func(a, b Load) int { return cmp.Compare(a.Service, b.Service) })
	return loads
}

// Unresponsive returns the targets that have not reported for GoneAfter, ordered by
// id.
func (l *Ledger) Unresponsive(now anvilclock.Millis) []anvilid.TargetID {
	var gone []anvilid.TargetID
	for t := l.reported.oldest; t != nil && now-t.reported >= UnresponsiveAfter; t = t.newer {
		gone = append(gone, t.id)
	}
	slices.Sort(gone)
	return gone
}

// View returns what is known about an owned target.
func (l *Ledger) View(id anvilid.TargetID) (View, bool) {
	t, ok := l.targets[id]
	if !ok {
		return View{}, false
	}
	return View{
		Target: id, Epoch: t.epoch, State: t.state, Leaving: t.leaving, Reported: t.reported,
		Own: anvilid.SlotCount(len(t.own)), Foreign: t.foreign, Reserved: t.held(), Free: t.free,
		MaxConnections: t.connectionCap(),
	}, true
}

// Views returns all owned targets, ordered by id.
func (l *Ledger) Views() []View {
	views := make([]View, 0, len(l.targets))
	for id := range l.targets {
		view, _ := l.View(id)
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Target, b.Target) })
	return views
}

// ConnectionCap returns the most connections that this owner may have open
// to a target, idle ones included. It is 0 before adoption.
func (l *Ledger) ConnectionCap(id anvilid.TargetID) anvilid.ConnectionCount {
	if t, ok := l.targets[id]; ok {
		return t.connectionCap()
	}
	return 0
}

// expire takes targets whose lease has lapsed out of dispatch.
func (l *Ledger) expire(now anvilclock.Millis) {
	for t := l.reported.firstHeard(); t != nil && now-t.reported >= TargetLease; t = l.reported.firstHeard() {
		t.silent = true
		l.reported.heard = t.newer
		l.refresh(t)
	}
}

func (t *target) find(lease Lease) int {
	for i := range t.own {
		if t.own[i].sequence == lease.sequence {
			return i
		}
	}
	return -1
}

// held returns the slots that gangs hold. A member that is still on the
// target after its placement was dropped counts too.
func (t *target) held() anvilid.SlotCount { return max(t.reserved, t.tasks) }

func (t *target) connectionCap() anvilid.ConnectionCount {
	if t.state == Waiting {
		return 0
	}
	return max(0, min(MaxOwnerConnections, t.limits.Connections-t.foreignOpen))
}

// room returns how many more leases the target may get.
func (t *target) room(limit anvilid.SlotCount) anvilid.SlotCount {
	if t.state != Adopted || t.leaving || t.silent || t.paused {
		return 0
	}
	own := anvilid.SlotCount(len(t.own))
	return min(
		t.limits.Slots-t.held()-t.foreign-own,
		anvilid.SlotCount(t.connectionCap())-own,
		limit-own,
	)
}

// refresh recomputes the free slots of a target after a change.
func (l *Ledger) refresh(t *target) {
	s := t.service
	free := max(0, t.room(t.limit))
	usable := anvilid.SlotCount(0)
	if t.state == Adopted && !t.leaving && !t.silent {
		usable = max(0, min(t.limits.Slots-t.held()-t.foreign, t.limit))
	}
	s.free += free - t.free
	s.usable += usable - t.usable
	t.free, t.usable = free, usable
	switch {
	case free > 0 && t.index < 0:
		heap.Push(&s.ready, t)
	case free > 0:
		heap.Fix(&s.ready, t.index)
	case t.index >= 0:
		heap.Remove(&s.ready, t.index)
	}
}

func (l *Ledger) owned(id anvilid.TargetID) (*target, error) {
	t, ok := l.targets[id]
	if !ok {
		return nil, fmt.Errorf("%w: target %q; pass the report on to its owner", ErrNotOwned, id)
	}
	return t, nil
}

// hear notes a report that is newer than those before it.
func (l *Ledger) hear(now anvilclock.Millis, t *target, report *anvilreport.Report) {
	t.reported = now
	t.silent = false
	l.reported.touch(t)
	t.leaving = t.leaving || report.Leaving
	t.tasks = 0
	for _, task := range report.Tasks {
		if !task.State.Final() {
			t.tasks += anvilid.SlotCount(task.Accelerators)
		}
	}
}
