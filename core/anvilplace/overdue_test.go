package anvilplace

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anviladvice"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// longestWait is how long a job may wait beside spare room. It must be clearly below the 3 s for which a job that could
// run may stand still.
const longestWait = 2200 * anvilclock.Millisecond

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

// newClusterWithRoom returns a cluster of four racks with two targets each, and a guarantee of 16 accelerators. Runs that
// take long occupy a number of targets of the first racks, and all accelerators of the others are free.
func newClusterWithRoom(t assert.TestingT, busy int) *testCluster {
	w := newTestCluster(t, 4, 2, 16)
	w.submit("busy", "common", "b", anvilwork.Step{Count: busy, Need: gpus(8), Estimate: 600_000})
	w.plan()
	assert.Equal(t, len(w.assigned("busy")), busy)
	return w
}

// TestWaitBesideReservedTargets guards against a job that waits until its latest start beside targets that are reserved
// for urgent jobs, although there is room for it twice. An urgent job must still get its guarantee in time afterwards.
func TestWaitBesideReservedTargets(t *testing.T) {
	for name, step := range map[string]anvilwork.Step{
		"a task":                     {Count: 1, Need: gpus(8)},
		"a gang":                     {Count: 4, Need: gpus(2), Gang: true},
		"a gang that needs one rack": {Count: 8, Need: gpus(1), Gang: true, PreferOneRack: true},
		"a task that lasts":          {Count: 1, Need: gpus(4), LongRunning: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newClusterWithRoom(t, 6)
			w.reserve = 16
			step.Estimate = 20_000
			w.submit("waits", "common", "b", step)
			wait := w.waitFor("waits", step.Count)
			assert.Assert(t, wait <= longestWait, "the job waits for %d ms", wait)

			w.submit("u", "urgent", "a", anvilwork.Step{Count: 2, Need: gpus(8), Gang: true, PreferOneRack: true})
			assert.DeepEqual(t, evicted(w.plan()), []anvilid.JobID{"waits"})
			w.endStopping()
			w.plan()
			assert.Equal(t, len(w.assigned("u")), 2)
		})
	}
}

// TestSpreadOverReservedTargets guards against a gang that prefers one rack and waits without a bound, because it fits
// into no rack and the targets without precautions have no room for it in several.
func TestSpreadOverReservedTargets(t *testing.T) {
	w := newClusterWithRoom(t, 2)
	w.reserve = 32
	for _, rack := range []anvilid.RackName{"r1", "r2", "r3"} {
		w.submit("lasts-"+anvilid.JobID(rack), "urgent", "a", anvilwork.Step{Count: 1, Need: gpus(4), LongRunning: true, PreferredRack: rack})
	}
	w.plan()
	w.submit("waits", "common", "b", anvilwork.Step{Count: 16, Need: gpus(1), Gang: true, PreferOneRack: true, Estimate: 20_000})
	wait := w.waitFor("waits", 16)
	assert.Assert(t, wait <= longestWait, "the job waits for %d ms", wait)
}

// TestReserveIsKept guards against jobs that use up the targets that are reserved for urgent jobs although they
// needn't: because some of their tasks are at work, or because there is room for them only once.
func TestReserveIsKept(t *testing.T) {
	for name, c := range map[string]struct {
		step anvilwork.Step
		want int
	}{
		"one task is enough":          {anvilwork.Step{Count: 20, Need: gpus(1)}, 1},
		"room for one task":           {anvilwork.Step{Count: 1, Need: gpus(8), Label: "only"}, 0},
		"room for one gang":           {anvilwork.Step{Count: 9, Need: gpus(1), Gang: true}, 0},
		"tasks that last, room twice": {anvilwork.Step{Count: 20, Need: gpus(1), LongRunning: true}, 15},
	} {
		t.Run(name, func(t *testing.T) {
			w := newClusterWithRoom(t, 6)
			w.reserve = 16
			if c.step.Label != "" {
				target, _ := w.state.Target("r3-01")
				labelled := *target
				labelled.Labels = []string{c.step.Label}
				w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: labelled}})
			}
			c.step.Estimate = 20_000
			w.submit("waits", "common", "b", c.step)
			for range 100 {
				w.now += 100
				w.plan()
			}
			assert.Equal(t, len(w.assigned("waits")), c.want)
		})
	}
}

// newClusterWithClaim returns a cluster in which the only targets with free accelerators are claimed for a gang. The
// run there has exceeded its estimate, but doesn't end.
func newClusterWithClaim(t assert.TestingT) *testCluster {
	w := newClusterWithRoom(t, 6)
	w.submit("exceeds", "common", "b", anvilwork.Step{Count: 1, Need: gpus(1), Estimate: 1000})
	w.plan()
	w.submit("claims", "common", "b", anvilwork.Step{Count: 2, Need: gpus(8), Gang: true, PreferOneRack: true})
	w.now += gangClaimDelay
	w.plan()
	assert.Equal(t, len(w.claimed), 2)
	return w
}

