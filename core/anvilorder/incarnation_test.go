package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

// beginIncarnation announces a new incarnation of target t under the same id.
func (w *world) beginIncarnation(number anvilwork.Incarnation) {
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: anvilwork.Target{
		ID: "t", Incarnation: number, Service: "s", Address: "a:1", Resources: anvilwork.Resources{GPU: 8},
	}}})
	w.pendingPoll = nil
}

// TestInheritedFromFormerLeader guards against placing a run again while a start of the former leader may
// still be carried out by a new incarnation of its target that doesn't answer: this leader doesn't know
// when that start was sent.
func TestInheritedFromFormerLeader(t *testing.T) {
	for _, order := range []string{"elected first", "born first"} {
		w := newWorld(t)
		w.answerStart(w.placeAndStart(taskA, 1), StartUnanswered)
		if order == "elected first" {
			w.elect(2)
			w.beginIncarnation(2)
		} else {
			w.now += 10
			w.beginIncarnation(2)
			w.elect(2)
		}
		w.pendingPoll = nil
		silence := Answer{Target: "t", Incarnation: 2}
		w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: silence, Order: w.takePoll()})
		for span := testRetry; span < maxOrderDelay+testLease; span += testRetry {
			assert.Equal(t, len(w.advance(testRetry).Commands), 0, "%s, after %d ms", order, span)
		}
		assert.Equal(t, len(w.advance(testLease/10).Commands), 1, order)
	}
}

// TestIncarnationIsFenced guards against a late start that is carried out by a new incarnation of its target:
// it has seen neither a fencing token, nor the stop or the end of the run at the former one.
func TestIncarnationIsFenced(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartUnanswered)
	w.answerStart(w.advance(testRetry).Starts[0], StartAccepted)
	end := anvilwork.RunEnd{Number: 1, Task: taskA, Run: 1, Outcome: anvilwork.RunDone}
	w.apply(w.answerPoll(w.takePoll(), 1, nil, end).Commands...)
	for incarnation := anvilwork.Incarnation(2); incarnation < 4; incarnation++ {
		w.beginIncarnation(incarnation)
		stops := w.advance(1).Stops
		poll := w.takePoll()
		assert.Equal(t, poll.Target.Incarnation, incarnation)
		assert.Equal(t, poll.Wait, anvilclock.Millis(0), "the poll makes it refuse the orders of former leaders")
		for range 2 {
			assert.Equal(t, len(stops), 1)
			assert.Equal(t, stops[0].Target.Incarnation, incarnation)
			assert.Equal(t, stops[0].Task, taskA)
			w.tracker.HandleStopAnswer(w.now, StopAnswer{Answer: Answer{Target: "t", Incarnation: incarnation}, Order: stops[0]})
			assert.Equal(t, len(w.advance(1).Stops), 0)
			stops = w.advance(testRetry).Stops // the first one got no answer
		}
		w.tracker.HandleStopAnswer(w.now, StopAnswer{Answer: Answer{Target: "t", Incarnation: incarnation}, Order: stops[0], Done: true})
		assert.Equal(t, len(w.advance(testRetry).Stops), 0)
	}
	w.now += maxOrderDelay
	w.beginIncarnation(4)
	assert.Equal(t, len(w.advance(1).Stops), 0, "no start can be carried out any more")
}

// TestClockOfOtherIncarnation guards against a lease that counts as expired because another incarnation
// answered, whose clock is ahead of the former one's.
func TestClockOfOtherIncarnation(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	answer := w.answer(w.now-1, w.now)
	answer.Clock, answer.AnsweredBy = 1_000_000, 2
	w.tracker.HandleStopAnswer(w.now, StopAnswer{Answer: answer, Order: Stop{Target: anvilwork.Target{ID: "t", Incarnation: 1}}, FromOtherIncarnation: true})
	// The announcement of the other incarnation was not committed.
	assert.Equal(t, len(w.advance(testRetry).Commands), 0)
}

// TestSilentTargetRestarts guards against placing a run again when the lease of a target that doesn't answer
// has expired, although the target may have been restarted unnoticed: the new incarnation carries out the
// repeated starts, and its clock restarts, so that their deadline doesn't bound the run there.
func TestSilentTargetRestarts(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartUnanswered)
	latest := w.now
	for w.now < latest+maxOrderDelay+testLease {
		effects := w.advance(testRetry)
		assert.Equal(t, len(effects.Commands), 0, "%d ms after the last start", w.now-latest)
		for _, start := range effects.Starts {
			latest = w.now
			w.answerStart(start, StartUnanswered)
		}
		if w.pendingPoll != nil {
			w.failPoll(w.takePoll())
		}
	}
	assert.Assert(t, latest < 1000+testLease, "a start isn't repeated for ever to a target that doesn't answer")
	assert.Equal(t, len(w.advance(testLease/10).Commands), 1)
}

