package anvilplace

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
)

// newUnevenCluster returns a cluster whose targets have the speeds 0.6, 1 and 1.6 in turn.
func newUnevenCluster(t assert.TestingT, racks, size int, guaranteed anvilid.AcceleratorCount) *testCluster {
	w := newTestCluster(t, racks, size, guaranteed)
	w.speeds = map[anvilid.TargetID]anvilspeed.Factor{}
	for i, target := range w.state.Targets() {
		w.speeds[target.ID] = []anvilspeed.Factor{0.6, 1, 1.6}[i%3]
	}
	return w
}

// speedsOf returns the different speeds of the targets on which a job runs.
func (w *testCluster) speedsOf(id anvilid.JobID) []anvilspeed.Factor {
	var speeds []anvilspeed.Factor
	for _, target := range w.assigned(id) {
		speeds = append(speeds, w.speeds[target])
	}
	slices.Sort(speeds)
	return slices.Compact(speeds)
}

// TestTierOfStep covers targets of three speeds. It guards against tight gangs with slow members, against patient work
// that takes the fast targets from them, and against free targets that stay idle while tasks wait.
func TestTierOfStep(t *testing.T) {
	for _, c := range []struct {
		name    string
		queue   anvilwork.QueueName
		step    anvilwork.Step
		waited  anvilclock.Millis
		speeds  []anvilspeed.Factor
		running int // tasks of a target each that run already, on the slow targets first
	}{
		{name: "tight gang", queue: "urgent", step: anvilwork.Step{Count: 4, Gang: true}, speeds: []anvilspeed.Factor{1.6}},
		{name: "tight gang that the fast can't hold", queue: "urgent", step: anvilwork.Step{Count: 5, Gang: true}, speeds: []anvilspeed.Factor{1, 1.6}},
		{name: "patient gang that has waited", queue: "common", step: anvilwork.Step{Count: 4, Gang: true}, waited: 5000, speeds: []anvilspeed.Factor{1}},
		{name: "tight gang in one rack", queue: "urgent", step: anvilwork.Step{Count: 3, Gang: true, PreferOneRack: true}, speeds: []anvilspeed.Factor{1, 1.6}},
		{name: "tight gang that has waited", queue: "urgent", step: anvilwork.Step{Count: 2, Gang: true}, waited: 700, speeds: []anvilspeed.Factor{1.6}},
		{name: "tight tasks", queue: "urgent", step: anvilwork.Step{Count: 6}, speeds: []anvilspeed.Factor{1, 1.6}},
		{name: "late on all", queue: "urgent", step: anvilwork.Step{Count: 2, Gang: true}, waited: 9000, speeds: []anvilspeed.Factor{0.6}},
		{name: "patient gang", queue: "common", step: anvilwork.Step{Count: 4, Gang: true}, speeds: []anvilspeed.Factor{0.6}},
		{name: "patient gang that the slow can't hold", queue: "common", step: anvilwork.Step{Count: 5, Gang: true}, speeds: []anvilspeed.Factor{0.6, 1}},
		{name: "patient tasks", queue: "common", step: anvilwork.Step{Count: 3}, speeds: []anvilspeed.Factor{0.6}},
		{name: "patient tasks beside others", queue: "common", step: anvilwork.Step{Count: 3}, running: 4, speeds: []anvilspeed.Factor{1}},
		{name: "more patient tasks than room", queue: "common", step: anvilwork.Step{Count: 20}, speeds: []anvilspeed.Factor{0.6, 1, 1.6}},
		{name: "tight tasks with only the slow free", queue: "urgent", step: anvilwork.Step{Count: 20}, speeds: []anvilspeed.Factor{0.6, 1, 1.6}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newUnevenCluster(t, 2, 6, 0)
			if c.running > 0 {
				w.submit("running", "common", "b", anvilwork.Step{Count: c.running, Need: gpus(8), Estimate: 60_000})
				w.plan()
			}
			c.step.Need = gpus(8)
			w.submit("j", c.queue, "b", c.step)
			w.now += c.waited
			w.plan()
			assert.DeepEqual(t, w.speedsOf("j"), c.speeds)
		})
	}
}

// TestFreeTargetsAreSlow covers a tight gang for which only slow targets are free. It guards against a gang that starts
// late although others can give way for little, against a loss of more work than the gang has to do, and against a wait
// beyond the time within which the guarantee must be served.
func TestFreeTargetsAreSlow(t *testing.T) {
	for _, c := range []struct {
		name    string
		age     anvilclock.Millis // of the runs on the faster targets
		stopped int
		speeds  []anvilspeed.Factor
	}{
		{"new work gives way", 300, 2, []anvilspeed.Factor{1, 1.6}},
		{"old work stays", 5000, 0, []anvilspeed.Factor{0.6}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newUnevenCluster(t, 1, 6, 16)
			w.submit("slow", "common", "b", anvilwork.Step{Count: 2, Need: gpus(8), Estimate: 60_000})
			w.submit("fast", "common", "b", anvilwork.Step{Count: 4, Need: gpus(8), Estimate: 60_000})
			w.plan()
			for i := range 2 {
				w.end(anvilwork.Task{Job: "slow", Index: i}, anvilwork.RunDone)
			}
			w.now += c.age
			w.submit("u", "urgent", "a", anvilwork.Step{Count: 2, Need: gpus(8), Gang: true})
			stopped := 0
			for waited := anvilclock.Millis(0); len(w.assigned("u")) == 0; waited += 100 {
				assert.Assert(t, waited <= maxReclaimWait+stopLatency, "the gang waits for too long")
				stopped += len(w.plan().Evictions)
				w.now += 100
				if waited >= 400 {
					w.endStopping()
				}
			}
			assert.Equal(t, stopped, c.stopped)
			assert.DeepEqual(t, w.speedsOf("u"), c.speeds)
		})
	}
}

