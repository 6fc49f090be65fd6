package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

// fallSilent lets the calls to the target fail until the tracker notes that it doesn't answer.
func (w *world) fallSilent() {
	for range silentAfterCalls {
		assert.Equal(w.t, len(w.tracker.NoteSilences(w.now)), 0)
		w.failPoll(w.takePoll())
		w.now += 4 * testRetry
	}
}

// TestSilenceNamesNewRuns guards against suspecting a run of a crash that had worked for long before, against
// missing one that had just begun, and against committing the same note again and again.
func TestSilenceNamesNewRuns(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	w.now += crashDelay + 1
	w.answerStart(w.placeAndStart(taskB, 1), StartAccepted)
	w.fallSilent()
	commands := w.tracker.NoteSilences(w.now)
	assert.Equal(t, len(commands), 1)
	assert.DeepEqual(t, commands[0].NoteSilence.Begun, []anvilwork.Unassign{{Task: taskB, Run: 1}})
	w.apply(commands...)
	w.now += 2 * testRetry
	assert.Equal(t, len(w.tracker.NoteSilences(w.now)), 0)

	w.answerPoll(w.takePoll(), 1, []Running{{Task: taskA, Run: 1}, {Task: taskB, Run: 1}})
	commands = w.tracker.NoteSilences(w.now)
	assert.Equal(t, len(commands), 1)
	assert.Assert(t, commands[0].NoteSilence.Answers)
	w.apply(commands...)
	w.now += 2 * testRetry
	assert.Equal(t, len(w.tracker.NoteSilences(w.now)), 0)
}

// TestClosedConnections guards against taking a target that was cut off, and whose connections are refused once
// it is in touch again, for one whose process ended under a run, and against missing the moment of a true end.
func TestClosedConnections(t *testing.T) {
	for _, c := range []struct {
		name        string
		closedFirst bool
		pause       anvilclock.Millis // from the latest answer to the first failed call
		seen        bool
	}{
		{"the process ends at once", true, crashDelay, true},
		{"calls time out first", false, crashDelay, false},
		{"cut off for less time than a call takes", true, crashDelay + 1, false},
	} {
		w := newWorld(t)
		w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
		w.now += c.pause
		for i := range silentAfterCalls {
			answer := Answer{Target: "t", Incarnation: 1, Sent: w.now, Received: w.now, Closed: c.closedFirst || i > 0}
			w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: answer, Order: w.takePoll()})
			w.pendingPoll = nil
			w.announced(w.now+2*crashDelay, 0)
			w.now += 4 * testRetry
		}
		commands := w.tracker.NoteSilences(w.now)
		assert.Equal(t, len(commands), 1, c.name)
		assert.Equal(t, commands[0].NoteSilence.Closed, c.seen, c.name)
		assert.Equal(t, len(commands[0].NoteSilence.Begun) == 1, c.seen, "%s: a late announcement must not clear the run", c.name)
	}
}

// TestSilenceNamesUnansweredStart guards against missing a run whose start got no answer because it crashed the
// target, and against a note that is lost with its commit.
func TestSilenceNamesUnansweredStart(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartUnanswered)
	w.failPoll(w.takePoll())
	for range 2 {
		commands := w.tracker.NoteSilences(w.now)
		assert.Equal(t, len(commands), 1)
		assert.DeepEqual(t, commands[0].NoteSilence.Begun, []anvilwork.Unassign{{Task: taskA, Run: 1}})
		w.now += testRetry
	}
}

// TestSilenceAfterElection guards against a new leader that suspects each run of its predecessor, or none.
func TestSilenceAfterElection(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	w.now += 30_000
	w.place(taskB, 1)
	w.elect(2)
	w.fallSilent()
	w.apply(w.tracker.NoteSilences(w.now)...)
	target, _ := w.state.Target("t")
	assert.DeepEqual(t, target.Silence.Suspects, []anvilwork.Unassign{{Task: taskB, Run: 1}})
}

