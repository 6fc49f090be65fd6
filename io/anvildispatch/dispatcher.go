// Package anvildispatch dispatches short requests that arrive from callers and from peer instances. It
// checks admission, deduplicates request ids, claims requests that must not run twice, queues
// requests until a slot is free, and sends each to a target of this instance or forwards it to a
// peer.
//
// The holder of a request id is the instance that runs the request or has stored its answer. There are
// two ways to find the holder when a request is sent again at another instance. For a repeatable
// request, one instance of the region, the coordinator of the id, records the holder in memory. For a
// request that must not run twice, a claim in the replicated log records the holder, and only the
// attempt to which the claim was granted sends the request to a target.
package anvildispatch

import (
	"context"
	"sync"
	"sync/atomic"

	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvildedup"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilqueue"
	"anvilshunt/core/anvilrequest"
	"anvilshunt/core/anvilretry"
	"anvilshunt/core/anvilslot"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// minRetriesPerSecond is the number of retries per second that a service may make regardless of its
// successes. It is far below the number of requests that a single target can handle.
const minRetriesPerSecond = 10

// Self identifies the instance, and the run of it, that a Dispatcher belongs to.
type Self struct {
	Instance anvilid.InstanceID
	// Incarnation is the incarnation (number of the run) of the instance at process start. If the
	// instance has to join the control group again, it gets a higher one; see SetIncarnation.
	Incarnation anvilid.Incarnation
	Region      anvilid.RegionName
}

// Directory gives access to the instance's view of the replicated state. Each function returns a
// copy or a value that does not change.
type Directory struct {
	Account func(anvilid.AccountID) *anvilconfig.Account
	Service func(anvilid.ServiceName) *anvilconfig.Service
	// Instances returns the instances that accept work, ordered by id.
	Instances func() []anvilstate.Instance
	// HasLocalTarget reports whether the region of this instance has a target of the service,
	// HasTarget whether any region has one.
	HasLocalTarget func(anvilid.ServiceName) bool
	HasTarget      func(anvilid.ServiceName) bool
	// Leased reports whether the lease of the instance is valid, so that it may admit requests and
	// send them to targets.
	Leased func() bool
	// AwaitLease waits until the lease is valid. It returns false if the context ends first.
	AwaitLease func(context.Context) bool
}

// Fleet gives access to the targets that this instance owns and to their slots.
type Fleet struct {
	// Acquire takes a free slot of a target of the service. It returns false if there is none.
	Acquire func(anvilid.ServiceName) (anvilslot.Lease, bool)
	// Probe returns the given slot, or, if a target that was ejected for failing requests is due for a
	// test with a single request (a probe), releases the given slot and returns one of that target.
	Probe func(anvilslot.Lease, anvilid.ServiceName) anvilslot.Lease
	// Release returns a slot that was not used.
	Release func(anvilslot.Lease)
	// Loads returns the total and the free slots of each service on the owned targets. The queue of a
	// service limits the long requests that run at a time to a share of the total.
	Loads func() []anvilslot.Load
	// Dispatch runs a request on the target of the slot and then releases the slot.
	Dispatch func(context.Context, anvilslot.Lease, *anvilrequest.Request, anvilid.Token) anvilrequest.Answer
}

// Limits limit the memory and work of a Dispatcher.
type Limits struct {
	Requests int               // requests that are handled at a time
	Queue    int               // waiting requests of each account and service
	IDs      int               // request ids in each of the two tables of ids
	Cache    anvilid.ByteCount // total size of the stored answers
}

// Dispatcher handles the short requests of one instance.
type Dispatcher struct {
	self         Self
	clock        anvilclock.Clock
	log          *anvillogs.Logger
	directory    Directory
	fleet        Fleet
	propose      func(context.Context, *anvilstate.Command) (anvilstate.Result, error)
	runClient    func(anvilid.Address) anvilrpc.Peer
	recordClient func(anvilid.Address) anvilrpc.Peer
	fetchClient  func(anvilid.Address) anvilrpc.Peer
	limits       Limits
	recordEvent  func(anvilburn.Event)

	// incarnation is the incarnation under which the instance last joined the control group.
	incarnation atomic.Uint64

	attempts atomic.Uint64 // number of claims that this process has proposed; numbers the next one
	sequence atomic.Uint64 // number of request ids that this process has generated; part of the next one
	admitted atomic.Int64  // requests that are being handled
	draining atomic.Bool

	mu       sync.Mutex
	services map[anvilid.ServiceName]*serviceState
	// heldRequests contains the requests of which this instance is the holder: it runs or ran them.
	// It also stores their answers.
	heldRequests *anvildedup.Table
	// coordinatedIDs contains the request ids for which this instance is the coordinator of its
	// region, and the instance that is the holder of each.
	coordinatedIDs *anvildedup.Table
	executions     map[anvildedup.Key]*execution
	counts         map[string]int64 // see Counts
	peers          *anvilslot.PeerSelector
}

// serviceState is the queue and the retry budget of one service at this instance.
type serviceState struct {
	queue  *anvilqueue.Queue
	budget *anvilretry.Budget
}

// execution is a request that this instance is running. Resends of the request wait until done is
// closed, which happens once answer is set.
type execution struct {
	done   chan struct{}
	answer anvilrequest.Answer
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithLimits sets the limits.
func WithLimits(limits Limits) Option { return func(d *Dispatcher) { d.limits = limits } }

// WithPropose sets the function that commits commands to the replicated log.
func WithPropose(propose func(context.Context, *anvilstate.Command) (anvilstate.Result, error)) Option {
	return func(d *Dispatcher) { d.propose = propose }
}

// WithPeers sets the functions that return a client of another instance. Forwarded requests use the
// client of run, calls to the coordinator of a request id that of record, and calls that fetch a
// stored answer that of fetch.
func WithPeers(run, record, fetch func(anvilid.Address) anvilrpc.Peer) Option {
	return func(d *Dispatcher) { d.runClient, d.recordClient, d.fetchClient = run, record, fetch }
}

// New returns a Dispatcher without requests.
func New(self Self, clock anvilclock.Clock, log *anvillogs.Logger, directory Directory, fleet Fleet, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		self: self, clock: clock, log: log, directory: directory, fleet: fleet,
		limits:     Limits{Requests: 4096, Queue: 4096, IDs: anvildedup.MaxIDs, Cache: 64 << 20},
		services:   map[anvilid.ServiceName]*serviceState{},
		executions: map[anvildedup.Key]*execution{},
		counts:     map[string]int64{},
		peers:      anvilslot.NewPeerSelector(uint64(self.Incarnation)),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.incarnation.Store(uint64(self.Incarnation))
	d.heldRequests = anvildedup.NewTable(anvildedup.WithMaxIDs(d.limits.IDs), anvildedup.WithAnswerBytes(d.limits.Cache))
	d.coordinatedIDs = anvildedup.NewTable(anvildedup.WithMaxIDs(d.limits.IDs))
	return d
}

// serviceState returns the state of a service, which it creates at first use. mu must be locked.
func (d *Dispatcher) serviceState(name anvilid.ServiceName) *serviceState {
	s, ok := d.services[name]
	if !ok {
		s = &serviceState{
			queue:  anvilqueue.New(anvilqueue.WithMaxPerAccount(d.limits.Queue)),
			budget: anvilretry.NewBudget(d.clock.Now(), anvilretry.WithMinPerSecond(minRetriesPerSecond)),
		}
		d.services[name] = s
	}
	return s
}

// SetIncarnation sets the incarnation under which the instance has joined the control group again.
func (d *Dispatcher) SetIncarnation(incarnation anvilid.Incarnation) {
	d.incarnation.Store(uint64(incarnation))
}

// joinedIncarnation returns the incarnation under which other instances know this one.
func (d *Dispatcher) joinedIncarnation() anvilid.Incarnation {
	return anvilid.Incarnation(d.incarnation.Load())
}

// Drain makes the dispatcher refuse all new requests from now on.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// Admitted returns the number of requests of callers and peers that this instance is handling.
func (d *Dispatcher) Admitted() int64 { return d.admitted.Load() }

// Queued returns the number of waiting requests of each service.
func (d *Dispatcher) Queued() map[anvilid.ServiceName]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	queued := map[anvilid.ServiceName]int{}
	for name, s := range d.services {
		queued[name] = s.queue.Len()
	}
	return queued
}

// Counts returns the number of answers since the process started, for each outcome and code.
func (d *Dispatcher) Counts() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make(map[string]int64, len(d.counts))
	for key, count := range d.counts {
		counts[key] = count
	}
	return counts
}

// count counts an answer by its outcome and code.
func (d *Dispatcher) count(answer anvilrequest.Answer) {
	key := string(answer.Outcome)
	if answer.Code != "" {
		key += "_" + string(answer.Code)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[key]++
}

// HandleInstanceEnded records that a run of an instance has ended. The request ids of which it was the
// holder count as new again, and no requests are forwarded to the instance.
func (d *Dispatcher) HandleInstanceEnded(id anvilid.InstanceID, incarnation anvilid.Incarnation) {
	holder := anvildedup.Holder{Instance: id, Incarnation: incarnation}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.coordinatedIDs.MarkHolderEnded(holder)
	d.peers.Remove(id)
}
