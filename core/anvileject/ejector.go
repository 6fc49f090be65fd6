// Package anvileject ejects targets on which tasks fail: such a target gets no tasks for some time. A
// task has few attempts, so a target must be avoided after very few failures, and a task that has
// failed on one target must be tried on another.
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
	// firstEjection is how long a target is ejected at first. Each failure after that ejects it again,
	// for twice as long as before, up to maxEjection.
	firstEjection = 2 * anvilclock.Second
	maxEjection   = 16 * anvilclock.Second
	// maxEjectedShare is the largest share of targets that may be ejected at the same time. If more
	// would be, none are ejected, because the cause is probably not the targets.
	maxEjectedShare = 0.4
)

// record contains the failures on one target since its latest success, and its ejection.
type record struct {
	jobs         []anvilid.JobID // jobs that failed here since the latest success
	ejectedUntil anvilclock.Millis
	nextSpan     anvilclock.Millis // length of the next ejection
}

// Ejector tracks the failures of targets. It must be used by one goroutine only.
type Ejector struct {
	targets map[anvilid.TargetID]*record
	// steps has, for each step, how often its tasks have failed on each target where any of them has.
	steps map[anvilwork.StepKey]map[anvilid.TargetID]int
}

// New returns an ejector that knows of no failures.
func New() *Ejector {
	return &Ejector{targets: map[anvilid.TargetID]*record{}, steps: map[anvilwork.StepKey]map[anvilid.TargetID]int{}}
}

// Ended records the outcome of a task's run on a target. A success ends the target's ejection and
// clears its failures, but does not change what Failures returns.
func (e *Ejector) Ended(now anvilclock.Millis, target anvilid.TargetID, task anvilwork.Task, outcome anvilwork.Outcome) {
	switch outcome {
	case anvilwork.RunDone:
		delete(e.targets, target)
	case anvilwork.RunFailed:
		e.failed(now, target, task)
	}
}

func (e *Ejector) failed(now anvilclock.Millis, target anvilid.TargetID, task anvilwork.Task) {
	key := task.StepKey()
	if e.steps[key] == nil {
		e.steps[key] = map[anvilid.TargetID]int{}
	}
	e.steps[key][target]++
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

// Failures returns how often tasks of a step have failed on each target where any of them has. The caller must
// not change the result.
func (e *Ejector) Failures(step anvilwork.StepKey) map[anvilid.TargetID]int { return e.steps[step] }

// Forget removes the information about a job that Failures uses. Targets on which the job failed stay
// ejected, and its failures still count towards their next ejection.
func (e *Ejector) Forget(job anvilid.JobID) {
	for key := range e.steps {
		if key.Job == job {
			delete(e.steps, key)
		}
	}
}
