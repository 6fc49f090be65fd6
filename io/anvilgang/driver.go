package anvilgang

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilduty"
	"anvilshunt/io/anvillogs"
)

// Intervals and timeouts of the leader's work on jobs.
const (
	// driveInterval is the time between two steps of the Driver.
	driveInterval = 50 * time.Millisecond
	// startTimeout limits the time to reserve, prepare and start all members of a gang; a start that
	// takes longer is rolled back. It also limits one attempt to stop all members of a gang.
	startTimeout = 20 * time.Second
	// actionRetryDelay is the pause before a failed action of one member is retried.
	actionRetryDelay = 50 * time.Millisecond
)

// ErrStartRolledBack is wrapped by the error of an action (reserve, prepare or start) that failed for
// one member of a gang, so that the start of the whole gang is rolled back.
var ErrStartRolledBack = errors.New("the job start is rolled back")

// DriverCalls gives a Driver access to the control group and to the owners of targets.
type DriverCalls struct {
	// Leading reports whether this voter is the leader.
	Leading func() bool
	// Job returns a job from the replicated state of this voter.
	Job func(anvilid.JobID) (anvilstate.Job, bool)
	// Term returns the term in which this voter leads. A new planner is used for each term.
	Term func() anvilid.Term
	// Planned returns the index of the latest log entry that may have changed the input of the
	// planner. While it stays the same, planning need not be repeated.
	Planned func() anvilid.Index
	// State returns the part of the replicated state that the planner uses.
	State func() State
	// Propose commits a command to the replicated log.
	Propose func(context.Context, *anvilstate.Command) (anvilstate.Result, error)
	// Execute calls the instance that owns the member's target and has it execute an action (reserve,
	// prepare, start or stop). The error wraps ErrNotOwned if the target has no owner at present.
	Execute func(context.Context, Action, Member) error
	// TargetLost reports whether the incarnation of the target on which a member was placed has
	// ended, because the target was lost or restarted. All tasks of that incarnation have ended too.
	TargetLost func(anvilstate.Member) bool
}

// Driver places, starts and stops gangs while its voter is the leader.
type Driver struct {
	clock anvilclock.Clock
	log   *anvillogs.Logger
	calls DriverCalls

	mu sync.Mutex
	// inProgress contains the jobs that a goroutine of driveJob is starting or stopping.
	inProgress map[anvilid.JobID]bool
	planner    *Planner
	term       anvilid.Term
	// plannedIndex is the result of DriverCalls.Planned at the latest planning step.
	plannedIndex anvilid.Index
	// unmetParts is the length of Decision.Unmet at the latest planning step: the number of
	// guarantees of which at least one gang has no reservation.
	unmetParts int
	// liveJobs contains the jobs that had not ended at the latest planning step.
	liveJobs map[anvilid.JobID]bool
	// jobsChanging is set while a job is being placed, started, stopped or preempted. Planning is
	// then repeated every driveInterval, even if plannedIndex is up to date.
	jobsChanging bool
}

// NewDriver returns a Driver without jobs.
func NewDriver(clock anvilclock.Clock, log *anvillogs.Logger, calls DriverCalls) *Driver {
	return &Driver{clock: clock, log: log, calls: calls, inProgress: map[anvilid.JobID]bool{}, planner: NewPlanner()}
}

// WaitReason returns the reason why a job waits, or an empty string if this leader does not know
// it.
func (d *Driver) WaitReason(id anvilid.JobID) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.planner.WaitReason(id)
}

// Run places, starts and stops gangs, one step every driveInterval, until ctx ends. It does nothing
// while this voter is not the leader.
func (d *Driver) Run(ctx context.Context) error {
	return anvilduty.Every(ctx, driveInterval, func(ctx context.Context) {
		if d.calls.Leading() {
			d.step(ctx)
		}
	})
}

