// Package anvilgang runs long jobs: the owner of a target drives the members
// on it, and the leader of the control group drives whole gangs.
package anvilgang

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilduty"
	"anvilshunt/io/anvillogs"
)

const (
	// TaskLease is how long a member runs without a renewal.
	TaskLease = 15 * anvilclock.Second
	// renewPeriod leaves two more tries before the lease lapses.
	renewPeriod = 5 * anvilclock.Second
	// lapseMargin covers the difference of clock rates and a renewal that is
	// still on its way.
	lapseMargin = anvilclock.Second
	// fenceAge is how long a stopped member is remembered, much longer than
	// any call or report is delayed.
	fenceAge = 10 * anvilclock.Minute

	tendPeriod     = 100 * time.Millisecond
	callTimeout    = 2 * time.Second
	proposeTimeout = 5 * time.Second
)

// Errors of member actions.
var (
	ErrNotOwned   = errors.New("the target isn't owned by this instance")
	ErrSlotsInUse = errors.New("short requests still hold the slots")
	ErrUnknownAction     = errors.New("unknown action")
	ErrUnknownMember       = errors.New("the target doesn't know the member")
)

// Action is a step in the life of a member.
type Action string

// Actions.
const (
	Reserve Action = "reserve"
	Prepare Action = "prepare"
	Start   Action = "start"
	Stop    Action = "stop"
)

// Member names one member under one placement.
type Member struct {
	Job          anvilid.JobID
	Index        int
	Token        anvilid.Token
	Target       anvilid.TargetID
	Accelerators anvilid.AcceleratorCount
	Payload      []byte
}

// OwnerCalls are what an owner asks of the fleet and of the control group.
type OwnerCalls struct {
	// ReservedSlotsFree tells whether no short request holds a reserved slot.
	ReservedSlotsFree func(target anvilid.TargetID, token anvilid.Token) bool
	// AdoptedSince tells since when the target is adopted, and false if it isn't.
	AdoptedSince func(anvilid.TargetID) (since anvilclock.Millis, ok bool)
	// CallTask calls the target under the current epoch.
	CallTask func(ctx context.Context, target anvilid.TargetID, verb string, member Member, lease anvilclock.Millis) (anvilreport.Task, error)
	// Propose commits a command.
	Propose func(context.Context, *anvilstate.Command) (anvilstate.Result, error)
	// Job reads a job from the leader.
	Job func(context.Context, anvilid.JobID) (anvilstate.Job, error)
}

// key names a member on a target.
type key struct {
	target anvilid.TargetID
	job    anvilid.JobID
	index  int
}

// held is a member that this owner renews.
type held struct {
	member  Member
	running bool
	renewed anvilclock.Millis // when the latest renewal was sent
	calling bool
}

// fence is the token under which a member was stopped.
type fence struct {
	token anvilid.Token
	at    anvilclock.Millis
}

// Owner drives the members on the targets that this instance owns.
type Owner struct {
	clock anvilclock.Clock
	log   *anvillogs.Logger
	calls OwnerCalls

	mu   sync.Mutex
	held map[key]*held
	// stopped holds the highest stopped token of each member, so that a late
	// action or an old report can't bring it back.
	stopped map[key]fence
	// asking holds members whose job is being looked up.
	asking map[key]bool
}

// NewOwner returns an owner without members.
func NewOwner(clock anvilclock.Clock, log *anvillogs.Logger, calls OwnerCalls) *Owner {
	return &Owner{
		clock: clock, log: log, calls: calls,
		held: map[key]*held{}, stopped: map[key]fence{}, asking: map[key]bool{},
	}
}

func keyOf(member Member) key { return key{member.Target, member.Job, member.Index} }

// Execute carries out one action for the leader.
func (o *Owner) Execute(ctx context.Context, action Action, member Member) error {
	if _, ok := o.calls.AdoptedSince(member.Target); !ok {
		return fmt.Errorf("%w: target %q", ErrNotOwned, member.Target)
	}
	switch action {
	case Reserve:
		if !o.calls.ReservedSlotsFree(member.Target, member.Token) {
			return fmt.Errorf("%w: target %q", ErrSlotsInUse, member.Target)
		}
		return nil
	case Prepare, Start:
		return o.advance(ctx, action, member)
	case Stop:
		return o.stop(ctx, member)
	}
	return fmt.Errorf("%w: %q", ErrUnknownAction, action)
}

func (o *Owner) advance(ctx context.Context, action Action, member Member) error {
	o.mu.Lock()
	if o.stopped[keyOf(member)].token >= member.Token {
		o.mu.Unlock()
		return fmt.Errorf("%w: it was stopped under token %d", ErrUnknownMember, member.Token)
	}
	known, ok := o.held[keyOf(member)]
	if !ok || known.member.Token < member.Token {
		known = &held{member: member}
		o.held[keyOf(member)] = known
	}
	known.renewed = o.clock.Now()
	o.mu.Unlock()
	if _, err := o.calls.CallTask(ctx, member.Target, string(action), member, TaskLease); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	known.running = known.running || action == Start
	return nil
}

