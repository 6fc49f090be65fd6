package anvilorder

import (
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
)

// Timing are the limits that the targets work under.
type Timing struct {
	// MaxLease is the longest lease that a target accepts.
	MaxLease anvilclock.Millis
	// PollWait is how long a look may wait for an end. It is well below a third
	// of the lease, so that two lost looks don't let a lease pass.
	PollWait anvilclock.Millis
	// RetryInterval is the pause before an order without an answer is sent again.
	RetryInterval anvilclock.Millis
}

// lateSpan is how long after its sending an order without an answer may be
// carried out.
const lateSpan = 12 * anvilclock.Second

// phase is what the tracker knows of one assigned run.
type phase uint8

const (
	// adopting runs were assigned by a former leader.
	adopting phase = iota
	// starting runs were ordered and not yet confirmed.
	starting
	// running runs were confirmed by an answer or a list.
	running
)

// run is one assigned run at a target.
type run struct {
	number anvilwork.Run
	phase  phase
	// sending tells that a start is on its way, and next when it may be sent.
	sending bool
	next    anvilclock.Millis
	// doubt tells that a start went unanswered and may be carried out later.
	doubt bool
	// late is until when a start that went unanswered may be carried out.
	late anvilclock.Millis
	// seen is the time of sending of the first answer that confirmed the run.
	seen anvilclock.Millis
	// stop tells that the run shall end.
	stop                bool
	stopSending         bool
	stopNext, stoppedAt anvilclock.Millis
	stopped             bool
	// missing counts lists that should have shown a confirmed run.
	missing int
}

// target is what the tracker knows of one incarnation.
type target struct {
	facts   anvilwork.Target
	lease   lease
	runs    map[anvilwork.Task]*run
	looking bool
	nextAt  anvilclock.Millis
	// adopted tells that the target has listed its runs under this token.
	adopted bool
	// heard is the time of the latest answer or announcement.
	heard anvilclock.Millis
	// silent counts calls in a row that got no answer.
	silent int
	// ends are listed and not yet committed.
	settling uint64
	// acked is the cursor that the target is known to have received.
	acked uint64
	// fresh asks for a look without waiting.
	fresh bool
	// badUntil keeps a target that refused work out of placement.
	badUntil anvilclock.Millis
}

// Tracker follows the orders of one term.
type Tracker struct {
	token   anvilid.Token
	bounds  Timing
	elected anvilclock.Millis
	targets map[anvilid.TargetID]*target
	// Speeds judges the targets by the progress of their runs.
	Speeds *anvilspeed.Monitor
}

// New returns the tracker of a leader that was elected at a time.
func New(token anvilid.Token, elected anvilclock.Millis, bounds Timing) *Tracker {
	return &Tracker{token: token, bounds: bounds, elected: elected, targets: map[anvilid.TargetID]*target{}, Speeds: anvilspeed.New()}
}

// Sync takes over the replicated state: targets that came or went, runs that
// were assigned or released. It returns the texts that starts need through the
// state itself, so that it must be called before Next.
func (t *Tracker) Sync(now anvilclock.Millis, state *anvilwork.State) {
	present := map[anvilid.TargetID]bool{}
	for _, facts := range state.Targets() {
		present[facts.ID] = true
		t.syncTarget(now, facts, state)
	}
	for id, gone := range t.targets {
		if !present[id] {
			t.forget(gone, nil)
			delete(t.targets, id)
		}
	}
}

func (t *Tracker) syncTarget(now anvilclock.Millis, facts *anvilwork.Target, state *anvilwork.State) {
	known, assigned := t.targets[facts.ID], state.Runs(facts.ID)
	switch {
	case known == nil:
		known = &target{runs: map[anvilwork.Task]*run{}, heard: now}
		if facts.RegisteredAt == 0 || len(assigned) > 0 {
			known.lease.before = t.elected + t.longestLease()
		}
	case known.facts.Incarnation != facts.Incarnation:
		t.forget(known, assigned)
		known = t.carried(now, known, assigned)
	}
	t.targets[facts.ID], known.facts = known, *facts
	for task, number := range assigned {
		if known.runs[task] == nil || known.runs[task].number != number {
			known.runs[task] = &run{number: number, phase: adopting}
		}
	}
	t.forget(known, assigned)
}

// forget drops the runs of a target that aren't assigned to it any more.
func (t *Tracker) forget(target *target, assigned map[anvilwork.Task]anvilwork.Run) {
	for task := range target.runs {
		if _, ok := assigned[task]; !ok {
			delete(target.runs, task)
			t.Speeds.Forget(task)
		}
	}
}

// carried returns an incarnation with the runs of the former one. Starts of
// this term may still be carried out there, and the new incarnation has seen no
// token that bars them: each run is stopped before it is given up.
func (t *Tracker) carried(now anvilclock.Millis, former *target, assigned map[anvilwork.Task]anvilwork.Run) *target {
	fresh := &target{runs: map[anvilwork.Task]*run{}, heard: now}
	fresh.lease.before = now
	for task, number := range assigned {
		r := &run{number: number, phase: running, seen: now, stop: true}
		if before := former.runs[task]; before != nil && before.number == number {
			r.late = before.late
			if before.sending {
				r.late = max(r.late, before.next+lateSpan)
			}
		}
		if r.late > 0 {
			fresh.lease.before = max(fresh.lease.before, r.late+t.longestLease())
		}
		fresh.runs[task] = r
	}
	return fresh
}

// longestLease is how long a lease may last by the leader's clock.
func (t *Tracker) longestLease() anvilclock.Millis {
	return anvilclock.Millis(float64(t.bounds.MaxLease) / (1 - slowest))
}

