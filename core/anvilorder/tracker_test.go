package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	testLease = 6000 * anvilclock.Millisecond
	testRetry = 200 * anvilclock.Millisecond
)

// world is a replicated state with one target and one job of two tasks, and a tracker.
type world struct {
	t       *testing.T
	state   *anvilwork.State
	tracker *Tracker
	now     anvilclock.Millis
	// pendingPoll is the poll that was sent and not yet answered, if any.
	pendingPoll *Poll
}

var (
	taskA = anvilwork.Task{Job: "j"}
	taskB = anvilwork.Task{Job: "j", Index: 1}
)

func newWorld(t *testing.T) *world {
	w := &world{t: t, state: anvilwork.New(), now: 1000}
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: anvilwork.Target{
		ID: "t", Incarnation: 1, Service: "s", Address: "a:1", Resources: anvilwork.Resources{GPU: 8},
	}}})
	w.apply(anvilwork.Command{Submit: &anvilwork.Submit{
		Job: "j", Policy: anvilwork.QueuePolicy{Service: "s", Attempts: 3},
		Spec: anvilwork.Spec{Steps: []anvilwork.Step{{Count: 2, Need: anvilwork.Resources{GPU: 1}}}},
	}})
	w.elect(1)
	return w
}

// elect replaces the tracker by the one of a new leader.
func (w *world) elect(term anvilid.Token) {
	w.tracker = New(term, w.now, Timing{MaxLease: testLease, PollWait: 2000, RetryInterval: testRetry})
	w.tracker.Sync(w.now, w.state)
}

func (w *world) apply(commands ...anvilwork.Command) {
	for _, result := range w.state.Apply(w.now, anvilwork.Batch{Commands: commands}) {
		assert.Equal(w.t, result, anvilwork.Applied)
	}
	if w.tracker != nil {
		w.tracker.Sync(w.now, w.state)
	}
}

func (w *world) place(task anvilwork.Task, run anvilwork.Run) {
	a := anvilwork.Assignment{Task: task, Run: run, Target: "t", Incarnation: 1}
	assert.Equal(w.t, w.state.Apply(w.now, anvilwork.Batch{
		Commands: []anvilwork.Command{{Place: &anvilwork.Place{Assignments: []anvilwork.Assignment{a}}}},
	})[0], anvilwork.Applied)
	w.tracker.AddPlacements([]anvilwork.Assignment{a})
	w.tracker.Sync(w.now, w.state)
}

// advance moves the time forward and returns the orders and commands that are due.
func (w *world) advance(span anvilclock.Millis) Effects {
	w.now += span
	effects := w.tracker.Next(w.now, w.state)
	for _, poll := range effects.Polls {
		w.pendingPoll = &poll
	}
	return effects
}

// announced records an announcement that changes nothing of the target's record.
func (w *world) announced(received anvilclock.Millis, clock TargetClock) {
	w.tracker.RecordAnnouncement(Announcement{Target: "t", Incarnation: 1, Clock: clock, Received: received})
}

// takePoll returns the pending poll, or the next one if none is pending.
func (w *world) takePoll() Poll {
	if w.pendingPoll == nil {
		w.advance(1)
	}
	assert.Assert(w.t, w.pendingPoll != nil, "no poll is due")
	order := *w.pendingPoll
	w.pendingPoll = nil
	return order
}

// failPoll tells the tracker that a poll got no answer.
func (w *world) failPoll(order Poll) {
	w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: Answer{Target: "t", Incarnation: 1}, Order: order})
}

// answer returns the common part of an answer to an order sent and answered at the given
// times.
func (w *world) answer(sent, received anvilclock.Millis) Answer {
	return Answer{Target: "t", Incarnation: 1, Sent: sent, Received: received, Clock: TargetClock(received)}
}

// answerPoll answers a poll now that was sent a number of milliseconds ago, with a list of all ends.
func (w *world) answerPoll(order Poll, ago anvilclock.Millis, running []Running, ended ...anvilwork.RunEnd) Effects {
	answer := PollAnswer{
		Answer: w.answer(w.now-ago, w.now), Order: order, Done: true, Running: running, Ended: ended, Complete: true,
	}
	w.tracker.ObserveProgress(w.state, answer)
	return w.tracker.HandlePollAnswer(w.now, answer)
}

