package anvillead

import (
	"context"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anviladvice"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvillock"
	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilpace"
	"anvilshunt/core/anvilraft"
	"anvilshunt/core/anvilupkeep"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvilconn"
	"anvilshunt/io/anvilgroup"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilvoter"
)

const (
	// pollInterval is how often a voter checks whether it has been elected leader.
	pollInterval = 40 * time.Millisecond
	// stepInterval is how often the leader's loop runs when no event wakes it.
	stepInterval = 50 * time.Millisecond
	// commitTimeout bounds a commit to the replicated log. A leader that cannot
	// commit within this time has lost its quorum.
	commitTimeout = 2 * time.Second
	// resultQueueSize is the capacity of the channels that carry results of calls
	// and keepalives of targets to the leader's goroutine.
	resultQueueSize = 4096
)

// OutboundCalls are the functions through which the leader calls targets and the
// services of the platform. Each one returns when the call is answered or has
// timed out.
type OutboundCalls struct {
	Start func(context.Context, anvilorder.Start) anvilorder.StartAnswer
	Stop  func(context.Context, anvilorder.Stop) anvilorder.StopAnswer
	Poll  func(context.Context, anvilorder.Poll) anvilorder.PollAnswer
	// Throttle makes a target slow a run down to a percentage of its full rate,
	// and reports whether the target confirmed it.
	Throttle func(context.Context, anvilpace.ThrottleOrder) bool
	// Advise asks the advice service which targets may run a step of a job.
	Advise func(context.Context, anviladvice.Question) (anviladvice.Answer, error)
	// ListMachines returns the host machines of the targets. The caller sets MachineList.Sent.
	ListMachines func(context.Context) (anvilupkeep.MachineList, error)
	// OrderUpkeep requests the maintenance (upkeep) of one host machine.
	OrderUpkeep func(context.Context, anvilupkeep.Order, anvilid.Token) (anvilupkeep.OrderResult, error)
	// Ignored returns the number of entries in answers, and of announcements, that could not be used
	// and were ignored since the start of the process.
	Ignored func() uint64
}

// Bounds contains the times and numbers that the leader takes from the platform's
// settings: the lease time of orders, the announce interval, the duration of a
// maintenance, and the number of initial voters. Only the poll wait and the retry
// interval in Orders are constants of the program.
type Bounds struct {
	Orders anvilorder.Timing
	// AnnounceInterval is the interval at which targets announce themselves.
	AnnounceInterval anvilclock.Millis
	// UpkeepDuration is how long a host machine is down for its maintenance.
	UpkeepDuration anvilclock.Millis
	// InitialVoters is the number of voters that must have joined before the
	// first configuration is accepted. Configure checks it only while the system
	// has no configuration, and only until initialVotersTimeout has passed since
	// the start of the process. 0 means that there is no such condition.
	InitialVoters int
	// Connections limits the calls to targets that are in flight, by purpose.
	Connections anvilconn.Budget
	// KeepApart lets the planner keep queues apart that slow each other down. Without it, they are only found and
	// logged.
	KeepApart bool
}

// Leader contains a voter's copy of the replicated state, and schedules jobs
// while this voter is the leader.
type Leader struct {
	group     *anvilgroup.Group
	clock     anvilclock.Clock // monotonic, counts from boot
	wallClock anvilclock.Clock
	log       *anvillogs.Logger
	calls     OutboundCalls
	bounds    Bounds

	ignored      *anvillogs.Ignored // announcements that can't be used
	relays       relays
	stateChanged chan struct{}                  // capacity 1; contains a value when the replicated state has changed
	keepalives   chan []anvilorder.Announcement // announcements that change no replicated state

	shared *anvillock.Value[shared]
	// startedAt is when this process started, on the monotonic clock.
	startedAt anvilclock.Millis
}

// shared is what the goroutines of a voter share: the one that applies entries, the one of the term, and those of calls.
type shared struct {
	state *anvilwork.State
	// pendingCrashes has the crashes of targets that the leader has not logged yet.
	pendingCrashes []anvilwork.Crash
	heard          heardAnnouncements
	evidence       termEvidence
	// begun has the jobs of which a target has confirmed a run in this term.
	begun map[anvilid.JobID]bool
	// term is the term in which this voter acts as leader, or 0.
	term anvilid.Term
}

