package anvilspeed

import (
	"cmp"
	"math"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// fitInterval is the pause between two estimates of the speeds. Another second is added for every
	// machinesPerSecond, so that estimates of a large deployment take no larger part of the processor.
	fitInterval       = anvilclock.Second
	machinesPerSecond = 10_000
	// fitRounds is the number of passes over all cohorts and machines in one estimate. Each passes what was
	// learnt about a machine on to those that were compared with it.
	fitRounds = 2
	// maxMachines bounds the machines that are known. Those that were seen longest ago are removed first.
	maxMachines = 1 << 16
)

// Sample is a report of the progress of a run.
type Sample struct {
	// At is when the target made the report, by any clock that runs evenly while the run lasts. That of the target is the
	// best, as the time of the arrival varies with the load of the links and of the leader.
	At      anvilclock.Millis
	Machine anvilid.MachineID
	// Queue is the queue of the task's job, and Beside has those of the other runs on the machine.
	Queue  anvilwork.QueueName
	Beside []anvilwork.QueueName
	Task   anvilwork.Task
	Run    anvilwork.Run
	// Percent is the share of the task's work that is done. It includes the work of earlier runs from whose
	// checkpoint this one resumed.
	Percent int
	// Gang means that the task belongs to a gang.
	Gang bool
	// Remote means that the run isn't in the rack of its input data.
	Remote bool
}

// Estimate is the estimated speed of a machine.
type Estimate struct {
	// Factor is the speed, or Ordinary if it isn't known to differ.
	Factor Factor
	// Measured is the speed before it is decided whether it differs from the ordinary one.
	Measured Factor
	// Error is the standard error of the natural logarithm of Measured.
	Error float64
	// Comparisons is the number of cohorts in which the machine was compared with others.
	Comparisons int
}

// Estimator learns the lasting speeds of machines from the progress of their runs: the rate of a run is the
// rate of its cohort (tasks with like work) times the speed of its machine. It must be used by one
// goroutine only.
type Estimator struct {
	cohorts map[cohortKey]*cohort
	// order has the cohorts in the order in which they were seen first.
	order []*cohort
	// byTask has the present runs.
	byTask   map[anvilwork.Task]*observation
	machines map[anvilid.MachineID]*machine
	// known has the machines in the order in which they were seen first.
	known    []*machine
	numbered uint64
	fittedAt anvilclock.Millis
	// unequal reports that many machines differ in speed, see minUnequalShare.
	unequal bool
	// lifetime is the observationLifetime that the number of ended runs allows.
	lifetime anvilclock.Millis
	// scatters has the scatter that is expected of each kind of cohort.
	scatters scatters
	buffers  buffers
	// neighbours learns which queues slow each other down.
	neighbours neighbours
}

// NewEstimator returns an estimator that knows no speeds.
func NewEstimator() *Estimator {
	e := &Estimator{
		cohorts: map[cohortKey]*cohort{}, byTask: map[anvilwork.Task]*observation{}, machines: map[anvilid.MachineID]*machine{},
		lifetime: observationLifetime, scatters: newScatters(),
	}
	e.buffers.neighbours = &e.neighbours
	return e
}

// Observe records a report of a run's progress.
func (e *Estimator) Observe(now anvilclock.Millis, s Sample) {
	on := e.machine(s.Machine)
	on.seenAt = now
	known := e.byTask[s.Task]
	if known == nil || known.run != s.Run || known.machine != on || known.cohort.key.remote != s.Remote {
		e.Forget(s.Task)
		if known = e.addRun(now, s, on); known == nil {
			return
		}
	}
	known.reportedAt = now
	known.beside.add(s.At, e.neighbours.setOf(now, s.Beside))
	if ended, ends := known.pace.add(point{at: s.At, percent: s.Percent}); ends {
		known.beside.end(ended)
	}
}

// addRun adds a run to its cohort. It returns nil if the cohort is full.
func (e *Estimator) addRun(now anvilclock.Millis, s Sample, on *machine) *observation {
	c := e.cohortOf(s)
	c.queue = e.neighbours.positionOf(now, s.Queue)
	if len(c.runs) >= maxObservations {
		return nil
	}
	added := &observation{run: s.Run, index: s.Task.Index, cohort: c, machine: on, since: now}
	c.runs = append(c.runs, added)
	e.byTask[s.Task] = added
	return added
}

// cohortOf returns the cohort that a run belongs to. A task that has run before is compared with its earlier run
// only: the two have the same work, while the tasks that are moved from one machine to another are the longest ones
// of their step, and would make the machines that they are moved to seem slow.
func (e *Estimator) cohortOf(s Sample) *cohort {
	key := cohortKey{step: s.Task.StepKey(), remote: s.Remote}
	if s.Gang {
		key.run = s.Run
		return e.cohort(key, members)
	}
	step := e.cohort(key, tasks)
	if s.Run == 1 {
		return step
	}
	earlier := step.measured(s.Task.Index)
	if earlier == nil {
		return step
	}
	key.task = s.Task.Index + 1
	ofTask := e.cohort(key, reruns)
	if len(ofTask.runs) == 0 {
		ofTask.runs = append(ofTask.runs, earlier)
	}
	return ofTask
}

