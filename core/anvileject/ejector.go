// Package anvileject ejects targets that fail what they start. A task has few
// attempts, so that a target must be left alone after very few failures, and a
// task that has failed on one target must be tried on another.
package anvileject

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// failedJobs is how many jobs in a row must fail on a target before it is ejected. Tasks also
	// fail by their own fault, about one job in twenty.
	failedJobs = 2
	// firstSpan is how long a target is ejected at first; each further
	// failure doubles the time, up to longestSpan.
	firstSpan   = 2 * anvilclock.Second
	longestSpan = 16 * anvilclock.Second
	// ejectMost is the largest share of targets that are ejected. If more
	// fail, the fault is not theirs.
	ejectMost = 0.4
)

type record struct {
	jobs  []anvilid.JobID // that failed since the latest success
	until anvilclock.Millis
	span  anvilclock.Millis
}

// Ejector keeps the failures of targets. It belongs to one goroutine.
type Ejector struct {
	targets map[anvilid.TargetID]*record
	steps   map[anvilwork.StepKey][]anvilid.TargetID
}

// New returns an ejector that knows of no failures.
func New() *Ejector {
	return &Ejector{targets: map[anvilid.TargetID]*record{}, steps: map[anvilwork.StepKey][]anvilid.TargetID{}}
}

// Ended takes the end of a run.
func (e *Ejector) Ended(now anvilclock.Millis, target anvilid.TargetID, task anvilwork.Task, outcome anvilwork.Outcome) {
	switch outcome {
	case anvilwork.RunDone:
		delete(e.targets, target)
	case anvilwork.RunFailed:
		e.failed(now, target, task)
	}
}

func (e *Ejector) failed(now anvilclock.Millis, target anvilid.TargetID, task anvilwork.Task) {
	if key := task.StepKey(); !slices.Contains(e.steps[key], target) {
		e.steps[key] = append(e.steps[key], target)
	}
	r := e.targets[target]
	if r == nil {
		r = &record{span: firstSpan}
		e.targets[target] = r
	}
	if !slices.Contains(r.jobs, task.Job) {
		r.jobs = append(r.jobs, task.Job)
	}
	if len(r.jobs) >= failedJobs {
		r.until = now + r.span
		r.span = min(2*r.span, longestSpan)
	}
}

// Ejected lists the targets that get no work now, ordered by id. Known is
// the number of all targets.
func (e *Ejector) Ejected(now anvilclock.Millis, known int) []anvilid.TargetID {
	var ejected []anvilid.TargetID
	for id, r := range e.targets {
		if now < r.until {
			ejected = append(ejected, id)
		}
	}
	if float64(len(ejected)) > ejectMost*float64(known) {
		return nil
	}
	slices.Sort(ejected)
	return ejected
}

// Failed tells whether a task of this step has failed on a target.
func (e *Ejector) Failed(task anvilwork.Task, target anvilid.TargetID) bool {
	return slices.Contains(e.steps[task.StepKey()], target)
}

// Forget drops what is known of a job.
func (e *Ejector) Forget(job anvilid.JobID) {
	for key := range e.steps {
		if key.Job == job {
			delete(e.steps, key)
		}
	}
}
