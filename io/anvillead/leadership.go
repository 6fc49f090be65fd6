package anvillead

import (
	"context"
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
	// ended is closed at the end of the term.
	ended  chan struct{}
	sender sender
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
	// speedsRecordedAt is when a commit of speeds of machines was requested last.
	speedsRecordedAt anvilclock.Millis
	// disturbed has the pairs of queues that slow each other down, and neighboursLoggedAt is when pairs were logged last.
	disturbed          []anvilspeed.Effect
	neighboursLoggedAt anvilclock.Millis
	// unloggedSpeeds has the speeds that were recorded and not yet logged.
	unloggedSpeeds []anvilwork.MachineSpeed
	idle           idleWatch
	// firstRunAt maps each job that had not ended at the last plan to the log
	// time of its first run, or to 0 if it had none.
	firstRunAt map[anvilid.JobID]anvilclock.Millis
}

func newLeadership(l *Leader, term anvilid.Term) *leadership {
	now := l.clock.Now()
	tracker := anvilorder.New(anvilid.Token(term), now, l.bounds.Orders)
	if l.bounds.KeepApart {
		tracker.Lasting.CorrectNeighbours()
	}
	r := &leadership{
		Leader: l, term: term, planNeeded: true, tracker: tracker,
		ejector: anvileject.New(), advisor: anviladvice.New(), governor: anvilpace.New(anvilid.Token(term)),
		upkeep: upkeep{coordinator: anvilupkeep.New(l.bounds.UpkeepDuration)}, firstRunAt: map[anvilid.JobID]anvilclock.Millis{},
		callResults: make(chan func(anvilclock.Millis) anvilorder.Effects, resultQueueSize), ended: make(chan struct{}),
		sender:  sender{limits: newCallLimits(l.bounds.Connections), calls: l.calls, leading: l.leading, hasShrunk: l.hasShrunk, evacuated: l.zoneEvacuated},
		summary: newSummary(now, l.ignoredEntries()),
	}
	l.shared.With(func(s *shared) {
		tracker.SetStateAge(l.logTime() - s.evidence.heardAt)
		r.inheritSpeeds(now, s.state)
	})
	return r
}

func (r *leadership) run(ctx context.Context) {
	defer close(r.ended)
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
	case announced := <-r.keepalives:
		r.recordAnnouncements(announced)
	}
	for {
		select {
		case <-r.stateChanged:
			r.planNeeded = true
		case result := <-r.callResults:
			r.handleResult(result)
		case announced := <-r.keepalives:
			r.recordAnnouncements(announced)
		default:
			return
		}
	}
}

func (r *leadership) recordAnnouncements(announced []anvilorder.Announcement) {
	for _, announcement := range announced {
		r.tracker.RecordAnnouncement(announcement)
	}
}

func (r *leadership) handleResult(result func(anvilclock.Millis) anvilorder.Effects) {
	effects := result(r.clock.Now())
	r.logFindings(effects.Findings)
	r.noteBegun(effects.Begun)
	r.pendingCommands = append(r.pendingCommands, effects.Commands...)
	r.sendOrders(effects)
}

func (r *leadership) noteBegun(jobs []anvilid.JobID) {
	if len(jobs) == 0 {
		return
	}
	r.shared.With(func(s *shared) {
		for _, job := range jobs {
			s.begun[job] = true
		}
	})
}

// step is one iteration of the leader's loop. It commits the pending commands and
// new placements to the replicated log, and then sends the resulting orders to
// the targets.
func (r *leadership) step(ctx context.Context) {
	now := r.clock.Now()
	commands, placementCount := r.decide(now)
	if len(commands) > 0 || r.tracker.CommitUncertain() {
		sent := r.clock.Now()
		results, err := r.commit(ctx, commands...)
		record(r.summary.commit, r.clock.Now()-sent)
		if err != nil {
			// Leases are extended all the same, or all work would be lost while disks are slow.
			r.log.Write(anvillogs.CommitFailed, zap.Int("commands", len(commands)), zap.Error(err))
			r.tracker.CommitFailed()
		} else {
			r.tracker.CommitSucceeded()
			r.handleCommitted(commands, results, placementCount)
		}
	}
	now = r.clock.Now()
	r.logSummary(now)
	if !r.leading() {
		return
	}
	var effects anvilorder.Effects
	r.shared.With(func(s *shared) {
		r.tracker.Sync(now, s.state)
		r.pendingCommands = append(r.pendingCommands, r.tracker.NoteSilences(now)...)
		effects = r.tracker.Next(now, s.state)
	})
	r.logFindings(effects.Findings)
	r.pendingCommands = append(r.pendingCommands, effects.Commands...)
	r.sendOrders(effects)
}

// findingEvents maps what the tracker finds to the events of the log.
var findingEvents = map[anvilorder.FindingKind]anvillogs.Event{
	anvilorder.RunNotAssigned: anvillogs.RunNotAssigned, anvilorder.RunMissing: anvillogs.RunMissing,
	anvilorder.RunInherited: anvillogs.RunInherited,
}

func (r *leadership) logFindings(findings []anvilorder.Finding) {
	for _, f := range findings {
		r.log.Write(findingEvents[f.Kind], zap.Stringer("task", f.Task), zap.Uint64("run", uint64(f.Run)),
			zap.String("target", string(f.Target)), zap.Int64("incarnation", int64(f.Incarnation)))
	}
}

// pollDelay is the time by which a poll is sent later than a start at the same target. The start then uses the
// connection on which the target has just answered. One without an answer on a new connection holds its task for
// longer, as it isn't known which process has accepted that.
const pollDelay = 50 * time.Millisecond

// sendOrders sends each order in a goroutine of its own. The sender limits how many of them are in flight.
func (r *leadership) sendOrders(effects anvilorder.Effects) {
	started := map[anvilid.TargetID]bool{}
	for _, order := range effects.Stops {
		go func() {
			answer := r.sender.stop(order)
			r.enqueueResult(func(now anvilclock.Millis) anvilorder.Effects { return r.tracker.HandleStopAnswer(now, answer) })
		}()
	}
	for _, order := range effects.Starts {
		started[order.Target.ID] = true
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
			if started[order.Target.ID] {
				time.Sleep(pollDelay)
			}
			answer := r.sender.poll(order)
			r.enqueueResult(func(now anvilclock.Millis) anvilorder.Effects {
				r.observeRuns(now, answer)
				return r.tracker.HandlePollAnswer(now, answer)
			})
		}()
	}
}

// enqueueResult passes the result of a call to the goroutine of the term. It waits
// while the queue is full: a call whose result is lost counts as in flight for the
// rest of the term, and what depends on it waits for as long. Results that come
// after the end of the term are dropped. It must not be called by the goroutine of
// the term, which would wait for itself.
func (r *leadership) enqueueResult(f func(anvilclock.Millis) anvilorder.Effects) {
	select {
	case r.callResults <- f:
	case <-r.ended:
	}
}

func (r *leadership) logStartFailure(answer anvilorder.StartAnswer) {
	if answer.Withheld {
		return
	}
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
