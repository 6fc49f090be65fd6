package anvilspeed

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// reportInterval is how often the runs of a workload are reported.
const reportInterval = anvilclock.Second

// workload runs jobs of one step each on machines of given speeds, and reports their progress.
type workload struct {
	estimator *Estimator
	random    *rand.Rand
	speed     func(machine int) float64
	// slowdown returns the speed of a run beside runs of other queues, relative to that without them. It may be nil.
	slowdown func(queue anvilwork.QueueName, beside []anvilwork.QueueName) float64
	queue    anvilwork.QueueName // of the jobs that start next
	machines int
	now      anvilclock.Millis
	jobs     int
	running  []*simulatedRun
}

// simulatedRun is a run with its work in milliseconds on an ordinary machine.
type simulatedRun struct {
	sample     Sample
	machine    int
	work, done float64
}

func newWorkload(seed uint64, machines int, speed func(int) float64) *workload {
	return &workload{
		estimator: NewEstimator(), random: rand.New(rand.NewPCG(seed, 1)), speed: speed, machines: machines, now: anvilclock.Second,
	}
}

func machineName(i int) anvilid.MachineID { return anvilid.MachineID(fmt.Sprintf("m%d", i)) }

// start starts a step whose tasks take the work that the function returns, on random machines. The members of a
// gang run on one machine each, other tasks three to a machine.
func (w *workload) start(count int, gang bool, work func() float64) {
	w.jobs++
	order, share := w.random.Perm(w.machines), 3
	if gang {
		share = 1
	}
	for i := range count {
		on := order[i/share%w.machines]
		task := anvilwork.Task{Job: anvilid.JobID(fmt.Sprintf("j%d", w.jobs)), Index: i}
		w.running = append(w.running, &simulatedRun{
			sample: Sample{Machine: machineName(on), Task: task, Run: 1, Gang: gang, Queue: w.queue}, machine: on, work: work(),
		})
	}
}

// advance lets the runs work for a time and reports them.
func (w *workload) advance(span anvilclock.Millis) {
	for end := w.now + span; w.now < end; {
		w.now += reportInterval
		var left []*simulatedRun
		for _, run := range w.running {
			run.sample.Beside = w.beside(run)
			speed := w.speed(run.machine)
			if w.slowdown != nil {
				speed *= w.slowdown(run.sample.Queue, run.sample.Beside)
			}
			run.done += speed * float64(reportInterval)
			run.sample.Percent = int(100 * run.done / run.work)
			if run.sample.Percent >= 100 {
				w.estimator.Forget(run.sample.Task)
				continue
			}
			run.sample.At = w.now - 5*anvilclock.Second // the clock of the target
			w.estimator.Observe(w.now, run.sample)
			left = append(left, run)
		}
		w.running = left
		w.estimator.Fit(w.now)
	}
}

