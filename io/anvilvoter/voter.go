// Package anvilvoter runs one member of the replicated log: it drives an
// anvilraft.Node with a data directory, a network and a state machine.
//
// The duties are goroutines joined by bounded channels:
//
//	Propose, Deliver, timer -> step loop -> disk loop  -> (Persisted) step loop
//	                                     -> senders    -> network
//	                                     -> apply loop -> (Compact) step loop
//
// Only the step loop waits for other duties, and no duty waits for the step
// loop, so that they can't block each other forever.
package anvilvoter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvildisk"
	"anvilshunt/io/anvillogs"

	"github.com/rotisserie/eris"
)

// StateMachine is the replicated state machine. The calls come from one goroutine.
type StateMachine struct {
	// Apply executes a committed command. Its result goes to the Propose call
	// of this voter that waits for the entry, if any.
	Apply func(entry anvilraft.Entry) any
	// Restore replaces the state by that of a snapshot.
	Restore func(snapshot anvilraft.Snapshot) error
	// Snapshot encodes the state after the last applied entry.
	Snapshot func() ([]byte, error)
}

// Send transmits encoded messages to one peer. Messages may be lost.
type Send func(ctx context.Context, peer anvilraft.VoterID, messages [][]byte) error

const (
	defaultTick = 10 * anvilclock.Millisecond
	// defaultCompactAfter bounds the log that a restart reads. 100,000 entries
	// of 200 bytes are read in about 50 ms.
	defaultCompactAfter = 50_000
	// sendTimeout frees the sender of a peer whose network hangs.
	sendTimeout = 2 * time.Second

	inboxSize   = 1024
	requestSize = 4096
	peerSize    = 1024
	// diskSize and applySize exceed the 4096 entries that a leader keeps in
	// flight to one member, so that the step loop of a follower with a slow
	// disk still answers heartbeats.
	diskSize  = 8192
	applySize = 8192
	// lagging is the length of these queues from which on calls have to wait.
	lagging = 1024
)

// Voter is one member of the replicated log.
type Voter struct {
	instance     anvilid.InstanceID
	dir          string
	diskOptions  []anvildisk.Option
	nodeOptions  []anvilraft.Option
	machine      StateMachine
	send         Send
	clock, wall  anvilclock.Clock
	tick         anvilclock.Millis
	compactAfter int
	log          *anvillogs.Logger
	slowSave     anvilclock.Millis

	inbox     chan anvilraft.Message
	requests  chan *request
	saves     chan anvilraft.Save
	persisted chan uint64 // holds the latest sequence only
	applies   chan applyItem
	compacts  chan anvilraft.Compact
	started   atomic.Bool
	ready     chan struct{} // closed when the data directory has been read
	stopped   chan struct{} // closed when Run returns

	mu      sync.Mutex // guards the fields below between the step loop and Status
	node    *anvilraft.Node
	created bool
	cut     anvilid.ByteCount

	applied    atomic.Uint64
	dropped    atomic.Uint64
	sendErrors atomic.Uint64
}

// Option changes a default of New.
type Option func(*Voter)

// WithDir sets the data directory, which is required, and options of it.
func WithDir(dir string, opts ...anvildisk.Option) Option {
	return func(v *Voter) { v.dir, v.diskOptions = dir, opts }
}

// WithNode adds options of the log node.
func WithNode(opts ...anvilraft.Option) Option {
	return func(v *Voter) { v.nodeOptions = append(v.nodeOptions, opts...) }
}

// WithStateMachine sets the state machine.
func WithStateMachine(machine StateMachine) Option { return func(v *Voter) { v.machine = machine } }

// WithSend sets the function that transmits messages.
func WithSend(send Send) Option { return func(v *Voter) { v.send = send } }

// WithClocks replaces the monotonic and the wall clock.
func WithClocks(monotonic, wall anvilclock.Clock) Option {
	return func(v *Voter) { v.clock, v.wall = monotonic, wall }
}

// WithTick sets the interval at which time passes for the node.
func WithTick(interval anvilclock.Millis) Option { return func(v *Voter) { v.tick = interval } }

// WithCompactAfter sets how many applied entries cause a snapshot.
func WithCompactAfter(entries int) Option { return func(v *Voter) { v.compactAfter = entries } }

// WithLog sets the log, which gets an event for each write to the data
// directory that takes longer than slow.
func WithLog(log *anvillogs.Logger, slow anvilclock.Millis) Option {
	return func(v *Voter) { v.log, v.slowSave = log, slow }
}