func (d *Driver) step(ctx context.Context) {
	state, decision, ok := d.plan()
	if !ok {
		return
	}
	d.logUnmetGuarantees(decision)
	d.logEndedJobs(state)
	for _, victim := range slices.Sorted(maps.Keys(decision.Preempt)) {
		d.preempt(ctx, state, victim, decision.Preempt[victim])
	}
	for _, command := range decision.Place {
		d.place(ctx, command)
	}
	for _, job := range state.Jobs {
		switch job.State {
		case anvilstate.JobPlaced, anvilstate.JobPreparing, anvilstate.JobStopping:
			d.driveJob(ctx, job.ID)
		}
	}
}

// plan updates the planner and returns its decision. It returns ok=false if neither the state has
// changed nor a job is being placed, started or stopped.
func (d *Driver) plan() (state State, decision Decision, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	term, planned := d.calls.Term(), d.calls.Planned()
	if term != d.term {
		d.planner, d.term, d.plannedIndex = NewPlanner(), term, 0
	}
	if planned == d.plannedIndex && !d.jobsChanging {
		return state, decision, false
	}
	state = d.calls.State()
	decision = d.planner.Step(d.clock.Now(), state)
	d.plannedIndex = planned
	d.jobsChanging = len(decision.Place)+len(decision.Preempt) > 0
	for _, job := range state.Jobs {
		d.jobsChanging = d.jobsChanging || holdsAccelerators(job) && job.State != anvilstate.JobRunning
	}
	return state, decision, true
}

