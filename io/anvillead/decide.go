package anvillead

import (
	"slices"

	"go.uber.org/zap"

	"anvilshunt/core/anviladvice"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilplace"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
)

// decide plans placements if a plan is due, and returns the commands to commit to
// the replicated log. The last placementCount commands are placements.
func (r *leadership) decide(now anvilclock.Millis) (commands []anvilwork.Command, placementCount int) {
	r.shared.With(func(s *shared) { commands, placementCount = r.decideBy(s, now) })
	return commands, placementCount
}

func (r *leadership) decideBy(s *shared, now anvilclock.Millis) (commands []anvilwork.Command, placementCount int) {
	commands, r.pendingCommands = r.pendingCommands, nil
	r.tracker.Sync(now, s.state)
	r.logCrashes(s)
	if !r.planNeeded && now-r.plannedAt < planInterval {
		return commands, 0
	}
	r.planNeeded, r.plannedAt = false, now
	r.logEndedJobs(s)
	r.stopObsoleteRuns(s.state)
	r.advanceWaves(now, s.state)
	r.learnSpeeds(now, s.state)
	input := r.planInput(now, s.state)
	r.demand.Observe(now, anvilplace.UrgentDemand(input))
	input.Reserve = r.demand.Reserve()
	idle, omitted := r.findIdleSteps(now, &input)
	decision := anvilplace.Plan(input)
	r.logIdleSteps(now, input, idle, omitted, decision.Unplaced)
	record(r.summary.plan, r.clock.Now()-now)
	r.summary.placed += len(decision.Placements)
	r.reservedTargets = decision.Claims
	r.requestAdvice(now, decision.TicketCandidates)
	for _, eviction := range decision.Evictions {
		reason := stoppedForUrgent
		if eviction.Preemptor == eviction.Task.Job {
			reason = stoppedAsStraggler
		}
		r.stopRun(s.state, eviction.Target, eviction.Task, reason)
		r.log.Write(anvillogs.RunEvicted, zap.Stringer("task", eviction.Task),
			zap.String("target", string(eviction.Target)), zap.String("for", string(eviction.Preemptor)))
	}
	for i := range decision.Placements {
		commands = append(commands, anvilwork.Command{Place: &decision.Placements[i]})
	}
	return commands, len(decision.Placements)
}

// stopObsoleteRuns requests a stop of runs that belong to ended jobs, to tasks
// of which an earlier run was done, or to gangs that have lost a member.
func (r *leadership) stopObsoleteRuns(state *anvilwork.State) {
	for _, run := range state.RunsToStop() {
		reason := stoppedAsTornGang
		if job, ok := state.Job(run.Task.Job); ok && (job.Phase.Ended() || job.State(run.Task).DoneRun > 0) {
			reason = stoppedAsDone
		}
		r.stopRun(state, run.Target, run.Task, reason)
	}
}

// stopRun requests a stop of a run, and records it in the summary unless the run is being stopped already.
func (r *leadership) stopRun(state *anvilwork.State, target anvilid.TargetID, task anvilwork.Task, reason stopReason) {
	if job, ok := state.Job(task.Job); ok && !r.tracker.Stopping(target, task) {
		r.summary.recordStop(reason, job, task, r.logTime())
	}
	r.tracker.StopRun(target, task)
}

