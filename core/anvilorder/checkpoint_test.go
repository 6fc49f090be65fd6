package anvilorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilwork"
)

// listCheckpoint starts the first run of task A and answers a poll that lists a checkpoint of it.
func (w *world) listCheckpoint(checkpoint string) {
	w.answerStart(w.placeAndStart(taskA, 1), StartAccepted)
	w.now += 500
	w.answerPoll(w.takePoll(), 1, []Running{{Task: taskA, Run: 1, Checkpoint: checkpoint, Percent: 60}})
}

// recordedCheckpoint returns the checkpoint from which the next run of task A continues.
func (w *world) recordedCheckpoint() string {
	job, ok := w.state.Job("j")
	assert.Assert(w.t, ok)
	return job.State(taskA).Checkpoint
}

// failedPoll returns an answer to the next poll that shows that the target or another one didn't answer it.
func (w *world) failedPoll(answer Answer) PollAnswer {
	answer.Target, answer.Incarnation, answer.Sent, answer.Received = "t", 1, w.now, w.now
	return PollAnswer{Answer: answer, Order: w.takePoll()}
}

// TestCheckpointOfLostRun guards against a run that begins far behind the work that its predecessor had saved,
// because the predecessor's target ended without listing the end of the run.
func TestCheckpointOfLostRun(t *testing.T) {
	cases := map[string]func(w *world){
		"another target answers at the address": func(w *world) {
			answer := w.failedPoll(Answer{})
			answer.FromOtherIncarnation = true
			w.apply(w.tracker.HandlePollAnswer(w.now, answer).Commands...)
			assert.Equal(t, len(w.state.Runs("t")), 0)
		},
		"it has said that it ends": func(w *world) {
			w.apply(anvilwork.Command{Leave: &anvilwork.Leave{Target: "t", Incarnation: 1, Final: true}})
			w.apply(w.tracker.HandlePollAnswer(w.now, w.failedPoll(Answer{NotSent: true, Refused: true})).Commands...)
			assert.Equal(t, len(w.state.Runs("t")), 0)
		},
		"it begins a new incarnation": func(w *world) {
			w.beginIncarnation(2)
			w.apply(w.advance(1).Commands...)
		},
		"it falls silent, and another leader is elected": func(w *world) {
			for range silentAfterCalls {
				w.failPoll(w.takePoll())
				w.apply(w.advance(testRetry).Commands...)
			}
			w.elect(2)
		},
		"it doesn't know the run any more": func(w *world) {
			w.answerPoll(w.takePoll(), 1, nil)
			w.now += 10
			w.apply(w.answerPoll(w.takePoll(), 1, nil).Commands...)
			assert.Equal(t, len(w.state.Runs("t")), 0)
		},
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.listCheckpoint("saved")
			lose(w)
			assert.Equal(t, w.recordedCheckpoint(), "saved")
		})
	}
}

// TestCheckpointIsRecordedOnce guards against a log that grows for as long as a target is silent, and against a
// checkpoint that is lost with a failed commit.
func TestCheckpointIsRecordedOnce(t *testing.T) {
	w := newWorld(t)
	w.listCheckpoint("saved")
	silent := func() []anvilwork.Command {
		w.failPoll(w.takePoll())
		return w.advance(testRetry * 4).Commands
	}
	assert.Equal(t, len(silent()), 0, "a single lost call shows nothing")
	commands := silent()
	assert.Equal(t, len(commands), 1)
	assert.DeepEqual(t, commands[0].RecordCheckpoints, &anvilwork.RecordCheckpoints{Runs: []anvilwork.RunCheckpoint{{Task: taskA, Run: 1, Checkpoint: "saved"}}})
	assert.Equal(t, len(silent()), 0)
	w.tracker.CommitFailed()
	assert.Equal(t, len(silent()), 1)
}

// TestUnreadableCheckpoint guards against losing a checkpoint to a row that names the run only.
func TestUnreadableCheckpoint(t *testing.T) {
	w := newWorld(t)
	w.listCheckpoint("saved")
	w.answerPoll(w.takePoll(), 1, []Running{{Task: taskA, Run: 1}})
	answer := w.failedPoll(Answer{})
	answer.FromOtherIncarnation = true
	w.apply(w.tracker.HandlePollAnswer(w.now, answer).Commands...)
	assert.Equal(t, w.recordedCheckpoint(), "saved")
}
