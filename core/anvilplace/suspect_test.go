package anvilplace

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
)

// crash replaces a target by a later incarnation with another id, after the leader has seen its process end.
// All of its runs are suspected.
func (w *testCluster) crash(id anvilid.TargetID) { w.crashSeen(id, true) }

// crashSeen does the same as crash. If the leader hasn't seen the process end, the target may have been cut off
// first.
func (w *testCluster) crashSeen(id anvilid.TargetID, seen bool) {
	target, ok := w.state.Target(id)
	assert.Assert(w.t, ok)
	note := &anvilwork.NoteSilence{Target: id, Incarnation: target.Incarnation, Closed: seen}
	for task, run := range w.state.Runs(id) {
		note.Begun = append(note.Begun, anvilwork.Unassign{Task: task, Run: run})
	}
	w.apply(anvilwork.Command{NoteSilence: note})
	successor := *target
	successor.ID, successor.Incarnation = id+"x", target.Incarnation+1
	w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: successor}})
	w.apply(anvilwork.Command{Leave: &anvilwork.Leave{Target: id, Incarnation: target.Incarnation}})
}

// countEarlierCrash counts an earlier crash for each task of a job, so that the next one makes them suspects.
func (w *testCluster) countEarlierCrash(id anvilid.JobID) {
	job, ok := w.state.Job(id)
	assert.Assert(w.t, ok)
	for i := range job.Occurrences[0].Tasks[0] {
		job.Occurrences[0].Tasks[0][i].Crashes++
	}
}

// place assigns a run of a task to a target.
func (w *testCluster) place(task anvilwork.Task, run anvilwork.Run, id anvilid.TargetID) {
	target, ok := w.state.Target(id)
	assert.Assert(w.t, ok)
	w.apply(anvilwork.Command{Place: &anvilwork.Place{Assignments: []anvilwork.Assignment{
		{Task: task, Run: run, Target: id, Incarnation: target.Incarnation},
	}}})
}

// workFor lets time pass, after which all assigned runs report progress.
func (w *testCluster) workFor(span anvilclock.Millis) {
	w.now += span
	for _, target := range w.state.Targets() {
		for task := range w.state.Runs(target.ID) {
			progress := w.progress[task]
			progress.Percent++
			w.progress[task] = progress
		}
	}
}

func (w *testCluster) crashesOf(id anvilid.JobID) int {
	job, ok := w.state.Job(id)
	assert.Assert(w.t, ok)
	return job.Occurrences[0].Tasks[0][0].Crashes
}

// TestSuspectRunsAlone guards against starting a task that may have crashed a target beside other work, which
// would lose its runs in the next crash and be suspected with it, and against excluding others from its
// target for longer than it takes to clear the task.
func TestSuspectRunsAlone(t *testing.T) {
	w := newTestCluster(t, 1, 3, 8)
	w.submit("c", "common", "b", anvilwork.Step{Count: 2, Need: gpus(1)})
	w.submit("d", "common", "b", anvilwork.Step{Count: 1, Need: gpus(1)})
	w.plan()
	w.countEarlierCrash("c")
	w.countEarlierCrash("d")
	w.now += 500
	w.crash(w.assigned("d")[0])
	assert.Equal(t, w.crashesOf("c"), minIsolatedCrashes)
	w.plan()
	own := w.assigned("d")
	assert.Equal(t, len(own), 1)
	assert.Assert(t, own[0] != w.assigned("c")[0], "suspects of two jobs run on one target")
	assert.Equal(t, w.assigned("c")[0], w.assigned("c")[1], "the suspects of one job may share a target")

	w.submit("u", "urgent", "a", anvilwork.Step{Count: 8, Need: gpus(1)})
	w.submit("e", "common", "b", anvilwork.Step{Count: 1, Need: gpus(1)})
	w.workFor(1000)
	w.plan()
	for _, id := range append(w.assigned("u"), w.assigned("e")...) {
		assert.Assert(t, id != own[0] && id != w.assigned("c")[0], "a run was placed beside a suspect on probation")
	}
	w.workFor(anvilwork.ProvenAfter - 1000)
	w.plan()
	assert.Equal(t, len(w.assigned("u"))+len(w.assigned("e")), 9, "the suspects have worked for long enough")
}

