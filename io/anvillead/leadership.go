package anvillead

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anviladvice"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvileject"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilpace"
	"anvilshunt/core/anvilplace"
	"anvilshunt/core/anvilraft"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilupkeep"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
)

// planInterval is how often placements are planned when the replicated state has
// not changed. Even without such a change, a target can become usable, and the
// earliest start time of a job can be reached.
const planInterval = 200 * anvilclock.Millisecond

// maxStartsInFlight is the number of starts that may be unanswered before no further tasks are placed. A
// leader with one core sends so many in about a tenth of a second.
const maxStartsInFlight = 400

// leadership is the scheduling state of one leader term. Its fields are used
// only by the goroutine of that term.
type leadership struct {
	*Leader
	term        anvilid.Term
	tracker     *anvilorder.Tracker
	plannedAt   anvilclock.Millis
	planNeeded  bool
	callResults chan func(now anvilclock.Millis) anvilorder.Effects
	sender      sender
	// pendingCommands contains commands that follow from the results of calls.
	// The next step commits them to the replicated log.
	pendingCommands []anvilwork.Command
	// ejector finds the targets on which runs keep failing, so that they get
	// no further runs for some time.
	ejector *anvileject.Ejector
	// advisor caches the answers of the advice service: which targets may run a
	// step of a job.
	advisor *anviladvice.Advisor
	upkeep  upkeep
	// governor throttles best-effort tasks, which use the leftover capacity of a
	// target, when they raise the tail latency of long-running tasks there.
	governor *anvilpace.Governor
	// demand tracks how many accelerators urgent jobs need, from which the
	// number of accelerators to reserve for them follows.
	demand anvilplace.Demand
	// reservedTargets maps each target that the latest plan reserves to the
	// waiting job for which it is reserved.
	reservedTargets map[anvilid.TargetID]anvilid.JobID
	summary         *summary
	// firstRunAt maps each job that had not ended at the last plan to the log
	// time of its first run, or to 0 if it had none.
	firstRunAt map[anvilid.JobID]anvilclock.Millis
}

func newLeadership(l *Leader, term anvilid.Term) *leadership {
	now := l.clock.Now()
	return &leadership{
		Leader: l, term: term, planNeeded: true,
		tracker: anvilorder.New(anvilid.Token(term), now, l.bounds.Orders),
		ejector: anvileject.New(), advisor: anviladvice.New(), governor: anvilpace.New(anvilid.Token(term)),
		upkeep: upkeep{coordinator: anvilupkeep.New(l.bounds.UpkeepDuration)}, firstRunAt: map[anvilid.JobID]anvilclock.Millis{},
		callResults: make(chan func(anvilclock.Millis) anvilorder.Effects, resultQueueSize),
		sender:      sender{lanes: newLanes(l.bounds.Connections), calls: l.calls, leading: l.leading},
		summary:     newSummary(now),
	}
}

func (r *leadership) run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		status := r.group.Voter.Status()
		if status.Role != anvilraft.Leader || status.Term != r.term {
			return
		}
		if status.HasQuorum {
			r.step(ctx)
		}
		r.wait(ctx, ticker.C)
	}
}

// wait blocks until an event or the tick arrives, and then handles all events
// that are queued.
func (r *leadership) wait(ctx context.Context, tick <-chan time.Time) {
	select {
	case <-ctx.Done():
		return
	case <-tick:
	case <-r.stateChanged:
		r.planNeeded = true
	case result := <-r.callResults:
		r.handleResult(result)
	case keepalive := <-r.keepalives:
		r.tracker.RecordAnnouncement(r.clock.Now(), keepalive.target, keepalive.incarnation)
	}
	for {
		select {
		case <-r.stateChanged:
			r.planNeeded = true
		case result := <-r.callResults:
			r.handleResult(result)
		case keepalive := <-r.keepalives:
			r.tracker.RecordAnnouncement(r.clock.Now(), keepalive.target, keepalive.incarnation)
		default:
			return
		}
	}
}

