package anvilplace

import (
	"math"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

const (
	// moveGain is how many times longer the rest of a run must take than a new
	// start elsewhere, so that rough rates don't move what would end anyway.
	moveGain = 2.5
	// stillSpan is how long a run may stand still. The longest tasks take a
	// minute or so, and progress is told in whole percent.
	stillSpan = 2500 * anvilclock.Millisecond
	// moveLimit is the number of runs of a task up to which it is moved, so
	// that a task that stands still everywhere isn't moved for ever.
	moveLimit = 3
)

// moveStragglers ends runs that slow targets or standstill hold up, if they
// end earlier with a new start elsewhere. A gang is as slow as its slowest
// member and moves whole.
func (p *planner) moveStragglers() {
	done := map[anvilwork.StepKey]bool{}
	for _, n := range p.nodes {
		for _, t := range n.tenants {
			if t.stopping || done[t.task.StepKey()] {
				continue
			}
			members := p.gang(t)
			if t.job.Spec.Steps[t.task.Step].Gang {
				done[t.task.StepKey()] = true
			}
			if p.straggles(t, members) && p.roomFor(t, members) {
				p.evict(members, t.job.ID)
			}
		}
	}
}

// straggles tells whether a run, or its gang, would end earlier elsewhere. A
// run that is slow on a sound target is a long one and stays.
func (p *planner) straggles(t *tenant, members []victim) bool {
	step := t.job.Spec.Steps[t.task.Step]
	if step.LongRunning || t.job.State(t.task).Run >= moveLimit {
		return false
	}
	rest, again := 0.0, 0.0
	for _, m := range members {
		progress, known := p.Progress(m.tenant.task)
		if m.tenant.stopping || !known {
			return false // it changes, or is too young to tell
		}
		full := float64(step.Estimate)
		if progress.BestRate > 0 {
			full = 100 / progress.BestRate
		}
		done := 0.0
		if step.Checkpoints {
			done = progress.Percent / 100
		}
		again = max(again, full*(1-done))
		switch {
		case progress.Percent >= 100:
		case progress.Rate > 0 && m.node.slow:
			rest = max(rest, (100-progress.Percent)/progress.Rate)
		case progress.StalledFor >= stillSpan:
			rest = math.Inf(1)
		}
	}
	return rest > moveGain*(again+float64(stopSpan))
}

// roomFor tells whether the tasks fit elsewhere now, counting the room that
// they give up on targets that aren't slow.
func (p *planner) roomFor(t *tenant, members []victim) bool {
	u := &unit{job: t.job, terms: p.State.PolicyOf(t.job), step: t.job.Spec.Steps[t.task.Step], tasks: []anvilwork.Task{t.task}}
	for range len(members) - 1 {
		u.tasks = append(u.tasks, t.task)
	}
	own := map[*node]anvilwork.Resources{}
	for _, m := range members {
		own[m.node] = own[m.node].Plus(m.tenant.need)
	}
	if !u.step.Gang {
		own = nil // a single run that stands still doesn't stay where it is
	}
	return p.fit(u, len(members), func(n *node) anvilwork.Resources {
		if n.closed() {
			return anvilwork.Resources{}
		}
		return n.free.Plus(own[n])
	}) != nil
}