// answerPollInPart answers a poll now with a list of ends that is cut short.
func (w *world) answerPollInPart(order Poll, running []Running, ended ...anvilwork.RunEnd) Effects {
	return w.tracker.HandlePollAnswer(w.now, PollAnswer{
		Answer: w.answer(w.now-1, w.now), Order: order, Done: true, Running: running, Ended: ended,
	})
}

// learnClock makes the tracker read the target's clock from the answer to a poll.
func (w *world) learnClock() {
	w.tracker.targets["t"].pollNow = true
	w.answerPoll(w.takePoll(), 1, nil)
}

// placeAndStart places a task and returns the start order for it.
func (w *world) placeAndStart(task anvilwork.Task, run anvilwork.Run) Start {
	w.learnClock()
	w.place(task, run)
	effects := w.advance(1)
	assert.Equal(w.t, len(effects.Starts), 1)
	return effects.Starts[0]
}

func (w *world) answerStart(order Start, verdict Verdict) Effects {
	answer := w.answer(w.now-1, w.now)
	if verdict == StartUnanswered {
		answer.Clock = 0
	}
	return w.tracker.HandleStartAnswer(w.now, StartAnswer{Answer: answer, Order: order, Verdict: verdict})
}

// TestUnansweredStart guards against giving up a run, or placing it elsewhere, while the
// target may still carry out an unanswered start.
func TestUnansweredStart(t *testing.T) {
	w := newWorld(t)
	order := w.placeAndStart(taskA, 1)
	assert.Equal(t, len(w.answerStart(order, StartUnanswered).Commands), 0)
	effects := w.advance(testRetry)
	assert.Equal(t, len(effects.Starts), 1, "the same start is sent again")
	assert.Equal(t, effects.Starts[0].Run, anvilwork.Run(1))
	// A poll answer without the run proves nothing: the first start may arrive later.
	assert.Equal(t, len(w.answerPoll(w.takePoll(), 1, nil).Commands), 0)
	// Nor does a rejection of the second start cancel the first one.
	assert.Equal(t, len(w.answerStart(effects.Starts[0], StartRejected).Commands), 0)
	effects = w.advance(testRetry)
	assert.Equal(t, len(effects.Stops), 1, "a stop makes the target refuse later starts of the run")
	w.tracker.HandleStopAnswer(w.now, StopAnswer{Answer: w.answer(w.now-1, w.now), Order: effects.Stops[0], Done: true})
	w.answerPoll(w.takePoll(), 1, nil) // the target may have made this answer before the stop
	w.now += 10
	commands := w.answerPoll(w.takePoll(), 1, nil).Commands
	assert.Equal(t, len(commands), 1)
	assert.DeepEqual(t, commands[0].Unassign, &anvilwork.Unassign{Task: taskA, Run: 1})
}

// TestRefusedStart guards against waiting for a run that the target certainly doesn't have.
func TestRefusedStart(t *testing.T) {
	w := newWorld(t)
	order := w.placeAndStart(taskA, 1)
	commands := w.answerStart(order, StartRejected).Commands
	assert.Equal(t, len(commands), 1)
	assert.DeepEqual(t, commands[0].Unassign, &anvilwork.Unassign{Task: taskA, Run: 1})
	assert.Assert(t, !w.tracker.Usable(w.now, "t", 5000), "the target gets no new runs for refusalPause")
	assert.Assert(t, w.tracker.Usable(w.now+refusalPause, "t", 5000))
}

// TestOvertakenList guards against treating a run as lost because a poll answer that was
// made before the run started arrives after the answer to the start.
func TestOvertakenList(t *testing.T) {
	w := newWorld(t)
	order := w.placeAndStart(taskA, 1)
	poll := Poll{Target: order.Target, Token: 1}
	w.answerStart(order, StartAccepted)
	for range 3 {
		assert.Equal(t, len(w.answerPoll(poll, 50, nil).Commands), 0)
	}
}

