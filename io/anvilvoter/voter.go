// Package anvilvoter runs one member of the replicated log: it connects an
// anvilraft.Node with a data directory, a network and a state machine.
//
// Each of the following loops is a goroutine. Bounded channels connect them; the
// events Persisted and Compact go back to the step loop:
//
//	Propose, Deliver, timer -> step loop -> disk loop  -> (Persisted) step loop
//	                                     -> senders    -> network
//	                                     -> apply loop -> (Compact) step loop
//
// The step loop may wait for the other loops, but no other loop waits for the
// step loop. So they cannot deadlock.
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

// StateMachine contains the functions of the replicated state machine. One goroutine
// makes all calls.
type StateMachine struct {
	// Apply executes a committed command. Its result is returned by the Propose
	// call of this voter that waits for the entry, if there is one.
	Apply func(entry anvilraft.Entry) any
	// Restore replaces the state with that of a snapshot.
	Restore func(snapshot anvilraft.Snapshot) error
	// Snapshot encodes the state after the last applied entry.
	Snapshot func() ([]byte, error)
}

// Send transmits encoded messages to one peer. Messages may be lost.
type Send func(ctx context.Context, peer anvilraft.VoterID, messages [][]byte) error

const (
	defaultTick = 10 * anvilclock.Millisecond
	// defaultCompactAfter is the number of applied entries after which the log
	// is compacted. It bounds the log that a restart reads: 100,000 entries of
	// 200 bytes are read in about 50 ms.
	defaultCompactAfter = 50_000
	// defaultCompactBytes is the total size of the commands of applied entries after
	// which the log is compacted, however few they are.
	defaultCompactBytes = 16 << 20
	// sendTimeout bounds one call of Send, so that the sender does not stay
	// blocked when the network of a peer hangs.
	sendTimeout = 2 * time.Second

	inboxQueueSize   = 1024
	requestQueueSize = 4096
	peerQueueSize    = 1024
	// diskQueueSize and applyQueueSize are the capacities of the queues of the disk
	// loop and the apply loop. They are larger than the 4096 entries that a leader
	// sends to one member before these are acknowledged. So the step loop of a
	// follower with a slow disk does not block and still answers heartbeats.
	diskQueueSize  = 8192
	applyQueueSize = 8192
	// noticeQueueSize is more than the voters of a group and those that join together.
	noticeQueueSize = 64
	// lagLimit is the length of the disk queue or the apply queue above which the
	// step loop takes no further calls, because the disk or the state machine lags
	// behind.
	lagLimit = 1024
)

// Voter is one member of the replicated log.
type Voter struct {
	instance       anvilid.InstanceID
	dir            string
	diskOptions    []anvildisk.Option
	nodeOptions    []anvilraft.Option
	opened         *openedDir
	stateMachine   StateMachine
	send           Send
	clock, wall    anvilclock.Clock
	logTime        logTime
	tick           anvilclock.Millis
	compactAfter   int
	compactBytes   anvilid.ByteCount
	log            *anvillogs.Logger
	slowWriteLimit anvilclock.Millis

	inbox       chan anvilraft.Message
	requests    chan *request
	notices     chan anvilraft.Event // events that have no answer
	saves       chan anvilraft.Save
	persisted   chan uint64 // capacity 1; contains only the latest persisted sequence number
	applyItems  chan applyItem
	compactions chan anvilraft.Compact
	started     atomic.Bool
	ready       chan struct{} // closed when the data directory has been read
	stopped     chan struct{} // closed when Run returns

	mu        sync.Mutex // guards node, created, truncated, age and copied, which the step loop changes and Status reads
	node      *anvilraft.Node
	created   bool
	truncated anvilid.ByteCount
	age       anvildisk.Age
	copied    LogCopy

	applied    atomic.Uint64
	dropped    atomic.Uint64
	sendErrors atomic.Uint64
	syncs      syncTimes
}

// Option configures a Voter.
type Option func(*Voter)

// WithDir sets the data directory and its options. Each voter needs this option or WithStorage.
func WithDir(dir string, opts ...anvildisk.Option) Option {
	return func(v *Voter) { v.dir, v.diskOptions = dir, opts }
}

// openedDir is an open data directory and its content.
type openedDir struct {
	storage  *anvildisk.Storage
	restored anvildisk.Restored
}

// WithStorage sets a data directory that is open already, in place of WithDir. Run closes it.
func WithStorage(storage *anvildisk.Storage, restored anvildisk.Restored) Option {
	return func(v *Voter) { v.dir, v.opened = storage.Dir(), &openedDir{storage, restored} }
}

