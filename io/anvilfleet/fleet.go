// Package anvilfleet owns targets on behalf of one instance: it adopts them,
// takes in their reports, runs requests on them and releases them.
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

// How often the fleet looks for targets to adopt, poll and release.
const tendPeriod = 20 * time.Millisecond

// A call that adopts or polls a target takes at most this long.
const adoptTimeout = 2 * time.Second

// A command about a target is proposed for at most this long before the next
// attempt.
const proposeTimeout = 2 * time.Second

// slowRatio: a request that takes this many times the average of its service
// counts as slow.
const slowRatio = 20

// Fleet holds the targets that this instance owns.
type Fleet struct {
	self   anvilid.InstanceID
	clock  anvilclock.Clock
	log    *anvillogs.Logger
	answer anvilid.ByteCount

	// Leased tells whether this instance may send work now.
	leased func() bool
	// Propose commits a command about a target.
	propose func(context.Context, *anvilstate.Command) (anvilstate.Result, error)
	// Freed is called without locks when slots of a service became free.
	freed func(anvilid.ServiceName)

	mu      sync.Mutex
	ledger  *anvilslot.Ledger
	judge   *anvilhealth.Monitor
	targets map[anvilid.TargetID]*owned
	probes  map[anvilid.TargetID]anvilslot.Lease
	counts  Counts
}

// owned is one target in the care of this instance.
type owned struct {
	state  anvilstate.Target
	caller *caller
	// calling is set while an adopt or poll call is under way, proposing
	// while a command about the target is.
	calling   bool
	proposing bool
	retryAt   anvilclock.Millis
	adoptedAt anvilclock.Millis
}

// Counts are totals since the start.
type Counts struct {
	Dispatched  int64 `json:"dispatched"`
	Rejected    int64 `json:"rejected"`
	Unknown     int64 `json:"unknown"`
	Refused     int64 `json:"refused"`
	Ejections   int64 `json:"ejections"`
	Adoptions   int64 `json:"adoptions"`
	StaleLeases int64 `json:"stale"`
}

// Option changes a Fleet.
type Option func(*Fleet)

// WithLeased sets the check of the instance lease.
func WithLeased(leased func() bool) Option { return func(f *Fleet) { f.leased = leased } }

// WithPropose sets how commands are committed.
func WithPropose(propose func(context.Context, *anvilstate.Command) (anvilstate.Result, error)) Option {
	return func(f *Fleet) { f.propose = propose }
}

// WithSlotsFreed sets what is called when slots became free.
func WithSlotsFreed(freed func(anvilid.ServiceName)) Option {
	return func(f *Fleet) { f.freed = freed }
}

// WithAnswerLimit bounds the size of answers.
func WithAnswerLimit(limit anvilid.ByteCount) Option { return func(f *Fleet) { f.answer = limit } }

// New returns an empty fleet of an instance. The seed decides the jitter of
// probes.
func New(self anvilid.InstanceID, clock anvilclock.Clock, log *anvillogs.Logger, seed uint64, opts ...Option) *Fleet {
	f := &Fleet{
		self: self, clock: clock, log: log, answer: 8 << 20,
		leased: func() bool { return true },
		freed:  func(anvilid.ServiceName) {},
		propose: func(context.Context, *anvilstate.Command) (anvilstate.Result, error) {
			return anvilstate.Result{}, nil
		},
		ledger: anvilslot.New(), judge: anvilhealth.New(seed), targets: map[anvilid.TargetID]*owned{},
		probes: map[anvilid.TargetID]anvilslot.Lease{},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// UpdateTarget takes in a target whose state changed in the control group.
func (f *Fleet) UpdateTarget(target anvilstate.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if target.Owner != f.self {
		f.disown(target.ID)
		return
	}
	known, ok := f.targets[target.ID]
	if ok && known.state.Epoch != target.Epoch {
		f.disown(target.ID)
		ok = false
	}
	if !ok {
		known = &owned{caller: newCaller(target)}
		f.targets[target.ID] = known
		f.judge.Add(target.ID, target.Service, target.Slots)
	}
	known.state = target
	f.ledger.Own(f.clock.Now(), target.ID, target.Epoch, anvilslot.Limits{
		Service: target.Service, Incarnation: target.Incarnation,
		Slots: target.Slots, Connections: target.Connections,
	}, target.Reserved)
	if target.Leaving {
		f.ledger.SetLeaving(target.ID)
	}
	if target.Next != "" {
		f.ledger.Drain(target.ID)
	}
}

// ForgetTarget forgets a target that the control group has removed.
func (f *Fleet) ForgetTarget(id anvilid.TargetID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disown(id)
}

// ForgetAllTargets forgets all targets, because the instance gave up its lease.
func (f *Fleet) ForgetAllTargets() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.targets {
		f.disown(id)
	}
}

func (f *Fleet) disown(id anvilid.TargetID) {
	known, ok := f.targets[id]
	if !ok {
		return
	}
	f.ledger.Disown(id)
	if returned, changed := f.judge.Remove(id); changed {
		f.limit(returned)
	}
	known.caller.close()
	delete(f.targets, id)
}

// limit passes the judge's limit of a target on to the ledger.
func (f *Fleet) limit(id anvilid.TargetID) {
	if known, ok := f.targets[id]; ok {
		f.ledger.SetLimit(id, f.judge.Limit(id, known.state.Slots))
	}
}

// Report takes in the report of an owned target.
func (f *Fleet) Report(report *anvilreport.Report) error {
	f.mu.Lock()
	err := f.ledger.HandleReport(f.clock.Now(), report)
	f.mu.Unlock()
	if err == nil {
		f.freed(report.Service)
	}
	return err
}

// Loads returns the load of each service.
func (f *Fleet) Loads() []anvilslot.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Loads(f.clock.Now())
}

