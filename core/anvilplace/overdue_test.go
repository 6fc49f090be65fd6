package anvilplace

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anviladvice"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// longestWait is how long a job may wait beside spare room. It must be clearly below the 3 s for which a job that
	// could run may stand still.
	longestWait = 2200 * anvilclock.Millisecond
	// onlyLabel is the label of the two targets of the last rack, see newClusterWithLabel.
	onlyLabel = "only"
)

// waitFor plans every 100 ms until a job has a number of runs, and returns how long that took, at most a minute. It
// grants all tickets that are requested.
func (w *testCluster) waitFor(id anvilid.JobID, runs int) anvilclock.Millis {
	began := w.now
	for {
		candidates := w.plan().TicketCandidates
		if len(w.assigned(id)) >= runs || w.now >= began+anvilclock.Minute {
			return w.now - began
		}
		w.grant(candidates)
		w.now += 100
	}
}

// grant gives the planner a ticket for each candidate.
func (w *testCluster) grant(candidates []anviladvice.Candidates) {
	for _, step := range candidates {
		for _, target := range step.Targets {
			if w.tickets == nil {
				w.tickets = map[anvilid.TargetID]anvilwork.Ticket{}
			}
			w.tickets[target.ID] = "ticket"
		}
	}
}

// newClusterWithLabel returns a cluster of four racks with two targets each, of which the last two have a label. Long
// runs occupy a number of the other targets.
func newClusterWithLabel(t assert.TestingT, busy int) *testCluster {
	w := newTestCluster(t, 4, 2, 16)
	for _, id := range []anvilid.TargetID{"r3-00", "r3-01"} {
		target, _ := w.state.Target(id)
		labelled := *target
		labelled.Labels = []string{onlyLabel}
		w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: labelled}})
	}
	if busy > 0 {
		w.submit("busy", "common", "b", anvilwork.Step{Count: busy, Need: wholeTarget, Label: "x", Estimate: 600_000})
		w.plan()
		assert.Equal(t, len(w.assigned("busy")), busy)
	}
	return w
}

// wholeTarget is what occupies a target.
var wholeTarget = testResources

// steps are the kinds of steps that may wait, by name.
var steps = map[string]anvilwork.Step{
	"a task":                     {Count: 1, Need: gpus(4)},
	"a gang":                     {Count: 2, Need: gpus(2), Gang: true},
	"a gang that needs one rack": {Count: 4, Need: gpus(1), Gang: true, PreferOneRack: true},
	"a task that lasts":          {Count: 1, Need: gpus(1), LongRunning: true},
}

// checkWaits fails if a step of any kind waits too long on a cluster.
func checkWaits(t *testing.T, queue anvilwork.QueueName, cluster func(assert.TestingT) *testCluster) {
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			w := cluster(t)
			step.Label, step.Estimate = onlyLabel, 20_000
			w.submit("waits", queue, "b", step)
			wait := w.waitFor("waits", step.Count)
			assert.Assert(t, wait <= longestWait, "the job waits for %d ms", wait)
		})
	}
}

// TestWaitBesideReservedTargets guards against a job that waits until its latest start beside targets that are reserved
// for urgent jobs, although there is room for it twice and most targets are idle (review/8).
func TestWaitBesideReservedTargets(t *testing.T) {
	checkWaits(t, "common", func(t assert.TestingT) *testCluster {
		w := newClusterWithLabel(t, 3)
		w.reserve = 16
		return w
	})
}

// newClusterWithClaim returns a cluster in which the targets with the label are claimed for a gang. The run there has
// exceeded its estimate, but doesn't end.
func newClusterWithClaim(t assert.TestingT) *testCluster {
	w := newClusterWithLabel(t, 0)
	w.submit("exceeds", "common", "b", anvilwork.Step{Count: 1, Need: gpus(1), Label: onlyLabel, Estimate: 1000})
	w.plan()
	w.submit("claims", "common", "b", anvilwork.Step{Count: 2, Need: gpus(8), Label: onlyLabel, Gang: true, PreferOneRack: true})
	w.now += gangClaimDelay
	w.plan()
	assert.Equal(t, len(w.claimed), 2)
	return w
}

// TestWaitBesideClaimedTargets guards against a job that waits without end beside targets that are claimed for a gang,
// because a run there has exceeded its estimate and is expected to end at any moment (review/9).
func TestWaitBesideClaimedTargets(t *testing.T) {
	checkWaits(t, "common", newClusterWithClaim)
}

// TestWaitBesideSlowTargets guards against a job that waits without end beside slow targets that have room, because
// the others would have room if nothing else ran there.
func TestWaitBesideSlowTargets(t *testing.T) {
	for _, queue := range []anvilwork.QueueName{"common", "advised"} {
		checkWaits(t, queue, func(t assert.TestingT) *testCluster {
			w := newClusterWithLabel(t, 2)
			w.submit("lasts", "common", "b", anvilwork.Step{Count: 1, Need: wholeTarget, Label: onlyLabel, Estimate: 600_000})
			w.plan()
			for id := range w.state.Runs("r3-00") {
				assert.Equal(t, id.Job, anvilid.JobID("lasts"))
			}
			w.slow = map[anvilid.TargetID]bool{"r3-01": true}
			return w
		})
	}
}

// TestSlowTargetsComeLast guards against an overdue step that is placed on a slow target although there is room on one
// that is reserved.
func TestSlowTargetsComeLast(t *testing.T) {
	w := newClusterWithLabel(t, 0)
	w.reserve = 16
	w.slow = map[anvilid.TargetID]bool{"r3-00": true}
	w.submit("waits", "common", "b", anvilwork.Step{Count: 1, Need: gpus(4), Label: onlyLabel, Estimate: 20_000})
	wait := w.waitFor("waits", 1)
	assert.Assert(t, wait > 0 && wait <= longestWait, "the job waits for %d ms", wait)
	assert.DeepEqual(t, w.assigned("waits"), []anvilid.TargetID{"r3-01"})
}

// TestPrecautionsAreKept guards against jobs that use up the targets that are kept for others although they needn't: the
// service is busy, some tasks of the job are at work, or there is room for it only once.
func TestPrecautionsAreKept(t *testing.T) {
	for name, c := range map[string]struct {
		busy int
		step anvilwork.Step
		want int
	}{
		"busy service":           {4, anvilwork.Step{Count: 1, Need: gpus(1)}, 0},
		"busy, task that lasts":  {4, anvilwork.Step{Count: 1, Need: gpus(1), LongRunning: true}, 1},
		"one task is enough":     {3, anvilwork.Step{Count: 10, Need: gpus(1)}, 1},
		"room for one gang":      {3, anvilwork.Step{Count: 9, Need: gpus(1), Gang: true}, 0},
		"tasks that last, twice": {2, anvilwork.Step{Count: 20, Need: gpus(1), LongRunning: true}, 15},
	} {
		t.Run(name, func(t *testing.T) {
			w := newClusterWithLabel(t, c.busy)
			w.reserve = 16
			c.step.Label, c.step.Estimate = onlyLabel, 20_000
			w.submit("waits", "common", "b", c.step)
			for range 30 {
				w.now += 100
				w.plan()
			}
			assert.Equal(t, len(w.assigned("waits")), c.want)
		})
	}
}