// TestSlowTargetsAreNotReserved guards against keeping targets free for urgent jobs that would be late there.
func TestSlowTargetsAreNotReserved(t *testing.T) {
	w := newUnevenCluster(t, 2, 6, 0)
	w.reserve = 48
	w.submit("long", "common", "b", anvilwork.Step{Count: 12, Need: gpus(8), Estimate: 20_000})
	w.plan()
	assert.Equal(t, len(w.assigned("long")), 6)
	w.submit("u", "urgent", "a", anvilwork.Step{Count: 2, Need: gpus(8), Gang: true})
	w.plan()
	assert.DeepEqual(t, w.speedsOf("u"), []anvilspeed.Factor{1.6})
}

// TestRunTimeOnTarget guards against estimates of the time that a run takes which leave out the speed of its target.
func TestRunTimeOnTarget(t *testing.T) {
	w := newUnevenCluster(t, 1, 3, 0)
	w.submit("x", "common", "b", anvilwork.Step{Count: 3, Need: gpus(8), Estimate: 4800})
	w.plan()
	w.now += 600
	p := &planner{
		Input: w.input(), jobs: map[anvilid.JobID]*jobInfo{}, byID: map[anvilid.TargetID]*node{}, rackByName: map[anvilid.RackName]*group{},
		runsByStep: map[anvilwork.StepKey][]runOnNode{}, ownNodes: map[anvilid.JobID]int{},
	}
	p.addNodes()
	var remaining []anvilclock.Millis
	for _, n := range p.all.nodes {
		remaining = append(remaining, p.remainingTime(n.placedRuns[0]))
	}
	assert.DeepEqual(t, remaining, []anvilclock.Millis{7400, 4200, 2400})
}

// TestEqualSpeeds guards against decisions that change although the speeds of targets are unknown, or equal, or differ
// by less than the error of an estimate.
func TestEqualSpeeds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newTestCluster(r, 2, 3, 16)
		w.reserve = anvilid.AcceleratorCount(rapid.IntRange(0, 16).Draw(r, "reserve"))
		for i := range rapid.IntRange(5, 40).Draw(r, "events") {
			w.randomEvent(r, i)
			unknown := w.input()
			unknown.Speed = nil
			want := Plan(unknown)
			for _, speeds := range [][2]anvilspeed.Factor{{1, 1}, {0.6, 0.6}, {0.95, 1.1}} {
				known := w.input()
				known.Speed = func(target *anvilwork.Target) anvilspeed.Factor { return speeds[target.ID[len(target.ID)-1]%2] }
				assert.Assert(r, reflect.DeepEqual(Plan(known), want), "the plan for speeds %v isn't that for unknown speeds", speeds)
			}
			w.plan()
		}
	})
}

// randomEvent lets some time pass and then submits a job or ends runs.
func (w *testCluster) randomEvent(r *rapid.T, i int) {
	w.now += anvilclock.Millis(rapid.IntRange(0, 800).Draw(r, "pause"))
	switch rapid.IntRange(0, 2).Draw(r, "event") {
	case 0:
		w.randomJob(r, i)
	case 1:
		w.endStopping()
	case 2:
		w.endRandomRuns(r)
	}
}

// drawSpeeds gives each target a random speed.
func (w *testCluster) drawSpeeds(r *rapid.T) {
	w.speeds = map[anvilid.TargetID]anvilspeed.Factor{}
	for _, target := range w.state.Targets() {
		w.speeds[target.ID] = rapid.SampledFrom([]anvilspeed.Factor{0, 0.3, 0.6, 0.9, 1, 1.3, 1.6}).Draw(r, "speed")
	}
}

// TestRandomSpeeds guards against decisions that break a guarantee, tear a gang or exceed a capacity at some speeds of
// the targets, and against targets that are idle while single tasks wait that would fit there.
func TestRandomSpeeds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newTestCluster(r, 2, 3, 16)
		for i := range rapid.IntRange(5, 40).Draw(r, "events") {
			w.drawSpeeds(r)
			w.randomEvent(r, i)
			w.checkDecision(w.plan())
			w.checkDecision(w.plan()) // targets whose claim ends during a plan are used by the next
			w.checkNoneIdle()
		}
	})
}

