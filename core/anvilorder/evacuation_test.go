package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilwork"
)

// evacuate begins the evacuation of the zone of the target.
func (w *world) evacuate() {
	known, _ := w.state.Target("t")
	target := *known
	target.Zone = "z"
	target.Sequence++
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: target}}, anvilwork.Command{Evacuate: &anvilwork.Evacuate{Zone: "z"}})
}

// TestStartsAfterEvacuation guards against a start that is sent, or sent again, after the zone of its target was
// evacuated, against giving up a run without a stop that makes the target refuse a late copy of its start, and
// against stopping a run that the target has confirmed.
func TestStartsAfterEvacuation(t *testing.T) {
	for _, c := range []struct {
		name    string
		verdict Verdict
		stops   int
		freed   int // runs that are unassigned at once
	}{
		{"confirmed", StartAccepted, 0, 0},
		{"unanswered", StartUnanswered, 1, 0},
		{"not sent", StartNotSent, 0, 1},
		{"lease in the order had expired", StartLeaseExpired, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t)
			w.startBoth(c.verdict)
			w.evacuate()
			effects := w.advance(testRetry)
			assert.Equal(t, len(effects.Starts), 0)
			assert.Equal(t, len(effects.Stops), c.stops)
			assert.Equal(t, len(effects.Commands), c.freed)
			assert.Assert(t, !w.tracker.Stopping("t", taskA))
		})
	}
}

// TestPlacedBeforeEvacuation guards against a start that goes out after the evacuation, because the run was placed
// before it, and against a start that is in flight and counts as withdrawn before it is answered.
func TestPlacedBeforeEvacuation(t *testing.T) {
	w := newWorld(t)
	w.learnClock()
	w.place(taskA, 1)
	effects := w.advance(1)
	assert.Equal(t, len(effects.Starts), 1)
	w.place(taskB, 1)
	w.evacuate()
	next := w.advance(1)
	assert.Equal(t, len(next.Starts)+len(next.Stops), 0)
	assert.Equal(t, len(next.Commands), 1)
	assert.DeepEqual(t, next.Commands[0].Unassign, &anvilwork.Unassign{Task: taskB, Run: 1})
	w.answerStart(effects.Starts[0], StartAccepted)
	assert.Equal(t, len(w.advance(testRetry).Stops), 0)
}

// TestNewLeaderAfterEvacuation guards against a leader that starts runs which its predecessor has placed in a zone
// before its evacuation.
func TestNewLeaderAfterEvacuation(t *testing.T) {
	w := newWorld(t)
	w.learnClock()
	w.place(taskA, 1)
	w.evacuate()
	w.elect(2)
	assert.Equal(t, len(w.advance(testRetry).Starts), 0)
	commands := w.answerPoll(w.takePoll(), 1, nil).Commands
	assert.Equal(t, len(commands), 1)
	assert.DeepEqual(t, commands[0].Unassign, &anvilwork.Unassign{Task: taskA, Run: 1})
}