// TestFirstCrashIsolatesNothing guards against isolating each task after its first crash. On days on which
// targets crash by themselves, most of these tasks are innocent, and the targets that are kept free for them
// are lost to all others.
func TestFirstCrashIsolatesNothing(t *testing.T) {
	w := newTestCluster(t, 1, 3, 8)
	w.submit("c", "common", "b", anvilwork.Step{Count: 2, Need: gpus(1)})
	w.submit("d", "common", "b", anvilwork.Step{Count: 1, Need: gpus(1)})
	w.plan()
	w.now += 500
	w.crash(w.assigned("d")[0])
	assert.Equal(t, w.crashesOf("c"), 1)
	w.submit("e", "common", "b", anvilwork.Step{Count: 1, Need: gpus(1)})
	w.plan()
	w.submit("f", "common", "b", anvilwork.Step{Count: 1, Need: gpus(1)})
	w.plan()
	first := w.assigned("c")[0]
	for _, id := range []anvilid.JobID{"c", "d", "e", "f"} {
		for _, target := range w.assigned(id) {
			assert.Equal(t, target, first, "job %s", id)
		}
	}
}

// TestCrashingTaskStartsAtMostFiveTimes guards against a task that crashes each target and whose job is given
// up too late because the planner isolates it too late: three crashes and then at most two more starts are
// allowed. A job that shares its targets must not be given up with it.
func TestCrashingTaskStartsAtMostFiveTimes(t *testing.T) {
	for _, c := range []struct {
		seen      bool
		maxStarts int
	}{{seen: true, maxStarts: 3}, {seen: false, maxStarts: 5}} {
		w := newTestCluster(t, 1, 6, 8)
		w.submit("innocent", "common", "b", anvilwork.Step{Count: 1, Need: gpus(1), Estimate: 600_000})
		w.submit("crashing", "common", "b", anvilwork.Step{Count: 1, Need: gpus(1), Estimate: 600_000})
		starts := 0
		job, _ := w.state.Job("crashing")
		for range 30 {
			w.plan()
			if targets := w.assigned("crashing"); len(targets) == 1 && job.Phase != anvilwork.JobFailed {
				starts++
				w.now += 100
				w.crashSeen(targets[0], c.seen)
			}
			w.workFor(500)
		}
		assert.Equal(t, job.Phase, anvilwork.JobFailed)
		assert.Assert(t, starts <= c.maxStarts, "%d starts", starts)
		other, _ := w.state.Job("innocent")
		assert.Equal(t, other.Phase, anvilwork.JobRunning)
	}
}

// TestSuspectsOfOneJobCrashOneTarget guards against a job with many crashing tasks that crashes many targets at
// the same time.
func TestSuspectsOfOneJobCrashOneTarget(t *testing.T) {
	w := newTestCluster(t, 2, 3, 8)
	w.submit("c", "common", "b", anvilwork.Step{Count: 24, Need: gpus(1)})
	w.plan()
	w.countEarlierCrash("c")
	w.now += 500
	hit := w.assigned("c")
	for _, id := range []anvilid.TargetID{hit[0], hit[8], hit[16]} {
		w.crash(id)
	}
	for range 3 {
		w.plan()
		own := w.assigned("c")
		assert.Equal(t, len(own), 8)
		assert.Equal(t, own[0], own[7])
		w.now += 100
	}
	w.crash(w.assigned("c")[0])
	job, _ := w.state.Job("c")
	assert.Equal(t, job.Phase, anvilwork.JobFailed)
}

// TestSuspectGangRunsAlone guards against starting a gang with a suspect among its members beside other work.
func TestSuspectGangRunsAlone(t *testing.T) {
	w := newTestCluster(t, 1, 4, 8)
	w.submit("g", "common", "b", anvilwork.Step{Count: 2, Need: gpus(5), Gang: true})
	w.plan()
	w.countEarlierCrash("g")
	w.now += 500
	crashed, torn := w.assigned("g")[0], w.assigned("g")[1]
	w.crash(crashed)
	w.submit("d", "common", "b", anvilwork.Step{Count: 1, Need: gpus(1)})
	w.end(anvilwork.Task{Job: "g", Index: 1}, anvilwork.RunGangEnded)
	w.plan()
	members := w.assigned("g")
	assert.Equal(t, len(members), 2, "torn from %s", torn)
	for _, id := range w.assigned("d") {
		assert.Assert(t, id != members[0] && id != members[1])
	}
}