// TestSilenceOutlivesElection guards against a new leader that reports that a silent target answers, although
// no call of its own has been answered.
func TestSilenceOutlivesElection(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	w.fallSilent()
	w.apply(w.tracker.NoteSilences(w.now)...)
	target, _ := w.state.Target("t")
	assert.Assert(t, target.Silence != nil)
	w.elect(2)
	for _, c := range w.tracker.NoteSilences(w.now) {
		assert.Assert(t, !c.NoteSilence.Answers, "nothing has answered this leader")
	}
}

// TestSilenceOutlivesElectionAndLease guards against a crash that isn't counted because the leader changed
// and the lease expired before the target was back.
func TestSilenceOutlivesElectionAndLease(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	w.fallSilent()
	w.apply(w.tracker.NoteSilences(w.now)...)
	w.apply(anvilwork.Command{ExpireLease: &anvilwork.ExpireLease{Target: "t", Incarnation: 1}})
	w.elect(2)
	w.apply(w.tracker.NoteSilences(w.now)...)
	known, _ := w.state.Target("t")
	next := *known
	next.ID, next.Incarnation = "t2", 2
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: next}})
	job, _ := w.state.Job(taskA.Job)
	assert.Equal(t, job.State(taskA).Crashes, 1)
}

// TestClearedSilenceIsNotReported guards against a commit every 200 ms, because a silence that a crash has
// ended is reported as ended again and again.
func TestClearedSilenceIsNotReported(t *testing.T) {
	w := newWorld(t)
	known, _ := w.state.Target("t")
	onMachine := *known
	onMachine.Machine, onMachine.Sequence = "m", 5
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: onMachine}})
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	w.fallSilent()
	w.apply(w.tracker.NoteSilences(w.now)...)
	other := onMachine
	other.ID, other.Address, other.Incarnation = "t2", "elsewhere:1", 2
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: other}})
	w.answerPoll(w.takePoll(), 1, []Running{{Task: taskA, Run: 1}})
	for range 3 {
		w.now += 2 * testRetry
		commands := w.tracker.NoteSilences(w.now)
		w.state.Apply(w.now, anvilwork.Batch{Commands: commands})
		w.tracker.Sync(w.now, w.state)
	}
	w.now += 2 * testRetry
	assert.Equal(t, len(w.tracker.NoteSilences(w.now)), 0)
}

// TestSuspectStartsAfterAnswer guards against a crash of an idle target that isn't seen, because its latest
// answer was too long ago to tell a process that ended on the start from one that had been cut off.
func TestSuspectStartsAfterAnswer(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	w.fallSilent()
	w.apply(w.tracker.NoteSilences(w.now)...)
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: anvilwork.Target{ID: "u", Incarnation: 2, Service: "s", Address: "a:1"}}})
	w.apply(anvilwork.Command{Leave: &anvilwork.Leave{Target: "t", Incarnation: 1}})
	job, _ := w.state.Job("j")
	assert.Assert(t, job.State(taskA).Suspect())
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: anvilwork.Target{
		ID: "t", Incarnation: 3, Service: "s", Address: "b:1", Resources: anvilwork.Resources{GPU: 8}, Sequence: 1,
	}}})
	answer := func() Answer {
		return Answer{Target: "t", Incarnation: 3, AnsweredBy: 3, Sent: w.now - 1, Received: w.now, Clock: TargetClock(w.now)}
	}
	w.pendingPoll = nil
	w.tracker.targets["t"].pollNow = true
	w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: answer(), Order: w.takePoll(), Done: true})
	w.now += 2 * crashDelay // a target without runs isn't polled
	a := []anvilwork.Assignment{{Task: taskA, Run: 2, Target: "t", Incarnation: 3}}
	w.apply(anvilwork.Command{Place: &anvilwork.Place{Assignments: a}})
	w.tracker.AddPlacements(a)
	w.pendingPoll = nil
	assert.Equal(t, len(w.advance(1).Starts), 0)
	w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: answer(), Order: w.takePoll(), Done: true})
	assert.Equal(t, len(w.advance(1).Starts), 1)
}