// logEndedJobs logs the jobs that have ended since the previous planning step.
func (d *Driver) logEndedJobs(state State) {
	live := map[anvilid.JobID]bool{}
	for _, job := range state.Jobs {
		live[job.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(d.liveJobs)) {
		if job, ok := d.calls.Job(id); ok && !live[id] {
			d.log.Write(anvillogs.JobEnded, zap.String("job", string(id)), zap.String("state", string(job.State)))
		}
	}
	d.liveJobs = live
}

// logUnmetGuarantees logs a change in the number of guarantees of which a gang has no reservation.
func (d *Driver) logUnmetGuarantees(decision Decision) {
	if len(decision.Unmet) == d.unmetParts {
		return
	}
	d.unmetParts = len(decision.Unmet)
	d.log.Write(anvillogs.GuaranteeUnmet, zap.Int("parts", d.unmetParts), zap.Any("unmet", decision.Unmet))
}

// preempt stops a job that was placed without a guarantee, because a guaranteed job needs its
// accelerators.
func (d *Driver) preempt(ctx context.Context, state State, victim, by anvilid.JobID) {
	for _, job := range state.Jobs {
		if job.ID == victim {
			if d.advance(ctx, job, anvilstate.JobStopping, fmt.Sprintf("preempted for job %q, which uses a guarantee", by)) {
				d.log.Write(anvillogs.JobPreempted, zap.String("job", string(victim)), zap.String("by", string(by)))
			}
		}
	}
}

// driveJob starts, rolls back or stops a job in a goroutine of its own, unless such a goroutine is
// already running for the job.
func (d *Driver) driveJob(ctx context.Context, id anvilid.JobID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inProgress[id] {
		return
	}
	d.inProgress[id] = true
	go func() {
		// The job is read again, because an earlier goroutine may have changed its state since the
		// list of jobs was read.
		if job, ok := d.calls.Job(id); ok {
			d.driveState(ctx, job)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.inProgress, id)
	}()
}

// driveState starts a placed job, rolls back a start that an earlier leader did not finish, and stops
// a job in the state "stopping".
func (d *Driver) driveState(ctx context.Context, job anvilstate.Job) {
	switch job.State {
	case anvilstate.JobPlaced:
		d.start(ctx, job)
	case anvilstate.JobPreparing:
		d.rollBack(ctx, job, "the leadership changed while the job was being started")
	case anvilstate.JobStopping:
		d.stop(ctx, job)
	}
}

// place commits the placement of a job.
func (d *Driver) place(ctx context.Context, command anvilstate.PlaceJob) {
	result, err := d.calls.Propose(ctx, &anvilstate.Command{Place: &command})
	if err != nil || result.Code != "" {
		d.mu.Lock()
		d.planner.DiscardPlacement(command.ID)
		d.mu.Unlock()
		d.log.Write(anvillogs.ProposalFailed, zap.String("job", string(command.ID)), zap.String("detail", result.Detail), zap.Error(err))
		return
	}
	d.log.Write(anvillogs.JobPlaced, zap.String("job", string(command.ID)), zap.Int("members", len(command.Members)))
}

// start starts a placed job: it reserves slots for all members, then prepares all members, then
// starts all members. If one of these actions fails for a member, the whole start is rolled back.
func (d *Driver) start(ctx context.Context, job anvilstate.Job) {
	if !d.advance(ctx, job, anvilstate.JobPreparing, "") {
		return
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, action := range []Action{Reserve, Prepare, Start} {
		if err := d.executeAll(startCtx, action, job); err != nil {
			d.rollBack(ctx, job, err.Error())
			return
		}
	}
	if d.advance(ctx, job, anvilstate.JobRunning, "") {
		d.log.Write(anvillogs.JobStarted, zap.String("job", string(job.ID)), zap.Uint64("token", uint64(job.Token)))
	}
}

// rollBack stops all members of a job whose start failed.
func (d *Driver) rollBack(ctx context.Context, job anvilstate.Job, reason string) {
	d.log.Write(anvillogs.JobStartRolledBack, zap.String("job", string(job.ID)), zap.String("reason", reason))
	if d.advance(ctx, job, anvilstate.JobStopping, reason) {
		d.stop(ctx, job)
	}
}

// stop stops all members of a job and fences them by token. The job leaves the state "stopping"
// only when every member has certainly stopped.
func (d *Driver) stop(ctx context.Context, job anvilstate.Job) {
	stopCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.executeAll(stopCtx, Stop, job); err != nil {
		return // the next step of the Driver tries again to stop the job
	}
	d.advance(ctx, job, job.AfterStop(), job.Detail)
}

// advance commits a new state of a job. It returns false if the command was not accepted.
func (d *Driver) advance(ctx context.Context, job anvilstate.Job, state anvilstate.JobState, detail string) bool {
	result, err := d.calls.Propose(ctx, &anvilstate.Command{Advance: &anvilstate.AdvanceJob{
		ID: job.ID, Token: job.Token, State: state, Detail: detail,
	}})
	return err == nil && result.Code == ""
}

// executeAll executes an action for all members of a job concurrently and returns the first error.
// An error cancels the calls for the other members, unless the action is Stop: each member must be
// stopped even if stopping another one failed.
func (d *Driver) executeAll(ctx context.Context, action Action, job anvilstate.Job) error {
	failures := make(chan error, len(job.Members))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i, member := range job.Members {
		go func() { failures <- d.executeOne(ctx, action, job, i, member) }()
	}
	var failed error
	for range job.Members {
		if err := <-failures; err != nil && failed == nil {
			failed = err
			if action != Stop {
				cancel()
			}
		}
	}
	return failed
}

// executeOne executes an action for one member. Reserve is retried because short requests may still
// use the slots, and Stop because the target may be unreachable for a while. Any action is retried
// while the target has no owner.
func (d *Driver) executeOne(ctx context.Context, action Action, job anvilstate.Job, index int, placed anvilstate.Member) error {
	member := Member{
		Job: job.ID, Index: index, Token: job.Token, Target: placed.Target,
		Accelerators: placed.Accelerators, Payload: job.Payload,
	}
	for {
		if d.calls.TargetLost(placed) {
			if action == Stop {
				return nil
			}
			return fmt.Errorf("%w: target %q was lost or restarted", ErrStartRolledBack, placed.Target)
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := d.calls.Execute(callCtx, action, member)
		cancel()
		retry := action == Stop || action == Reserve || errors.Is(err, ErrNotOwned)
		if err == nil || !retry {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s of member %d on target %q failed: %w",
				ErrStartRolledBack, action, index, placed.Target, err)
		case <-time.After(actionRetryDelay):
		}
	}
}
