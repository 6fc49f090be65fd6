// Package anvilgang runs gang jobs. The leader of the control group decides on the placement of
// whole gangs and drives their start and stop (Planner, Driver). The instance that owns a target
// executes each step for the members on it and renews their task leases (Owner).
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
	// TaskLease is the duration of a task lease: the target stops a member that was not renewed for
	// this long.
	TaskLease = 15 * anvilclock.Second
	// renewPeriod is the time between two renewals of a task lease. If one fails, there is time for
	// two more before the lease expires.
	renewPeriod = 5 * anvilclock.Second
	// leaseMargin is added to TaskLease before the owner considers a member that was not renewed as
	// stopped. It covers the difference in clock rates and a renewal that is still in transit.
	leaseMargin = anvilclock.Second
	// fenceRetention is how long the fencing token of a stopped member is kept. It is much longer
	// than any call or report can be delayed.
	fenceRetention = 10 * anvilclock.Minute

	// checkInterval is the time between two checks of which members must be renewed.
	checkInterval = 100 * time.Millisecond
	// callTimeout limits one call to a target, to the owner of a target, or to the leader.
	callTimeout = 2 * time.Second
	// proposeTimeout limits one attempt to commit a command to the replicated log.
	proposeTimeout = 5 * time.Second
)

// Errors of the actions that an Owner executes for members of gangs.
var (
	ErrNotOwned      = errors.New("the target isn't owned by this instance")
	ErrSlotsInUse    = errors.New("short requests still use the reserved slots")
	ErrUnknownAction = errors.New("unknown member action")
	ErrUnknownMember = errors.New("the member does not exist on the target")
)

// Action is what the leader orders the owner of a target to do with a gang member.
type Action string

// Actions that the leader orders for each member of a gang.
const (
	// Reserve checks that short requests no longer use the slots that are reserved for the member.
	Reserve Action = "reserve"
	// Prepare has the target get the task of the member ready without running it.
	Prepare Action = "prepare"
	// Start has the target run the prepared task.
	Start Action = "start"
	// Stop has the target stop the task, and rejects later actions under the same or a lower token.
	Stop Action = "stop"
)

// Member is one member of a gang in one placement of its job. Each placement of a job has a token of
// its own, and later placements have higher tokens.
type Member struct {
	Job          anvilid.JobID
	Index        int
	Token        anvilid.Token
	Target       anvilid.TargetID
	Accelerators anvilid.AcceleratorCount
	Payload      []byte
}

// OwnerCalls gives an Owner access to the owned targets and to the control group.
type OwnerCalls struct {
	// ReservedSlotsFree reports whether no short request uses a slot that is reserved for the
	// placement with the token.
	ReservedSlotsFree func(target anvilid.TargetID, token anvilid.Token) bool
	// AdoptedSince returns the time since which this instance has owned the target, and false if it
	// does not own it.
	AdoptedSince func(anvilid.TargetID) (since anvilclock.Millis, ok bool)
	// CallTask has the target prepare, start, renew or stop the task of a member, as verb says. The
	// call carries the epoch of this instance's ownership of the target.
	CallTask func(ctx context.Context, target anvilid.TargetID, verb string, member Member, lease anvilclock.Millis) (anvilreport.Task, error)
	// Propose commits a command to the replicated log.
	Propose func(context.Context, *anvilstate.Command) (anvilstate.Result, error)
	// Job reads a job from the leader.
	Job func(context.Context, anvilid.JobID) (anvilstate.Job, error)
}

// key identifies a member of a job on a target, regardless of the placement (token) of the job.
type key struct {
	target anvilid.TargetID
	job    anvilid.JobID
	index  int
}

// managedMember is a member whose task lease this owner renews.
type managedMember struct {
	member      Member
	running     bool
	renewalSent anvilclock.Millis // when the latest prepare, start or successful renewal was sent
	// leaseUntil is when the task lease ends at the latest, counted from all calls that were sent, whether
	// they were answered or not.
	leaseUntil anvilclock.Millis
	renewing   bool
}

// nextLease returns the lease to give with a renewal at a time. While the previous renewal is unanswered,
// no call extends the lease any further, so that it ends at a known time. Otherwise a target that can be
// reached, but whose answers are lost, would keep the member for longer than this owner waits for it.
func (m *managedMember) nextLease(now anvilclock.Millis) anvilclock.Millis {
	if m.leaseUntil > m.renewalSent+TaskLease {
		return m.leaseUntil - now
	}
	return TaskLease
}