// stop stops a member and returns nil once it has certainly stopped: the
// target said so, or its lease has lapsed because nobody renews it.
func (o *Owner) stop(ctx context.Context, member Member) error {
	since, _ := o.calls.AdoptedSince(member.Target)
	o.mu.Lock()
	last := since
	if known, ok := o.held[keyOf(member)]; ok && known.member.Token <= member.Token {
		last = max(last, known.renewed)
		delete(o.held, keyOf(member))
	}
	o.stopped[keyOf(member)] = fence{max(o.stopped[keyOf(member)].token, member.Token), o.clock.Now()}
	o.mu.Unlock()
	_, err := o.calls.CallTask(ctx, member.Target, string(Stop), member, 0)
	if err == nil || errors.Is(err, ErrUnknownMember) {
		return nil
	}
	if o.clock.Now() >= last+TaskLease+lapseMargin {
		return nil
	}
	return err
}

// Run renews the members until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	return anvilduty.Every(ctx, tendPeriod, o.tend)
}

func (o *Owner) tend(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	for at, fence := range o.stopped {
		if now-fence.at > fenceAge {
			delete(o.stopped, at)
		}
	}
	for at, known := range o.held {
		if _, ok := o.calls.AdoptedSince(at.target); !ok {
			delete(o.held, at)
			continue
		}
		switch {
		case known.calling:
		case now >= known.renewed+TaskLease+lapseMargin:
			delete(o.held, at)
			go o.report(ctx, known.member, anvilstate.MemberLost, "its lease lapsed without a renewal")
		case now >= known.renewed+renewPeriod:
			known.calling = true
			go o.renew(ctx, known)
		}
	}
}

// renew renews one member. A failed renewal leaves the lease as it was and is
// tried again soon.
func (o *Owner) renew(ctx context.Context, known *held) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := o.clock.Now()
	_, err := o.calls.CallTask(call, known.member.Target, "renew", known.member, TaskLease)
	o.mu.Lock()
	defer o.mu.Unlock()
	known.calling = false
	if err == nil {
		known.renewed = max(known.renewed, sent)
	}
}

// HandleReport takes in the report of an owned target.
func (o *Owner) HandleReport(ctx context.Context, report *anvilreport.Report) {
	for i := range report.Tasks {
		task := report.Tasks[i]
		member := Member{
			Job: task.Job, Index: task.Member, Token: task.Token,
			Target: report.Target, Accelerators: task.Accelerators,
		}
		if task.State.Final() {
			o.ended(ctx, member, task)
		} else {
			o.meet(ctx, member, task)
		}
	}
}

// ended reports the end of a member that this owner renews.
func (o *Owner) ended(ctx context.Context, member Member, task anvilreport.Task) {
	o.mu.Lock()
	known, ok := o.held[keyOf(member)]
	ok = ok && known.member.Token == member.Token
	if ok {
		delete(o.held, keyOf(member))
	}
	o.mu.Unlock()
	if !ok {
		return
	}
	switch task.State {
	case anvilreport.Ended:
		go o.report(ctx, member, anvilstate.MemberDone, "")
	case anvilreport.Failed:
		go o.report(ctx, member, anvilstate.MemberFailed, task.Detail)
	default:
		go o.report(ctx, member, anvilstate.MemberLost, "stopped by the target: "+task.Detail)
	}
}

// meet takes over a member that a former owner started, if its job still runs
// under the same placement. Any other member is stopped.
func (o *Owner) meet(ctx context.Context, member Member, task anvilreport.Task) {
	at := keyOf(member)
	o.mu.Lock()
	_, known := o.held[at]
	if known || o.asking[at] || o.stopped[at].token >= member.Token {
		o.mu.Unlock()
		return
	}
	o.asking[at] = true
	o.mu.Unlock()
	go func() {
		defer func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			delete(o.asking, at)
		}()
		o.takeOver(ctx, member, task)
	}()
}

func (o *Owner) takeOver(ctx context.Context, member Member, task anvilreport.Task) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	job, err := o.calls.Job(ctx, member.Job)
	if err != nil {
		return // the next report asks again
	}
	if job.Token != member.Token || job.State.Final() || job.State == anvilstate.JobSubmitted {
		_ = o.stop(ctx, member)
		return
	}
	if job.State == anvilstate.JobRunning && task.State == anvilreport.Running {
		o.mu.Lock()
		defer o.mu.Unlock()
		if _, known := o.held[keyOf(member)]; !known && o.stopped[keyOf(member)].token < member.Token {
			// Renewed at once by the next tend.
			o.held[keyOf(member)] = &held{member: member, running: true, renewed: o.clock.Now() - renewPeriod}
		}
	}
}

func (o *Owner) report(ctx context.Context, member Member, end anvilstate.MemberEnd, detail string) {
	if end != anvilstate.MemberDone {
		o.log.Write(anvillogs.JobMemberLost, zap.String("job", string(member.Job)), zap.Int("member", member.Index),
			zap.String("target", string(member.Target)), zap.String("detail", detail))
	}
	command := &anvilstate.Command{EndMember: &anvilstate.EndMember{
		ID: member.Job, Token: member.Token, Member: member.Index, End: end, Detail: detail,
	}}
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, proposeTimeout)
		_, err := o.calls.Propose(attempt, command)
		cancel()
		if err == nil {
			return
		}
	}
}