// newBusyCluster returns a cluster of three targets, none of which is empty, and a waiting job "s" that is
// suspected of a crash: job "urgent" runs on r0-01, "soon" on r0-02 for another second, and "long" on r0-03.
func newBusyCluster(t *testing.T) *testCluster {
	w := newTestCluster(t, 1, 4, 32)
	for i, id := range []anvilid.JobID{"s", "urgent", "soon", "long"} {
		queue := anvilwork.QueueName("common")
		if id == "urgent" {
			queue = "urgent"
		}
		w.submit(id, queue, "a", anvilwork.Step{Count: 1, Need: gpus(2), Estimate: map[anvilid.JobID]anvilclock.Millis{"soon": 1500}[id] + 60_000*anvilclock.Millis(i%2)})
		w.apply(anvilwork.Command{Place: &anvilwork.Place{Assignments: []anvilwork.Assignment{
			{Task: anvilwork.Task{Job: id}, Run: 1, Target: anvilid.TargetID(fmt.Sprintf("r0-%02d", i)), Incarnation: 1},
		}}})
	}
	w.now += 500
	w.countEarlierCrash("s")
	w.crash("r0-00")
	w.apply(anvilwork.Command{Leave: &anvilwork.Leave{Target: "r0-00x", Incarnation: 2}})
	return w
}

// TestSuspectClaimsTarget guards against suspects that never find an empty target because other work takes
// each place that becomes free.
func TestSuspectClaimsTarget(t *testing.T) {
	w := newBusyCluster(t)
	w.submit("d", "common", "b", anvilwork.Step{Count: 8, Need: gpus(2)})
	assert.DeepEqual(t, w.plan().Claims, map[anvilid.TargetID]anvilid.JobID{"r0-02": "s"})
	assert.Equal(t, len(w.assigned("d")), 6)
	w.end(anvilwork.Task{Job: "soon"}, anvilwork.RunDone)
	w.plan()
	assert.DeepEqual(t, w.assigned("s"), []anvilid.TargetID{"r0-02"})
	assert.Equal(t, len(w.assigned("d")), 6)
}

// TestSuspectStartsBesideUrgentAtLast guards against a suspect that waits without end because each target has
// an urgent run, and against placing it where more urgent runs are than elsewhere.
func TestSuspectStartsBesideUrgentAtLast(t *testing.T) {
	w := newTestCluster(t, 1, 4, 32)
	for i, id := range []anvilid.JobID{"s", "u1", "u2", "u3"} {
		queue := anvilwork.QueueName("urgent")
		if id == "s" {
			queue = "common"
		}
		count := 2
		if id == "u2" {
			count = 1
		}
		w.submit(id, queue, "a", anvilwork.Step{Count: count, Need: gpus(1), Estimate: 600_000})
		for index := range count {
			w.place(anvilwork.Task{Job: id, Index: index}, 1, anvilid.TargetID(fmt.Sprintf("r0-%02d", i)))
		}
	}
	w.now += 500
	w.countEarlierCrash("s")
	w.crash("r0-00")
	w.apply(anvilwork.Command{Leave: &anvilwork.Leave{Target: "r0-00x", Incarnation: 2}})
	w.workFor(maxAloneWait + maxSpareWait - 1)
	w.plan()
	assert.Equal(t, len(w.assigned("s")), 0, "urgent work is spared at first")
	w.workFor(1)
	w.plan()
	assert.DeepEqual(t, w.assigned("s"), []anvilid.TargetID{"r0-02", "r0-02"})
}

