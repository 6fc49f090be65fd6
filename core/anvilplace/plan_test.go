package anvilplace

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
)

// The random tests use a fixed seed, so that CI gives the same result each time. -rapid.seed on the
// command line overrides it.
var _, _ = flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true")

// TestLeastLoss guards against evicting a whole gang, or work without a checkpoint, for an urgent
// job in a full system where another run frees the same resources and has less to lose.
func TestLeastLoss(t *testing.T) {
	w := newTestCluster(t, 2, 2, 8)
	w.submit("gang", "common", "b", anvilwork.Step{Count: 2, Need: gpus(8), Gang: true, PreferOneRack: true})
	w.plan()
	w.submit("old", "common", "b", anvilwork.Step{Count: 1, Need: gpus(8)})
	w.plan()
	w.now += 5000
	w.submit("saves", "common", "b", anvilwork.Step{Count: 1, Need: gpus(8), Checkpoints: true})
	w.plan()
	w.now += 5000
	w.submit("u", "urgent", "a", anvilwork.Step{Count: 1, Need: gpus(8)})
	assert.DeepEqual(t, evicted(w.plan()), []anvilid.JobID{"saves"})
}

// TestTightJobsAreSpared guards against evicting a run whose job would then miss its deadline, when
// evicting a run whose job has time to spare would lose only somewhat more work.
func TestTightJobsAreSpared(t *testing.T) {
	w := newTestCluster(t, 1, 2, 8)
	slack := anvilwork.Step{Count: 1, Need: gpus(8), Estimate: 60_000}
	w.submit("slack", "common", "b", slack)
	w.plan()
	w.now += 4000
	w.submit("tight", "common", "b", anvilwork.Step{Count: 1, Need: gpus(8), Estimate: 4000})
	w.plan()
	w.now += 11_000
	w.submit("u", "urgent", "a", anvilwork.Step{Count: 1, Need: gpus(8)})
	assert.DeepEqual(t, evicted(w.plan()), []anvilid.JobID{"slack"})
}

// TestChains guards against a wrong estimate of the run time of the steps that depend on a step.
func TestChains(t *testing.T) {
	job := &anvilwork.Job{Spec: anvilwork.Spec{Steps: []anvilwork.Step{
		{Estimate: 1000}, {Estimate: 500, After: []int{0}}, {Estimate: 700}, {Estimate: 200, After: []int{1, 2}},
	}}}
	assert.DeepEqual(t, chainsFrom(job), []anvilclock.Millis{1700, 700, 900, 200})
	assert.Equal(t, longestOf(chainsFrom(job)), anvilclock.Millis(1700))
}

// TestUrgentJobWaitsWithinDeadline guards against evicting a run for an urgent job that would meet its deadline even if
// it waited for a run that ends by itself.
func TestUrgentJobWaitsWithinDeadline(t *testing.T) {
	w := newTestCluster(t, 1, 1, 8)
	w.submit("c", "common", "b", anvilwork.Step{Count: 1, Need: gpus(8)})
	w.plan()
	w.submit("u", "urgent", "a", anvilwork.Step{Count: 1, Need: gpus(8), Estimate: 5000})
	assert.Equal(t, len(w.plan().Evictions), 0)
	// The deadline is 300 ms + 1.5 * 5000 ms after the submission. Subtract the estimate of 5000 ms, a
	// fifth of it for its error (estimateError), and stopLatency.
	w.now += 300 + 2500 - 1000 - stopLatency - 1
	assert.Equal(t, len(w.plan().Evictions), 0)
	w.now++
	assert.Equal(t, len(w.plan().Evictions), 1)
}

