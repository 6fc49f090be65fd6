// Package anvilblame notices targets that fail what they start. A task has few
// attempts, so that a target must be left alone after very few failures, and a
// task that has failed on one target must be tried on another.
package anvilblame

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// jobsToBlame is how many jobs in a row must fail on a target. Tasks also
	// fail by their own fault, about one job in twenty.
	jobsToBlame = 2
	// firstSpan is how long a target is left alone at first; each further
	// failure doubles the time, up to longestSpan.
	firstSpan   = 2 * anvilclock.Second
	longestSpan = 16 * anvilclock.Second
	// blameMost is the largest share of targets that are left alone. If more
	// fail, the fault is not theirs.
	blameMost = 0.4
)

type step struct {
	job              anvilid.JobID
	occurrence, step int
}

type record struct {
	jobs  []anvilid.JobID // that failed since the latest success
	until anvilclock.Millis
	span  anvilclock.Millis
}

// Book keeps the failures. It belongs to one goroutine.
type Book struct {
	targets map[anvilid.TargetID]*record
	steps   map[step][]anvilid.TargetID
}

// New returns an empty book.
func New() *Book {
	return &Book{targets: map[anvilid.TargetID]*record{}, steps: map[step][]anvilid.TargetID{}}
}

func stepOf(task anvilwork.Task) step { return step{task.Job, task.Occurrence, task.Step} }

// Ended takes the end of a run.
func (b *Book) Ended(now anvilclock.Millis, target anvilid.TargetID, task anvilwork.Task, outcome anvilwork.Outcome) {
	switch outcome {
	case anvilwork.RunDone:
		delete(b.targets, target)
	case anvilwork.RunFailed:
		b.failed(now, target, task)
	}
}

func (b *Book) failed(now anvilclock.Millis, target anvilid.TargetID, task anvilwork.Task) {
	if key := stepOf(task); !slices.Contains(b.steps[key], target) {
		b.steps[key] = append(b.steps[key], target)
	}
	r := b.targets[target]
	if r == nil {
		r = &record{span: firstSpan}
		b.targets[target] = r
	}
	if !slices.Contains(r.jobs, task.Job) {
		r.jobs = append(r.jobs, task.Job)
	}
	if len(r.jobs) >= jobsToBlame {
		r.until = now + r.span
		r.span = min(2*r.span, longestSpan)
	}
}

// Blamed lists the targets that are left alone now, ordered by id. Known is
// the number of all targets.
func (b *Book) Blamed(now anvilclock.Millis, known int) []anvilid.TargetID {
	var blamed []anvilid.TargetID
	for id, r := range b.targets {
		if now < r.until {
			blamed = append(blamed, id)
		}
	}
	if float64(len(blamed)) > blameMost*float64(known) {
		return nil
	}
	slices.Sort(blamed)
	return blamed
}

// Failed tells whether a task of this step has failed on a target.
func (b *Book) Failed(task anvilwork.Task, target anvilid.TargetID) bool {
	return slices.Contains(b.steps[stepOf(task)], target)
}

// Forget drops what is known of a job.
func (b *Book) Forget(job anvilid.JobID) {
	for key := range b.steps {
		if key.job == job {
			delete(b.steps, key)
		}
	}
}