// beside returns the queues of the other runs on the machine of a run.
func (w *workload) beside(run *simulatedRun) []anvilwork.QueueName {
	if w.queue == "" {
		return nil
	}
	found := map[anvilwork.QueueName]bool{}
	for _, other := range w.running {
		if other != run && other.machine == run.machine {
			found[other.sample.Queue] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// unevenWork returns the work of tasks that scatter by half and of which three in a hundred take seven times as
// long, about a mean.
func (w *workload) unevenWork(mean float64) func() float64 {
	return func() float64 {
		work := mean * math.Exp(0.35*w.random.NormFloat64())
		if w.random.Float64() < 0.03 {
			work *= 7
		}
		return work
	}
}

// evenWork returns the same work for each task of a step.
func (w *workload) evenWork(mean float64) func() float64 {
	work := mean * math.Exp(0.5*w.random.NormFloat64())
	return func() float64 { return work }
}

// mix runs a mix of wide steps and gangs for a time.
func (w *workload) mix(span anvilclock.Millis) {
	for end := w.now + span; w.now < end; {
		for range max(1, w.machines/30) {
			w.start(5, true, w.evenWork(4000))
		}
		w.start(w.machines, false, w.unevenWork(8000))
		w.advance(2 * anvilclock.Second)
	}
}

func (w *workload) differing() int {
	count := 0
	for i := range w.machines {
		if w.estimator.Speed(machineName(i)) != Ordinary {
			count++
		}
	}
	return count
}

// threeSpeeds gives a third of the machines each of three speeds.
func threeSpeeds(machine int) float64 { return []float64{0.6, 1, 1.6}[machine%3] }

// TestFindsSpeeds guards against estimates that need more than four comparisons of a machine to find two thirds of
// the machines that differ by half, and against taking one speed for another.
func TestFindsSpeeds(t *testing.T) {
	w := newWorkload(1, 120, threeSpeeds)
	w.mix(18 * anvilclock.Second)
	found, wrong, comparisons := 0, 0, 0
	for i := range w.machines {
		comparisons += w.estimator.Estimate(machineName(i)).Comparisons
		speed := w.estimator.Speed(machineName(i))
		if speed == Ordinary {
			continue
		}
		found++
		if math.Abs(math.Log(float64(speed)/threeSpeeds(i))) > 0.35 {
			wrong++
		}
	}
	assert.Assert(t, comparisons <= 4*w.machines)
	assert.Assert(t, found >= 54, "%d of 80 unequal machines found", found)
	assert.Assert(t, wrong <= 2, "%d of %d are wrong", wrong, found)
}

// TestEqualMachines guards against differences that are found between equal machines more often than stated,
// by tasks that take half or seven times as long as others.
func TestEqualMachines(t *testing.T) {
	found, fits := 0, 0
	for seed := range uint64(10) {
		w := newWorkload(seed, 120, func(int) float64 { return 1 })
		for range 10 {
			w.mix(4 * anvilclock.Second)
			found += w.differing()
			fits++
		}
	}
	t.Logf("%d machines found in %d looks at 120", found, fits)
	assert.Assert(t, float64(found) <= falseFindings*float64(fits))
}

// TestPair guards against a gang of two that tells nothing about either machine although it runs again and
// again, as long as a third machine shows which of them is the ordinary one.
func TestPair(t *testing.T) {
	w := newWorkload(3, 3, func(machine int) float64 { return []float64{1, 2, 1}[machine] })
	for range 4 {
		w.start(3, true, w.evenWork(4000))
		w.advance(5 * anvilclock.Second)
	}
	estimate := w.estimator.Estimate("m1")
	assert.Assert(t, estimate.Factor > 1.5 && estimate.Factor < 2.2, "%+v", estimate)
	assert.Equal(t, w.estimator.Speed("m0"), Ordinary)
	assert.Equal(t, w.estimator.Speed("m2"), Ordinary)
}

// TestSingleTasks guards against conclusions from tasks that can't be compared with any other, such as ones
// whose estimates were wrong by nine tenths.
func TestSingleTasks(t *testing.T) {
	w := newWorkload(4, 10, func(int) float64 { return 1 })
	for range 20 {
		w.start(1, false, func() float64 { return 4000 * []float64{0.1, 1, 10}[w.random.IntN(3)] })
		w.advance(anvilclock.Second)
	}
	for i := range w.machines {
		assert.Equal(t, w.estimator.Estimate(machineName(i)).Comparisons, 0)
	}
}

// TestRemoteData guards against taking machines for slow whose tasks fetch their input from another rack.
func TestRemoteData(t *testing.T) {
	w := newWorkload(5, 6, func(int) float64 { return 1 })
	for range 5 {
		w.start(6, true, w.evenWork(3000))
		for _, run := range w.running {
			run.sample.Gang, run.sample.Remote = false, run.machine < 3
			if run.sample.Remote {
				run.work *= 3
			}
		}
		w.advance(10 * anvilclock.Second)
	}
	assert.Equal(t, w.differing(), 0)
}

// TestChangeOfSpeed guards against holding on for minutes to the speed that a machine had before.
func TestChangeOfSpeed(t *testing.T) {
	slow := 1.0
	w := newWorkload(6, 60, func(machine int) float64 {
		if machine == 0 {
			return slow
		}
		return 1
	})
	w.mix(30 * anvilclock.Second)
	assert.Equal(t, w.estimator.Speed("m0"), Ordinary)
	slow = 0.4
	w.mix(16 * anvilclock.Second)
	speed := w.estimator.Speed("m0")
	assert.Assert(t, speed > 0.3 && speed < 0.55, "%v", speed)
	slow = 1
	w.mix(16 * anvilclock.Second)
	speed = w.estimator.Speed("m0")
	assert.Assert(t, speed > 0.8, "%v", speed)
}

// TestIdleMachine guards against forgetting the speed of a machine that has no work for some minutes, such as
// during its maintenance.
func TestIdleMachine(t *testing.T) {
	w := newWorkload(7, 60, threeSpeeds)
	w.mix(20 * anvilclock.Second)
	before := w.estimator.Speed("m2")
	assert.Assert(t, before > 1.3)
	w.running = nil
	w.advance(3 * anvilclock.Minute)
	after := w.estimator.Speed("m2")
	assert.Assert(t, after > 1.3, "%v, before %v", after, before)
}

// TestPauseInWork guards against taking a machine for slow whose runs stood still or were slow for a moment.
func TestPauseInWork(t *testing.T) {
	disturbed := false
	w := newWorkload(8, 30, func(machine int) float64 {
		if disturbed && machine == 0 {
			return 0.1
		}
		return 1
	})
	w.start(30, true, w.evenWork(60_000))
	w.start(30, true, w.evenWork(60_000))
	w.advance(10 * anvilclock.Second)
	disturbed = true
	w.advance(3 * anvilclock.Second)
	assert.Equal(t, w.estimator.Speed("m0"), Ordinary)
	disturbed = false
	w.advance(10 * anvilclock.Second)
	assert.Equal(t, w.estimator.Speed("m0"), Ordinary)
}

// TestMachineBound guards against a table of speeds that grows with each machine that was ever seen.
func TestMachineBound(t *testing.T) {
	e := NewEstimator()
	for i := range maxMachines + 100 {
		e.Inherit(anvilclock.Millis(i+1), anvilwork.MachineSpeed{Machine: machineName(i), Level: LevelOf(2)})
	}
	e.Fit(maxMachines + 200)
	assert.Equal(t, len(e.known), maxMachines)
	assert.Equal(t, e.Speed(machineName(0)), Ordinary)
}
