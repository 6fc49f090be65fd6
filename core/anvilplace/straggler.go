package anvilplace

import (
	"math"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

const (
	// minMoveGain is a factor: a run is moved if its remaining time exceeds
	// minMoveGain*(run time after a restart elsewhere + stopLatency). It keeps runs that would soon
	// end anyway from being moved because of inaccurate rates.
	minMoveGain = 2.5
	// standstillTimeout is how long a run may report no progress before it is moved. The longest tasks
	// take about a minute and progress is reported in whole percent, which is
	// one percent per 0.6 s.
	standstillTimeout = 2500 * anvilclock.Millisecond
	// unmovableFromRun is the number of the first run of a task that is no longer moved, so that a task
	// that makes no progress on any target isn't moved forever.
	unmovableFromRun = 3
)

// moveStragglers evicts runs that are delayed by slow targets or make no progress, if they would
// end earlier when restarted elsewhere. A gang is as slow as its slowest member and is moved as a
// whole.
func (p *planner) moveStragglers() {
	done := map[anvilwork.StepKey]bool{}
	for _, n := range p.all.nodes {
		for _, t := range n.placedRuns {
			if t.stopping || done[t.task.StepKey()] {
				continue
			}
			members := p.gangMembers(t)
			if t.job.job.Spec.Steps[t.task.Step].Gang {
				done[t.task.StepKey()] = true
			}
			if p.straggles(t, members) && p.fitsElsewhere(t, members) {
				p.evict(members, t.job.job.ID)
			}
		}
	}
}

// straggles reports whether a run, or its whole gang, would end sufficiently earlier (minMoveGain) when
// restarted elsewhere. A slow run on a target that isn't slow is just a long one and isn't moved,
// unless it makes no progress.
func (p *planner) straggles(t *placedRun, members []runOnNode) bool {
	step := t.job.job.Spec.Steps[t.task.Step]
	if step.LongRunning || t.job.job.State(t.task).Run >= unmovableFromRun {
		return false
	}
	remaining, restarted := 0.0, 0.0
	for _, m := range members {
		progress, known := p.Progress(m.placedRun.task)
		if m.placedRun.stopping || !known {
			return false // it is being stopped, or started too recently to have a rate
		}
		fullTime := float64(step.Estimate)
		if progress.BestRate > 0 {
			fullTime = 100 / progress.BestRate
		}
		done := 0.0
		if step.Checkpoints {
			done = progress.Percent / 100
		}
		restarted = max(restarted, fullTime*(1-done))
		switch {
		case progress.Percent >= 100:
		case progress.Rate > 0 && m.node.slow:
			remaining = max(remaining, (100-progress.Percent)/progress.Rate)
		case progress.StalledFor >= standstillTimeout:
			remaining = math.Inf(1)
		}
	}
	return remaining > minMoveGain*(restarted+float64(stopLatency))
}

// fitsElsewhere reports whether the tasks of a run or gang would fit in free resources if they were
// restarted now. For a gang, the resources of its own runs on targets that aren't slow count as free.
func (p *planner) fitsElsewhere(t *placedRun, members []runOnNode) bool {
	u := &waitingStep{
		job: t.job.job, info: t.job, policy: t.job.policy, step: t.job.job.Spec.Steps[t.task.Step], need: t.need,
		tasks: []anvilwork.Task{t.task},
	}
	for range len(members) - 1 {
		u.tasks = append(u.tasks, t.task)
	}
	released := map[*node]anvilwork.Resources{}
	for _, m := range members {
		released[m.node] = released[m.node].Plus(m.placedRun.need)
	}
	if !u.step.Gang {
		released = nil // a single run that makes no progress must not return to its target
	}
	return p.fitAll(u, len(members), view{resourcesOf: func(n *node) anvilwork.Resources {
		if n.unavailable() {
			return anvilwork.Resources{}
		}
		return n.free.Plus(released[n])
	}}) != nil
}
