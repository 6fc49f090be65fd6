// Package anvilspeed judges how fast targets work, by the progress of equal
// tasks on different targets. Estimates of run times are off by large factors,
// so that they tell nothing about a target; two tasks of one step do.
package anvilspeed

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// sampleSpan is the shortest time over which a rate is measured. Shares of
	// work are reported in whole percent.
	sampleSpan = 350 * anvilclock.Millisecond
	// freshSpan is how long a rate counts. Targets turn slow and back within
	// seconds, and a slow one that gets no work must be tried again.
	freshSpan = 4 * anvilclock.Second
	// slowShare of the rate of the fastest equal task, or of the run's own
	// earlier rate, speaks for a slow target. Equal tasks differ by a sixth, and
	// kinds of targets by a third.
	slowShare = 0.5
	// slowWeight is the evidence that makes a target slow: two runs that are
	// slower than their equals, or one that has become slower itself. A single
	// slow run may just be a long one.
	slowWeight = 2
	// slowMost is the largest share of targets that count as slow. If more
	// seem to be, the others are fast.
	slowMost = 0.4
)

// Progress is what is known of a run.
type Progress struct {
	// Percent is the share of the work that was done at the latest report.
	Percent float64
	// Rate is in percent per millisecond, or 0 if the run stands still.
	Rate float64
	// BestRate is the rate of the fastest equal task, or 0 if there is none.
	BestRate float64
	// StalledFor is how long the run has not progressed.
	StalledFor anvilclock.Millis
}

type sample struct {
	target  anvilid.TargetID
	run     anvilwork.Run
	percent int
	at      anvilclock.Millis
	rate    float64
	fastest float64           // the highest rate so far
	rated   anvilclock.Millis // when the rate was measured, or 0
	moved   anvilclock.Millis // when the percent last rose
}

// Monitor keeps the progress of all runs. It belongs to one goroutine.
type Monitor struct {
	steps map[anvilwork.StepKey]map[int]*sample
}

// New returns a judge that knows nothing.
func New() *Monitor { return &Monitor{steps: map[anvilwork.StepKey]map[int]*sample{}} }

// Observe takes a report of a run's progress in percent.
func (j *Monitor) Observe(now anvilclock.Millis, target anvilid.TargetID, task anvilwork.Task, run anvilwork.Run, percent int) {
	samples := j.steps[task.StepKey()]
	if samples == nil {
		samples = map[int]*sample{}
		j.steps[task.StepKey()] = samples
	}
	s := samples[task.Index]
	if s == nil || s.run != run || s.target != target {
		samples[task.Index] = &sample{target: target, run: run, percent: percent, at: now, moved: now}
		return
	}
	if percent > s.percent {
		s.moved = now
	}
	if now-s.at < sampleSpan {
		return
	}
	// A task that is done waits for its gang; its last rate stays.
	if s.percent < 100 && percent < 100 || s.rated == 0 {
		s.rate, s.rated = float64(percent-s.percent)/float64(now-s.at), now
		s.fastest = max(s.fastest, s.rate)
	}
	s.percent, s.at = percent, now
}

// Forget drops a task that has no run any more.
func (j *Monitor) Forget(task anvilwork.Task) {
	samples := j.steps[task.StepKey()]
	delete(samples, task.Index)
	if len(samples) == 0 {
		delete(j.steps, task.StepKey())
	}
}

// best is the highest rate among equal tasks.
func best(samples map[int]*sample) float64 {
	highest := 0.0
	for _, s := range samples {
		if s.rated > 0 {
			highest = max(highest, s.rate)
		}
	}
	return highest
}

// Progress returns what is known of a run, if its rate is.
func (j *Monitor) Progress(now anvilclock.Millis, task anvilwork.Task) (Progress, bool) {
	samples := j.steps[task.StepKey()]
	s := samples[task.Index]
	if s == nil || s.rated == 0 {
		return Progress{}, false
	}
	p := Progress{Percent: float64(s.percent), Rate: s.rate, BestRate: best(samples)}
	if s.percent < 100 {
		p.StalledFor = now - s.moved
	}
	return p, true
}

// evidence is what the runs on one target say of it.
type evidence struct {
	weight int
	fast   bool // a run works about as fast as its equals
}

// Slow lists the targets that are slow now, ordered by id. Known is the number
// of all targets.
func (j *Monitor) Slow(now anvilclock.Millis, known int) []anvilid.TargetID {
	found := map[anvilid.TargetID]evidence{}
	for _, samples := range j.steps {
		highest := best(samples)
		if highest == 0 {
			continue
		}
		for _, s := range samples {
			if s.rated > 0 && now-s.rated <= freshSpan {
				found[s.target] = found[s.target].with(s, highest)
			}
		}
	}
	var slow []anvilid.TargetID
	for target, e := range found {
		if e.weight >= slowWeight && !e.fast {
			slow = append(slow, target)
		}
	}
	if float64(len(slow)) > slowMost*float64(known) {
		return nil
	}
	slices.Sort(slow)
	return slow
}

// with adds what one run says of its target.
func (e evidence) with(s *sample, highest float64) evidence {
	switch {
	case s.rate < slowShare*s.fastest:
		e.weight += slowWeight
	case s.rate < slowShare*highest:
		e.weight++
	default:
		e.fast = true
	}
	return e
}
