// Package anvilfleet manages the targets that one instance owns: it adopts them,
// processes their reports, runs requests on them and releases them.
//
// Adopting a target means to call it under the ownership epoch of this instance,
// so that it rejects requests of former owners and reports its present usage. The
// instance uses the target only after that. Releasing a target hands it over to
// its next owner.
package anvilfleet

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilhealth"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
	"anvilshunt/core/anvilslot"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilduty"
	"anvilshunt/io/anvillogs"
)

// maintainInterval is the interval at which the fleet checks which targets it has
// to adopt, poll, release or remove.
const maintainInterval = 20 * time.Millisecond

// adoptTimeout bounds one adopt call to a target. The same call is used to poll an
// adopted target.
const adoptTimeout = 2 * time.Second

// proposeTimeout bounds one attempt to commit a command that releases or removes a
// target.
const proposeTimeout = 2 * time.Second

// reportEjectionInterval is the pause between commands that record the ejection of the same target or its
// end. It is longer than a commit takes.
const reportEjectionInterval = 500 * anvilclock.Millisecond

// slowRatio is the multiple of the average duration of its service above which a
// request is considered slow.
const slowRatio = 20

// Fleet manages the targets that this instance owns, and leases their slots to
// requests.
type Fleet struct {
	self        anvilid.InstanceID
	clock       anvilclock.Clock
	log         *anvillogs.Logger
	answerLimit anvilid.ByteCount

	// leased reports whether the lease of this instance is valid, so that it may
	// send requests to targets now.
	leased func() bool
	// propose commits a command that releases or removes a target to the
	// replicated log.
	propose func(context.Context, *anvilstate.Command) (anvilstate.Result, error)
	// slotsFreed is called, while mu is not locked, when slots of a service may
	// have become free.
	slotsFreed func(anvilid.ServiceName)

	mu      sync.Mutex
	ledger  *anvilslot.Ledger
	health  *anvilhealth.Monitor
	targets map[anvilid.TargetID]*ownedTarget
	probes  map[anvilid.TargetID]anvilslot.Lease
	counts  Counts
}

// ownedTarget is one target that this instance owns.
type ownedTarget struct {
	state  anvilstate.Target
	caller *caller
	// calling is set while an adopt call, which is also used to poll the target,
	// is in progress.
	calling bool
	// proposing is set while a command that releases or removes the target is
	// being committed.
	proposing bool
	retryAt   anvilclock.Millis // earliest time of the next adopt call after one failed
	// reportEjectionAt is the earliest time of the next command that records an ejection or its end.
	reportEjectionAt anvilclock.Millis
	adoptedAt        anvilclock.Millis
}

// Counts contains totals since the start of the process.
type Counts struct {
	Dispatched  int64 `json:"dispatched"` // dispatches to a target, including failed ones
	Rejected    int64 `json:"rejected"`   // answers that failed a check
	Unknown     int64 `json:"unknown"`    // requests with an unknown outcome
	Refused     int64 `json:"refused"`    // requests that the target refused or did not receive
	Ejections   int64 `json:"ejections"`  // ejections of targets because their requests failed
	Adoptions   int64 `json:"adoptions"`  // targets that were adopted
	StaleLeases int64 `json:"stale"`      // requests that were not sent because a lease was no longer valid
}

// Option changes a Fleet.
type Option func(*Fleet)

// WithLeased sets the function that reports whether the lease of the instance is
// valid.
func WithLeased(leased func() bool) Option { return func(f *Fleet) { f.leased = leased } }

// WithPropose sets the function that commits commands to the replicated log.
func WithPropose(propose func(context.Context, *anvilstate.Command) (anvilstate.Result, error)) Option {
	return func(f *Fleet) { f.propose = propose }
}

// WithSlotsFreed sets the function that is called when slots of a service may
// have become free.
func WithSlotsFreed(freed func(anvilid.ServiceName)) Option {
	return func(f *Fleet) { f.slotsFreed = freed }
}

// WithAnswerLimit sets the maximum size of the body of a target's answer.
func WithAnswerLimit(limit anvilid.ByteCount) Option { return func(f *Fleet) { f.answerLimit = limit } }

