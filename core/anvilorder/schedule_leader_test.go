package anvilorder

import (
	"cmp"
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// simLeader plays the loop of io/anvillead for one term.
type simLeader struct {
	*schedule
	tracker *Tracker
	pending []anvilwork.Command
	// results are the results of calls that the loop has not handled yet.
	results    []func() Effects
	committing bool
	gone       bool
}

func (l *simLeader) enqueue(result func() Effects) {
	l.results = append(l.results, result)
	l.after(1, l.step)
}

// step is leadership.step: it commits what is pending and new placements, and then sends what is due.
func (l *simLeader) step() {
	if l.gone || l.committing {
		return
	}
	results := l.results
	l.results = nil
	for _, result := range results {
		effects := result()
		l.pending = append(l.pending, effects.Commands...)
		l.send(effects)
	}
	l.tracker.Sync(l.now, l.state)
	for _, run := range l.state.RunsToStop() {
		l.tracker.StopRun(run.Target, run.Task)
	}
	commands := slices.Concat(l.pending, l.placements())
	l.pending = nil
	if len(commands) == 0 && !l.tracker.CommitUncertain() {
		l.sendDue()
		return
	}
	l.committing = true
	l.propose(commands, func(results []anvilwork.Result, ok bool) { l.committed(commands, results, ok) })
}

func (l *simLeader) committed(commands []anvilwork.Command, results []anvilwork.Result, ok bool) {
	l.committing = false
	switch {
	case l.gone:
		return
	case !ok:
		l.tracker.CommitFailed()
		l.sendDue()
		return
	}
	l.tracker.CommitSucceeded()
	for i, command := range commands {
		if command.Place != nil && results[i] == anvilwork.Applied {
			l.tracker.AddPlacements(command.Place.Assignments)
		}
	}
	l.sendDue()
}

func (l *simLeader) sendDue() {
	l.tracker.Sync(l.now, l.state)
	effects := l.tracker.Next(l.now, l.state)
	l.pending = append(l.pending, effects.Commands...)
	l.send(effects)
}

// evict stops a random run.
func (l *simLeader) evict() {
	target := l.machines[l.random.IntN(len(l.machines))].name()
	tasks := slices.SortedFunc(maps.Keys(l.state.Runs(target)), anvilwork.Task.Compare)
	if len(tasks) > 0 {
		l.tracker.StopRun(target, tasks[l.random.IntN(len(tasks))])
	}
}

// placements assigns each waiting task to a random usable target, and gangs whole.
func (l *simLeader) placements() []anvilwork.Command {
	free := l.freeSlots()
	var commands []anvilwork.Command
	for _, job := range l.state.Active() {
		for step, spec := range job.Spec.Steps {
			tasks := job.Occurrences[0].Tasks[step]
			for i := range tasks {
				group := tasks[i : i+1]
				if spec.Gang {
					group = tasks
				}
				first := anvilwork.Task{Job: job.ID, Step: step, Index: i}
				if place := l.placeGroup(first, group, free); place != nil {
					commands = append(commands, anvilwork.Command{Place: place})
				}
				if spec.Gang {
					break
				}
			}
		}
	}
	return commands
}

// freeSlots returns the usable targets, each as often as it has free slots.
func (l *simLeader) freeSlots() *[]*anvilwork.Target {
	free := []*anvilwork.Target{}
	for _, target := range l.state.Targets() {
		if target.Leaving || !l.tracker.Usable(l.now, target.ID, usableSpan) {
			continue
		}
		for range slots - len(l.state.Runs(target.ID)) {
			free = append(free, target)
		}
	}
	return &free
}

// placeGroup places all tasks of a group under one run number, or none.
func (l *simLeader) placeGroup(first anvilwork.Task, group []anvilwork.TaskState, free *[]*anvilwork.Target) *anvilwork.Place {
	run := anvilwork.Run(0)
	for _, task := range group {
		if task.Phase != anvilwork.TaskWaiting {
			return nil
		}
		run = max(run, task.Run+1)
	}
	if len(group) > len(*free) {
		return nil
	}
	place := &anvilwork.Place{}
	for i := range group {
		task := first
		task.Index += i
		pick := l.random.IntN(len(*free))
		target := (*free)[pick]
		*free = slices.Delete(*free, pick, pick+1)
		place.Assignments = append(place.Assignments, anvilwork.Assignment{Task: task, Run: run, Target: target.ID, Incarnation: target.Incarnation})
	}
	return place
}

// send makes the calls for the orders. The tracker returns them in the order of a map, so they are sorted.
func (l *simLeader) send(effects Effects) {
	slices.SortFunc(effects.Stops, func(a, b Stop) int {
		return cmp.Or(cmp.Compare(a.Target.ID, b.Target.ID), a.Task.Compare(b.Task))
	})
	slices.SortFunc(effects.Starts, func(a, b Start) int {
		return cmp.Or(cmp.Compare(a.Target.ID, b.Target.ID), a.Task.Compare(b.Task))
	})
	for _, order := range effects.Stops {
		l.call(&request{target: order.Target, token: order.Token, stop: &order}, func(r response) Effects {
			return l.tracker.HandleStopAnswer(l.now, StopAnswer{
				Answer: r.Answer, Order: order, Done: r.done, FromOtherIncarnation: r.fromOther(),
			})
		})
	}
	for _, order := range effects.Starts {
		l.call(&request{target: order.Target, token: order.Token, start: &order, deadline: order.Deadline}, func(r response) Effects {
			verdict := r.startVerdict()
			if verdict != StartAccepted {
				l.record(order.Target.ID, order.Task, "answer to the start of run %d, sent at %d: verdict %d", order.Run, r.Sent, verdict)
			}
			return l.tracker.HandleStartAnswer(l.now, StartAnswer{Answer: r.Answer, Order: order, Verdict: verdict})
		})
	}
	for _, order := range effects.Polls {
		l.call(&request{target: order.Target, token: order.Token, poll: &order, deadline: order.Deadline}, func(r response) Effects {
			answer := PollAnswer{
				Answer: r.Answer, Order: order, Done: r.done, FromOtherIncarnation: r.fromOther(),
				Running: r.running, Ended: r.ended, Complete: r.complete,
			}
			l.tracker.ObserveProgress(l.state, answer)
			return l.tracker.HandlePollAnswer(l.now, answer)
		})
	}
}

func (l *simLeader) call(r *request, handle func(response) Effects) {
	l.transmit(r, func(answer response) { l.enqueue(func() Effects { return handle(answer) }) })
}

// departurePatience is the constant of io/anvillead.
const departurePatience = 2 * anvilclock.Second

// handleAnnouncement is Leader.Announce: it calls acknowledge once the announcement is committed, or once the
// target may end.
func (l *simLeader) handleAnnouncement(target anvilwork.Target, left bool, acknowledge func()) {
	switch {
	case left:
		l.depart(target.ID, acknowledge)
	case !l.state.AnnouncementHasEffect(target):
		l.enqueue(func() Effects {
			l.tracker.RecordAnnouncement(Announcement{Target: target.ID, Incarnation: target.Incarnation, Clock: target.Clock, Received: l.now})
			return Effects{}
		})
		acknowledge()
	default:
		announce := anvilwork.Command{Announce: &anvilwork.Announce{Target: target}}
		l.propose([]anvilwork.Command{announce}, func(_ []anvilwork.Result, ok bool) {
			if ok {
				acknowledge()
			}
		})
	}
}

// depart is Leader.depart, which is called again, at the leader of that time, until the target may end.
func (l *simLeader) depart(id anvilid.TargetID, acknowledge func()) {
	retry := func() {
		l.after(60, func() {
			if l.leader != nil {
				l.leader.depart(id, acknowledge)
			}
		})
	}
	known, ok := l.state.Target(id)
	switch {
	case !ok || !known.Leaving, known.Departed() && l.now-known.DepartedAt >= departurePatience:
		acknowledge()
	case known.Departed():
		retry()
	default:
		leave := anvilwork.Command{Leave: &anvilwork.Leave{Target: id, Incarnation: known.Incarnation, Final: true}}
		l.propose([]anvilwork.Command{leave}, func(_ []anvilwork.Result, ok bool) {
			if _, kept := l.state.Target(id); ok && !kept {
				acknowledge()
				return
			}
			retry()
		})
	}
}

// request is one call to a target: a start, a stop or a poll.
type request struct {
	target   anvilwork.Target
	token    anvilid.Token
	deadline TargetClock
	start    *Start
	stop     *Stop
	poll     *Poll
	sent     anvilclock.Millis
	// connectedTo is the process to which the connection of the request was opened, or nil if it is a new one.
	connectedTo *process
}

// response is the outcome of a request. Its Answer is filled in as by the client of the targets.
type response struct {
	Answer
	answered bool
	from     *process
	// done means that the target has carried the call out; verdict is that on a start.
	done    bool
	verdict Verdict
	running []Running
	ended   []anvilwork.RunEnd
	// complete means that ended has fewer ends than a target lists at a time.
	complete bool
}

// fromOther reports whether another incarnation or another target has answered.
func (r response) fromOther() bool { return r.answered && r.AnsweredBy != r.Incarnation }

func (r response) startVerdict() Verdict {
	switch {
	case r.NotSent:
		return StartNotSent
	case !r.answered:
		return StartUnanswered
	case r.fromOther():
		return StartOtherIncarnation
	}
	return r.verdict
}