// New returns the scheduler of a voter. Call Attach before Run.
func New(clock, wall anvilclock.Clock, log *anvillogs.Logger, calls OutboundCalls, bounds Bounds) *Leader {
	return &Leader{
		clock: clock, wallClock: wall, log: log, calls: calls, bounds: bounds,
		stateChanged: make(chan struct{}, 1), keepalives: make(chan []anvilorder.Announcement, resultQueueSize), startedAt: clock.Now(),
		shared: anvillock.New(shared{state: anvilwork.New(), heard: heardAnnouncements{}}), ignored: anvillogs.NewIgnored(clock, log, anvillogs.EntryIgnored),
	}
}

// Attach sets the voter group that the leader commits to. It must be called
// once, before Run.
func (l *Leader) Attach(group *anvilgroup.Group) { l.group = group }

// StateMachine returns the functions through which the voter applies committed
// entries to the replicated state.
func (l *Leader) StateMachine() anvilvoter.StateMachine {
	return anvilvoter.StateMachine{Apply: l.apply, Restore: l.restore, Snapshot: l.snapshot}
}

func (l *Leader) apply(entry anvilraft.Entry) any {
	batch, err := anvilwork.Decode(entry.Data)
	if err != nil {
		l.log.Write(anvillogs.EntryUnreadable, zap.Uint64("index", uint64(entry.Index)), zap.Error(err))
		return []anvilwork.Result(nil)
	}
	var results []anvilwork.Result
	l.shared.With(func(s *shared) {
		results = s.state.Apply(entry.At, batch)
		s.evidence.applied(entry.Term, entry.At, l.bounds.AnnounceInterval)
		s.collectCrashes()
	})
	l.signalChange()
	return results
}

func (l *Leader) restore(snapshot anvilraft.Snapshot) error {
	state, err := anvilwork.Restore(snapshot.Data)
	if err != nil {
		return err
	}
	l.shared.With(func(s *shared) { s.state, s.evidence = state, termEvidence{} })
	l.signalChange()
	return nil
}

func (l *Leader) snapshot() (data []byte, err error) {
	l.shared.With(func(s *shared) { data, err = s.state.Snapshot() })
	return data, err
}

func (l *Leader) signalChange() {
	select {
	case l.stateChanged <- struct{}{}:
	default:
	}
}

// Run acts as the leader in each term that this voter wins, until ctx is done.
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
		l.group.Wake()
		// The barrier ensures that all entries of earlier terms are applied.
		barrier, cancel := context.WithTimeout(ctx, commitTimeout)
		err := l.group.Voter.Barrier(barrier)
		cancel()
		if err == nil {
			l.leadTerm(ctx, status.Term)
		}
	}
}

// leadTerm schedules jobs as the leader of one term until this voter loses the
// leadership or ctx is done.
func (l *Leader) leadTerm(parent context.Context, term anvilid.Term) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	// The age of the state that this leader takes over is read before its first change of it, which may come as
	// soon as the term is set.
	leadership := newLeadership(l, term)
	l.shared.With(func(s *shared) { s.term, s.begun = term, map[anvilid.JobID]bool{} })
	l.log.Write(anvillogs.LeadershipGained, zap.Uint64("term", uint64(term)))
	leadership.run(ctx)
	l.shared.With(func(s *shared) { s.term = 0 })
	l.log.Write(anvillogs.LeadershipEnded, zap.Uint64("term", uint64(term)))
}

// leading reports whether this voter is certainly the leader now: no other
// voter can have been elected yet, and all earlier changes are applied.
func (l *Leader) leading() bool {
	var term anvilid.Term
	l.shared.With(func(s *shared) { term = s.term })
	if term == 0 {
		return false
	}
	status := l.group.Voter.Status()
	return status.Term == term && status.HasQuorum
}

// logTime returns the time with which the replicated log would be stamped now. The times in the replicated
// state are compared with it, because the wall clock may jump.
func (l *Leader) logTime() anvilclock.Millis { return l.group.Voter.LogTime() }

// commit proposes commands as one log entry and returns their results.
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
