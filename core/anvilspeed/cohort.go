package anvilspeed

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

const (
	// observationLifetime is how long the rate of an ended run is compared with those of others, unless there are
	// too many. What is learnt about any of the machines later then still tells more about the others.
	observationLifetime = anvilclock.Minute
	// maxObservations bounds the runs that are compared in one cohort.
	maxObservations = 2048
	// maxEnded and endedPerMachine bound the ended runs that are still compared.
	maxEnded        = 10_000
	endedPerMachine = 2
)

// cohortKey identifies runs whose work is alike up to scatter.
type cohortKey struct {
	step anvilwork.StepKey
	// run tells the runs of a gang apart. Each may be spread over racks in another way, which slows all of its
	// members alike. It is 0 for other steps.
	run anvilwork.Run
	// remote tells tasks in the rack of their input data from those elsewhere.
	remote bool
	// task is set for the runs of a single task: its index plus 1.
	task int
}

// observation is the measured pace of one run on a machine.
type observation struct {
	run     anvilwork.Run
	index   int // of the task in its step
	cohort  *cohort
	machine *machine
	pace    pace
	// since is when the run was reported first, and reportedAt when it was reported last, by the leader's clock.
	since, reportedAt anvilclock.Millis
	ended             bool
	// beside relates the rate of the run to the queues that had other runs on the same machine.
	beside exposures
}

// cohort contains the runs that are compared with each other.
type cohort struct {
	key cohortKey
	// kind decides which scatter is expected of the runs.
	kind kind
	// queue is the position of the queue of the runs in the table of neighbours, or -1.
	queue int
	runs  []*observation
	// results has the comparison of each machine with the others at the latest fit.
	results []result
}

// result is the comparison of one machine's runs in a cohort with those on the other machines.
type result struct {
	machine    *machine
	comparison comparison
}

// measured returns the run of a task whose pace is known, or nil if there is none.
func (c *cohort) measured(index int) *observation {
	for _, o := range c.runs {
		if o.index != index {
			continue
		}
		if _, _, ok := o.pace.measure(); ok {
			return o
		}
	}
	return nil
}

// expire removes the runs that ended before a time and before all present ones began. Those that ended later are
// needed: what is left at the end of a step are its longest tasks, on the fast machines more so than on the slow
// ones, which would seem equal without the short tasks. If there are no present runs, all are removed together, and
// the machines keep the results of their comparisons.
func (c *cohort) expire(before anvilclock.Millis) {
	present, latest := false, anvilclock.Millis(0)
	for _, o := range c.runs {
		latest = max(latest, o.reportedAt)
		if !o.ended {
			present = true
			before = min(before, o.since)
		}
	}
	switch {
	case present:
		c.runs = slices.DeleteFunc(c.runs, func(o *observation) bool { return o.ended && o.reportedAt < before })
	case latest < before:
		c.runs = nil
		for _, r := range c.results {
			r.machine.keep(r.comparison)
		}
	}
}
