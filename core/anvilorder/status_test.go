package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
)

// TestStages guards against a run that counts as one at work although its target has not confirmed it, does not
// answer, or does not list it any more.
func TestStages(t *testing.T) {
	const later = 2*2000 + listSlack + 1 // above the age from which on a confirmation doesn't count
	listed := []Running{{Task: taskA, Run: 1}}
	for _, c := range []struct {
		name string
		act  func(*world, Start)
		want RunStage
	}{
		{"sent", func(*world, Start) {}, StageStarting},
		{"unanswered", func(w *world, start Start) { w.answerStart(start, StartUnanswered) }, StageStarting},
		{"accepted", func(w *world, start Start) { w.answerStart(start, StartAccepted) }, StageAtWork},
		{"not heard of since", func(w *world, start Start) {
			w.answerStart(start, StartAccepted)
			w.now += later
		}, StageUnlisted},
		{"listed", func(w *world, start Start) {
			w.answerStart(start, StartAccepted)
			w.now += later
			w.answerPoll(w.takePoll(), 1, listed)
		}, StageAtWork},
		{"neither listed nor ended in a list that is cut short", func(w *world, start Start) {
			w.answerStart(start, StartAccepted)
			w.now += later
			w.answerPollInPart(w.takePoll(), nil)
		}, StageUnlisted},
		{"ended by the answer to the start", func(w *world, start Start) { w.answerStart(start, StartRunEnded) }, StageUnlisted},
		{"target silent", func(w *world, start Start) {
			w.answerStart(start, StartAccepted)
			w.failPoll(w.takePoll())
		}, StageSilent},
		{"stop requested", func(w *world, start Start) {
			w.answerStart(start, StartAccepted)
			w.tracker.StopRun("t", taskA)
		}, StageStopping},
		{"new leader", func(w *world, start Start) {
			w.answerStart(start, StartAccepted)
			w.elect(2)
		}, StageAdopting},
		{"adopted", func(w *world, start Start) {
			w.answerStart(start, StartAccepted)
			w.elect(2)
			w.answerPoll(w.takePoll(), 1, listed)
		}, StageAtWork},
	} {
		w := newWorld(t)
		c.act(w, w.placeAndStart(taskA, 1))
		status, ok := w.tracker.Status(w.now, "t", taskA)
		assert.Assert(t, ok)
		assert.Equal(t, status.Stage, c.want, c.name)
		assert.Equal(t, w.tracker.AtWork(w.now, "t", taskA), c.want == StageAtWork, c.name)
	}
	w := newWorld(t)
	_, ok := w.tracker.Status(w.now, "t", taskA)
	assert.Assert(t, !ok, "it isn't assigned")
}

// TestStatusOfUnansweredStart guards against a status without the times that the next run of the task waits for.
func TestStatusOfUnansweredStart(t *testing.T) {
	w := newWorld(t)
	order := w.placeAndStart(taskA, 1)
	sent := w.now
	w.now += 2000
	w.tracker.HandleStartAnswer(w.now, StartAnswer{Answer: Answer{Target: "t", Incarnation: 1, Sent: sent, Received: w.now}, Order: order, Verdict: StartUnanswered})
	status, _ := w.tracker.Status(w.now, "t", taskA)
	assert.Equal(t, status.UnansweredStarts, 1)
	assert.Equal(t, status.UnansweredCalls, 1)
	assert.Assert(t, status.LeaseEndedAt > sent+testLease)
	assert.Assert(t, status.LateStartEndedAt > sent+maxOrderDelay+testLease)
	assert.Assert(t, status.ContactAt <= sent)
}

// TestObstacles guards against a target that is left out for another reason than the log says.
func TestObstacles(t *testing.T) {
	const span = 5000 * anvilclock.Millisecond
	for _, c := range []struct {
		name string
		act  func(*world)
		want Obstacle
	}{
		{"usable", (*world).learnClock, NoObstacle},
		{"not heard since the election", func(*world) {}, NoContact},
		{"silent", func(w *world) {
			w.learnClock()
			w.now += span + 1
		}, NoContact},
		{"unanswered", func(w *world) { w.answerStart(w.placeAndStart(taskA, 1), StartUnanswered) }, CallUnanswered},
		{"refused", func(w *world) { w.answerStart(w.placeAndStart(taskA, 1), StartRejected) }, StartRefused},
		{"capacity unknown", func(w *world) {
			w.learnClock()
			w.tracker.timing.MaxAnnouncementAge = 1000
			w.now += 1001
		}, CapacityUnknown},
	} {
		w := newWorld(t)
		c.act(w)
		assert.Equal(t, w.tracker.Obstacle(w.now, "t", span), c.want, c.name)
	}
	w := newWorld(t)
	assert.Equal(t, w.tracker.Obstacle(w.now, "other", span), TargetUnknown)
}
