package anvilspeed

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

const (
	// taskScatter and memberScatter are the standard deviations of the logarithms of the work of tasks that
	// are expected before anything is known: of independent tasks of a step, and of members of a gang, whose
	// work is divided evenly as they end together.
	taskScatter   = 0.3
	memberScatter = 0.15
	// minScatter bounds the scatter that is learnt, as no two runs progress exactly alike.
	minScatter = 0.1
	// scatterPrior is the number of measured differences that the expected scatter counts for.
	scatterPrior = 8
	// observationLifetime is how long the rate of an ended run is compared with those of others.
	observationLifetime = 10 * anvilclock.Second
	// maxObservations bounds the runs that are compared in one cohort.
	maxObservations = 2048
)

// cohortKey identifies runs whose work is alike up to scatter.
type cohortKey struct {
	step anvilwork.StepKey
	// run tells the runs of a gang apart. Each may be spread over racks in another way, which slows all of its
	// members alike. It is 0 for other steps.
	run anvilwork.Run
	// remote tells tasks in the rack of their input data from those elsewhere.
	remote bool
}

// observation is the measured pace of one run on a machine.
type observation struct {
	task    anvilwork.Task
	run     anvilwork.Run
	machine *machine
	pace    pace
	ended   bool
}

// cohort contains the runs that are compared with each other.
type cohort struct {
	key cohortKey
	// expected is the scatter of the runs before any is measured.
	expected float64
	runs     []*observation
	byTask   map[anvilwork.Task]*observation
	// results has the comparison of each machine with the others at the latest fit.
	results []result
}

// result is the comparison of one machine's runs in a cohort with those on the other machines.
type result struct {
	machine    *machine
	comparison comparison
}

// observe adds a report of a run.
func (c *cohort) observe(s Sample, now anvilclock.Millis, on *machine) {
	known := c.byTask[s.Task]
	if known == nil || known.run != s.Run || known.machine != on {
		if known != nil {
			known.ended = true
		}
		if len(c.runs) >= maxObservations {
			return
		}
		known = &observation{task: s.Task, run: s.Run, machine: on}
		c.byTask[s.Task] = known
		c.runs = append(c.runs, known)
	}
	known.pace.add(point{at: now, percent: s.Percent})
}

// end marks the run of a task as ended.
func (c *cohort) end(task anvilwork.Task) {
	if known := c.byTask[task]; known != nil {
		known.ended = true
		delete(c.byTask, task)
	}
}

// expire removes the runs that ended some time ago. Machines without other runs in the cohort keep the result
// of their comparison.
func (c *cohort) expire(now anvilclock.Millis) {
	before := len(c.runs)
	c.runs = slices.DeleteFunc(c.runs, func(o *observation) bool {
		return o.ended && now-o.pace.latest.at > observationLifetime
	})
	if len(c.runs) == before {
		return
	}
	present := map[*machine]bool{}
	for _, o := range c.runs {
		present[o.machine] = true
	}
	c.results = slices.DeleteFunc(c.results, func(r result) bool {
		if present[r.machine] {
			return false
		}
		r.machine.keep(r.comparison)
		return true
	})
}