func (r *leadership) handleResult(result func(anvilclock.Millis) anvilorder.Effects) {
	effects := result(r.clock.Now())
	r.pendingCommands = append(r.pendingCommands, effects.Commands...)
	r.sendOrders(effects)
}

// step is one iteration of the leader's loop. It commits the pending commands and
// new placements to the replicated log, and then sends the resulting orders to
// the targets.
func (r *leadership) step(ctx context.Context) {
	now := r.clock.Now()
	commands, placementCount := r.decide(now)
	if len(commands) > 0 {
		sent := r.clock.Now()
		results, err := r.commit(ctx, commands...)
		record(r.summary.commit, r.clock.Now()-sent)
		if err != nil {
			r.log.Write(anvillogs.CommitFailed, zap.Int("commands", len(commands)), zap.Error(err))
			r.tracker.ResetUncommittedEnds()
			return
		}
		r.handleCommitted(commands, results, placementCount)
	}
	now = r.clock.Now()
	r.logSummary(now)
	if !r.leading() {
		return
	}
	r.mu.Lock()
	r.tracker.Sync(now, r.state)
	effects := r.tracker.Next(now, r.state)
	r.mu.Unlock()
	r.pendingCommands = append(r.pendingCommands, effects.Commands...)
	r.sendOrders(effects)
}

// decide plans placements if a plan is due, and returns the commands to commit to
// the replicated log. The last placementCount commands are placements.
func (r *leadership) decide(now anvilclock.Millis) (commands []anvilwork.Command, placementCount int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	commands, r.pendingCommands = r.pendingCommands, nil
	r.tracker.Sync(now, r.state)
	if !r.planNeeded && now-r.plannedAt < planInterval {
		return commands, 0
	}
	r.planNeeded, r.plannedAt = false, now
	r.logEndedJobs()
	r.stopObsoleteRuns()
	r.advanceWaves(now)
	input := r.planInput(now)
	r.demand.Observe(now, anvilplace.UrgentDemand(input))
	input.Reserve = r.demand.Reserve()
	decision := anvilplace.Plan(input)
	record(r.summary.plan, r.clock.Now()-now)
	r.summary.placed += len(decision.Placements)
	r.reservedTargets = decision.Claims
	r.requestAdvice(now, decision.TicketCandidates)
	for _, eviction := range decision.Evictions {
		reason := stoppedForUrgent
		if eviction.Preemptor == eviction.Task.Job {
			reason = stoppedAsStraggler
		}
		r.stopRun(eviction.Target, eviction.Task, reason)
		r.log.Write(anvillogs.RunEvicted, zap.Stringer("task", eviction.Task),
			zap.String("target", string(eviction.Target)), zap.String("for", string(eviction.Preemptor)))
	}
	for i := range decision.Placements {
		commands = append(commands, anvilwork.Command{Place: &decision.Placements[i]})
	}
	return commands, len(decision.Placements)
}

// stopObsoleteRuns requests a stop of runs that belong to ended jobs or to
// gangs that have lost a member.
func (r *leadership) stopObsoleteRuns() {
	for _, run := range r.state.RunsToStop() {
		reason := stoppedAsTornGang
		if job, ok := r.state.Job(run.Task.Job); ok && job.Phase.Ended() {
			reason = stoppedAfterJob
		}
		r.stopRun(run.Target, run.Task, reason)
	}
}

// stopRun requests a stop of a run, and records it in the summary unless the run is being stopped already.
func (r *leadership) stopRun(target anvilid.TargetID, task anvilwork.Task, reason stopReason) {
	if job, ok := r.state.Job(task.Job); ok && !r.tracker.Stopping(target, task) {
		r.summary.recordStop(reason, job, task, r.logTime())
	}
	r.tracker.StopRun(target, task)
}

