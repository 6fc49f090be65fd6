package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

// newTermWithOldState returns the world of a leader that was elected long after the latest change of the state.
func newTermWithOldState(t *testing.T) *world {
	w := newWorld(t)
	w.now = 100_000
	w.tracker = New(2, w.now, Timing{MaxLease: testLease, PollWait: 2000, RetryInterval: testRetry, MaxAnnouncementAge: testAnnouncementAge})
	w.tracker.SetStateAge(2 * testAnnouncementAge)
	w.tracker.Sync(w.now, w.state)
	return w
}

// TestLateAnnouncementAtNewLeader guards against a start on a target that has shrunk: an announcement from before
// that arrives late, and the new leader has heard no later one.
func TestLateAnnouncementAtNewLeader(t *testing.T) {
	w := newTermWithOldState(t)
	assert.Assert(t, !w.tracker.Usable(w.now, "t", testLease))
	w.announced(w.now, TargetClock(w.now-testAnnouncementAge-100))
	w.place(taskA, 1)
	effects := w.advance(1)
	assert.Equal(t, len(effects.Starts), 0, "the clock of the target isn't known yet")
	w.answerPoll(w.takePoll(), 1, nil)
	w.now += 10
	assert.Assert(t, !w.tracker.Usable(w.now, "t", testLease))
	effects = w.advance(1)
	assert.Equal(t, len(effects.Starts), 0)
	w.apply(effects.Commands...)
	assert.Equal(t, len(w.state.Runs("t")), 0, "the run is placed anew")
	w.announced(w.now, TargetClock(w.now-testAnnouncementAge/2))
	assert.Assert(t, w.tracker.Usable(w.now, "t", testLease))
	w.announced(w.now, TargetClock(w.now-testAnnouncementAge-100))
	assert.Assert(t, w.tracker.Usable(w.now, "t", testLease), "a late one doesn't count, but takes nothing away")
}

// TestAnnouncementsOfSlowClocks guards against a target whose clock is as slow as is allowed, or whose clock isn't
// announced, and whose announcements count as late.
func TestAnnouncementsOfSlowClocks(t *testing.T) {
	for _, rate := range []float64{0, 1 - maxClockSlowness, 1} {
		w := newTermWithOldState(t)
		began := w.now
		clock := func() TargetClock { return TargetClock(float64(w.now-began)*rate + 5000*min(1, rate*2)) }
		w.announced(w.now, clock())
		poll := func() {
			answer := w.answer(w.now-1, w.now)
			answer.Clock = max(1, clock())
			w.tracker.HandlePollAnswer(w.now, PollAnswer{Answer: answer, Order: w.takePoll(), Done: true, Complete: true})
		}
		w.tracker.targets["t"].pollNow = true
		poll()
		for range 60 {
			w.now += anvilclock.Second
			w.announced(w.now, clock())
			assert.Assert(t, w.tracker.Usable(w.now, "t", testLease), "rate %v, %d ms after the election", rate, w.now-began)
		}
	}
}

// TestLateChangeOfRecord guards against the same by an announcement that changes the record.
func TestLateChangeOfRecord(t *testing.T) {
	w := newTermWithOldState(t)
	w.learnClock()
	record, _ := w.state.Target("t")
	late := *record
	late.Resources.GPU, late.Sequence, late.Clock = 6, 5, TargetClock(w.now-testAnnouncementAge-100)
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: late}})
	assert.Assert(t, !w.tracker.Usable(w.now, "t", testLease))
}