// TestFreedResourcesStayClaimed guards against placing other jobs on resources that were freed for an
// urgent gang. The evicted runs end one after the other, so the first resources are free for some
// time before the gang fits.
func TestFreedResourcesStayClaimed(t *testing.T) {
	w := newTestCluster(t, 1, 2, 16)
	w.submit("c", "common", "b", anvilwork.Step{Count: 2, Need: gpus(8)})
	w.plan()
	w.submit("u", "urgent", "a", anvilwork.Step{Count: 2, Need: gpus(8), Gang: true, PreferOneRack: true})
	w.now += maxReclaimWait
	assert.Equal(t, len(w.plan().Evictions), 2)
	w.submit("d", "common", "b", anvilwork.Step{Count: 8, Need: gpus(1)})
	w.end(anvilwork.Task{Job: "c"}, anvilwork.RunStopped)
	w.plan()
	assert.Equal(t, len(w.assigned("c"))+len(w.assigned("d")), 1, "only the run that is still stopping holds accelerators")
	w.endStopping()
	w.plan()
	assert.Equal(t, len(w.assigned("u")), 2)
}

// TestClearedTargetTurnsSlow covers a target that seems slow while runs on it are being stopped for
// an urgent gang. It guards against stopping further runs elsewhere, and against giving the freed
// resources to other jobs.
func TestClearedTargetTurnsSlow(t *testing.T) {
	w := newTestCluster(t, 1, 3, 16)
	w.submit("c", "common", "b", anvilwork.Step{Count: 3, Need: gpus(8)})
	w.plan()
	w.submit("u", "urgent", "a", anvilwork.Step{Count: 2, Need: gpus(8), Gang: true, PreferOneRack: true})
	w.submit("d", "common", "b", anvilwork.Step{Count: 8, Need: gpus(1)})
	w.now += maxReclaimWait
	evicted := w.plan().Evictions
	assert.Equal(t, len(evicted), 2)
	w.slow[evicted[0].Target] = true
	assert.Equal(t, len(w.plan().Evictions), 0)
	w.endStopping()
	w.plan()
	assert.Equal(t, len(w.assigned("u")), 2)
	assert.Equal(t, len(w.assigned("d")), 0)
}

// TestGuarantee guards against urgent work beyond a guarantee that prevents an account from using
// its own guarantee, and against evicting runs that are within a guarantee.
func TestGuarantee(t *testing.T) {
	w := newTestCluster(t, 1, 2, 8)
	w.submit("mine", "urgent", "a", anvilwork.Step{Count: 1, Need: gpus(8)})
	w.submit("beyond", "urgent", "b", anvilwork.Step{Count: 1, Need: gpus(8)})
	w.plan()
	w.submit("more", "urgent", "b", anvilwork.Step{Count: 1, Need: gpus(8)})
	w.now += 2 * maxReclaimWait
	assert.Equal(t, len(w.plan().Evictions), 0, "account b has no guarantee")
	w.end(anvilwork.Task{Job: "mine"}, anvilwork.RunDone)
	w.plan()
	assert.Equal(t, len(w.assigned("more")), 1)
	w.submit("again", "urgent", "a", anvilwork.Step{Count: 1, Need: gpus(8)})
	w.now += 2 * maxReclaimWait
	assert.Equal(t, len(w.plan().Evictions), 1, "account a reclaims its guarantee")
}

// TestGangPrefersOneRack guards against spreading a gang over several racks when one rack could hold it, and
// against waiting forever for a rack when no rack is large enough.
func TestGangPrefersOneRack(t *testing.T) {
	w := newTestCluster(t, 2, 2, 0)
	w.submit("c", "common", "b", anvilwork.Step{Count: 3, Need: gpus(8)})
	w.plan()
	w.end(anvilwork.Task{Job: "c"}, anvilwork.RunDone)
	w.submit("pair", "common", "b", anvilwork.Step{Count: 2, Need: gpus(8), Gang: true, PreferOneRack: true})
	w.plan()
	assert.Equal(t, len(w.assigned("pair")), 0, "two targets are free, in two racks")
	w.end(anvilwork.Task{Job: "c", Index: 1}, anvilwork.RunDone)
	w.plan()
	pair := w.assigned("pair")
	assert.Equal(t, len(pair), 2)
	assert.Equal(t, pair[0][:2], pair[1][:2])

	wide := newTestCluster(t, 2, 2, 0)
	wide.submit("wide", "common", "b", anvilwork.Step{Count: 3, Need: gpus(8), Gang: true, PreferOneRack: true})
	wide.plan()
	assert.Equal(t, len(wide.assigned("wide")), 3)
}