// TestWaitBesideClaimedTargets guards against a job that waits without end beside targets that are claimed for a gang,
// because a run there has exceeded its estimate and is expected to end at any moment.
func TestWaitBesideClaimedTargets(t *testing.T) {
	for name, step := range map[string]anvilwork.Step{
		"a task":            {Count: 1, Need: gpus(4)},
		"a gang":            {Count: 2, Need: gpus(2), Gang: true},
		"a task that lasts": {Count: 1, Need: gpus(1), LongRunning: true},
		"an urgent task":    {Count: 1, Need: gpus(4)},
	} {
		t.Run(name, func(t *testing.T) {
			w := newClusterWithClaim(t)
			queue := anvilwork.QueueName("common")
			if name == "an urgent task" {
				queue = "urgent"
			}
			w.submit("waits", queue, "b", step)
			wait := w.waitFor("waits", step.Count)
			assert.Assert(t, wait <= longestWait, "the job waits for %d ms", wait)
		})
	}
}

// TestClaimEndsUnderOverload guards against the same while more jobs wait than fit, so that the claim is kept from a
// stream of small tasks: it must end once the run has exceeded its estimate by the longest horizon.
func TestClaimEndsUnderOverload(t *testing.T) {
	w := newClusterWithClaim(t)
	w.submit("queue", "common", "b", anvilwork.Step{Count: 20, Need: gpus(8)})
	w.submit("waits", "common", "b", anvilwork.Step{Count: 1, Need: gpus(4)})
	wait := w.waitFor("waits", 1)
	assert.Assert(t, wait > longestWait && wait <= gangClaimHorizons[len(gangClaimHorizons)-1], "the job waits for %d ms", wait)
}

// TestWaitBesideSlowTargets guards against a job that waits without end beside slow targets that have room, because
// the others would have room if nothing else ran there.
func TestWaitBesideSlowTargets(t *testing.T) {
	for name, c := range map[string]struct {
		queue anvilwork.QueueName
		step  anvilwork.Step
	}{
		"a task":                     {"common", anvilwork.Step{Count: 1, Need: gpus(8)}},
		"a gang":                     {"common", anvilwork.Step{Count: 2, Need: gpus(4), Gang: true}},
		"a gang that needs one rack": {"common", anvilwork.Step{Count: 2, Need: gpus(4), Gang: true, PreferOneRack: true}},
		"a task that lasts":          {"common", anvilwork.Step{Count: 1, Need: gpus(1), LongRunning: true}},
		"an urgent task":             {"urgent", anvilwork.Step{Count: 1, Need: gpus(4)}},
		"a task that needs tickets":  {"advised", anvilwork.Step{Count: 1, Need: gpus(4)}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newClusterWithRoom(t, 6)
			w.slow = map[anvilid.TargetID]bool{"r3-00": true, "r3-01": true}
			w.submit("waits", c.queue, "b", c.step)
			wait := w.waitFor("waits", c.step.Count)
			assert.Assert(t, wait <= longestWait, "the job waits for %d ms", wait)
			for _, target := range w.assigned("waits") {
				assert.Assert(t, w.slow[target])
			}
		})
	}
}

// TestSlowTargetsComeLast guards against an overdue step that is placed on a slow target although there is room on one
// that is reserved or claimed.
func TestSlowTargetsComeLast(t *testing.T) {
	w := newClusterWithRoom(t, 5)
	w.reserve = 8
	w.slow = map[anvilid.TargetID]bool{"r2-01": true, "r3-01": true}
	w.submit("waits", "common", "b", anvilwork.Step{Count: 1, Need: gpus(8), Estimate: 20_000})
	wait := w.waitFor("waits", 1)
	assert.Assert(t, wait > 0 && wait <= longestWait, "the job waits for %d ms", wait)
	assert.DeepEqual(t, w.assigned("waits"), []anvilid.TargetID{"r3-00"})
}

// TestOverloadSparesSlowTargets guards against a long queue of tasks of which one after the other fails on a target that
// is ejected because it fails all tasks, and idle for that reason.
func TestOverloadSparesSlowTargets(t *testing.T) {
	w := newClusterWithRoom(t, 7)
	w.slow = map[anvilid.TargetID]bool{"r3-01": true}
	for n := range 20 {
		w.submit(anvilid.JobID(fmt.Sprint("waits-", n)), "common", "b", anvilwork.Step{Count: 1, Need: gpus(1)})
	}
	wait := w.waitFor("waits-0", 1)
	assert.Equal(t, wait, anvilclock.Minute)
}

// TestSpareRoomAfterReleasedClaims guards against an overdue task that isn't placed because there was no spare room for
// an equal one earlier in the same call of Plan, although the start of a gang has released its claims since then.
func TestSpareRoomAfterReleasedClaims(t *testing.T) {
	w := newTestCluster(t, 2, 2, 0)
	need := anvilwork.Resources{CPU: testResources.CPU / 8, GPU: 1}
	w.submit("busy", "common", "b", anvilwork.Step{Count: 17, Need: need, Estimate: 600_000})
	w.plan()
	w.reserve = 16
	w.claimed = map[anvilid.TargetID]anvilid.JobID{"r1-00": "gang", "r1-01": "gang"}
	for i, job := range []struct {
		id   anvilid.JobID
		step anvilwork.Step
	}{
		{"before", anvilwork.Step{Count: 1, Need: need}},
		{"gang", anvilwork.Step{Count: 4, Need: need, Gang: true}},
		{"after", anvilwork.Step{Count: 20, Need: need}},
	} {
		job.step.Estimate = 100_000 + anvilclock.Millis(i)
		w.submit(job.id, "common", "b", job.step)
	}
	w.now += maxIdleWait
	w.plan()
	assert.Equal(t, len(w.assigned("before")), 0)
	assert.Equal(t, len(w.assigned("gang")), 4)
	assert.Equal(t, len(w.assigned("after")), 1)
}
