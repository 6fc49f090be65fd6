package anvilwork

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
)

// TestSequenceOutOfRange guards against an announcement of a broken writer whose sequence number no target can
// reach, so that all announcements of the target itself count as older.
func TestSequenceOutOfRange(t *testing.T) {
	target := Target{ID: "t", Incarnation: 1, Service: "s", Address: "10.0.0.1:80"}
	for _, sequence := range []uint64{0, 1, maxSequence} {
		target.Sequence = sequence
		assert.NilError(t, target.Check())
	}
	for _, sequence := range []uint64{maxSequence + 1, math.MaxInt64, math.MaxUint64} {
		target.Sequence = sequence
		assert.ErrorIs(t, target.Check(), ErrTarget)
	}
}

// TestForeignRecord guards against a target that is never used, because another writer announced a later
// incarnation of an unknown service before there was a configuration.
func TestForeignRecord(t *testing.T) {
	state := New()
	announce := func(target Target) Result {
		return state.Apply(1, Batch{Commands: []Command{{Announce: &Announce{Target: target}}}})[0]
	}
	own := Target{ID: "t", Incarnation: 1, Service: "s", Address: "127.0.0.1:1", Sequence: 9}
	assert.Equal(t, announce(Target{ID: "t", Incarnation: 2, Service: "odd", Address: "127.0.0.1:1", Sequence: 1}), Applied)
	assert.Equal(t, announce(own), Unchanged, "nothing tells yet which one is foreign")
	state.Apply(1, Batch{Commands: []Command{{Configure: &Config{Version: 1, Services: []Service{{Name: "s"}}}}}})
	assert.Equal(t, announce(own), Applied)
	record, _ := state.Target("t")
	assert.Equal(t, record.Incarnation, Incarnation(1))
	assert.Equal(t, announce(Target{ID: "t", Incarnation: 2, Service: "s", Address: "127.0.0.1:1"}), Applied)
	assert.Equal(t, announce(own), Unchanged)
}

// TestCountWaiting guards against a job that isn't counted as waiting because its tasks were placed, though no target
// has begun one, and against one that is counted after it has begun.
func TestCountWaiting(t *testing.T) {
	state, begun := New(), map[anvilid.JobID]bool{}
	apply := func(command Command) {
		assert.Equal(t, state.Apply(1, Batch{Commands: []Command{command}})[0], Applied)
	}
	waiting := func() int {
		return state.CountWaiting("q", 1, func(job anvilid.JobID) bool { return begun[job] })
	}
	apply(Command{Announce: &Announce{Target: Target{ID: "t", Incarnation: 1, Service: "s", Address: "127.0.0.1:1"}}})
	apply(Command{Submit: &Submit{Job: "j", Queue: "q", Policy: QueuePolicy{Service: "s", Attempts: 9}, Spec: Spec{Steps: []Step{{Count: 2}}}}})
	assert.Equal(t, waiting(), 1)
	task := Task{Job: "j"}
	apply(Command{Place: &Place{Assignments: []Assignment{{Task: task, Run: 1, Target: "t", Incarnation: 1}}}})
	assert.Equal(t, waiting(), 1, "it is placed only")
	begun["j"] = true
	assert.Equal(t, waiting(), 0)
	begun["j"] = false // at the next leader
	end := RunEnd{Number: 1, Task: task, Run: 1, Outcome: RunFailed}
	apply(Command{RecordRunEnds: &RecordRunEnds{Target: "t", Incarnation: 1, Ends: []RunEnd{end}}})
	assert.Equal(t, waiting(), 0, "a run has ended")
}