// TestRules guards against placing a task on a target without the required label, or more tasks of
// a step on one target than allowed.
func TestRules(t *testing.T) {
	w := newTestCluster(t, 1, 2, 0)
	w.submit("spread", "common", "b", anvilwork.Step{Count: 5, Need: gpus(1), MaxPerTarget: 2})
	w.submit("label", "common", "b", anvilwork.Step{Count: 1, Need: gpus(1), Label: "y"})
	w.submit("fits", "common", "b", anvilwork.Step{Count: 1, Need: gpus(1), Label: "x"})
	w.plan()
	assert.Equal(t, len(w.assigned("spread")), 4)
	assert.Equal(t, len(w.assigned("label")), 0)
	assert.Equal(t, len(w.assigned("fits")), 1)
}

// TestInvariants runs random sequences of events and checks after each call of Plan that the runs on
// each target fit its resources, that all members of a gang are placed together, and that no run
// within a guarantee is evicted.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newTestCluster(r, 2, 3, 16)
		for i := range rapid.IntRange(5, 40).Draw(r, "events") {
			w.now += anvilclock.Millis(rapid.IntRange(0, 800).Draw(r, "pause"))
			switch rapid.IntRange(0, 2).Draw(r, "event") {
			case 0:
				w.randomJob(r, i)
			case 1:
				w.endStopping()
			case 2:
				w.endRandomRuns(r)
			}
			w.checkDecision(w.plan())
		}
	})
}

func (w *testCluster) randomJob(r *rapid.T, i int) {
	queue := rapid.SampledFrom([]anvilwork.QueueName{"urgent", "common"}).Draw(r, "queue")
	account := rapid.SampledFrom([]anvilid.AccountID{"a", "b"}).Draw(r, "account")
	gang := rapid.Bool().Draw(r, "gang")
	w.submit(anvilid.JobID(fmt.Sprintf("j%d", i)), queue, account, anvilwork.Step{
		Count: rapid.IntRange(1, 6).Draw(r, "count"), Need: gpus(rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(r, "gpus")),
		Gang: gang, PreferOneRack: gang && rapid.Bool().Draw(r, "tight"), Checkpoints: rapid.Bool().Draw(r, "saves"),
		Estimate: anvilclock.Millis(rapid.IntRange(100, 9000).Draw(r, "estimate")),
	})
}

// endRandomRuns ends all runs of randomly chosen jobs, so that members of a gang end together.
func (w *testCluster) endRandomRuns(r *rapid.T) {
	for _, job := range slices.Clone(w.state.Active()) {
		if !rapid.Bool().Draw(r, "ends") {
			continue
		}
		for i := range job.Occurrences[0].Tasks[0] {
			if job.Occurrences[0].Tasks[0][i].Phase == anvilwork.TaskAssigned {
				w.end(anvilwork.Task{Job: job.ID, Index: i}, anvilwork.RunDone)
			}
		}
	}
}

func (w *testCluster) checkDecision(decision Decision) {
	for _, e := range decision.Evictions {
		job, ok := w.state.Job(e.Task.Job)
		assert.Assert(w.t, ok)
		if w.state.PolicyOf(job).Priority > 0 {
			continue
		}
		account, _ := w.state.Account(job.Account)
		var used anvilid.AcceleratorCount
		for _, other := range w.state.Active() {
			if other.Account == job.Account && w.state.PolicyOf(other).Priority == 0 {
				used += demand(other)
			}
		}
		assert.Assert(w.t, used > account.Guaranteed, "a run within a guarantee is evicted")
	}
	for _, job := range w.state.Active() {
		step := job.Spec.Steps[0]
		assigned := 0
		for _, state := range job.Occurrences[0].Tasks[0] {
			if state.Phase == anvilwork.TaskAssigned {
				assigned++
			}
		}
		assert.Assert(w.t, !step.Gang || assigned == 0 || assigned == step.Count || len(w.state.RunsToStop()) > 0,
			"%d of %d members of %s are assigned", assigned, step.Count, job.ID)
	}
}