func (r *leadership) planInput(now anvilclock.Millis, state *anvilwork.State) anvilplace.Input {
	// Targets announce themselves once per interval, and after an election an
	// announcement may first have to be redirected to the new leader.
	announceTimeout := 2*r.bounds.AnnounceInterval + anvilclock.Second
	known := len(state.Targets())
	slow, ejected := r.tracker.Speeds.Slow(now, known), r.ejector.Ejected(now, known)
	return anvilplace.Input{
		Apart:  r.apart(),
		Claims: r.reservedTargets, StartsInFlight: r.tracker.StartsInFlight(), MaxStartsInFlight: maxStartsInFlight,
		Avoid: func(id anvilid.TargetID) bool {
			_, isSlow := slices.BinarySearch(slow, id)
			_, isEjected := slices.BinarySearch(ejected, id)
			return isSlow || isEjected
		},
		Failures: r.ejector.Failures,
		Ticket: func(step anvilwork.StepKey, target *anvilwork.Target) (anvilwork.Ticket, bool) {
			return r.advisor.Ticket(now, step, anviladvice.Target{ID: target.ID, Incarnation: target.Incarnation})
		},
		Allowed: func(step anvilwork.StepKey, target *anvilwork.Target) bool {
			return r.advisor.Allowed(step, anviladvice.Target{ID: target.ID, Incarnation: target.Incarnation})
		},
		Progress: func(task anvilwork.Task) (anvilspeed.Progress, bool) {
			return r.tracker.Speeds.Progress(now, task)
		},
		Speed: func(target *anvilwork.Target) anvilspeed.Factor {
			return r.tracker.Lasting.Speed(target.MachineOrSelf())
		},
		State: state, Now: r.logTime(), Wall: r.wallClock.Now(),
		Usable: func(id anvilid.TargetID) bool {
			return r.tracker.Usable(now, id, announceTimeout) && !r.upkeep.unavailable[id]
		},
		WhyNotUsable: func(id anvilid.TargetID) anvilplace.Reason { return r.whyNotUsable(now, id, announceTimeout) },
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
			fields := []zap.Field{
				zap.Stringer("task", a.Task), zap.Uint64("run", uint64(a.Run)),
				zap.String("target", string(a.Target)), zap.Uint8("result", uint8(result)),
			}
			if speed := r.tracker.SpeedOf(a.Target); speed != anvilspeed.Ordinary {
				fields = append(fields, zap.Float64("speed", hundredths(float64(speed))))
			}
			if queue := r.slowedBy(a.Target, a.Task); queue != "" {
				fields = append(fields, zap.String("slowedBy", string(queue)))
			}
			r.log.Write(anvillogs.RunPlaced, fields...)
		}
	case command.RecordRunEnds != nil:
		for _, end := range command.RecordRunEnds.Ends {
			r.ejector.Ended(r.clock.Now(), command.RecordRunEnds.Target, end.Task, end.Outcome)
			r.log.Write(anvillogs.RunEnded, zap.Stringer("task", end.Task), zap.Uint64("run", uint64(end.Run)),
				zap.String("target", string(command.RecordRunEnds.Target)), zap.Uint8("outcome", uint8(end.Outcome)))
		}
	case command.Unassign != nil:
		r.log.Write(anvillogs.RunUnassigned, zap.Stringer("task", command.Unassign.Task), zap.Uint64("run", uint64(command.Unassign.Run)))
	case command.RecordCheckpoints != nil:
		r.log.Write(anvillogs.CheckpointsKept, zap.Stringers("runs", command.RecordCheckpoints.Runs))
	case command.RecordSpeeds != nil:
		r.unloggedSpeeds = append(r.unloggedSpeeds, command.RecordSpeeds.Speeds...)
	case command.ExpireLease != nil:
		r.log.Write(anvillogs.TargetLeaseExpired, zap.String("target", string(command.ExpireLease.Target)), zap.Int("runs", len(command.ExpireLease.Runs)))
	}
}

// logEndedJobs logs each job that ended since the last plan.
func (r *leadership) logEndedJobs(s *shared) {
	now := r.logTime()
	for id, first := range r.firstRunAt {
		job, ok := s.state.Job(id)
		if !ok || !job.Phase.Ended() {
			continue
		}
		delete(r.firstRunAt, id)
		delete(s.begun, id)
		r.ejector.Forget(id)
		r.advisor.Forget(id)
		_, due := anvilplace.ScheduledWindow(job, s.state.PolicyOf(job), 0)
		r.log.Write(anvillogs.JobEndRecorded, zap.String("job", string(id)), zap.String("queue", string(job.Queue)),
			zap.Stringer("phase", job.Phase), zap.Int64("waited", int64(waited(job, first))),
			zap.Int64("took", int64(job.Ended-job.Accepted)), zap.Int64("limit", int64(due-job.Accepted)))
	}
	for _, job := range s.state.Active() {
		first, known := r.firstRunAt[job.ID]
		if !known || first == 0 && job.Phase == anvilwork.JobRunning {
			first = 0
			if job.Phase == anvilwork.JobRunning {
				first = now
				r.summary.recordStart(now-job.Accepted, s.state.PolicyOf(job).Priority == 0)
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