// Free returns the free slots of a service.
func (f *Fleet) Free(service anvilid.ServiceName) anvilid.SlotCount {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Free(f.clock.Now(), service)
}

// Counts returns the totals since the start.
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

// Statuses returns all owned targets in order of their ids.
func (f *Fleet) Statuses() []Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	views := f.ledger.Views()
	statuses := make([]Status, len(views))
	for i, view := range views {
		statuses[i] = Status{View: view, Health: f.judge.State(view.Target)}
	}
	return statuses
}

// Run tends the owned targets until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	return anvilduty.Every(ctx, tendPeriod, f.tend)
}

func (f *Fleet) tend(ctx context.Context) {
	if !f.leased() {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for id, known := range f.targets {
		view, ok := f.ledger.View(id)
		switch {
		case !ok:
		case view.State == anvilslot.Waiting && now >= known.retryAt:
			f.call(ctx, known)
		case view.State == anvilslot.Draining && f.ledger.Drained(id):
			f.release(ctx, known)
		}
	}
	for _, id := range f.ledger.DuePolls(now) {
		if known, ok := f.targets[id]; ok {
			f.call(ctx, known)
		}
	}
	for _, id := range f.ledger.Unresponsive(now) {
		if known, ok := f.targets[id]; ok {
			f.remove(ctx, known)
		}
	}
}

// call starts an adopt call, which also serves as a poll of usage.
func (f *Fleet) call(ctx context.Context, known *owned) {
	if known.calling {
		return
	}
	known.calling = true
	target, caller := known.state, known.caller
	go func() {
		ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
		defer cancel()
		sent := f.clock.Now()
		report, err := caller.adopt(ctx, target, f.self)
		f.adopted(known, target, sent, report, err)
	}()
}

func (f *Fleet) adopted(known *owned, target anvilstate.Target, sent anvilclock.Millis, report *anvilreport.Report, err error) {
	f.mu.Lock()
	known.calling = false
	now := f.clock.Now()
	before, _ := f.ledger.View(target.ID)
	if err == nil {
		err = f.ledger.HandleAdoption(now, sent, target.ID, target.Epoch, report)
	}
	after, _ := f.ledger.View(target.ID)
	if err != nil {
		known.retryAt = now + anvilslot.MaxPacketDelay
		if from, ok := f.ledger.EarliestAdoption(target.ID); ok && from > now {
			known.retryAt = from
		}
	}
	first := before.State == anvilslot.Waiting && after.State == anvilslot.Adopted
	if first {
		f.counts.Adoptions++
		known.adoptedAt = now
		f.limit(target.ID)
	}
	f.mu.Unlock()
	switch {
	case err != nil:
		f.log.Write(anvillogs.TargetAdoptFailed, zap.String("target", string(target.ID)), zap.Error(err))
	case first:
		f.log.Write(anvillogs.TargetAdopted, zap.String("target", string(target.ID)), zap.Uint64("epoch", uint64(target.Epoch)))
		f.freed(target.Service)
	default:
		f.freed(target.Service)
	}
}

// release gives a drained target to its next owner.
func (f *Fleet) release(ctx context.Context, known *owned) {
	target := known.state
	f.proposeOnce(ctx, known, &anvilstate.Command{
		Release: &anvilstate.ReleaseTarget{ID: target.ID, Owner: f.self, Epoch: target.Epoch},
	}, anvillogs.TargetReleased)
}

// remove forgets a target that is gone, here first and then for all.
func (f *Fleet) remove(ctx context.Context, known *owned) {
	target := known.state
	f.ledger.Drain(target.ID)
	f.proposeOnce(ctx, known, &anvilstate.Command{
		Remove: &anvilstate.RemoveTarget{ID: target.ID, Incarnation: target.Incarnation},
	}, anvillogs.TargetGone)
}

func (f *Fleet) proposeOnce(ctx context.Context, known *owned, command *anvilstate.Command, event anvillogs.Event) {
	if known.proposing {
		return
	}
	known.proposing = true
	id := known.state.ID
	go func() {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		_, err := f.propose(ctx, command)
		f.mu.Lock()
		known.proposing = false
		f.mu.Unlock()
		if err != nil {
			f.log.Write(anvillogs.ProposalFailed, zap.String("target", string(id)), zap.Error(err))
			return
		}
		f.log.Write(event, zap.String("target", string(id)))
	}()
}
