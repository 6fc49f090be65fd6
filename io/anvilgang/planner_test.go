package anvilgang

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
)

func plannerState(targets, waiting int) State {
	state := State{Config: anvilconfig.NewSnapshot(1), ShortOnlyTargets: map[anvilid.TargetID]bool{}}
	for i := range targets {
		state.Targets = append(state.Targets, anvilstate.Target{
			ID: anvilid.TargetID(fmt.Sprintf("t-%06d", i)), Incarnation: 1, Service: "planner", Region: "west",
			Zone: anvilid.ZoneName(fmt.Sprint("z", i%11)), Rack: anvilid.RackName(fmt.Sprint("r", i/88)),
			Slots: 8, Connections: 64, Accelerators: 8, Owner: "i1",
		})
	}
	for i := range waiting {
		state.Jobs = append(state.Jobs, anvilstate.Job{
			ID: anvilid.JobID(fmt.Sprintf("j-%06d", i)), Account: anvilid.AccountID(fmt.Sprint("a", i%380)), Service: "planner",
			Accelerators: anvilid.AcceleratorCount(1 << (i % 4)), Within: anvilconfig.WithinWorker,
			State: anvilstate.JobSubmitted, Submitted: anvilid.Index(i + 1),
		})
	}
	return state
}

// applyDecision applies the placements of a decision as the state machine would.
func applyDecision(state *State, decision Decision) {
	placed := map[anvilid.JobID]anvilstate.PlaceJob{}
	for _, command := range decision.Place {
		placed[command.ID] = command
	}
	for i := range state.Jobs {
		if command, ok := placed[state.Jobs[i].ID]; ok {
			state.Jobs[i].State, state.Jobs[i].Members = anvilstate.JobRunning, command.Members
		}
	}
}

// Guards against a new leader whose planner does not know the running jobs and gives their
// accelerators to other jobs. A new planner must restore all placements from the replicated state.
func TestNewPlannerRestoresPlacements(t *testing.T) {
	state := plannerState(11, 30)
	first := NewPlanner()
	decision := first.Step(0, state)
	assert.Assert(t, len(decision.Place) > 10)
	applyDecision(&state, decision)
	again := NewPlanner().Step(0, state)
	assert.Equal(t, len(again.Place), len(first.Step(1, state).Place))
	used := map[string]anvilid.JobID{}
	for _, job := range state.Jobs {
		for _, member := range job.Members {
			for i := range int(member.Accelerators) {
				at := fmt.Sprintf("%s/%d", member.Target, member.FirstAccelerator+i)
				assert.Equal(t, used[at], anvilid.JobID(""), at)
				used[at] = job.ID
			}
		}
	}
}

// BenchmarkStep measures one planning step in a fleet with placed jobs, in which nothing has changed
// since the previous step.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ targets, jobs int }{{96, 100}, {2900, 2200}, {29_000, 22_000}} {
		b.Run(fmt.Sprintf("targets=%d/jobs=%d", size.targets, size.jobs), func(b *testing.B) {
			state := plannerState(size.targets, size.jobs)
			planner := NewPlanner()
			applyDecision(&state, planner.Step(0, state))
			now := anvilclock.Millis(0)
			b.ReportAllocs()
			for b.Loop() {
				now++
				planner.Step(now, state)
			}
		})
	}
}

// TestPreemptionIsRepeated guards against a guaranteed gang that never starts: the victims of its placement were named
// in one step only, so that nothing stopped them any more when that command was lost or refused.
func TestPreemptionIsRepeated(t *testing.T) {
	state := plannerState(1, 8)
	for i := range state.Jobs {
		state.Jobs[i].Accelerators, state.Jobs[i].Account = 1, "borrower"
	}
	planner := NewPlanner()
	applyDecision(&state, planner.Step(0, state))
	state.Config = anvilconfig.NewSnapshot(2,
		anvilconfig.Object{Key: anvilconfig.Key{Kind: anvilconfig.KindShape, Name: "worker"}, Shape: &anvilconfig.Shape{Accelerators: 8, Within: anvilconfig.WithinWorker}},
		anvilconfig.Object{Key: anvilconfig.Key{Kind: anvilconfig.KindGuarantee, Name: "g"}, Guarantee: &anvilconfig.Guarantee{Account: "owner", Service: "planner", Shape: "worker", Count: 1}})
	state.Jobs = append(state.Jobs, anvilstate.Job{
		ID: "storm", Account: "owner", Service: "planner", Accelerators: 8, Within: anvilconfig.WithinWorker, State: anvilstate.JobSubmitted, Submitted: 100,
	})
	first := planner.Step(1, state).Preempt
	assert.Equal(t, len(first), 8)
	assert.DeepEqual(t, planner.Step(2, state).Preempt, first) // the commands were lost
	state.Jobs[0].State = anvilstate.JobStopping
	assert.Equal(t, len(planner.Step(3, state).Preempt), 7)
	state.Jobs = state.Jobs[8:] // all victims have stopped
	decision := planner.Step(4, state)
	assert.Equal(t, len(decision.Preempt), 0)
	assert.Equal(t, len(decision.Place), 1)
}