// TestSilentTargetKeepsItsEnds guards against acknowledging ends of an incarnation that the leader doesn't know
// yet: a task that is done there would run again.
func TestSilentTargetKeepsItsEnds(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	w.apply(w.answerPoll(w.takePoll(), 1, nil, anvilwork.RunEnd{Number: 4, Task: taskA, Run: 1, Outcome: anvilwork.RunDone}).Commands...)
	poll := w.takePoll()
	assert.Equal(t, poll.Cursor, uint64(4))
	w.failPoll(poll)
	w.now += testRetry
	poll = w.takePoll()
	assert.Equal(t, poll.Cursor, uint64(0), "the target may be another incarnation now")
	w.answerPoll(poll, 1, nil)
	poll = w.takePoll()
	assert.Equal(t, poll.Cursor, uint64(4), "it has answered")
	w.answerPoll(poll, 1, nil)
	w.tracker.targets["t"].pollNow = true
	assert.Equal(t, w.takePoll().Cursor, uint64(0), "an end is acknowledged once")
}

// TestRefusedConnectionAfterDeparture guards against waiting for the end of the lease of a target that has
// said that it ends and accepts no connections any more, and against taking a refused connection for the end
// of any other target.
func TestRefusedConnectionAfterDeparture(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	refused := func() Effects {
		answer := Answer{Target: "t", Incarnation: 1, Sent: w.now, Received: w.now, NotSent: true, Refused: true}
		return w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: answer, Order: w.takePoll()})
	}
	assert.Equal(t, len(refused().Commands), 0, "the link may refuse it while the target goes on")
	w.apply(anvilwork.Command{Leave: &anvilwork.Leave{Target: "t", Incarnation: 1, Final: true}})
	assert.Equal(t, w.state.Runs("t")[taskA], anvilwork.Run(1))
	commands := refused().Commands
	assert.Equal(t, len(commands), 1)
	w.apply(commands...)
	assert.Equal(t, len(w.state.Runs("t")), 0)
}

// TestAnswerOfLowerIncarnation guards against releasing the runs of a target that is alive, because its
// incarnation was announced with too high a number: by another writer, or before its clock was set back.
func TestAnswerOfLowerIncarnation(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	w.beginIncarnation(9)
	answer := Answer{Target: "t", Incarnation: 9, Sent: w.now - 1, Received: w.now, Clock: 5, AnsweredBy: 1}
	commands := w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: answer, Order: w.takePoll(), FromOtherIncarnation: true}).Commands
	w.apply(commands...)
	record, _ := w.state.Target("t")
	assert.Equal(t, record.Incarnation, anvilwork.Incarnation(1))
	assert.Equal(t, w.state.Runs("t")[taskA], anvilwork.Run(1), "the run may still be at work")
	assert.Equal(t, len(w.advance(1).Stops), 1)
}

// TestLatePollOfFormerIncarnation guards against a lease of a new incarnation that is extended by a poll
// which was sent while the former one was believed to be there. Its deadline is a time on the former clock.
func TestLatePollOfFormerIncarnation(t *testing.T) {
	w := newWorld(t)
	w.now = 100_000
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted) // the clock of incarnation 1 shows 100 s
	poll := w.takePoll()
	sent := w.now
	assert.Assert(t, poll.Deadline > 100_000)
	w.now += 600
	// The new process got it, and carries it out up to 12 s after it was sent.
	w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: Answer{Target: "t", Incarnation: 1, Sent: sent, Received: w.now}, Order: poll})
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: anvilwork.Target{
		ID: "t", Incarnation: 2, Service: "s", Address: "a:1", Resources: anvilwork.Resources{GPU: 8},
	}}})
	answer := func() Answer {
		return Answer{Target: "t", Incarnation: 2, AnsweredBy: 2, Sent: w.now - 1, Received: w.now, Clock: TargetClock(w.now - 100_000)}
	}
	for range 4 { // incarnation 2 refuses run 1, which is released
		effects := w.advance(10)
		for _, s := range effects.Stops {
			w.tracker.HandleStopAnswer(w.now, StopAnswer{Answer: answer(), Order: s, Done: true})
		}
		w.now += 2
		for _, p := range effects.Polls {
			w.apply(w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: answer(), Order: p, Done: true, Complete: true}).Commands...)
		}
	}
	assert.Equal(t, len(w.state.Runs("t")), 0)
	a := []anvilwork.Assignment{{Task: taskA, Run: 2, Target: "t", Incarnation: 2}}
	w.apply(anvilwork.Command{Place: &anvilwork.Place{Assignments: a}})
	w.tracker.AddPlacements(a)
	effects := w.advance(200)
	assert.Equal(t, len(effects.Starts), 1)
	w.tracker.HandleStartAnswer(w.now, StartAnswer{Answer: answer(), Order: effects.Starts[0], Verdict: StartAccepted})
	polls := effects.Polls
	for w.now < sent+maxOrderDelay+testLease { // the target is cut off
		for _, p := range polls {
			w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: Answer{Target: "t", Incarnation: 2}, Order: p})
		}
		effects = w.advance(500)
		polls = effects.Polls
		for _, c := range effects.Commands {
			assert.Assert(t, c.ExpireLease == nil || w.now >= sent+maxOrderDelay+testLease, "run 2 is given up %d ms after the late poll was sent, which may extend it until 18 s", w.now-sent)
		}
	}
}