// TestBeyondGuarantee guards against urgent jobs beyond the guarantee of their account that evict
// more work than they will do themselves. They may still evict runs that have only just begun.
func TestBeyondGuarantee(t *testing.T) {
	for _, c := range []struct {
		name string
		age  anvilclock.Millis
		want int
	}{{"new work", 1900, 1}, {"old work", 2100, 0}} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t, 1, 1, 0)
			w.submit("c", "common", "b", anvilwork.Step{Count: 1, Need: gpus(8)})
			w.plan()
			w.now += c.age - maxReclaimWait
			w.submit("u", "urgent", "b", anvilwork.Step{Count: 1, Need: gpus(8), Estimate: 2000})
			w.now += maxReclaimWait
			assert.Equal(t, len(w.plan().Evictions), c.want)
		})
	}
}

// TestSlowTargets covers targets that turn slow for some seconds, which slows down a whole gang to
// its slowest member. It guards against placing tasks there, and against leaving a gang that would
// end earlier elsewhere.
func TestSlowTargets(t *testing.T) {
	w := newTestCluster(t, 2, 2, 0)
	w.slow["r0-00"] = true
	w.submit("g", "common", "b", anvilwork.Step{Count: 2, Need: gpus(8), Gang: true, PreferOneRack: true})
	w.plan()
	assert.DeepEqual(t, w.assigned("g"), []anvilid.TargetID{"r1-00", "r1-01"})

	// Target r1-01 turns slow: its task has reached 45%, of which the latest 5% took 1 s.
	w.slow = map[anvilid.TargetID]bool{"r1-01": true}
	first, second := anvilwork.Task{Job: "g"}, anvilwork.Task{Job: "g", Index: 1}
	w.progress[first] = anvilspeed.Progress{Percent: 80, Rate: 0.04, BestRate: 0.04}
	w.progress[second] = anvilspeed.Progress{Percent: 45, Rate: 0.005, BestRate: 0.04}
	// 45% take 1125 ms on a target that isn't slow, and are lost by a move. The gang has lost as much time
	// as the move costs when it has taken this time twice, and stopLatency.
	w.now += 2*1125 + stopLatency - 1
	assert.Equal(t, len(w.plan().Evictions), 0, "the target may be as fast as before at any moment")
	w.now++
	assert.DeepEqual(t, evicted(w.plan()), []anvilid.JobID{"g"})
	w.endStopping()
	w.plan()
	assert.DeepEqual(t, w.assigned("g"), []anvilid.TargetID{"r0-00", "r0-01"})
}

// TestNearlyDone guards against moving a slow run that will end sooner where it is than after a restart
// elsewhere.
func TestNearlyDone(t *testing.T) {
	w := newTestCluster(t, 1, 2, 0)
	w.submit("x", "common", "b", anvilwork.Step{Count: 1, Need: gpus(8)})
	w.plan()
	w.progress[anvilwork.Task{Job: "x"}] = anvilspeed.Progress{Percent: 90, Rate: 0.005, BestRate: 0.04}
	assert.Equal(t, len(w.plan().Evictions), 0)
}

// TestStandstill guards against runs that never end because they make no progress on their target, and
// against moving a task again and again that makes no progress on any target.
func TestStandstill(t *testing.T) {
	w := newTestCluster(t, 1, 3, 0)
	w.submit("x", "common", "b", anvilwork.Step{Count: 1, Need: gpus(8)})
	w.plan()
	task := anvilwork.Task{Job: "x"}
	moves := 0
	for range 6 {
		w.progress[task] = anvilspeed.Progress{StalledFor: standstillTimeout}
		moves += len(w.plan().Evictions)
		w.endStopping()
		w.plan()
	}
	assert.Equal(t, moves, unmovableFromRun-1)
}

// TestStable guards against calls of Plan that evict runs for a job again while the runs that were
// evicted for the job before are still stopping. The eviction for a job may come in a later call than
// the first after its submission, when other jobs have made it cheaper, but there must be only one.
func TestStable(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newTestCluster(r, 2, 4, 64)
		served := map[anvilid.JobID]bool{}
		plan := func() {
			jobs := map[anvilid.JobID]bool{}
			for _, e := range w.plan().Evictions {
				assert.Assert(r, !served[e.Preemptor], "runs are evicted for %s a second time", e.Preemptor)
				jobs[e.Preemptor] = true
			}
			maps.Copy(served, jobs)
		}
		for i := range rapid.IntRange(3, 25).Draw(r, "jobs") {
			w.now += anvilclock.Millis(rapid.IntRange(0, 300).Draw(r, "pause"))
			w.randomJob(r, i)
			plan()
		}
		w.now += maxReclaimWait
		plan()
		plan()
	})
}