// New returns a voter that does nothing until Run.
func New(id anvilid.InstanceID, opts ...Option) *Voter {
	v := &Voter{
		instance: id,
		machine: StateMachine{
			Apply:    func(anvilraft.Entry) any { return nil },
			Restore:  func(anvilraft.Snapshot) error { return nil },
			Snapshot: func() ([]byte, error) { return nil, nil },
		},
		send:  func(context.Context, anvilraft.VoterID, [][]byte) error { return nil },
		clock: anvilclock.Monotonic(), wall: anvilclock.Wall(),
		tick: defaultTick, compactAfter: defaultCompactAfter,
		log: anvillogs.Discard(),

		inbox:     make(chan anvilraft.Message, inboxSize),
		requests:  make(chan *request, requestSize),
		saves:     make(chan anvilraft.Save, diskSize),
		persisted: make(chan uint64, 1),
		applies:   make(chan applyItem, applySize),
		compacts:  make(chan anvilraft.Compact, 1),
		ready:     make(chan struct{}),
		stopped:   make(chan struct{}),
	}
	for _, opt := range opts {
		opt(v)
	}
	return v
}

// Ready returns a channel that is closed when the data directory has been
// read and Status is complete.
func (v *Voter) Ready() <-chan struct{} { return v.ready }

// Run reads the data directory and takes part in the group until ctx is done.
// It returns nil then, and otherwise the fatal error of the directory or the
// state machine. A voter runs once.
func (v *Voter) Run(ctx context.Context) error {
	if !v.started.CompareAndSwap(false, true) {
		return eris.Wrapf(ErrStopped, "voter %s: a voter runs once, make a new one", v.instance)
	}
	defer close(v.stopped)
	storage, restored, err := anvildisk.Open(v.dir, v.diskOptions...)
	if err != nil {
		return eris.Wrapf(err, "start voter %s", v.instance)
	}
	err = v.runOpen(ctx, storage, restored)
	if closeErr := storage.Close(); err == nil && closeErr != nil {
		err = eris.Wrapf(closeErr, "stop voter %s", v.instance)
	}
	return err
}

func (v *Voter) runOpen(parent context.Context, storage *anvildisk.Storage, restored anvildisk.Restored) error {
	if err := restored.Check(); err != nil {
		return eris.Wrapf(err, "start voter %s with %s", v.instance, v.dir)
	}
	if restored.Snapshot.Index > 0 {
		if err := v.machine.Restore(restored.Snapshot); err != nil {
			return eris.Wrapf(err, "restore snapshot %d of voter %s", restored.Snapshot.Index, v.instance)
		}
	}
	v.applied.Store(uint64(restored.Snapshot.Index))
	v.mu.Lock()
	v.node = anvilraft.New(v.instance, restored.PersistentState, v.nodeOptions...)
	v.created, v.cut = restored.Created, restored.Cut
	v.mu.Unlock()
	close(v.ready)

	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	var duties sync.WaitGroup
	start := func(duty func() error) {
		duties.Go(func() {
			if err := duty(); err != nil {
				cancel(eris.Wrapf(err, "voter %s", v.instance))
			}
		})
	}
	start(func() error { return v.diskLoop(ctx, storage) })
	start(func() error { return v.applyLoop(ctx, restored.Snapshot.Index) })
	start(func() error { newStepper(ctx, v).loop(); return nil })
	<-ctx.Done()
	duties.Wait()
	if parent.Err() != nil {
		return nil
	}
	return context.Cause(ctx)
}

// Status describes a voter.
type Status struct {
	ID      anvilraft.VoterID
	Role    anvilraft.Role
	Term    anvilid.Term
	Leader  anvilraft.VoterID
	Commit  anvilid.Index
	Applied anvilid.Index
	// HasQuorum tells that this voter is the leader and that no other one can
	// have been elected at the time of the call.
	HasQuorum bool
	Members   anvilraft.Members
	// Dropped counts messages that did not fit a queue or couldn't be read,
	// SendErrors counts failed calls of Send.
	Dropped, SendErrors uint64
	// Created tells that Run found an empty data directory, and Cut is the size
	// of an incomplete last write that it removed.
	Created   bool
	Truncated anvilid.ByteCount
}

// Status returns the current state. Before Ready only the instance is known.
func (v *Voter) Status() Status {
	status := Status{
		ID: anvilraft.VoterID{Instance: v.instance}, Applied: anvilid.Index(v.applied.Load()),
		Dropped: v.dropped.Load(), SendErrors: v.sendErrors.Load(),
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.node == nil {
		return status
	}
	node := v.node.Status()
	status.ID, status.Role, status.Term, status.Leader = node.ID, node.Role, node.Term, node.Leader
	status.Commit, status.Members = node.Commit, node.Members
	status.Created, status.Truncated = v.created, v.cut
	select {
	case <-v.stopped:
	default:
		status.HasQuorum = v.node.HasQuorum(v.clock.Now())
	}
	return status
}
