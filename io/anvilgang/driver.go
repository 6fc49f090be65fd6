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

// Periods and bounds of the leader's work on jobs.
const (
	drivePeriod = 50 * time.Millisecond
	// A gang that isn't prepared within this time is undone.
	startTimeout = 20 * time.Second
	actionPause  = 50 * time.Millisecond
)

// ErrStartRolledBack reports a start that had to be undone.
var ErrStartRolledBack = errors.New("the start was undone")

// DriverCalls is what a driver asks of the control group and the owners.
type DriverCalls struct {
	// Leading tells whether this voter leads.
	Leading func() bool
	Job     func(anvilid.JobID) (anvilstate.Job, bool)
	// Term is the term in which this voter leads; each has its own planner.
	Term func() anvilid.Term
	// Planned changes whenever there may be something new to plan.
	Planned func() anvilid.Index
	// State reads what the planner needs.
	State func() State
	// Propose commits a command.
	Propose func(context.Context, *anvilstate.Command) (anvilstate.Result, error)
	// Execute asks the owner of a member's target. It returns ErrNotOwned if the
	// target has no owner now.
	Execute func(context.Context, Action, Member) error
	// TargetLost tells whether the run of the target on which a member was placed
	// is gone, and its tasks with it.
	TargetLost func(anvilstate.Member) bool
}

// Driver drives gangs while its voter leads.
type Driver struct {
	clock  anvilclock.Clock
	log    *anvillogs.Logger
	leader DriverCalls

	mu      sync.Mutex
	busy    map[anvilid.JobID]bool
	planner *Planner
	term    anvilid.Term
	planned anvilid.Index
	unmet   int
	// live lists the jobs that had not ended at the last step.
	live map[anvilid.JobID]bool
	// moving is set while jobs are neither waiting nor running.
	moving bool
}

// NewDriver returns a driver.
func NewDriver(clock anvilclock.Clock, log *anvillogs.Logger, leader DriverCalls) *Driver {
	return &Driver{clock: clock, log: log, leader: leader, busy: map[anvilid.JobID]bool{}, planner: NewPlanner()}
}

// WaitReason says why a job waits, as far as this leader knows.
func (d *Driver) WaitReason(id anvilid.JobID) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.planner.WaitReason(id)
}

// Run drives gangs until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	return anvilduty.Every(ctx, drivePeriod, func(ctx context.Context) {
		if d.leader.Leading() {
			d.step(ctx)
		}
	})
}

func (d *Driver) step(ctx context.Context) {
	state, decision, ok := d.plan()
	if !ok {
		return
	}
	d.noteUnmet(decision)
	d.noteEnded(state)
	for _, victim := range slices.Sorted(maps.Keys(decision.Preempt)) {
		d.preempt(ctx, state, victim, decision.Preempt[victim])
	}
	for _, command := range decision.Place {
		d.place(ctx, command)
	}
	for _, job := range state.Jobs {
		switch job.State {
		case anvilstate.JobPlaced, anvilstate.JobPreparing, anvilstate.JobStopping:
			d.work(ctx, job.ID)
		}
	}
}

// plan brings the planner in step with the state, if that has changed or a
// job is under way.
func (d *Driver) plan() (state State, decision Decision, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	term, planned := d.leader.Term(), d.leader.Planned()
	if term != d.term {
		d.planner, d.term, d.planned = NewPlanner(), term, 0
	}
	if planned == d.planned && !d.moving {
		return state, decision, false
	}
	state = d.leader.State()
	decision = d.planner.Step(d.clock.Now(), state)
	d.planned = planned
	d.moving = len(decision.Place)+len(decision.Preempt) > 0
	for _, job := range state.Jobs {
		d.moving = d.moving || holds(job) && job.State != anvilstate.JobRunning
	}
	return state, decision, true
}