// New returns a fleet without targets for an instance. The seed determines the
// random jitter of the times at which ejected targets are probed.
func New(self anvilid.InstanceID, clock anvilclock.Clock, log *anvillogs.Logger, seed uint64, opts ...Option) *Fleet {
	f := &Fleet{
		self: self, clock: clock, log: log, answerLimit: 8 << 20,
		leased:     func() bool { return true },
		slotsFreed: func(anvilid.ServiceName) {},
		propose: func(context.Context, *anvilstate.Command) (anvilstate.Result, error) {
			return anvilstate.Result{}, nil
		},
		ledger: anvilslot.New(), health: anvilhealth.New(seed), targets: map[anvilid.TargetID]*ownedTarget{},
		probes: map[anvilid.TargetID]anvilslot.Lease{},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// UpdateTarget processes a change of a target in the replicated state. If this
// instance is the owner, the fleet manages the target from then on, under its
// present epoch; otherwise the fleet forgets it.
func (f *Fleet) UpdateTarget(target anvilstate.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if target.Owner != f.self {
		f.forget(target.ID)
		return
	}
	entry, ok := f.targets[target.ID]
	if ok && entry.state.Epoch != target.Epoch {
		f.forget(target.ID)
		ok = false
	}
	if !ok {
		entry = &ownedTarget{caller: newCaller(target)}
		f.targets[target.ID] = entry
		f.health.Add(target.ID, target.Service, target.Slots)
		if target.Ejected {
			f.health.Inherit(target.ID)
		}
	}
	entry.state = target
	f.ledger.Own(f.clock.Now(), target.ID, target.Epoch, anvilslot.Limits{
		Service: target.Service, Incarnation: target.Incarnation,
		Slots: target.Slots, Connections: target.Connections,
	}, target.Reserved)
	if target.Leaving {
		f.ledger.SetLeaving(target.ID)
	}
	f.ledger.SetEvacuated(target.ID, target.Evacuated)
	if target.NextOwner != "" {
		f.ledger.Drain(target.ID)
	}
	f.applyHealthLimit(target.ID)
	for _, id := range f.health.EjectInherited(f.clock.Now()) {
		f.applyHealthLimit(id)
	}
}

// ForgetTarget forgets a target that was removed from the replicated state.
func (f *Fleet) ForgetTarget(id anvilid.TargetID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forget(id)
}

// ForgetAllTargets forgets all targets. It is called when the instance gives up its
// lease, without which it may not send requests to targets.
func (f *Fleet) ForgetAllTargets() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.targets {
		f.forget(id)
	}
}

func (f *Fleet) forget(id anvilid.TargetID) {
	entry, ok := f.targets[id]
	if !ok {
		return
	}
	f.ledger.Disown(id)
	if returned, changed := f.health.Remove(id); changed {
		f.applyHealthLimit(returned)
	}
	entry.caller.close()
	delete(f.targets, id)
}

// applyHealthLimit passes the limit of concurrent requests that the health monitor
// sets for a target to the ledger of slots.
func (f *Fleet) applyHealthLimit(id anvilid.TargetID) {
	if entry, ok := f.targets[id]; ok {
		f.ledger.SetLimit(id, f.health.Limit(id, entry.state.Slots))
	}
}

// Report updates the slots of an owned target from the target's report.
func (f *Fleet) Report(report *anvilreport.Report) error {
	f.mu.Lock()
	err := f.ledger.HandleReport(f.clock.Now(), report)
	f.mu.Unlock()
	if err == nil {
		f.slotsFreed(report.Service)
	}
	return err
}

// Loads returns the total and the free slots of each service on the owned targets.
func (f *Fleet) Loads() []anvilslot.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Loads(f.clock.Now())
}

// Free returns the number of free slots of a service on the owned targets.
func (f *Fleet) Free(service anvilid.ServiceName) anvilid.SlotCount {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Free(f.clock.Now(), service)
}

// Counts returns totals since the start of the process.
func (f *Fleet) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Status describes an owned target.
type Status struct {
	anvilslot.View
	Health anvilhealth.State
}

// Statuses returns the status of all owned targets in the order of their ids.
func (f *Fleet) Statuses() []Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	views := f.ledger.Views()
	statuses := make([]Status, len(views))
	for i, view := range views {
		statuses[i] = Status{View: view, Health: f.health.State(view.Target)}
	}
	return statuses
}

// Run adopts, polls, releases and removes owned targets until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	return anvilduty.Every(ctx, maintainInterval, f.maintain)
}

func (f *Fleet) maintain(ctx context.Context) {
	if !f.leased() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for id, entry := range f.targets {
		view, ok := f.ledger.View(id)
		switch {
		case !ok:
		case view.State == anvilslot.Waiting && now >= entry.retryAt:
			f.call(ctx, entry)
		case view.State == anvilslot.Draining && f.ledger.Drained(id):
			f.release(ctx, entry)
		case view.State == anvilslot.Adopted && now >= entry.reportEjectionAt:
			f.reportEjection(ctx, now, entry)
		}
	}
	for _, id := range f.ledger.DuePolls(now) {
		if entry, ok := f.targets[id]; ok {
			f.call(ctx, entry)
		}
	}
	for _, id := range f.ledger.Unresponsive(now) {
		if entry, ok := f.targets[id]; ok {
			f.remove(ctx, entry)
		}
	}
}

