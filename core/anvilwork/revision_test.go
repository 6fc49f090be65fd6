package anvilwork

import (
	"flag"
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"anvilshunt/core/anvilid"
)

// The random tests use a fixed seed, so that CI gives the same result each time. -rapid.seed on the
// command line overrides it.
var _, _ = flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true")

// image is a copy of what RevisionOf covers.
type image struct {
	target Target
	runs   map[Task]Run
}

func imagesOf(s *State) map[anvilid.TargetID]image {
	images := map[anvilid.TargetID]image{}
	for _, target := range s.Targets() {
		images[target.ID] = image{*target, maps.Clone(s.Runs(target.ID))}
	}
	return images
}

// drawCommand returns a command that may change targets and their runs.
func drawCommand(t *rapid.T, s *State) Command {
	id := anvilid.TargetID(fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "target")))
	task := Task{Job: "j", Index: rapid.IntRange(0, 3).Draw(t, "task")}
	job, _ := s.Job("j")
	run := job.State(task).Run
	incarnation := Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))
	switch rapid.IntRange(0, 5).Draw(t, "command") {
	case 0:
		return Command{Announce: &Announce{Target: Target{
			ID: id, Incarnation: incarnation, Address: anvilid.Address(fmt.Sprint("a", rapid.IntRange(0, 4).Draw(t, "address"))),
			Leaving: rapid.Bool().Draw(t, "leaving"),
		}}}
	case 1:
		return Command{Leave: &Leave{Target: id, Incarnation: incarnation}}
	case 2:
		return Command{RecordRunEnds: &RecordRunEnds{Target: id, Incarnation: incarnation, Ends: []RunEnd{
			{Number: uint64(rapid.IntRange(1, 50).Draw(t, "number")), Task: task, Run: run, Outcome: RunStopped},
		}}}
	case 3:
		return Command{Unassign: &Unassign{Task: task, Run: run}}
	case 4:
		return Command{ExpireLease: &ExpireLease{Target: id, Incarnation: incarnation, Runs: []Unassign{{Task: task, Run: run}}}}
	}
	return Command{Place: &Place{Assignments: []Assignment{{Task: task, Run: run + 1, Target: id, Incarnation: incarnation}}}}
}

// TestRevisions guards against a reader that looks only at changed targets and overlooks one: a leader
// would then send no start for a run, or none of the orders to a target that was added.
func TestRevisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		s.Apply(1, Batch{Commands: []Command{{Submit: &Submit{
			Job: "j", Policy: QueuePolicy{Attempts: 100}, Spec: Spec{Steps: []Step{{Count: 4}}},
		}}}})
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			before, revisions := imagesOf(s), maps.Clone(s.revisions)
			s.Apply(1, Batch{Commands: []Command{drawCommand(t, s)}})
			after := imagesOf(s)
			for id := range after {
				if fmt.Sprint(before[id]) != fmt.Sprint(after[id]) {
					assert.Assert(t, s.RevisionOf(id) != revisions[id], "target %s has changed and its revision has not", id)
				}
			}
		}
	})
}