// TestAdoption guards against a new leader that starts a run again which the former leader
// had started, and against one that waits for a run that was never started.
func TestAdoption(t *testing.T) {
	w := newWorld(t)
	w.place(taskA, 1)
	w.place(taskB, 1)
	w.elect(2)
	assert.Equal(t, len(w.advance(1).Starts), 0)
	poll := w.takePoll()
	assert.Equal(t, poll.Token, anvilid.Token(2), "the poll makes the target refuse the orders of the former leader")
	assert.Equal(t, poll.Wait, anvilclock.Millis(0))
	commands := w.answerPoll(poll, 1, []Running{{Task: taskA, Run: 1}}).Commands
	assert.Equal(t, len(commands), 1)
	assert.DeepEqual(t, commands[0].Unassign, &anvilwork.Unassign{Task: taskB, Run: 1})
}

// TestLease guards against running a task elsewhere while a target that doesn't answer may
// still run it: its clock may be 2% slow.
func TestLease(t *testing.T) {
	w := newWorld(t)
	order := w.placeAndStart(taskA, 1)
	granted := w.now
	w.answerStart(order, StartAccepted)
	poll := w.takePoll()
	latest := poll.Deadline
	w.failPoll(poll)
	lease := float64(testLease)
	silent := anvilclock.Millis(lease / (1 - maxClockSlowness))
	for w.now < granted+silent-100 {
		effects := w.advance(100)
		assert.Equal(t, len(effects.Commands), 0, "at %d after the grant", w.now-granted)
		for _, poll := range effects.Polls {
			assert.Assert(t, poll.Deadline <= latest, "a poll that may be carried out late must not extend the lease")
			w.failPoll(poll)
		}
	}
	w.now = granted + silent + 2*leaseMargin
	commands := w.tracker.Next(w.now, w.state).Commands
	assert.Equal(t, len(commands), 1)
	assert.Equal(t, len(commands[0].ExpireLease.Runs), 1)
}

// TestLeaseOfPredecessor guards against a new leader that doesn't wait for the end of
// leases that the former leader may have granted.
func TestLeaseOfPredecessor(t *testing.T) {
	w := newWorld(t)
	w.place(taskA, 1)
	w.now = 5000
	w.elect(2)
	w.failPoll(w.takePoll())
	assert.Equal(t, len(w.advance(testLease).Commands), 0)
	assert.Equal(t, len(w.advance(testLease/20).Commands), 1)
}

// TestCursor guards against acknowledging the end of a run before it is committed, and
// against never acknowledging the last one.
func TestCursor(t *testing.T) {
	w := newWorld(t)
	order := w.placeAndStart(taskA, 1)
	w.answerStart(order, StartAccepted)
	end := anvilwork.RunEnd{Number: 4, Task: taskA, Run: 1, Outcome: anvilwork.RunDone}
	commands := w.answerPoll(w.takePoll(), 1, nil, end).Commands
	assert.Equal(t, len(commands), 1)
	poll := w.takePoll()
	assert.Equal(t, poll.Cursor, uint64(0))
	assert.Equal(t, len(w.answerPoll(poll, 1, nil, end).Commands), 0, "the end is being committed")
	w.tracker.CommitFailed()
	assert.Equal(t, len(w.answerPoll(w.takePoll(), 1, nil, end).Commands), 1, "it was not committed")
	w.apply(commands...)
	poll = w.takePoll()
	assert.Equal(t, poll.Cursor, uint64(4))
	w.answerPoll(poll, 1, nil)
	assert.Equal(t, len(w.advance(1).Polls), 0, "no run is assigned and every end is acknowledged")
}

// TestUnassignedRunIsStopped guards against leaving a run alive that a target reports although the
// replicated state doesn't assign it to that target.
func TestUnassignedRunIsStopped(t *testing.T) {
	w := newWorld(t)
	order := w.placeAndStart(taskA, 1)
	w.answerStart(order, StartAccepted)
	stops := w.answerPoll(w.takePoll(), 1, []Running{{Task: taskA, Run: 1}, {Task: taskB, Run: 3}}).Stops
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Task, taskB)
}

// TestOtherIncarnation guards against accepting answers of a new incarnation as those of
// the former one. If the answer doesn't say which incarnation sent it, another target has
// the address.
func TestOtherIncarnation(t *testing.T) {
	w := newWorld(t)
	order := w.placeAndStart(taskA, 1)
	commands := w.answerStart(order, StartOtherIncarnation).Commands
	assert.Equal(t, len(commands), 1)
	assert.DeepEqual(t, commands[0].Leave, &anvilwork.Leave{Target: "t", Incarnation: 1})
}

