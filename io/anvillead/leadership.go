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

// planInterval is how often a plan is made when nothing has changed: targets
// become usable again and jobs become due without a change.
const planInterval = 200 * anvilclock.Millisecond

// leadership is one term of a leader. It belongs to one goroutine.
type leadership struct {
	*Leader
	term    anvilid.Term
	tracker *anvilorder.Tracker
	planned anvilclock.Millis
	dirty   bool
	answers chan func(now anvilclock.Millis) anvilorder.Effects
	// pending collects what answers have asked for.
	pending []anvilwork.Command
	// ejector knows which targets fail what they start.
	ejector *anvileject.Ejector
	// advisor knows which targets may run which steps.
	advisor *anviladvice.Advisor
	upkeep  upkeep
	// governor paces what fills beside what serves.
	governor *anvilpace.Governor
	// demand follows what urgent jobs need.
	demand anvilplace.Demand
	// kept are the targets that the latest plan keeps for jobs that wait.
	kept map[anvilid.TargetID]anvilid.JobID
	// active holds the jobs that hadn't ended, and when each first had a run.
	active map[anvilid.JobID]anvilclock.Millis
}

func newLeadership(l *Leader, term anvilid.Term) *leadership {
	now := l.clock.Now()
	return &leadership{
		Leader: l, term: term, dirty: true,
		tracker: anvilorder.New(anvilid.Token(term), now, l.bounds.Orders),
		ejector: anvileject.New(), advisor: anviladvice.New(), governor: anvilpace.New(anvilid.Token(term)),
		upkeep: upkeep{keeper: anvilupkeep.New(l.bounds.UpkeepDuration)}, active: map[anvilid.JobID]anvilclock.Millis{},
		answers: make(chan func(anvilclock.Millis) anvilorder.Effects, answersSize),
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

// wait returns when something has happened, with all of it taken in.
func (r *leadership) wait(ctx context.Context, tick <-chan time.Time) {
	select {
	case <-ctx.Done():
		return
	case <-tick:
	case <-r.changed:
		r.dirty = true
	case answer := <-r.answers:
		r.take(answer)
	case report := <-r.reports:
		r.tracker.RecordAnnouncement(r.clock.Now(), report.target, report.born)
	}
	for {
		select {
		case <-r.changed:
			r.dirty = true
		case answer := <-r.answers:
			r.take(answer)
		case report := <-r.reports:
			r.tracker.RecordAnnouncement(r.clock.Now(), report.target, report.born)
		default:
			return
		}
	}
}

func (r *leadership) take(answer func(anvilclock.Millis) anvilorder.Effects) {
	effects := answer(r.clock.Now())
	r.pending = append(r.pending, effects.Commands...)
	r.send(effects)
}

// step commits what is due and sends the orders that follow from it.
func (r *leadership) step(ctx context.Context) {
	now := r.clock.Now()
	commands, places := r.decide(now)
	if len(commands) > 0 {
		results, err := r.commit(ctx, commands...)
		if err != nil {
			r.log.Write(anvillogs.CommitFailed, zap.Int("commands", len(commands)), zap.Error(err))
			r.tracker.ResetUncommittedEnds()
			return
		}
		r.committed(commands, results, places)
	}
	now = r.clock.Now()
	if !r.leading() {
		return
	}
	r.mu.Lock()
	r.tracker.Sync(now, r.state)
	effects := r.tracker.Next(now, r.state)
	r.mu.Unlock()
	r.pending = append(r.pending, effects.Commands...)
	r.send(effects)
}

// decide returns the commands to commit; the last ones are placements, of
// which places tells the number.
func (r *leadership) decide(now anvilclock.Millis) (commands []anvilwork.Command, places int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	commands, r.pending = r.pending, nil
	r.tracker.Sync(now, r.state)
	if !r.dirty && now-r.planned < planInterval {
		return commands, 0
	}
	r.dirty, r.planned = false, now
	r.logEnded()
	r.stopSuperfluous()
	r.keepUp(now)
	input := r.input(now)
	r.demand.Observe(now, anvilplace.UrgentDemand(input))
	input.Reserve = r.demand.Reserve()
	decision := anvilplace.Plan(input)
	r.kept = decision.Claims
	r.ask(now, decision.TicketCandidates)
	for _, eviction := range decision.Evictions {
		r.tracker.StopRun(eviction.Target, eviction.Task)
		r.log.Write(anvillogs.RunEvicted, zap.Stringer("task", eviction.Task),
			zap.String("target", string(eviction.Target)), zap.String("for", string(eviction.Preemptor)))
	}
	for i := range decision.Placements {
		commands = append(commands, anvilwork.Command{Place: &decision.Placements[i]})
	}
	return commands, len(decision.Placements)
}

// stopSuperfluous asks for the end of what ended jobs and torn gangs run.
func (r *leadership) stopSuperfluous() {
	for _, run := range r.state.RunsToStop() {
		r.tracker.StopRun(run.Target, run.Task)
	}
}

func (r *leadership) input(now anvilclock.Millis) anvilplace.Input {
	// Announcements come once an interval, and may change their way after an
	// election.
	heard := 2*r.bounds.AnnounceInterval + anvilclock.Second
	known := len(r.state.Targets())
	slow, ejected := r.tracker.Speeds.Slow(now, known), r.ejector.Ejected(now, known)
	return anvilplace.Input{
		Claims: r.kept,
		Avoid: func(id anvilid.TargetID) bool {
			return slices.Contains(slow, id) || slices.Contains(ejected, id)
		},
		Failed: r.ejector.Failed,
		Ticket: func(step anvilwork.StepKey, target *anvilwork.Target) (anvilwork.Ticket, bool) {
			return r.advisor.Ticket(now, step, anviladvice.Target{ID: target.ID, Born: target.Incarnation})
		},
		Allowed: func(step anvilwork.StepKey, target *anvilwork.Target) bool {
			return r.advisor.Allowed(step, anviladvice.Target{ID: target.ID, Born: target.Incarnation})
		},
		Progress: func(task anvilwork.Task) (anvilspeed.Progress, bool) {
			return r.tracker.Speeds.Progress(now, task)
		},
		State: r.state, Now: r.wall.Now(), Wall: r.wall.Now(),
		Usable: func(id anvilid.TargetID) bool { return r.tracker.Usable(now, id, heard) && !r.upkeep.closed[id] },
		Stopping: func(id anvilid.TargetID, task anvilwork.Task) bool {
			return r.tracker.Stopping(id, task)
		},
	}
}

// committed takes over the placements that took effect.
func (r *leadership) committed(commands []anvilwork.Command, results []anvilwork.Result, places int) {
	for i, command := range commands {
		if i >= len(results) {
			return
		}
		r.note(command, results[i])
		if i >= len(commands)-places && results[i] == anvilwork.Applied {
			r.tracker.AddPlacements(command.Place.Assignments)
		}
	}
}

// note logs a committed command and takes in what it tells of targets.
func (r *leadership) note(command anvilwork.Command, result anvilwork.Result) {
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
		r.log.Write(anvillogs.RunVoided, zap.Stringer("task", command.Unassign.Task), zap.Uint64("run", uint64(command.Unassign.Run)))
	case command.ExpireLease != nil:
		r.log.Write(anvillogs.TargetSilent, zap.String("target", string(command.ExpireLease.Target)), zap.Int("runs", len(command.ExpireLease.Runs)))
	}
}

// logEnded writes a line for each job that ended since the last plan.
func (r *leadership) logEnded() {
	now := r.wall.Now()
	for id, first := range r.active {
		job, ok := r.state.Job(id)
		if !ok || !job.Phase.Ended() {
			continue
		}
		delete(r.active, id)
		r.ejector.Forget(id)
		r.advisor.Forget(id)
		_, due := anvilplace.ScheduledWindow(job, r.state.PolicyOf(job), 0)
		r.log.Write(anvillogs.WorkEnded, zap.String("job", string(id)), zap.String("queue", string(job.Queue)),
			zap.Stringer("phase", job.Phase), zap.Int64("waited", int64(waited(job, first))),
			zap.Int64("took", int64(job.Ended-job.Accepted)), zap.Int64("limit", int64(due-job.Accepted)))
	}
	for _, job := range r.state.Active() {
		first, known := r.active[job.ID]
		if !known || first == 0 && job.Phase == anvilwork.JobRunning {
			first = 0
			if job.Phase == anvilwork.JobRunning {
				first = now
			}
			r.active[job.ID] = first
		}
	}
}

// waited is the time until a job first had a run, or until its end if it had none.
func waited(job *anvilwork.Job, first anvilclock.Millis) anvilclock.Millis {
	if first == 0 {
		first = job.Ended
	}
	return first - job.Accepted
}

// send gives the orders, each in a goroutine of its own: the connections to
// one target are few and bounded by the client.
func (r *leadership) send(effects anvilorder.Effects) {
	for _, order := range effects.Starts {
		go func() {
			answer := r.orders.Start(context.Background(), order)
			r.logStart(answer)
			r.answer(func(now anvilclock.Millis) anvilorder.Effects {
				r.noteTicket(answer)
				return r.tracker.HandleStartAnswer(now, answer)
			})
		}()
	}
	for _, order := range effects.Stops {
		go func() {
			answer := r.orders.Stop(context.Background(), order)
			r.answer(func(now anvilclock.Millis) anvilorder.Effects { return r.tracker.HandleStopAnswer(now, answer) })
		}()
	}
	for _, order := range effects.Polls {
		go func() {
			answer := r.orders.Poll(context.Background(), order)
			r.answer(func(now anvilclock.Millis) anvilorder.Effects {
				r.pace(now, answer)
				return r.tracker.HandlePollAnswer(now, answer)
			})
		}()
	}
}

// answer hands an answer to the term's goroutine. After the term nobody reads
// any more, and the answer is dropped.
func (r *leadership) answer(f func(anvilclock.Millis) anvilorder.Effects) {
	select {
	case r.answers <- f:
	default:
	}
}

func (r *leadership) logStart(answer anvilorder.StartAnswer) {
	switch answer.Verdict {
	case anvilorder.StartAccepted:
		return
	case anvilorder.StartUnanswered:
		r.log.Write(anvillogs.RunUnanswered, zap.Stringer("task", answer.Order.Task),
			zap.Uint64("run", uint64(answer.Order.Run)), zap.String("target", string(answer.Target)))
	default:
		r.log.Write(anvillogs.RunRefused, zap.Stringer("task", answer.Order.Task), zap.Uint64("run", uint64(answer.Order.Run)),
			zap.String("target", string(answer.Target)), zap.Uint8("verdict", uint8(answer.Verdict)))
	}
}