func (r *leadership) planInput(now anvilclock.Millis) anvilplace.Input {
	// Targets announce themselves once per interval, and after an election an
	// announcement may first have to be redirected to the new leader.
	announceTimeout := 2*r.bounds.AnnounceInterval + anvilclock.Second
	known := len(r.state.Targets())
	slow, ejected := r.tracker.Speeds.Slow(now, known), r.ejector.Ejected(now, known)
	return anvilplace.Input{
		Claims: r.reservedTargets, StartsInFlight: r.tracker.StartsInFlight(), MaxStartsInFlight: maxStartsInFlight,
		Avoid: func(id anvilid.TargetID) bool {
			_, isSlow := slices.BinarySearch(slow, id)
			_, isEjected := slices.BinarySearch(ejected, id)
			return isSlow || isEjected
		},
		Failed: r.ejector.Failed,
		Ticket: func(step anvilwork.StepKey, target *anvilwork.Target) (anvilwork.Ticket, bool) {
			return r.advisor.Ticket(now, step, anviladvice.Target{ID: target.ID, Incarnation: target.Incarnation})
		},
		Allowed: func(step anvilwork.StepKey, target *anvilwork.Target) bool {
			return r.advisor.Allowed(step, anviladvice.Target{ID: target.ID, Incarnation: target.Incarnation})
		},
		Progress: func(task anvilwork.Task) (anvilspeed.Progress, bool) {
			return r.tracker.Speeds.Progress(now, task)
		},
		State: r.state, Now: r.logTime(), Wall: r.wallClock.Now(),
		Usable: func(id anvilid.TargetID) bool {
			return r.tracker.Usable(now, id, announceTimeout) && !r.upkeep.unavailable[id]
		},
		Stopping: func(id anvilid.TargetID, task anvilwork.Task) bool {
			return r.tracker.Stopping(id, task)
		},
	}
}

// handleCommitted processes the results of committed commands. It passes the
// placements that took effect to the tracker, which then sends the start orders.
func (r *leadership) handleCommitted(commands []anvilwork.Command, results []anvilwork.Result, placementCount int) {
	for i, command := range commands {
		if i >= len(results) {
			return
		}
		r.recordCommitted(command, results[i])
		if i >= len(commands)-placementCount && results[i] == anvilwork.Applied {
			r.tracker.AddPlacements(command.Place.Assignments)
		}
	}
}

// recordCommitted logs a committed command. If the command records the ends of
// runs, their outcomes are also passed to the ejector, which finds failing
// targets.
func (r *leadership) recordCommitted(command anvilwork.Command, result anvilwork.Result) {
	switch {
	case command.Place != nil:
		for _, a := range command.Place.Assignments {
			r.log.Write(anvillogs.RunPlaced, zap.Stringer("task", a.Task), zap.Uint64("run", uint64(a.Run)),
				zap.String("target", string(a.Target)), zap.Uint8("result", uint8(result)))
		}
	case command.RecordRunEnds != nil:
		for _, end := range command.RecordRunEnds.Ends {
			r.ejector.Ended(r.clock.Now(), command.RecordRunEnds.Target, end.Task, end.Outcome)
			r.log.Write(anvillogs.RunEnded, zap.Stringer("task", end.Task), zap.Uint64("run", uint64(end.Run)),
				zap.String("target", string(command.RecordRunEnds.Target)), zap.Uint8("outcome", uint8(end.Outcome)))
		}
	case command.Unassign != nil:
		r.log.Write(anvillogs.RunUnassigned, zap.Stringer("task", command.Unassign.Task), zap.Uint64("run", uint64(command.Unassign.Run)))
	case command.ExpireLease != nil:
		r.log.Write(anvillogs.TargetLeaseExpired, zap.String("target", string(command.ExpireLease.Target)), zap.Int("runs", len(command.ExpireLease.Runs)))
	}
}

