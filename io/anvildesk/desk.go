// Package anvildesk takes short requests from callers and peers and brings
// them to a target: admission, request ids, claims, queues and forwarding.
package anvildesk

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

// retryFloor is the number of retries a second that a service may always
// make, far below what one target can take.
const retryFloor = 10

// Self is the run of the instance that the desk works for.
type Self struct {
	Instance anvilid.InstanceID
	// Incarnation is that of the process. A process that has to join again
	// gets a higher one; see Rejoined.
	Incarnation anvilid.Incarnation
	Region      anvilid.RegionName
}

// Directory is what the desk asks of the instance's view. Each function
// returns a copy or a value that doesn't change.
type Directory struct {
	Account func(anvilid.AccountID) *anvilconfig.Account
	Service func(anvilid.ServiceName) *anvilconfig.Service
	// Instances lists the instances that take work, in order of their ids.
	Instances func() []anvilstate.Instance
	// HasLocalTarget tells whether the own region has a target of the service, Served
	// whether any region has one.
	HasLocalTarget  func(anvilid.ServiceName) bool
	HasTarget func(anvilid.ServiceName) bool
	// Leased tells whether the instance may admit and send work; Await waits
	// until it may.
	Leased func() bool
	AwaitLease  func(context.Context) bool
}

// Fleet is what the desk asks of the fleet.
type Fleet struct {
	Acquire func(anvilid.ServiceName) (anvilslot.Lease, bool)
	Probe   func(anvilslot.Lease, anvilid.ServiceName) anvilslot.Lease
	Release func(anvilslot.Lease)
	// Loads tells the slots of each service, which bound the share of long
	// requests.
	Loads    func() []anvilslot.Load
	Dispatch func(context.Context, anvilslot.Lease, *anvilrequest.Request, anvilid.Token) anvilrequest.Answer
}

// Limits bound what the desk holds.
type Limits struct {
	Requests int
	Queue    int
	IDs      int
	Cache    anvilid.ByteCount
}

// Dispatcher takes requests.
type Dispatcher struct {
	self      Self
	clock     anvilclock.Clock
	log       *anvillogs.Logger
	directory Directory
	runner    Fleet
	propose   func(context.Context, *anvilstate.Command) (anvilstate.Result, error)
	peer      func(anvilid.Address) anvilrpc.Peer
	record    func(anvilid.Address) anvilrpc.Peer
	fetch     func(anvilid.Address) anvilrpc.Peer
	limits    Limits
	tally     func(anvilburn.Event)

	// incarnation is the one under which the instance last joined.
	incarnation atomic.Uint64

	attempts atomic.Uint64
	sequence atomic.Uint64
	admitted atomic.Int64
	draining atomic.Bool

	mu       sync.Mutex
	services map[anvilid.ServiceName]*service
	// held records the requests with ids that this instance holds, kept the
	// ids that it keeps for the region.
	held    *anvildedup.Table
	kept    *anvildedup.Table
	flights map[anvildedup.Key]*flight
	counts  map[string]int64
	peers   *anvilslot.PeerSelector
}

// service is the queue of one service at this instance.
type service struct {
	queue  *anvilqueue.Queue
	budget *anvilretry.Budget
}

// flight is a held request that hasn't ended.
type flight struct {
	done   chan struct{}
	answer anvilrequest.Answer
}

// Option changes a Desk.
type Option func(*Dispatcher)

// WithLimits sets the limits.
func WithLimits(limits Limits) Option { return func(d *Dispatcher) { d.limits = limits } }

// WithPropose sets how commands are committed.
func WithPropose(propose func(context.Context, *anvilstate.Command) (anvilstate.Result, error)) Option {
	return func(d *Dispatcher) { d.propose = propose }
}

// WithPeers sets the clients of other instances, by what they are used for.
func WithPeers(run, record, fetch func(anvilid.Address) anvilrpc.Peer) Option {
	return func(d *Dispatcher) { d.peer, d.record, d.fetch = run, record, fetch }
}

// New returns a desk.
func New(self Self, clock anvilclock.Clock, log *anvillogs.Logger, directory Directory, runner Fleet, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		self: self, clock: clock, log: log, directory: directory, runner: runner,
		limits:   Limits{Requests: 4096, Queue: 4096, IDs: anvildedup.MaxIDs, Cache: 64 << 20},
		services: map[anvilid.ServiceName]*service{},
		flights:  map[anvildedup.Key]*flight{},
		counts:   map[string]int64{},
		peers:    anvilslot.NewPeerSelector(uint64(self.Incarnation)),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.incarnation.Store(uint64(self.Incarnation))
	d.held = anvildedup.NewTable(anvildedup.WithMaxIDs(d.limits.IDs), anvildedup.WithAnswerBytes(d.limits.Cache))
	d.kept = anvildedup.NewTable(anvildedup.WithMaxIDs(d.limits.IDs))
	return d
}

func (d *Dispatcher) service(name anvilid.ServiceName) *service {
	s, ok := d.services[name]
	if !ok {
		s = &service{
			queue:  anvilqueue.New(anvilqueue.WithMaxPerAccount(d.limits.Queue)),
			budget: anvilretry.NewBudget(d.clock.Now(), anvilretry.WithMinPerSecond(retryFloor)),
		}
		d.services[name] = s
	}
	return s
}

// SetIncarnation notes the incarnation under which the instance has joined.
func (d *Dispatcher) SetIncarnation(incarnation anvilid.Incarnation) { d.incarnation.Store(uint64(incarnation)) }

// joined returns the incarnation under which other instances know this one.
func (d *Dispatcher) joined() anvilid.Incarnation { return anvilid.Incarnation(d.incarnation.Load()) }

// Drain refuses all new requests from now on.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// Admitted returns the number of requests that were taken and not answered.
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

// Counts returns the totals of answers by outcome and code.
func (d *Dispatcher) Counts() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make(map[string]int64, len(d.counts))
	for key, count := range d.counts {
		counts[key] = count
	}
	return counts
}

func (d *Dispatcher) count(answer anvilrequest.Answer) {
	key := string(answer.Outcome)
	if answer.Code != "" {
		key += "_" + string(answer.Code)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[key]++
}

// HandleInstanceEnded notes that a run of an instance has ended.
func (d *Dispatcher) HandleInstanceEnded(id anvilid.InstanceID, incarnation anvilid.Incarnation) {
	holder := anvildedup.Holder{Instance: id, Incarnation: incarnation}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kept.MarkHolderEnded(holder)
	d.peers.Remove(id)
}