// WithNode adds options of the anvilraft.Node.
func WithNode(opts ...anvilraft.Option) Option {
	return func(v *Voter) { v.nodeOptions = append(v.nodeOptions, opts...) }
}

// WithStateMachine sets the state machine.
func WithStateMachine(stateMachine StateMachine) Option {
	return func(v *Voter) { v.stateMachine = stateMachine }
}

// WithSend sets the function that transmits messages.
func WithSend(send Send) Option { return func(v *Voter) { v.send = send } }

// WithClocks replaces the monotonic clock and the wall clock.
func WithClocks(monotonic, wall anvilclock.Clock) Option {
	return func(v *Voter) { v.clock, v.wall = monotonic, wall }
}

// WithTick sets the interval at which the node gets Tick events, which is the
// resolution of its timeouts.
func WithTick(interval anvilclock.Millis) Option { return func(v *Voter) { v.tick = interval } }

// WithCompactBytes sets the total size of the commands of applied entries after which a snapshot is created, if
// compactAfter isn't reached before. The log stays in memory and on disk until then.
func WithCompactBytes(size anvilid.ByteCount) Option {
	return func(v *Voter) { v.compactBytes = size }
}

// WithCompactAfter sets the number of applied entries after which a snapshot is
// created and the log is compacted, at least 1. The voters of a group do so at different
// log indexes; the first snapshot of a voter comes earlier.
func WithCompactAfter(entries int) Option { return func(v *Voter) { v.compactAfter = entries } }

// WithLog sets the logger. It logs each write to the data directory that takes
// longer than slow.
func WithLog(log *anvillogs.Logger, slow anvilclock.Millis) Option {
	return func(v *Voter) { v.log, v.slowWriteLimit = log, slow }
}

// New returns a voter that does nothing until Run.
func New(id anvilid.InstanceID, opts ...Option) *Voter {
	v := &Voter{
		instance: id,
		stateMachine: StateMachine{
			Apply:    func(anvilraft.Entry) any { return nil },
			Restore:  func(anvilraft.Snapshot) error { return nil },
			Snapshot: func() ([]byte, error) { return nil, nil },
		},
		send:  func(context.Context, anvilraft.VoterID, [][]byte) error { return nil },
		clock: anvilclock.Monotonic(), wall: anvilclock.Wall(),
		tick: defaultTick, compactAfter: defaultCompactAfter, compactBytes: defaultCompactBytes,
		log: anvillogs.Discard(),

		inbox:       make(chan anvilraft.Message, inboxQueueSize),
		requests:    make(chan *request, requestQueueSize),
		notices:     make(chan anvilraft.Event, noticeQueueSize),
		saves:       make(chan anvilraft.Save, diskQueueSize),
		persisted:   make(chan uint64, 1),
		applyItems:  make(chan applyItem, applyQueueSize),
		compactions: make(chan anvilraft.Compact, 1),
		ready:       make(chan struct{}),
		stopped:     make(chan struct{}),
	}
	for _, opt := range opts {
		opt(v)
	}
	return v
}

// Ready returns a channel that is closed when the data directory has been read.
// From then on, Status returns all fields.
func (v *Voter) Ready() <-chan struct{} { return v.ready }

// Run reads the data directory and participates in the group until ctx is done;
// it then returns nil. If the data directory or the state machine fails, Run
// returns the error. It can be called only once.
func (v *Voter) Run(ctx context.Context) error {
	if !v.started.CompareAndSwap(false, true) {
		return eris.Wrapf(ErrStopped, "voter %s has already been run, create a new one", v.instance)
	}
	defer close(v.stopped)
	opened, err := v.openDir()
	if err != nil {
		return eris.Wrapf(err, "start voter %s", v.instance)
	}
	err = v.runOpen(ctx, opened.storage, opened.restored)
	if closeErr := opened.storage.Close(); err == nil && closeErr != nil {
		err = eris.Wrapf(closeErr, "stop voter %s", v.instance)
	}
	return err
}

// openDir returns the open data directory, and no longer keeps its content in memory.
func (v *Voter) openDir() (openedDir, error) {
	if opened := v.opened; opened != nil {
		v.opened = nil
		return *opened, nil
	}
	storage, restored, err := anvildisk.Open(v.dir, v.diskOptions...)
	return openedDir{storage, restored}, err
}