// TestRefusalBeforeDeparture guards against runs that are released because a connection was refused before the
// target said that it ends.
func TestRefusalBeforeDeparture(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	poll := w.takePoll()
	answer := Answer{Target: "t", Incarnation: 1, Sent: w.now, Received: w.now + 5, NotSent: true, Refused: true} // a cut link
	w.now += 100
	w.apply(anvilwork.Command{Leave: &anvilwork.Leave{Target: "t", Incarnation: 1, Final: true}})
	commands := w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: answer, Order: poll}).Commands
	assert.Equal(t, len(commands), 0, "the refusal says nothing about the time since the departure")
}

// TestRefusalAtAddressOfAnother guards against runs that are released because a connection was refused at an
// address that another target has taken: the refusal says nothing about the one that had it before.
func TestRefusalAtAddressOfAnother(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: anvilwork.Target{
		ID: "t2", Incarnation: 2, Service: "s", Address: "a:1", Resources: anvilwork.Resources{GPU: 8},
	}}})
	record, _ := w.state.Target("t")
	assert.Assert(t, record.Departed())
	poll := w.takePoll()
	answer := Answer{Target: "t", Incarnation: 1, Sent: w.now, Received: w.now + 5, NotSent: true, Refused: true}
	commands := w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: answer, Order: poll}).Commands
	assert.Equal(t, len(commands), 0)
}

// TestDepartureEndsLeaseExtension guards against a target that has said that it ends and whose lease goes on
// being extended: if it is cut off then, its runs are placed again later than necessary.
func TestDepartureEndsLeaseExtension(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	before := w.takePoll()
	w.answerPoll(before, 1, []Running{{Task: taskA, Run: 1}})
	w.apply(anvilwork.Command{Leave: &anvilwork.Leave{Target: "t", Incarnation: 1, Final: true}})
	w.now += 200
	assert.Equal(t, w.takePoll().Deadline, before.Deadline)
}

// TestClosedConnectionBoundsLateStart guards against a run that waits for 18 s to be placed again although
// its target has crashed: a start whose connection was closed isn't carried out later.
func TestClosedConnectionBoundsLateStart(t *testing.T) {
	w := newWorld(t)
	order := w.placeAndStart(taskA, 1)
	began := w.now
	answer := w.answer(w.now, w.now)
	answer.Clock, answer.Closed = 0, true
	w.tracker.HandleStartAnswer(w.now, StartAnswer{Answer: answer, Order: order, Verdict: StartUnanswered})
	for len(w.state.Runs("t")) > 0 && w.now < began+maxOrderDelay {
		effects := w.advance(testRetry)
		w.apply(effects.Commands...)
		for _, start := range effects.Starts {
			answer := w.answer(w.now, w.now)
			answer.Clock, answer.NotSent, answer.Closed = 0, true, true
			w.tracker.HandleStartAnswer(w.now, StartAnswer{Answer: answer, Order: start, Verdict: StartNotSent})
		}
	}
	assert.Equal(t, len(w.state.Runs("t")), 0)
	assert.Assert(t, w.now >= began+testLease, "the target may have been reset and run on until its lease ends")
	assert.Assert(t, w.now < began+testLease+testLease/10, "%d ms", w.now-began)
}