// TestStartAtNewIncarnation guards against a task that runs twice because the new
// incarnation of a target carried out a start meant for the former one: the run must be
// stopped there before it is placed again.
func TestStartAtNewIncarnation(t *testing.T) {
	w := newWorld(t)
	order := w.placeAndStart(taskA, 1)
	answer := w.answer(w.now-1, w.now)
	answer.AnsweredBy = 2
	effects := w.tracker.HandleStartAnswer(w.now, StartAnswer{Answer: answer, Order: order, Verdict: StartOtherIncarnation})
	assert.Equal(t, len(effects.Commands), 1)
	w.apply(effects.Commands...)
	assert.Equal(t, w.state.Runs("t")[taskA], anvilwork.Run(1), "the run is still assigned")

	effects = w.advance(1)
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(effects.Stops), 1)
	stop := effects.Stops[0]
	assert.Equal(t, stop.Target.Incarnation, anvilwork.Incarnation(2))
	reply := func() Answer {
		return Answer{Target: "t", Incarnation: 2, Sent: w.now - 1, Received: w.now, Clock: TargetClock(w.now)}
	}
	// A poll answer without the run proves nothing before the stop was answered.
	poll := w.takePoll()
	effects = w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: reply(), Order: poll, Done: true, Complete: true})
	assert.Equal(t, len(effects.Commands), 0)
	w.now += 10
	w.tracker.HandleStopAnswer(w.now, StopAnswer{Answer: reply(), Order: stop, Done: true})
	w.now += 10
	effects = w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: reply(), Order: w.takePoll(), Done: true, Complete: true})
	assert.Equal(t, len(effects.Commands), 1)
	assert.DeepEqual(t, effects.Commands[0].Unassign, &anvilwork.Unassign{Task: taskA, Run: 1})
}

// TestSilentNewIncarnation guards against placing a run again while a delayed start may
// still start it on a new incarnation that doesn't answer.
func TestSilentNewIncarnation(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartUnanswered)
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: anvilwork.Target{
		ID: "t", Incarnation: 2, Service: "s", Address: "a:1", Resources: anvilwork.Resources{GPU: 8},
	}}})
	w.pendingPoll = nil
	silence := Answer{Target: "t", Incarnation: 2}
	w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: silence, Order: w.takePoll()})
	for span := testRetry; span < maxOrderDelay+testLease; span += testRetry {
		assert.Equal(t, len(w.advance(testRetry).Commands), 0, "after %d ms", span)
	}
	assert.Equal(t, len(w.advance(testLease/10).Commands), 1)
}

// TestStopBeforeStart guards against sending a start after its run was given up.
func TestStopBeforeStart(t *testing.T) {
	w := newWorld(t)
	w.learnClock()
	w.place(taskA, 1)
	w.tracker.StopRun("t", taskA)
	effects := w.advance(1)
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(effects.Commands), 1)
	assert.DeepEqual(t, effects.Commands[0].Unassign, &anvilwork.Unassign{Task: taskA, Run: 1})
}

// TestGoneTargetIsForgotten guards against judging a run by the progress of an earlier one
// on a target that was removed: the new run would be moved as soon as it is placed.
func TestGoneTargetIsForgotten(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	for percent := range 3 {
		w.now += testLease / 6
		w.answerPoll(w.takePoll(), 1, []Running{{Task: taskA, Run: 1, Percent: 10 * percent}})
	}
	_, known := w.tracker.Speeds.Progress(w.now, taskA)
	assert.Assert(t, known)
	// Another target has taken its address, and the process there has answered that it is another one.
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: anvilwork.Target{
		ID: "u", Incarnation: 2, Service: "s", Address: "a:1", Resources: anvilwork.Resources{GPU: 8},
	}}})
	_, known = w.tracker.Speeds.Progress(w.now, taskA)
	assert.Assert(t, known, "the run may still be at work")
	w.apply(anvilwork.Command{Leave: &anvilwork.Leave{Target: "t", Incarnation: 1}})
	_, known = w.tracker.Speeds.Progress(w.now, taskA)
	assert.Assert(t, !known)
}
