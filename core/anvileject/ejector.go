// Package anvileject ejects targets that fail the tasks they start. A task has few attempts, so a
// target must be avoided after very few failures, and a task that has failed on one target must be
// tried on another.
package anvileject

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// ejectAfterJobs is how many jobs in a row must fail on a target before it is ejected. One is
	// not enough, because about one job in twenty fails through its own fault.
	ejectAfterJobs = 2
	// firstEjection is how long a target is ejected at first. Each further failure doubles the
	// time, up to maxEjection.
	firstEjection = 2 * anvilclock.Second
	maxEjection   = 16 * anvilclock.Second
	// maxEjectedShare is the largest share of targets that may be ejected. If more fail, none are
	// ejected, because the cause is probably not the targets.
	maxEjectedShare = 0.4
)

// record is the failures of one target.
type record struct {
	jobs         []anvilid.JobID // jobs that failed here since the latest success
	ejectedUntil anvilclock.Millis
	nextSpan     anvilclock.Millis
}

// Ejector tracks the failures of targets. It must be used by one goroutine only.
type Ejector struct {
	targets map[anvilid.TargetID]*record
	steps   map[anvilwork.StepKey][]anvilid.TargetID
}

// New returns an ejector that knows of no failures.
func New() *Ejector {
	return &Ejector{targets: map[anvilid.TargetID]*record{}, steps: map[anvilwork.StepKey][]anvilid.TargetID{}}
}

// Ended records how a run has ended.
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
		r = &record{nextSpan: firstEjection}
		e.targets[target] = r
	}
	if !slices.Contains(r.jobs, task.Job) {
		r.jobs = append(r.jobs, task.Job)
	}
	if len(r.jobs) >= ejectAfterJobs {
		r.ejectedUntil = now + r.nextSpan
		r.nextSpan = min(2*r.nextSpan, maxEjection)
	}
}

// Ejected returns the targets that are ejected now, ordered by id. targetCount is the number of all
// targets.
func (e *Ejector) Ejected(now anvilclock.Millis, targetCount int) []anvilid.TargetID {
	var ejected []anvilid.TargetID
	for id, r := range e.targets {
		if now < r.ejectedUntil {
			ejected = append(ejected, id)
		}
	}
	if float64(len(ejected)) > maxEjectedShare*float64(targetCount) {
		return nil
	}
	slices.Sort(ejected)
	return ejected
}

// Failed reports whether a task of this step has failed on a target.
func (e *Ejector) Failed(task anvilwork.Task, target anvilid.TargetID) bool {
	return slices.Contains(e.steps[task.StepKey()], target)
}

// Forget removes the failures of a job. Failures that count against targets remain.
func (e *Ejector) Forget(job anvilid.JobID) {
	for key := range e.steps {
		if key.Job == job {
			delete(e.steps, key)
		}
	}
}
