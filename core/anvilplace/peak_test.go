package anvilplace

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
)

// peakCluster is a full cluster with a deep queue: large gangs, gangs of urgent jobs and wide sets of small
// tasks run on all targets, and jobs of the same kinds wait.
type peakCluster struct {
	*testCluster
	random *rand.Rand
	speeds *anvilspeed.Monitor
	jobs   int
}

// peakKind is one kind of job of a peakCluster.
type peakKind struct {
	queue    anvilwork.QueueName
	step     anvilwork.Step
	maxCount int
	gpus     []anvilid.AcceleratorCount
	rackOf10 int // how many in ten of the gangs prefer one rack
}

var peakKinds = []peakKind{
	{"common", anvilwork.Step{Need: anvilwork.Resources{CPU: 13000, Memory: 26000}, Gang: true, Estimate: 9400}, 50, []anvilid.AcceleratorCount{1, 2, 4, 8, 8}, 6},
	{"urgent", anvilwork.Step{Need: anvilwork.Resources{CPU: 3700, Memory: 10000}, Gang: true, Estimate: 2100}, 16, []anvilid.AcceleratorCount{1, 2, 4, 8, 8}, 8},
	{"common", anvilwork.Step{Need: anvilwork.Resources{CPU: 2800, Memory: 4100}, Estimate: 8100, Checkpoints: true}, 150, []anvilid.AcceleratorCount{1}, 0},
}

// newPeakCluster returns a cluster with the given number of targets on which jobs run until nothing more
// fits, and with a number of waiting jobs.
func newPeakCluster(t testing.TB, targets, waiting int) *peakCluster {
	const rackSize = 20
	c := &peakCluster{
		testCluster: newTestCluster(t, targets/rackSize, rackSize, anvilid.AcceleratorCount(5*targets)),
		random:      rand.New(rand.NewPCG(20261204, 1)), speeds: anvilspeed.New(),
	}
	for range targets / 4 {
		c.submitRandom()
	}
	c.plan()
	for _, target := range c.state.Targets() {
		for task, run := range c.state.Runs(target.ID) {
			c.speeds.Observe(c.now, target.ID, task, run, 10)
			c.speeds.Observe(c.now+1000, target.ID, task, run, 20+c.random.IntN(3))
		}
	}
	for range waiting {
		c.submitRandom()
	}
	c.now += 2000
	return c
}

func (c *peakCluster) submitRandom() {
	kind := peakKinds[c.random.IntN(len(peakKinds))]
	step := kind.step
	step.Count = 1 + c.random.IntN(kind.maxCount)
	step.Need.GPU = kind.gpus[c.random.IntN(len(kind.gpus))]
	step.PreferOneRack = c.random.IntN(10) < kind.rackOf10
	c.jobs++
	c.submit(anvilid.JobID(fmt.Sprint("job-", c.jobs)), kind.queue, "a", step)
}

// input adds the measured progress of the runs.
func (c *peakCluster) input() Input {
	input := c.testCluster.input()
	input.Progress = func(task anvilwork.Task) (anvilspeed.Progress, bool) {
		return c.speeds.Progress(c.now, task)
	}
	return input
}

// BenchmarkPeak measures one call of Plan under the heaviest load: all targets are full and jobs wait,
// among them gangs of urgent jobs for which runs would have to be stopped.
func BenchmarkPeak(b *testing.B) {
	for _, size := range []struct{ targets, waiting int }{{40, 8}, {340, 60}, {1100, 200}, {2900, 500}} {
		b.Run(fmt.Sprint(size.targets), func(b *testing.B) {
			c := newPeakCluster(b, size.targets, size.waiting)
			b.ReportAllocs()
			for b.Loop() {
				Plan(c.input())
			}
		})
	}
}

// TestPeakReadsProgressOnce guards against a plan whose cost grows with the product of waiting gangs and
// runs: at peak load each waiting gang looked at the progress of all runs, and a plan for 1,100 targets took
// over half a second, longer than urgent jobs may wait.
func TestPeakReadsProgressOnce(t *testing.T) {
	c := newPeakCluster(t, 340, 60)
	runs, reads := 0, 0
	for _, target := range c.state.Targets() {
		runs += len(c.state.Runs(target.ID))
	}
	input := c.input()
	progress := input.Progress
	input.Progress = func(task anvilwork.Task) (anvilspeed.Progress, bool) {
		reads++
		return progress(task)
	}
	decision := Plan(input)
	assert.Assert(t, len(decision.Claims) > 0, "the waiting gangs claim nothing")
	// Once to estimate when a run ends, once to see whether it straggles.
	assert.Assert(t, reads <= 2*runs, "%d reads of the progress of %d runs", reads, runs)
}