// cohort returns the cohort with a key, which it adds if necessary.
func (e *Estimator) cohort(key cohortKey, kind kind) *cohort {
	known := e.cohorts[key]
	if known == nil {
		known = &cohort{key: key, kind: kind}
		e.cohorts[key] = known
		e.order = append(e.order, known)
	}
	return known
}

// Forget records that a task has no run any more.
func (e *Estimator) Forget(task anvilwork.Task) {
	if known := e.byTask[task]; known != nil {
		known.ended = true
		delete(e.byTask, task)
	}
}

// machine returns the record of a machine, which it adds if necessary.
func (e *Estimator) machine(id anvilid.MachineID) *machine {
	if known := e.machines[id]; known != nil {
		return known
	}
	e.numbered++
	added := &machine{id: id, number: e.numbered, variance: priorSpread * priorSpread}
	e.machines[id] = added
	e.known = append(e.known, added)
	return added
}

// Fit estimates the speeds anew if that is due, and reports whether it did.
func (e *Estimator) Fit(now anvilclock.Millis) bool {
	if now-e.fittedAt < fitInterval+anvilclock.Second*anvilclock.Millis(len(e.known))/machinesPerSecond {
		return false
	}
	e.fittedAt = now
	e.expire(now)
	for range fitRounds {
		e.fitOnce(now)
	}
	e.center()
	e.neighbours.fit(now, e.order)
	e.markDifferences()
	return true
}

// fitOnce compares all cohorts and updates all machines from the results.
func (e *Estimator) fitOnce(now anvilclock.Millis) {
	for _, m := range e.known {
		m.live = m.live[:0]
	}
	for _, c := range e.order {
		c.compare(&e.scatters, &e.buffers)
		for _, r := range c.results {
			r.machine.live = append(r.machine.live, r.comparison)
		}
	}
	e.scatters.learn()
	for _, m := range e.known {
		m.update(now, &e.buffers)
	}
}

// expire removes what ended long ago. If too much has ended of late, half of the time counts as long.
func (e *Estimator) expire(now anvilclock.Millis) {
	e.lifetime = min(2*e.lifetime, observationLifetime)
	for e.expireBefore(now-e.lifetime) > maxEnded+endedPerMachine*len(e.known) {
		e.lifetime /= 2
	}
	if len(e.known) > maxMachines {
		e.removeOldest()
	}
}

// expireBefore removes what ended before a time. It returns the number of ended runs that are left.
func (e *Estimator) expireBefore(before anvilclock.Millis) (left int) {
	for _, c := range e.order {
		c.expire(before)
		for _, o := range c.runs {
			if o.ended {
				left++
			}
		}
	}
	e.order = slices.DeleteFunc(e.order, func(c *cohort) bool {
		if len(c.runs) > 0 {
			return false
		}
		delete(e.cohorts, c.key)
		return true
	})
	return left
}

// removeOldest removes the machines beyond maxMachines that were seen longest ago, except those in a cohort.
func (e *Estimator) removeOldest() {
	inUse := map[*machine]bool{}
	for _, c := range e.order {
		for _, o := range c.runs {
			inUse[o.machine] = true
		}
	}
	surplus := len(e.known) - maxMachines
	slices.SortStableFunc(e.known, func(a, b *machine) int { return cmp.Compare(a.seenAt, b.seenAt) })
	e.known = slices.DeleteFunc(e.known, func(m *machine) bool {
		if surplus == 0 || inUse[m] {
			return false
		}
		surplus--
		delete(e.machines, m.id)
		return true
	})
}

// Estimate returns what is known about the speed of a machine.
func (e *Estimator) Estimate(id anvilid.MachineID) Estimate {
	m := e.machines[id]
	if m == nil {
		return Estimate{Factor: Ordinary, Measured: Ordinary, Error: priorSpread}
	}
	return Estimate{
		Factor: e.speedOf(m), Measured: Factor(math.Exp(m.offset)), Error: math.Sqrt(m.variance), Comparisons: len(m.live) + len(m.kept),
	}
}

// Speed returns the speed of a machine, or Ordinary if it isn't known to differ.
func (e *Estimator) Speed(id anvilid.MachineID) Factor {
	if m := e.machines[id]; m != nil {
		return e.speedOf(m)
	}
	return Ordinary
}

// speedOf returns the speed of a machine. Once many machines are known to differ, the measured speed of any machine is
// a better guess than the ordinary one, however uncertain it is.
func (e *Estimator) speedOf(m *machine) Factor {
	if m.differs || e.unequal && m.compared() {
		return Factor(math.Exp(m.offset))
	}
	return Ordinary
}

// Counts summarizes what is known about all machines.
type Counts struct {
	// Compared is the number of machines that were compared with others, and Unequal how many of them are
	// known to differ from the ordinary speed.
	Compared, Unequal int
	// Slowest and Fastest are the lowest and the highest speed.
	Slowest, Fastest Factor
}

// Counts returns a summary of what is known about all machines.
func (e *Estimator) Counts() Counts {
	counts := Counts{Slowest: Ordinary, Fastest: Ordinary}
	for _, m := range e.known {
		if !m.compared() {
			continue
		}
		counts.Compared++
		if m.differs {
			counts.Unequal++
		}
		counts.Slowest, counts.Fastest = min(counts.Slowest, e.speedOf(m)), max(counts.Fastest, e.speedOf(m))
	}
	return counts
}