// checkNoneIdle fails if a single task of a job that isn't urgent waits although it fits on a target that isn't claimed.
func (w *testCluster) checkNoneIdle() {
	for _, job := range w.state.Active() {
		step := job.Spec.Steps[0]
		if step.Gang || w.state.PolicyOf(job).Priority == 0 || len(w.assigned(job.ID)) == step.Count {
			continue
		}
		for i := range job.Occurrences[0].Tasks[0] {
			if job.Occurrences[0].Tasks[0][i].Phase != anvilwork.TaskWaiting {
				continue
			}
			for _, target := range w.state.Targets() {
				free := target.Resources.Minus(w.state.Load(target.ID))
				assert.Assert(w.t, w.claimed[target.ID] != "" || free.FitCount(step.Need, 1) == 0,
					"a task of %s waits, but target %s has %v free", job.ID, target.ID, free)
			}
		}
	}
}

// TestGangEndsInTime guards against a gang with a member that makes it late while other targets are free on which it
// ends in time.
func TestGangEndsInTime(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newTestCluster(r, 2, 5, 80)
		w.drawSpeeds(r)
		if busy := rapid.IntRange(0, 8).Draw(r, "busy"); busy > 0 {
			w.submit("busy", "common", "b", anvilwork.Step{Count: busy, Need: gpus(8), Estimate: 60_000})
			w.plan()
		}
		step := anvilwork.Step{
			Count: rapid.IntRange(1, 5).Draw(r, "count"), Need: gpus(8), Gang: true, PreferOneRack: rapid.Bool().Draw(r, "rack"),
			Estimate: anvilclock.Millis(rapid.IntRange(100, 9000).Draw(r, "estimate")),
		}
		queue := rapid.SampledFrom([]anvilwork.QueueName{"urgent", "common"}).Draw(r, "queue")
		room := w.roomInTime(queue, step)
		w.submit("g", queue, "a", step)
		w.plan()
		if room < step.Count {
			return
		}
		assert.Equal(r, len(w.assigned("g")), step.Count)
		for _, target := range w.assigned("g") {
			assert.Assert(r, w.endsInTime(queue, step, target), "a member on %s with speed %v makes the gang late", target, w.speeds[target])
		}
	})
}

// endsInTime reports whether a step that starts now ends by its deadline on a target.
func (w *testCluster) endsInTime(queue anvilwork.QueueName, step anvilwork.Step, target anvilid.TargetID) bool {
	work := float64(step.Estimate) * runtimeSafetyFactor / float64(w.speeds[target].OrOrdinary())
	for _, known := range w.state.Config().Queues {
		if known.Name == queue {
			return work+float64(startDelay) <= float64(known.Policy.DeadlineOffset)+known.Policy.DeadlineFactor*float64(step.Estimate)
		}
	}
	return false
}

// roomInTime returns how many tasks of a target each end in time on the empty targets, or on those of one rack.
func (w *testCluster) roomInTime(queue anvilwork.QueueName, step anvilwork.Step) int {
	rooms := map[anvilid.RackName]int{}
	most := 0
	for _, target := range w.state.Targets() {
		if w.state.Load(target.ID).GPU > 0 || !w.endsInTime(queue, step, target.ID) {
			continue
		}
		rack := target.Rack
		if !step.PreferOneRack {
			rack = ""
		}
		rooms[rack]++
		most = max(most, rooms[rack])
	}
	return most
}

// TestGuaranteeAtAnySpeeds guards against urgent work within a guarantee that starts too late because it waits for
// faster targets.
func TestGuaranteeAtAnySpeeds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newTestCluster(r, 2, 4, 32)
		w.drawSpeeds(r)
		for i := range rapid.IntRange(0, 6).Draw(r, "jobs") {
			w.submit(anvilid.JobID(fmt.Sprint("c", i)), "common", "b", anvilwork.Step{
				Count: rapid.IntRange(1, 4).Draw(r, "count"), Need: gpus(rapid.SampledFrom([]int{4, 8}).Draw(r, "gpus")), Estimate: 20_000,
			})
		}
		w.plan()
		w.now += anvilclock.Millis(rapid.IntRange(0, 8000).Draw(r, "age"))
		w.submit("u", "urgent", "a", anvilwork.Step{
			Count: rapid.IntRange(1, 4).Draw(r, "urgent"), Need: gpus(8), Gang: rapid.Bool().Draw(r, "gang"),
			Estimate: anvilclock.Millis(rapid.IntRange(500, 9000).Draw(r, "estimate")),
		})
		job, _ := w.state.Job("u")
		asked := map[anvilwork.Task]anvilclock.Millis{}
		for len(w.assigned("u")) < job.Spec.Steps[0].Count {
			assert.Assert(r, w.now-job.Accepted <= maxReclaimWait+stopLatency, "%d tasks have started", len(w.assigned("u")))
			for _, e := range w.plan().Evictions {
				asked[e.Task] = w.now
			}
			w.now += 100
			for task, at := range asked {
				if w.now-at >= 800 { // a stop and the commits around it
					w.end(task, anvilwork.RunStopped)
					delete(asked, task)
				}
			}
		}
	})
}
