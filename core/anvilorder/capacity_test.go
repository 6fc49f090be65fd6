package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// resize changes the number of accelerators of the target. Each task needs one.
func (w *world) resize(count anvilid.AcceleratorCount) {
	known, _ := w.state.Target("t")
	target := *known
	target.Resources.GPU = count
	target.Sequence++
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: target}})
}

// startBoth places both tasks. The start of taskA is accepted, and that of taskB gets the given verdict.
func (w *world) startBoth(verdict Verdict) {
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	w.answerStart(w.placeAndStart(taskB, 1), verdict)
}

// TestUnsentStartAfterShrink guards against a start that goes out for the first time although the target no
// longer has room for it.
func TestUnsentStartAfterShrink(t *testing.T) {
	w := newWorld(t)
	w.startBoth(StartNotSent)
	w.resize(1)
	effects := w.advance(testRetry)
	assert.Equal(t, len(effects.Starts)+len(effects.Stops), 0)
	assert.Equal(t, len(effects.Commands), 1)
	assert.DeepEqual(t, effects.Commands[0].Unassign, &anvilwork.Unassign{Task: taskB, Run: 1})
}

// TestWithheldStartAfterShrink guards against a leader that was without a quorum for some seconds, and then
// sends a start for which the target has no room any more.
func TestWithheldStartAfterShrink(t *testing.T) {
	w := newWorld(t)
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	order := w.placeAndStart(taskB, 1)
	w.tracker.HandleStartAnswer(w.now, StartAnswer{
		Answer: Answer{Target: "t", Incarnation: 1, NotSent: true, Withheld: true}, Order: order, Verdict: StartNotSent,
	})
	w.resize(1)
	effects := w.advance(testRetry)
	assert.Equal(t, len(effects.Starts)+len(effects.Stops), 0)
	assert.Equal(t, len(effects.Commands), 1)
}

// TestUnansweredStartAfterShrink guards against repeating a start that got no answer although the target no
// longer has room for it, and against giving the run up without a stop that makes the target refuse it.
func TestUnansweredStartAfterShrink(t *testing.T) {
	w := newWorld(t)
	w.startBoth(StartUnanswered)
	w.resize(1)
	effects := w.advance(testRetry)
	assert.Equal(t, len(effects.Starts)+len(effects.Commands), 0)
	assert.Equal(t, len(effects.Stops), 1)
	assert.Equal(t, effects.Stops[0].Task, taskB)
	w.resize(8)
	w.tracker.HandleStopAnswer(w.now, StopAnswer{Answer: w.answer(w.now-1, w.now), Order: effects.Stops[0], Done: true})
	w.now += 10
	w.takePoll()
	w.tracker.targets["t"].pollInFlight = false
	commands := w.answerPoll(w.takePoll(), 1, []Running{{Task: taskA, Run: 1}}).Commands
	assert.Equal(t, len(commands), 1)
	assert.DeepEqual(t, commands[0].Unassign, &anvilwork.Unassign{Task: taskB, Run: 1})
}

// TestStartsThatStillFit guards against withdrawing more starts than necessary from a target that has shrunk.
func TestStartsThatStillFit(t *testing.T) {
	w := newWorld(t)
	w.learnClock()
	w.place(taskA, 1)
	w.place(taskB, 1)
	w.resize(1)
	effects := w.advance(1)
	assert.Equal(t, len(effects.Starts), 1)
	assert.Equal(t, effects.Starts[0].Task, taskA)
	assert.Equal(t, len(effects.Commands), 1)
	assert.DeepEqual(t, effects.Commands[0].Unassign, &anvilwork.Unassign{Task: taskB, Run: 1})
}

// TestShrunkBelowRuns guards against stopping the runs of a target that has shrunk: only starts must fit.
func TestShrunkBelowRuns(t *testing.T) {
	w := newWorld(t)
	w.startBoth(StartAccepted)
	w.resize(0)
	effects := w.advance(testRetry)
	assert.Equal(t, len(effects.Stops)+len(effects.Commands), 0)
}

// TestCapacityOfNewIncarnation guards against placing runs on a new incarnation by the capacity of the former
// one: it may be a smaller target, and the leader may have met it before it announced itself.
func TestCapacityOfNewIncarnation(t *testing.T) {
	w := newWorld(t)
	w.resize(6)
	answer := w.answer(w.now-1, w.now)
	answer.AnsweredBy = 2
	effects := w.tracker.HandleStartAnswer(w.now, StartAnswer{Answer: answer, Order: w.placeAndStart(taskA, 1), Verdict: StartOtherIncarnation})
	w.apply(effects.Commands...)
	target, _ := w.state.Target("t")
	assert.Equal(t, target.Incarnation, anvilwork.Incarnation(2))
	assert.Equal(t, target.Resources, anvilwork.Resources{})
	assert.Equal(t, target.Service, anvilid.ServiceName(""), "nor is it known to be of the same service")
	assert.Equal(t, target.Sequence, uint64(0), "its announcements begin to count anew")
}

const testAnnouncementAge = 3000 * anvilclock.Millisecond

// TestStaleCapacity guards against starts on a target that answers polls, but whose announcements don't
// arrive, so that its capacity may have shrunk long ago.
func TestStaleCapacity(t *testing.T) {
	w := newWorld(t)
	w.tracker.timing.MaxAnnouncementAge = testAnnouncementAge
	w.startBoth(StartUnanswered)
	w.announced(w.now, 0)
	w.now += testAnnouncementAge
	w.answerPoll(w.takePoll(), 1, []Running{{Task: taskA, Run: 1}})
	assert.Assert(t, w.tracker.Usable(w.now, "t", testLease))
	w.now += 2
	assert.Assert(t, !w.tracker.Usable(w.now, "t", testLease))
	effects := w.advance(0)
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(effects.Stops), 1)
	assert.Equal(t, effects.Stops[0].Task, taskB)
	w.announced(w.now, 0)
	assert.Assert(t, w.tracker.Usable(w.now, "t", testLease))
}

// TestCapacityAtNewLeader guards against a leader that is elected long after the former one was lost, and
// places runs by capacities that the former one knew.
func TestCapacityAtNewLeader(t *testing.T) {
	for _, age := range []anvilclock.Millis{500, testAnnouncementAge + 1} {
		w := newWorld(t)
		w.tracker = New(2, w.now, Timing{MaxLease: testLease, PollWait: 2000, RetryInterval: testRetry, MaxAnnouncementAge: testAnnouncementAge})
		w.tracker.SetStateAge(age)
		w.tracker.Sync(w.now, w.state)
		assert.Assert(t, !w.tracker.Usable(w.now, "t", testLease), "this leader has heard nothing of it")
		w.learnClock()
		assert.Equal(t, w.tracker.Usable(w.now, "t", testLease), age <= testAnnouncementAge)
		w.resize(6)
		assert.Assert(t, w.tracker.Usable(w.now, "t", testLease), "it has announced itself")
	}
}