// noteEnded tells of the jobs that have ended since the last step.
func (d *Driver) noteEnded(state State) {
	live := map[anvilid.JobID]bool{}
	for _, job := range state.Jobs {
		live[job.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(d.live)) {
		if job, ok := d.leader.Job(id); ok && !live[id] {
			d.log.Write(anvillogs.JobEnded, zap.String("job", string(id)), zap.String("state", string(job.State)))
		}
	}
	d.live = live
}

// noteUnmet tells when guarantees can't be placed any more, or can again.
func (d *Driver) noteUnmet(decision Decision) {
	if len(decision.Unmet) == d.unmet {
		return
	}
	d.unmet = len(decision.Unmet)
	d.log.Write(anvillogs.GuaranteeUnmet, zap.Int("parts", d.unmet), zap.Any("unmet", decision.Unmet))
}

// preempt stops a borrower whose accelerators a guaranteed job needs.
func (d *Driver) preempt(ctx context.Context, state State, victim, by anvilid.JobID) {
	for _, job := range state.Jobs {
		if job.ID == victim {
			d.advance(ctx, job, anvilstate.JobStopping, fmt.Sprintf("preempted for job %q, which uses a guarantee", by))
			d.log.Write(anvillogs.JobPreempted, zap.String("job", string(victim)), zap.String("by", string(by)))
		}
	}
}

// work runs one step of a job at a time in its own goroutine.
func (d *Driver) work(ctx context.Context, id anvilid.JobID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.busy[id] {
		return
	}
	d.busy[id] = true
	go func() {
		// The job is read again, because an earlier step may have ended
		// since it was listed.
		if job, ok := d.leader.Job(id); ok {
			d.next(ctx, job)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.busy, id)
	}()
}

func (d *Driver) next(ctx context.Context, job anvilstate.Job) {
	switch job.State {
	case anvilstate.JobPlaced:
		d.start(ctx, job)
	case anvilstate.JobPreparing:
		d.undo(ctx, job, "the leader that began the start is gone")
	case anvilstate.JobStopping:
		d.stop(ctx, job)
	}
}

func (d *Driver) place(ctx context.Context, command anvilstate.PlaceJob) {
	result, err := d.leader.Propose(ctx, &anvilstate.Command{Place: &command})
	if err != nil || result.Code != "" {
		d.mu.Lock()
		d.planner.DiscardPlacement(command.ID)
		d.mu.Unlock()
		d.log.Write(anvillogs.ProposalFailed, zap.String("job", string(command.ID)), zap.String("detail", result.Detail), zap.Error(err))
		return
	}
	d.log.Write(anvillogs.JobPlaced, zap.String("job", string(command.ID)), zap.Int("members", len(command.Members)))
}

// start prepares all members and starts them once all are prepared. A step
// that fails undoes the whole start.
func (d *Driver) start(ctx context.Context, job anvilstate.Job) {
	if !d.advance(ctx, job, anvilstate.JobPreparing, "") {
		return
	}
	within, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, action := range []Action{Reserve, Prepare, Start} {
		if err := d.all(within, action, job); err != nil {
			d.undo(ctx, job, err.Error())
			return
		}
	}
	if d.advance(ctx, job, anvilstate.JobRunning, "") {
		d.log.Write(anvillogs.JobStarted, zap.String("job", string(job.ID)), zap.Uint64("token", uint64(job.Token)))
	}
}

func (d *Driver) undo(ctx context.Context, job anvilstate.Job, reason string) {
	d.log.Write(anvillogs.JobUndone, zap.String("job", string(job.ID)), zap.String("reason", reason))
	if d.advance(ctx, job, anvilstate.JobStopping, reason) {
		d.stop(ctx, job)
	}
}

// stop stops and fences all members. The job moves on only when every one has
// certainly stopped.
func (d *Driver) stop(ctx context.Context, job anvilstate.Job) {
	within, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.all(within, Stop, job); err != nil {
		return // the next step tries again
	}
	d.advance(ctx, job, job.AfterStop(), job.Detail)
}

func (d *Driver) advance(ctx context.Context, job anvilstate.Job, state anvilstate.JobState, detail string) bool {
	result, err := d.leader.Propose(ctx, &anvilstate.Command{Advance: &anvilstate.AdvanceJob{
		ID: job.ID, Token: job.Token, State: state, Detail: detail,
	}})
	return err == nil && result.Code == ""
}

// all carries out an action for every member at the same time.
func (d *Driver) all(ctx context.Context, action Action, job anvilstate.Job) error {
	failures := make(chan error, len(job.Members))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for i, member := range job.Members {
		go func() { failures <- d.one(ctx, action, job, i, member) }()
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

// one carries out an action for one member. Reserving and stopping take
// several tries, because slots have to clear and targets may be out of reach.
func (d *Driver) one(ctx context.Context, action Action, job anvilstate.Job, index int, placed anvilstate.Member) error {
	member := Member{
		Job: job.ID, Index: index, Token: job.Token, Target: placed.Target,
		Accelerators: placed.Accelerators, Payload: job.Payload,
	}
	for {
		if d.leader.TargetLost(placed) {
			if action == Stop {
				return nil
			}
			return fmt.Errorf("%w: target %q is lost", ErrStartRolledBack, placed.Target)
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := d.leader.Execute(call, action, member)
		cancel()
		again := action == Stop || action == Reserve || errors.Is(err, ErrNotOwned)
		if err == nil || !again {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s of member %d on target %q: %w", ErrStartRolledBack, action, index, placed.Target, err)
		case <-time.After(actionPause):
		}
	}
}