// AddPlacements tells that assignments of this leader were committed. Their starts
// are sent by the next call of Next.
func (t *Tracker) AddPlacements(assignments []anvilwork.Assignment) {
	for _, a := range assignments {
		if target := t.targets[a.Target]; target != nil && target.facts.Incarnation == a.Incarnation {
			target.runs[a.Task] = &run{number: a.Run, phase: starting}
		}
	}
}

// StopRun asks for the end of a run. It may be called again.
func (t *Tracker) StopRun(id anvilid.TargetID, task anvilwork.Task) {
	if target := t.targets[id]; target != nil {
		if r := target.runs[task]; r != nil {
			r.stop = true
		}
	}
}

// Stopping reports whether the end of a run was asked for.
func (t *Tracker) Stopping(id anvilid.TargetID, task anvilwork.Task) bool {
	target := t.targets[id]
	return target != nil && target.runs[task] != nil && target.runs[task].stop
}

// RecordAnnouncement notes that a target announced itself.
func (t *Tracker) RecordAnnouncement(now anvilclock.Millis, id anvilid.TargetID, born anvilwork.Incarnation) {
	if target := t.targets[id]; target != nil && target.facts.Incarnation == born {
		target.heard = now
	}
}

// Usable reports whether a target may be given new work: it was heard from
// within a span, answers, and didn't refuse a start just now.
func (t *Tracker) Usable(now anvilclock.Millis, id anvilid.TargetID, span anvilclock.Millis) bool {
	target := t.targets[id]
	return target != nil && target.silent == 0 && now-target.heard <= span && now >= target.badUntil
}

// Next returns the orders and commands that are due at a time.
func (t *Tracker) Next(now anvilclock.Millis, state *anvilwork.State) Effects {
	var effects Effects
	for _, id := range slices.Sorted(maps.Keys(t.targets)) {
		target := t.targets[id]
		if t.lapse(now, target, &effects) {
			continue
		}
		t.startAndStop(now, target, state, &effects)
		t.look(now, target, &effects)
	}
	return effects
}

// lapse gives up everything on a silent target once its lease has passed.
func (t *Tracker) lapse(now anvilclock.Millis, target *target, effects *Effects) bool {
	if target.silent == 0 || len(target.runs) == 0 || now < target.lease.over() {
		return false
	}
	lapse := &anvilwork.ExpireLease{Target: target.facts.ID, Incarnation: target.facts.Incarnation}
	for _, task := range slices.SortedFunc(maps.Keys(target.runs), anvilwork.Task.Compare) {
		lapse.Runs = append(lapse.Runs, anvilwork.Unassign{Task: task, Run: target.runs[task].number})
	}
	effects.Commands = append(effects.Commands, anvilwork.Command{ExpireLease: lapse})
	return true
}

func (t *Tracker) startAndStop(now anvilclock.Millis, target *target, state *anvilwork.State, effects *Effects) {
	for task, r := range target.runs {
		switch {
		case r.stop && r.phase == starting && !r.sending && !r.doubt && r.next == 0:
			// Never sent, so that the target can't know it.
			effects.Commands = append(effects.Commands,
				anvilwork.Command{Unassign: &anvilwork.Unassign{Task: task, Run: r.number}})
			r.next = now + t.bounds.RetryInterval
		case r.stop && !r.stopSending && !r.stopped && now >= r.stopNext && (r.phase != adopting || target.adopted):
			r.stopSending = true
			effects.Stops = append(effects.Stops,
				Stop{Target: target.facts, Task: task, Run: r.number, Token: t.token})
		case !r.stop && r.phase == starting && !r.sending && now >= r.next:
			t.start(now, target, task, r, state, effects)
		}
	}
}

func (t *Tracker) start(now anvilclock.Millis, target *target, task anvilwork.Task, r *run, state *anvilwork.State, effects *Effects) {
	job, ok := state.Job(task.Job)
	if !ok {
		return
	}
	deadline := target.grant(now, t.bounds.MaxLease)
	if deadline == 0 {
		target.fresh = true // the look tells the clock
		return
	}
	r.sending, r.next = true, now // when it was sent, until the answer
	effects.Starts = append(effects.Starts, Start{
		Target: target.facts, Task: task, Run: r.number, Text: job.Spec.Text,
		Saved: job.State(task).Checkpoint, Ticket: job.State(task).Ticket, Token: t.token, Deadline: deadline,
	})
}

// look asks a target for its lists while anything is assigned to it, so that
// its lease doesn't pass and ends are noticed at once.
func (t *Tracker) look(now anvilclock.Millis, target *target, effects *Effects) {
	unacked := target.facts.Cursor > target.acked
	needed := len(target.runs) > 0 || target.fresh || unacked
	if target.looking || !needed || now < target.nextAt {
		return
	}
	target.looking = true
	wait := t.bounds.PollWait
	if target.fresh || len(target.runs) == 0 || !target.adopted && t.adopts(target) || target.silent > 0 {
		wait = 0
	}
	target.fresh = false
	effects.Polls = append(effects.Polls, Poll{
		Target: target.facts, Token: t.token, Cursor: target.facts.Cursor,
		Deadline: target.grant(now, t.bounds.MaxLease), Wait: wait,
	})
}

// grant returns the deadline for an order. A silent target is granted nothing
// more: an order that it may carry out late must not prolong its lease.
func (target *target) grant(now, span anvilclock.Millis) TargetClock {
	if target.silent > 0 {
		return target.lease.latest
	}
	return target.lease.grant(now, span)
}

func (t *Tracker) adopts(target *target) bool {
	for _, r := range target.runs {
		if r.phase == adopting {
			return true
		}
	}
	return false
}
