package anvillead

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anviladvice"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilpace"
	"anvilshunt/core/anvilraft"
	"anvilshunt/core/anvilupkeep"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvilgroup"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilvoter"
)

const (
	// pollInterval is how often a voter looks whether it leads.
	pollInterval = 40 * time.Millisecond
	// stepInterval is how often a leader acts when nothing happens.
	stepInterval = 50 * time.Millisecond
	// commitTimeout bounds a commit. A leader that can't commit for so long has
	// lost its quorum.
	commitTimeout = 2 * time.Second
	// answersSize bounds the answers of targets that wait for the leader.
	answersSize = 4096
)

// OutboundCalls are the calls to targets. Each returns when the target has answered
// or didn't in time.
type OutboundCalls struct {
	Start func(context.Context, anvilorder.Start) anvilorder.StartAnswer
	Stop  func(context.Context, anvilorder.Stop) anvilorder.StopAnswer
	Poll  func(context.Context, anvilorder.Poll) anvilorder.PollAnswer
	// Throttle sets the share at which a run works, and tells whether that was done.
	Throttle func(context.Context, anvilpace.ThrottleOrder) bool
	// Advise asks which targets may run a step.
	Advise func(context.Context, anviladvice.Question) (anviladvice.Answer, error)
	// ListMachines lists the machines, and Upkeep orders the upkeep of one.
	ListMachines func(context.Context) (map[anvilid.MachineID]anvilupkeep.Machine, error)
	OrderUpkeep  func(context.Context, anvilupkeep.Order, anvilid.Token) (anvilupkeep.OrderResult, error)
}

// Bounds are the times that the platform promises or demands.
type Bounds struct {
	Orders anvilorder.Timing
	// AnnounceInterval is the interval of the announcements of targets.
	AnnounceInterval anvilclock.Millis
	// UpkeepDuration is how long a machine is down for its upkeep.
	UpkeepDuration anvilclock.Millis
	// InitialVoters is the number of voters without which no configuration is
	// accepted at the first start, or 0.
	InitialVoters int
}

// Leader holds the replicated state of a voter and acts while it leads.
type Leader struct {
	group  *anvilgroup.Group
	clock  anvilclock.Clock // boot clock
	wall   anvilclock.Clock
	log    *anvillogs.Logger
	orders OutboundCalls
	bounds Bounds

	relays  relays
	changed chan struct{} // holds a token when the state has changed
	reports chan report

	mu    sync.Mutex
	state *anvilwork.State
	// term is the term that this voter has taken up as leader, or 0.
	term anvilid.Term
	// since is when this process started.
	since anvilclock.Millis
}

// report is an announcement of a target that changed nothing.
type report struct {
	target anvilid.TargetID
	born   anvilwork.Incarnation
}

// New returns the leader part of a voter. Attach connects it with its group.
func New(clock, wall anvilclock.Clock, log *anvillogs.Logger, orders OutboundCalls, bounds Bounds) *Leader {
	return &Leader{
		clock: clock, wall: wall, log: log, orders: orders, bounds: bounds, state: anvilwork.New(),
		changed: make(chan struct{}, 1), reports: make(chan report, answersSize), since: clock.Now(),
	}
}

// Attach sets the group. It is called once, before Run.
func (l *Leader) Attach(group *anvilgroup.Group) { l.group = group }

// StateMachine returns the replicated state machine for the voter.
func (l *Leader) StateMachine() anvilvoter.StateMachine {
	return anvilvoter.StateMachine{Apply: l.apply, Restore: l.restore, Snapshot: l.snapshot}
}

func (l *Leader) apply(entry anvilraft.Entry) any {
	batch, err := anvilwork.Decode(entry.Data)
	if err != nil {
		l.log.Write(anvillogs.EntryUnreadable, zap.Uint64("index", uint64(entry.Index)), zap.Error(err))
		return []anvilwork.Result(nil)
	}
	l.mu.Lock()
	results := l.state.Apply(entry.At, batch)
	l.mu.Unlock()
	l.wake()
	return results
}

func (l *Leader) restore(snapshot anvilraft.Snapshot) error {
	state, err := anvilwork.Restore(snapshot.Data)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.state = state
	l.mu.Unlock()
	l.wake()
	return nil
}

func (l *Leader) snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Snapshot()
}

func (l *Leader) wake() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Run leads whenever this voter is elected, until ctx is done.
func (l *Leader) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		status := l.group.Voter.Status()
		if status.Role != anvilraft.Leader || !status.HasQuorum {
			continue
		}
		// The barrier makes sure that all entries of former terms are applied.
		barrier, cancel := context.WithTimeout(ctx, commitTimeout)
		err := l.group.Voter.Barrier(barrier)
		cancel()
		if err == nil {
			l.lead(ctx, status.Term)
		}
	}
}

// lead acts as the leader of one term until the term ends.
func (l *Leader) lead(parent context.Context, term anvilid.Term) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	l.mu.Lock()
	l.term = term
	l.mu.Unlock()
	l.log.Write(anvillogs.TermBegun, zap.Uint64("term", uint64(term)))
	newLeadership(l, term).run(ctx)
	l.mu.Lock()
	l.term = 0
	l.mu.Unlock()
	l.log.Write(anvillogs.TermEnded, zap.Uint64("term", uint64(term)))
}

// leading tells whether this voter leads now, with certainty: no other voter
// can have been elected yet, and all earlier changes are applied.
func (l *Leader) leading() bool {
	l.mu.Lock()
	term := l.term
	l.mu.Unlock()
	if term == 0 {
		return false
	}
	status := l.group.Voter.Status()
	return status.Term == term && status.HasQuorum
}

// commit proposes commands as one entry and returns their results.
func (l *Leader) commit(ctx context.Context, commands ...anvilwork.Command) ([]anvilwork.Result, error) {
	data, err := anvilwork.Encode(anvilwork.Batch{Commands: commands})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, result, err := l.group.Voter.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	results, _ := result.([]anvilwork.Result)
	return results, nil
}
