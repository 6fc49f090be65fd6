// Package anvilspeed finds targets that work slowly, by comparing the progress of equal tasks on
// different targets. The tasks of one step of a job count as equal, so their progress can be compared.
// Estimates of run times are wrong by large factors, so a run that exceeds its estimate says nothing
// about its target.
package anvilspeed

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// minSampleInterval is the shortest time over which a rate is measured. It can't be much
	// shorter, because progress is reported in whole percent.
	minSampleInterval = 350 * anvilclock.Millisecond
	// rateValidity is how long after its measurement a rate indicates whether a target is slow. Targets
	// become slow and recover within seconds, and a slow target that gets no work, so that no new rate
	// is measured, must be tried again.
	rateValidity = 4 * anvilclock.Second
	// slowRateShare defines a slow run: its rate, relative to the lasting speed of its target, is below this
	// fraction of that of the fastest task of the same step, or its rate is below this fraction of the
	// highest earlier rate of the run itself. The fraction is small
	// enough to allow for tasks of a step that differ by a sixth and for kinds of targets that differ
	// by a third.
	slowRateShare = 0.5
	// minSlowEvidence is the evidence weight from which on a target counts as slow. A run that is
	// slower than other tasks of its step has weight 1, because a single one may just have more work.
	// A run that has become slower than it was before has the weight minSlowEvidence, so it is enough.
	minSlowEvidence = 2
	// maxSlowShare is the largest share of targets that may count as slow. If more seem slow, none
	// are reported: it is more likely then that the other targets are unusually fast.
	maxSlowShare = 0.4
)

// Progress is the progress and speed of a run.
type Progress struct {
	// Percent is the share of the work that was done according to the latest report.
	Percent float64
	// Rate is the speed of the run in percent per millisecond, or 0 if the run makes no progress.
	Rate float64
	// BestRate is the highest rate of all tasks of the same step, divided by the lasting speeds of their targets:
	// what the run would reach on an ordinary target without disruptions. It is 0 if none has made progress.
	BestRate float64
	// StalledFor is how long the run has made no progress, or 0 if all of its work is done.
	StalledFor anvilclock.Millis
}

// sample is the latest report of a task's run that was used to measure its rate, with that rate.
type sample struct {
	target       anvilid.TargetID
	run          anvilwork.Run
	percent      int
	at           anvilclock.Millis
	rate         float64           // in percent per ms
	factor       Factor            // lasting speed of the target when the rate was measured
	maxRate      float64           // the highest rate of this run so far
	ratedAt      anvilclock.Millis // when the rate was measured, or 0 if it was not
	progressedAt anvilclock.Millis // when percent last rose
}

// Monitor tracks the progress of all runs. It must be used by one goroutine only.
type Monitor struct {
	steps map[anvilwork.StepKey]*step
	// Factor returns the lasting speed of a target, against which its rates are judged. nil means that all
	// targets are ordinary.
	Factor func(anvilid.TargetID) Factor
}

// step contains the samples of the tasks of one step.
type step struct {
	samples map[int]*sample
	// fastest is the highest relative rate of all samples. It is valid if fastestKnown is set.
	fastest      float64
	fastestKnown bool
}

// New returns a monitor that knows of no runs.
func New() *Monitor { return &Monitor{steps: map[anvilwork.StepKey]*step{}} }

// Observe records a report of a run's progress in percent.
func (m *Monitor) Observe(now anvilclock.Millis, target anvilid.TargetID, task anvilwork.Task, run anvilwork.Run, percent int) {
	known := m.steps[task.StepKey()]
	if known == nil {
		known = &step{samples: map[int]*sample{}}
		m.steps[task.StepKey()] = known
	}
	s := known.samples[task.Index]
	if s == nil || s.run != run || s.target != target {
		known.fastestKnown = false
		known.samples[task.Index] = &sample{target: target, run: run, percent: percent, at: now, progressedAt: now}
		return
	}
	if percent > s.percent {
		s.progressedAt = now
	}
	if now-s.at < minSampleInterval {
		return
	}
	// A task that is done but waits for the rest of its gang keeps its last rate.
	if s.percent < 100 && percent < 100 || s.ratedAt == 0 {
		s.rate, s.ratedAt = float64(percent-s.percent)/float64(now-s.at), now
		s.maxRate, s.factor = max(s.maxRate, s.rate), m.factor(target)
		known.fastestKnown = false
	}
	s.percent, s.at = percent, now
}

func (m *Monitor) factor(target anvilid.TargetID) Factor {
	if m.Factor == nil {
		return Ordinary
	}
	return m.Factor(target).OrOrdinary()
}

// relativeRate returns the rate that the run would have on an ordinary target.
func (s *sample) relativeRate() float64 { return s.rate / float64(s.factor.OrOrdinary()) }

// Forget removes a task that has no run any more.
func (m *Monitor) Forget(task anvilwork.Task) {
	known := m.steps[task.StepKey()]
	if known == nil {
		return
	}
	delete(known.samples, task.Index)
	known.fastestKnown = false
	if len(known.samples) == 0 {
		delete(m.steps, task.StepKey())
	}
}

// fastestRate returns the highest relative rate among the tasks of the step. It is computed only after a change,
// because a plan asks for it once for each run, and a step can have hundreds of runs.
func (s *step) fastestRate() float64 {
	if s.fastestKnown {
		return s.fastest
	}
	s.fastest, s.fastestKnown = 0, true
	for _, sample := range s.samples {
		if sample.ratedAt > 0 {
			s.fastest = max(s.fastest, sample.relativeRate())
		}
	}
	return s.fastest
}

// Progress returns the progress and speed of the latest run of a task, or false if its speed isn't
// known.
func (m *Monitor) Progress(now anvilclock.Millis, task anvilwork.Task) (Progress, bool) {
	known := m.steps[task.StepKey()]
	if known == nil {
		return Progress{}, false
	}
	s := known.samples[task.Index]
	if s == nil || s.ratedAt == 0 {
		return Progress{}, false
	}
	p := Progress{Percent: float64(s.percent), Rate: s.rate, BestRate: known.fastestRate()}
	if s.percent < 100 {
		p.StalledFor = now - s.progressedAt
	}
	return p, true
}

// evidence summarizes the rates of the runs on one target.
type evidence struct {
	weight int  // sum of the weights of slow runs; see minSlowEvidence
	fast   bool // at least one run is not slow
}

// Slow returns the targets that are slow now, ordered by id. targetCount is the number of all
// targets.
func (m *Monitor) Slow(now anvilclock.Millis, targetCount int) []anvilid.TargetID {
	found := map[anvilid.TargetID]evidence{}
	for _, step := range m.steps {
		highest := step.fastestRate()
		if highest == 0 {
			continue
		}
		for _, s := range step.samples {
			if s.ratedAt > 0 && now-s.ratedAt <= rateValidity {
				found[s.target] = found[s.target].add(s, highest)
			}
		}
	}
	var slow []anvilid.TargetID
	for target, e := range found {
		if e.weight >= minSlowEvidence && !e.fast {
			slow = append(slow, target)
		}
	}
	if float64(len(slow)) > maxSlowShare*float64(targetCount) {
		return nil
	}
	slices.Sort(slow)
	return slow
}

// add adds one run to the evidence about its target. highest is the highest relative rate of the run's step.
func (e evidence) add(s *sample, highest float64) evidence {
	switch {
	case s.rate < slowRateShare*s.maxRate:
		e.weight += minSlowEvidence
	case s.relativeRate() < slowRateShare*highest:
		e.weight++
	default:
		e.fast = true
	}
	return e
}