func (v *Voter) runOpen(parent context.Context, storage *anvildisk.Storage, restored anvildisk.Restored) error {
	if err := restored.Check(); err != nil {
		return eris.Wrapf(err, "start voter %s with %s", v.instance, v.dir)
	}
	if restored.Snapshot.Index > 0 {
		if err := v.stateMachine.Restore(restored.Snapshot); err != nil {
			return eris.Wrapf(err, "restore snapshot %d of voter %s", restored.Snapshot.Index, v.instance)
		}
	}
	v.applied.Store(uint64(restored.Snapshot.Index))
	v.mu.Lock()
	v.node = anvilraft.New(v.instance, restored.PersistentState, v.nodeOptions...)
	v.created, v.truncated, v.age = restored.Created, restored.Truncated, restored.Age
	v.mu.Unlock()
	close(v.ready)

	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	var loops sync.WaitGroup
	start := func(runLoop func() error) {
		loops.Go(func() {
			if err := runLoop(); err != nil {
				cancel(eris.Wrapf(err, "voter %s", v.instance))
			}
		})
	}
	start(func() error { return v.diskLoop(ctx, storage) })
	start(func() error { return v.applyLoop(ctx, restored.Snapshot.Index) })
	start(func() error { newStepper(ctx, v).loop(); return nil })
	<-ctx.Done()
	loops.Wait()
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
	// Base is the index after which the log in memory begins, and Last that of its last entry, whether synced or not.
	Base, Last anvilid.Index
	// HasQuorum means that this voter is the leader, and that no other voter can
	// have been elected up to the time of the call of Status.
	HasQuorum bool
	// Members are those of the latest change, which MembersAt is the index of, and Committed those of the latest change that is
	// known to be committed.
	Members, Committed anvilraft.Members
	MembersAt          anvilid.Index
	// Dropped is the number of messages that did not fit into a queue or could not
	// be encoded or decoded. SendErrors is the number of failed calls of Send.
	Dropped, SendErrors uint64
	// Created means that Run found an empty data directory.
	Created bool
	// Truncated is the size of an incomplete last write that Run removed from the
	// end of the log.
	Truncated anvilid.ByteCount
	// LongestSync is the time of the longest write to the data directory so far, with its sync. It may still be in progress.
	LongestSync anvilclock.Millis
	// Age is that of the data directory when Run found it. It is only logged.
	Age anvildisk.Age
	// Copied is what leaders have sent of the log since the voter has started.
	Copied LogCopy
	// Tail is how long ago the last entry was stamped, by the wall clock, or -1 without one. It is only logged.
	Tail anvilclock.Millis
}

// Status returns the current state. Before Ready is closed, only the instance,
// the applied index and the counters are set.
func (v *Voter) Status() Status {
	status := Status{
		ID: anvilraft.VoterID{Instance: v.instance}, Applied: anvilid.Index(v.applied.Load()),
		Dropped: v.dropped.Load(), SendErrors: v.sendErrors.Load(), LongestSync: v.syncs.longestAt(v.clock.Now()),
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.node == nil {
		return status
	}
	node := v.node.Status()
	status.ID, status.Role, status.Term, status.Leader = node.ID, node.Role, node.Term, node.Leader
	status.Commit, status.Base, status.Last = node.Commit, node.Base, node.Last
	status.Members, status.Committed, status.MembersAt = node.Members, node.Committed, node.MembersAt
	status.Created, status.Truncated = v.created, v.truncated
	status.Age, status.Copied, status.Tail = v.age, v.copied, -1
	if at := v.node.LastTimestamp(); at > 0 {
		status.Tail = max(0, v.wall.Now()-at)
	}
	select {
	case <-v.stopped:
	default:
		status.HasQuorum = v.node.HasQuorum(v.clock.Now())
	}
	return status
}

// Electors returns the voters that count for an election, see anvilraft.Node.Electors, or none before Ready is closed.
func (v *Voter) Electors() []anvilraft.VoterID {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.node == nil {
		return nil
	}
	return v.node.Electors()
}

// ElectionState returns what an election needs, see anvilraft.Node.ElectionState. It is empty before Ready is closed.
func (v *Voter) ElectionState() anvilraft.ElectionState {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.node == nil {
		return anvilraft.ElectionState{}
	}
	return v.node.ElectionState()
}

// CommittedMembers returns the members by the last change that is known to be committed, or none before Ready is closed.
func (v *Voter) CommittedMembers() anvilraft.Members {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.node == nil {
		return anvilraft.Members{}
	}
	return v.node.CommittedMembers()
}

// MarkAge returns how long before the end of the log a voter was marked as lost, see anvilraft.Node.MarkAge.
func (v *Voter) MarkAge(id anvilraft.VoterID) (entries anvilid.Index, span anvilclock.Millis, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.node == nil {
		return 0, 0, false
	}
	return v.node.MarkAge(id)
}