// TestHeldBack guards against long jobs that fill the system between two bursts of urgent jobs. Jobs
// that aren't urgent must leave Input.Reserve accelerators free, until they would miss their deadline.
func TestHeldBack(t *testing.T) {
	w := newTestCluster(t, 4, 2, 0)
	w.reserve = 16
	w.submit("long", "common", "b", anvilwork.Step{Count: 64, Need: gpus(1), Estimate: 20_000})
	w.plan()
	assert.Equal(t, len(w.assigned("long")), 48)
	w.submit("u", "urgent", "a", anvilwork.Step{Count: 2, Need: gpus(8), Gang: true, PreferOneRack: true})
	assert.Equal(t, len(w.plan().Evictions), 0)
	assert.DeepEqual(t, w.assigned("u"), []anvilid.TargetID{"r3-00", "r3-01"})
	for i := range 2 {
		w.end(anvilwork.Task{Job: "u", Index: i}, anvilwork.RunDone)
	}
	w.plan()
	assert.Equal(t, len(w.assigned("long")), 48)
	w.now += 3000 + 3*20_000 - 26_000 - startMargin // the latest start that meets the deadline
	w.plan()
	assert.Equal(t, len(w.assigned("long")), 64)
}

// TestDemand guards against accelerators that are still kept free for urgent jobs a minute after the
// last one, and against using them for other jobs after one moment without urgent jobs.
func TestDemand(t *testing.T) {
	var d Demand
	for now := anvilclock.Millis(0); now <= 30_000; now += 100 {
		d.Observe(now, 50)
	}
	assert.Assert(t, d.Reserve() > 80, "%d", d.Reserve())
	d.Observe(30_100, 0)
	assert.Assert(t, d.Reserve() > 80, "%d", d.Reserve())
	for now := anvilclock.Millis(30_200); now <= 90_000; now += 100 {
		d.Observe(now, 0)
	}
	assert.Equal(t, d.Reserve(), anvilid.AcceleratorCount(0))
}

// TestFailedElsewhere guards against placing a task again on a target on which it has failed. A target
// that fails all tasks quickly always has free resources and would attract them.
func TestFailedElsewhere(t *testing.T) {
	w := newTestCluster(t, 1, 2, 0)
	w.submit("x", "common", "b", anvilwork.Step{Count: 1, Need: gpus(8)})
	w.plan()
	first := w.assigned("x")[0]
	w.end(anvilwork.Task{Job: "x"}, anvilwork.RunFailed)
	w.failed = map[anvilid.TargetID]int{first: 1}
	w.plan()
	assert.Assert(t, w.assigned("x")[0] != first)
}

// TestTwoTasksOfOneStep guards against an urgent job for which two tasks of a step are stopped at the same time, of
// which one may be unavailable.
func TestTwoTasksOfOneStep(t *testing.T) {
	for name, size := range map[string]int{"on two targets": 8, "on one target": 4} {
		t.Run(name, func(t *testing.T) {
			w := newTestCluster(t, 1, 4, 16)
			w.submit("batch", "common", "b", anvilwork.Step{Count: 2, Need: gpus(8), Estimate: 60_000})
			w.plan()
			w.now += 10_000
			w.submit("lasting", "common", "b", anvilwork.Step{Count: 16 / size, Need: gpus(size), LongRunning: true, MaxUnavailable: 1, Estimate: 60_000})
			w.plan()
			w.now += 10_000
			w.submit("urgent", "urgent", "a", anvilwork.Step{Count: 2, Need: gpus(8)})
			stopped := 0
			for range 20 {
				w.now += 100
				for _, e := range w.plan().Evictions {
					if e.Task.Job == "lasting" {
						stopped++
					}
				}
			}
			assert.Assert(t, stopped <= 1, "%d tasks of the step are stopped at a time", stopped)
		})
	}
}