// TestSuspectTasksWaitEach guards against suspects whose wait starts anew whenever another task of the step is
// released, so that their job has nothing running for longer than the 3 s that are allowed.
func TestSuspectTasksWaitEach(t *testing.T) {
	w := newTestCluster(t, 1, 5, 32)
	for i, id := range []anvilid.JobID{"x", "y", "z"} {
		w.submit(id, "common", "a", anvilwork.Step{Count: 1, Need: gpus(2), Estimate: 600_000})
		w.place(anvilwork.Task{Job: id}, 1, anvilid.TargetID(fmt.Sprintf("r0-%02d", i+2)))
	}
	w.submit("s", "common", "a", anvilwork.Step{Count: 2, Need: gpus(2), Estimate: 600_000})
	w.place(anvilwork.Task{Job: "s"}, 1, "r0-00")
	w.place(anvilwork.Task{Job: "s", Index: 1}, 1, "r0-01")
	w.now += 400
	w.countEarlierCrash("s")
	w.crash("r0-00")
	w.apply(anvilwork.Command{Leave: &anvilwork.Leave{Target: "r0-00x", Incarnation: 2}})
	w.workFor(1000)
	w.crash("r0-01")
	w.apply(anvilwork.Command{Leave: &anvilwork.Leave{Target: "r0-01x", Incarnation: 2}})
	w.workFor(maxAloneWait - 1000)
	w.plan()
	assert.Equal(t, len(w.assigned("s")), 1, "the task that has waited for longer")
	assert.Assert(t, maxAloneWait+maxSpareWait < 3*anvilclock.Second)
}

// TestSuspectAvoidsRestartedTargets guards against innocent jobs that are given up because of one bad
// machine: its targets have lost their runs in the last crash, and would attract the next suspect because
// they are empty. If all others are full, the suspects must start there after all.
func TestSuspectAvoidsRestartedTargets(t *testing.T) {
	for _, c := range []struct {
		load int // accelerators in use on each other target
		want []anvilid.TargetID
	}{{load: 6, want: []anvilid.TargetID{"r0-02"}}, {load: 8, want: []anvilid.TargetID{"r0-00x"}}} {
		w := newTestCluster(t, 1, 4, 32)
		for _, id := range []anvilid.TargetID{"r0-00", "r0-01"} {
			target, _ := w.state.Target(id)
			updated := *target
			updated.Sequence, updated.Machine = 1, "bad"
			w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: updated}})
		}
		w.now += 10_000
		w.submit("s", "common", "a", anvilwork.Step{Count: 1, Need: gpus(2), Estimate: 600_000})
		w.submit("x", "common", "a", anvilwork.Step{Count: 2, Need: gpus(c.load), Estimate: 600_000})
		w.place(anvilwork.Task{Job: "s"}, 1, "r0-00")
		w.place(anvilwork.Task{Job: "x"}, 1, "r0-02")
		w.place(anvilwork.Task{Job: "x", Index: 1}, 1, "r0-03")
		w.countEarlierCrash("s")
		w.now += 400
		w.crash("r0-00")
		w.workFor(100)
		w.plan()
		assert.Equal(t, len(w.assigned("s")), 0, "r0-01 and r0-00x are on the machine that has just crashed")
		w.workFor(maxAloneWait)
		w.plan()
		assert.DeepEqual(t, w.assigned("s"), c.want)
	}
}