// logEndedJobs logs each job that ended since the last plan.
func (r *leadership) logEndedJobs() {
	now := r.logTime()
	for id, first := range r.firstRunAt {
		job, ok := r.state.Job(id)
		if !ok || !job.Phase.Ended() {
			continue
		}
		delete(r.firstRunAt, id)
		r.ejector.Forget(id)
		r.advisor.Forget(id)
		_, due := anvilplace.ScheduledWindow(job, r.state.PolicyOf(job), 0)
		r.log.Write(anvillogs.JobEndRecorded, zap.String("job", string(id)), zap.String("queue", string(job.Queue)),
			zap.Stringer("phase", job.Phase), zap.Int64("waited", int64(waited(job, first))),
			zap.Int64("took", int64(job.Ended-job.Accepted)), zap.Int64("limit", int64(due-job.Accepted)))
	}
	for _, job := range r.state.Active() {
		first, known := r.firstRunAt[job.ID]
		if !known || first == 0 && job.Phase == anvilwork.JobRunning {
			first = 0
			if job.Phase == anvilwork.JobRunning {
				first = now
				r.summary.recordStart(now-job.Accepted, r.state.PolicyOf(job).Priority == 0)
			}
			r.firstRunAt[job.ID] = first
		}
	}
	r.summary.waiting = r.countWaiting()
}

// countWaiting returns the number of jobs that have had no run since they were first seen.
func (r *leadership) countWaiting() int {
	waiting := 0
	for _, first := range r.firstRunAt {
		if first == 0 {
			waiting++
		}
	}
	return waiting
}

// waited returns the time from a job's acceptance to its first run, or to its
// end if it ended without a run.
func waited(job *anvilwork.Job, first anvilclock.Millis) anvilclock.Millis {
	if first == 0 {
		first = job.Ended
	}
	return first - job.Accepted
}

// sendOrders sends each order in a goroutine of its own. The sender limits how many of them are in flight.
func (r *leadership) sendOrders(effects anvilorder.Effects) {
	for _, order := range effects.Stops {
		go func() {
			answer := r.sender.stop(order)
			r.enqueueResult(func(now anvilclock.Millis) anvilorder.Effects { return r.tracker.HandleStopAnswer(now, answer) })
		}()
	}
	for _, order := range effects.Starts {
		go func() {
			answer := r.sender.start(order)
			r.logStartFailure(answer)
			r.enqueueResult(func(now anvilclock.Millis) anvilorder.Effects {
				r.discardRefusedTicket(answer)
				return r.tracker.HandleStartAnswer(now, answer)
			})
		}()
	}
	for _, order := range effects.Polls {
		go func() {
			answer := r.sender.poll(order)
			r.enqueueResult(func(now anvilclock.Millis) anvilorder.Effects {
				r.throttleRuns(now, answer)
				return r.tracker.HandlePollAnswer(now, answer)
			})
		}()
	}
}

// enqueueResult passes the result of a call to the goroutine of the term. The
// result is dropped if the queue is full. After the end of the term nothing reads
// the queue any more, so it stays full once it has filled up.
func (r *leadership) enqueueResult(f func(anvilclock.Millis) anvilorder.Effects) {
	select {
	case r.callResults <- f:
	default:
	}
}

func (r *leadership) logStartFailure(answer anvilorder.StartAnswer) {
	switch answer.Verdict {
	case anvilorder.StartAccepted:
		return
	case anvilorder.StartUnanswered:
		r.log.Write(anvillogs.StartUnanswered, zap.Stringer("task", answer.Order.Task),
			zap.Uint64("run", uint64(answer.Order.Run)), zap.String("target", string(answer.Target)))
	default:
		r.log.Write(anvillogs.StartNotConfirmed, zap.Stringer("task", answer.Order.Task),
			zap.Uint64("run", uint64(answer.Order.Run)), zap.String("target", string(answer.Target)),
			zap.Uint8("verdict", uint8(answer.Verdict)))
	}
}