// fence is the highest token under which a member was stopped. Actions for the member under this or a
// lower token are rejected.
type fence struct {
	token anvilid.Token
	at    anvilclock.Millis
}

// Owner executes the leader's actions (reserve, prepare, start, stop) for members of gangs on the
// targets that this instance owns, and renews the task leases of these members.
type Owner struct {
	clock anvilclock.Clock
	log   *anvillogs.Logger
	calls OwnerCalls

	mu sync.Mutex
	// managed contains the members whose task leases this owner renews.
	managed map[key]*managedMember
	// fences contains the fence of each stopped member, so that a delayed action or an old report
	// cannot make the owner start or renew it again.
	fences map[key]fence
	// lookups contains the members whose job is being read from the leader.
	lookups map[key]bool
}

// NewOwner returns an Owner without members.
func NewOwner(clock anvilclock.Clock, log *anvillogs.Logger, calls OwnerCalls) *Owner {
	return &Owner{
		clock: clock, log: log, calls: calls,
		managed: map[key]*managedMember{}, fences: map[key]fence{}, lookups: map[key]bool{},
	}
}

func keyOf(member Member) key { return key{member.Target, member.Job, member.Index} }

// Execute executes one action of the leader for a member.
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

// advance prepares or starts a member. From then on, this owner renews its task lease.
func (o *Owner) advance(ctx context.Context, action Action, member Member) error {
	o.mu.Lock()
	if o.fences[keyOf(member)].token >= member.Token {
		o.mu.Unlock()
		return fmt.Errorf("%w: it was already stopped under token %d or a later one", ErrUnknownMember, member.Token)
	}
	known, ok := o.managed[keyOf(member)]
	if !ok || known.member.Token < member.Token {
		known = &managedMember{member: member}
		o.managed[keyOf(member)] = known
	}
	known.renewalSent = o.clock.Now()
	known.leaseUntil = known.renewalSent + TaskLease
	o.mu.Unlock()
	if _, err := o.calls.CallTask(ctx, member.Target, string(action), member, TaskLease); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	known.running = known.running || action == Start
	return nil
}

// stop stops a member. It returns nil once the member has certainly stopped: either the target
// confirmed it, or the task lease has expired, counted from the latest call by this owner that extended
// it and from the adoption of the target, whichever is later.
func (o *Owner) stop(ctx context.Context, member Member) error {
	since, _ := o.calls.AdoptedSince(member.Target)
	o.mu.Lock()
	leaseUntil := since + TaskLease
	if known, ok := o.managed[keyOf(member)]; ok && known.member.Token <= member.Token {
		leaseUntil = max(leaseUntil, known.leaseUntil)
		delete(o.managed, keyOf(member))
	}
	o.fences[keyOf(member)] = fence{max(o.fences[keyOf(member)].token, member.Token), o.clock.Now()}
	o.mu.Unlock()
	_, err := o.calls.CallTask(ctx, member.Target, string(Stop), member, 0)
	if err == nil || errors.Is(err, ErrUnknownMember) {
		return nil
	}
	if o.clock.Now() >= leaseUntil+leaseMargin {
		return nil
	}
	return err
}

// Run renews the task leases of the managed members until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	return anvilduty.Every(ctx, checkInterval, o.checkMembers)
}

// checkMembers renews the task leases that were not renewed for renewPeriod, reports the members
// whose lease has expired, and forgets the members on targets that this instance no longer owns.
func (o *Owner) checkMembers(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	for memberKey, fence := range o.fences {
		if now-fence.at > fenceRetention {
			delete(o.fences, memberKey)
		}
	}
	for memberKey, known := range o.managed {
		if _, ok := o.calls.AdoptedSince(memberKey.target); !ok {
			delete(o.managed, memberKey)
			continue
		}
		switch {
		case known.renewing:
		case now >= known.leaseUntil+leaseMargin:
			delete(o.managed, memberKey)
			go o.reportEnd(ctx, known.member, anvilstate.MemberLost, "its task lease expired because no renewal succeeded")
		case now >= known.renewalSent+renewPeriod:
			known.renewing = true
			go o.renew(ctx, known, known.nextLease(now))
		}
	}
}