// TestSuspectClaimsWithoutAccelerators guards against suspects that claim all targets of a deployment without
// accelerators, because only accelerators were counted, and against claims that outlast their wait.
func TestSuspectClaimsWithoutAccelerators(t *testing.T) {
	const half = 10
	w := newTestCluster(t, 1, 2*half, 0)
	for _, target := range w.state.Targets() {
		without := *target
		without.Sequence, without.Resources.GPU = 1, 0
		w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: without}})
	}
	for i := range half {
		suspect, other := anvilid.JobID(fmt.Sprintf("s%02d", i)), anvilid.JobID(fmt.Sprintf("b%02d", i))
		w.submit(suspect, "common", "a", anvilwork.Step{Count: 1, Need: testResources.Minus(gpus(8)), Estimate: 1500})
		w.submit(other, "common", "a", anvilwork.Step{Count: 1, Need: anvilwork.Resources{CPU: 2000}, Estimate: 1500})
		w.place(anvilwork.Task{Job: suspect}, 1, anvilid.TargetID(fmt.Sprintf("r0-%02d", i)))
		w.place(anvilwork.Task{Job: other}, 1, anvilid.TargetID(fmt.Sprintf("r0-%02d", half+i)))
		w.countEarlierCrash(suspect)
	}
	w.now += 500
	for i := range half {
		id := anvilid.TargetID(fmt.Sprintf("r0-%02d", i))
		w.crash(id)
		w.apply(anvilwork.Command{Leave: &anvilwork.Leave{Target: id + "x", Incarnation: 2}})
	}
	const limit = 2 // maxSuspectClaimShare of the targets that are left
	assert.Equal(t, len(w.plan().Claims), limit)
	assert.Equal(t, len(w.plan().Claims), limit, "the claims of the first plan are counted again")
	w.now += maxAloneWait
	assert.Equal(t, len(w.plan().Claims), 0)
}

// TestSuspectPlanCost guards against estimating for each suspect anew when each target will be empty: with
// hundreds of suspects and targets, one plan took 0.2 s. It counts the estimates, not the time.
func TestSuspectPlanCost(t *testing.T) {
	const targets, crashes, runsPerTarget = 20, 5, 4
	w := newTestCluster(t, 1, targets, 0)
	for i := range targets * runsPerTarget {
		id := anvilid.JobID(fmt.Sprintf("j%02d", i))
		w.submit(id, "common", "a", anvilwork.Step{Count: 1, Need: gpus(1), Estimate: 60_000})
		w.place(anvilwork.Task{Job: id}, 1, anvilid.TargetID(fmt.Sprintf("r0-%02d", i/runsPerTarget)))
		w.countEarlierCrash(id)
	}
	w.now += 500
	for i := range crashes {
		id := anvilid.TargetID(fmt.Sprintf("r0-%02d", i))
		w.crash(id)
		w.apply(anvilwork.Command{Leave: &anvilwork.Leave{Target: id + "x", Incarnation: 2}})
	}
	input := w.input()
	estimates, progress := 0, input.Progress
	input.Progress = func(task anvilwork.Task) (anvilspeed.Progress, bool) {
		estimates++
		return progress(task)
	}
	assert.Equal(t, len(Plan(input).Placements), 0, "no target is empty")
	const runs = (targets - crashes) * runsPerTarget
	assert.Assert(t, estimates <= 3*runs, "%d estimates for %d runs", estimates, runs)
}

// TestSuspectJoinsOtherSuspectsAtLast guards against a suspect that waits without end because the only
// targets on which it fits have suspects of other jobs, one after the other.
func TestSuspectJoinsOtherSuspectsAtLast(t *testing.T) {
	w := newTestCluster(t, 1, 1, 0)
	for _, id := range []anvilid.JobID{"c", "d"} {
		w.submit(id, "common", "b", anvilwork.Step{Count: 1, Need: gpus(1), Estimate: 600_000})
		w.place(anvilwork.Task{Job: id}, 1, "r0-00")
		w.countEarlierCrash(id)
	}
	w.now += 500
	w.crash("r0-00")
	w.plan()
	assert.Equal(t, len(w.assigned("c"))+len(w.assigned("d")), 1)
	w.workFor(maxAloneWait + maxSpareWait - 1)
	w.plan()
	assert.Equal(t, len(w.assigned("c"))+len(w.assigned("d")), 1)
	w.workFor(1)
	w.plan()
	assert.Equal(t, len(w.assigned("c"))+len(w.assigned("d")), 2)
}

// TestSuspectWaitIsBounded guards against a suspect that waits for an empty target although it could run, and
// against placing it beside urgent work then.
func TestSuspectWaitIsBounded(t *testing.T) {
	w := newBusyCluster(t)
	w.now += maxAloneWait - 1
	w.plan()
	assert.Equal(t, len(w.assigned("s")), 0)
	w.now++
	w.plan()
	assert.Equal(t, len(w.assigned("s")), 1)
	assert.Assert(t, w.assigned("s")[0] != "r0-01", "urgent work runs there")
}