// call starts an adopt call in the background, unless one is in progress. The call
// also returns the target's current usage, so it serves as a poll too.
func (f *Fleet) call(ctx context.Context, entry *ownedTarget) {
	if entry.calling {
		return
	}
	entry.calling = true
	target, caller := entry.state, entry.caller
	go func() {
		ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
		defer cancel()
		sent := f.clock.Now()
		report, err := caller.adopt(ctx, target, f.self)
		f.handleAdoption(entry, target, sent, report, err)
	}()
}

func (f *Fleet) handleAdoption(entry *ownedTarget, target anvilstate.Target, sent anvilclock.Millis, report *anvilreport.Report, err error) {
	f.mu.Lock()
	entry.calling = false
	now := f.clock.Now()
	before, _ := f.ledger.View(target.ID)
	if err == nil {
		err = f.ledger.HandleAdoption(now, sent, target.ID, target.Epoch, report)
	}
	after, _ := f.ledger.View(target.ID)
	if err != nil {
		entry.retryAt = now + anvilslot.MaxPacketDelay
		if from, ok := f.ledger.EarliestAdoption(target.ID); ok && from > now {
			entry.retryAt = from
		}
	}
	newlyAdopted := before.State == anvilslot.Waiting && after.State == anvilslot.Adopted
	if newlyAdopted {
		f.counts.Adoptions++
		entry.adoptedAt = now
		f.applyHealthLimit(target.ID)
	}
	f.mu.Unlock()
	switch {
	case err != nil:
		f.log.Write(anvillogs.TargetAdoptFailed, zap.String("target", string(target.ID)), zap.Error(err))
	case newlyAdopted:
		f.log.Write(anvillogs.TargetAdopted, zap.String("target", string(target.ID)), zap.Uint64("epoch", uint64(target.Epoch)))
		f.slotsFreed(target.Service)
	default:
		f.slotsFreed(target.Service)
	}
}

// release proposes the hand-over of a target to its next owner. The target must be
// drained: no request of this instance runs on it any more.
func (f *Fleet) release(ctx context.Context, entry *ownedTarget) {
	target := entry.state
	f.proposeOnce(ctx, entry, &anvilstate.Command{
		Release: &anvilstate.ReleaseTarget{ID: target.ID, Owner: f.self, Epoch: target.Epoch},
	}, anvillogs.TargetReleased)
}

// reportEjection proposes to record that a target is ejected, or that it no longer is, if that has changed.
// Without the record, the next owner would take an ejected target for healthy.
func (f *Fleet) reportEjection(ctx context.Context, now anvilclock.Millis, entry *ownedTarget) {
	target := entry.state
	ejected := f.health.State(target.ID) != anvilhealth.Healthy
	if ejected == target.Ejected {
		return
	}
	entry.reportEjectionAt = now + reportEjectionInterval
	f.proposeOnce(ctx, entry, &anvilstate.Command{
		Eject: &anvilstate.EjectTarget{ID: target.ID, Owner: f.self, Epoch: target.Epoch, Ejected: ejected},
	}, anvillogs.EjectionRecorded)
}

// remove stops using a target that no longer reports, and proposes its removal
// from the replicated state.
func (f *Fleet) remove(ctx context.Context, entry *ownedTarget) {
	target := entry.state
	f.ledger.Drain(target.ID)
	f.proposeOnce(ctx, entry, &anvilstate.Command{
		Remove: &anvilstate.RemoveTarget{ID: target.ID, Incarnation: target.Incarnation},
	}, anvillogs.TargetRemoved)
}

func (f *Fleet) proposeOnce(ctx context.Context, entry *ownedTarget, command *anvilstate.Command, event anvillogs.Event) {
	if entry.proposing {
		return
	}
	entry.proposing = true
	id := entry.state.ID
	go func() {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		_, err := f.propose(ctx, command)
		f.mu.Lock()
		entry.proposing = false
		f.mu.Unlock()
		if err != nil {
			f.log.Write(anvillogs.ProposalFailed, zap.String("target", string(id)), zap.Error(err))
			return
		}
		f.log.Write(event, zap.String("target", string(id)))
	}()
}