// renew renews the task lease of one member. A renewal without an answer is retried at the next check.
func (o *Owner) renew(ctx context.Context, known *managedMember, lease anvilclock.Millis) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o.mu.Lock()
	sent := o.clock.Now()
	known.leaseUntil = max(known.leaseUntil, sent+lease)
	o.mu.Unlock()
	_, err := o.calls.CallTask(callCtx, known.member.Target, "renew", known.member, lease)
	o.mu.Lock()
	defer o.mu.Unlock()
	known.renewing = false
	if err == nil {
		// A shorter lease than TaskLease is renewed as much earlier.
		known.renewalSent = max(known.renewalSent, sent+lease-TaskLease)
	}
}

// HandleReport compares the tasks in the report of an owned target with the managed members. It handles
// tasks that have ended, and tasks that an earlier owner of the target started.
func (o *Owner) HandleReport(ctx context.Context, report *anvilreport.Report) {
	for i := range report.Tasks {
		task := report.Tasks[i]
		member := Member{
			Job: task.Job, Index: task.Member, Token: task.Token,
			Target: report.Target, Accelerators: task.Accelerators,
		}
		if task.State.Final() {
			o.handleEnded(ctx, member, task)
		} else {
			o.handleUnmanagedTask(ctx, member, task)
		}
	}
}

// handleEnded forgets a managed member whose task has ended and reports its end to the control group.
func (o *Owner) handleEnded(ctx context.Context, member Member, task anvilreport.Task) {
	o.mu.Lock()
	known, ok := o.managed[keyOf(member)]
	ok = ok && known.member.Token == member.Token
	if ok {
		delete(o.managed, keyOf(member))
	}
	o.mu.Unlock()
	if !ok {
		return
	}
	switch task.State {
	case anvilreport.Ended:
		go o.reportEnd(ctx, member, anvilstate.MemberDone, "")
	case anvilreport.Failed:
		go o.reportEnd(ctx, member, anvilstate.MemberFailed, task.Detail)
	default:
		go o.reportEnd(ctx, member, anvilstate.MemberLost, "stopped by the target: "+task.Detail)
	}
}

// handleUnmanagedTask handles a reported task whose lease this owner does not renew, because an
// earlier owner of the target started it. If its job still runs under the same placement, this owner
// takes the member over; otherwise it stops the member.
func (o *Owner) handleUnmanagedTask(ctx context.Context, member Member, task anvilreport.Task) {
	memberKey := keyOf(member)
	o.mu.Lock()
	_, known := o.managed[memberKey]
	if known || o.lookups[memberKey] || o.fences[memberKey].token >= member.Token {
		o.mu.Unlock()
		return
	}
	o.lookups[memberKey] = true
	o.mu.Unlock()
	go func() {
		defer func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			delete(o.lookups, memberKey)
		}()
		o.takeOver(ctx, member, task)
	}()
}

// takeOver begins to renew the task lease of a member whose job runs under the same placement, and
// stops a member whose job has another placement or none. If the job is being started or stopped,
// takeOver does nothing, because the leader then decides what happens to the member.
func (o *Owner) takeOver(ctx context.Context, member Member, task anvilreport.Task) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	job, err := o.calls.Job(ctx, member.Job)
	if err != nil {
		return // retried at the next report
	}
	if job.Token != member.Token || job.State.Final() || job.State == anvilstate.JobSubmitted {
		_ = o.stop(ctx, member)
		return
	}
	if job.State == anvilstate.JobRunning && task.State == anvilreport.Running {
		o.mu.Lock()
		defer o.mu.Unlock()
		if _, known := o.managed[keyOf(member)]; !known && o.fences[keyOf(member)].token < member.Token {
			// renewalSent lies renewPeriod in the past, so that the next check renews the lease.
			now := o.clock.Now()
			o.managed[keyOf(member)] = &managedMember{member: member, running: true, renewalSent: now - renewPeriod, leaseUntil: now - renewPeriod + TaskLease}
		}
	}
}

// reportEnd commits the end of a member. It retries until the command is accepted or ctx ends.
func (o *Owner) reportEnd(ctx context.Context, member Member, end anvilstate.MemberEnd, detail string) {
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
