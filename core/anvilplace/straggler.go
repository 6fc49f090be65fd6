package anvilplace

import (
	"math"
	"slices"

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
	// leaveMargin is how much longer than announced a leaving target is expected to work.
	leaveMargin = anvilclock.Second
	// unmovableFromRun is the number of the first run of a task that is no longer moved, so that a task
	// that makes no progress on any target isn't moved forever.
	unmovableFromRun = 3
)

// moveStragglers evicts runs that are delayed by slow targets or make no progress, if they would
// end earlier when restarted elsewhere. A gang is as slow as its slowest member and is moved as a
// whole.
func (p *planner) moveStragglers() {
	fastest := p.fastestSpeed()
	done := map[anvilwork.StepKey]bool{}
	for _, n := range p.all.nodes {
		for _, t := range n.placedRuns {
			if t.stopping || done[t.task.StepKey()] {
				continue
			}
			members := p.gangMembers(t)
			if t.info.job.Spec.Steps[t.task.Step].Gang {
				done[t.task.StepKey()] = true
			}
			if !p.straggles(t, members, fastest) {
				continue
			}
			if elsewhere := p.fitElsewhere(t, members); elsewhere != nil && p.straggles(t, members, slowestSpeed(elsewhere)) {
				p.evict(members, t.info.job.ID)
			}
		}
	}
}

// straggles reports whether a run, or its whole gang, would end sufficiently earlier (minMoveGain) when
// restarted on targets of the given speed. A slow run on a target that isn't slow is just a long one and isn't moved,
// unless it makes no progress.
func (p *planner) straggles(t *placedRun, members []runOnNode, speed float64) bool {
	step := t.info.job.Spec.Steps[t.task.Step]
	if step.LongRunning || t.info.job.State(t.task).Run >= unmovableFromRun {
		return false
	}
	remaining, restarted, progressed := 0.0, 0.0, math.Inf(1)
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
		restarted = max(restarted, fullTime*(1-done)/speed)
		progressed = min(progressed, fullTime*progress.Percent/100/m.node.speed)
		switch {
		case progress.Percent >= 100:
		case progress.Rate > 0 && m.node.slow:
			remaining = max(remaining, (100-progress.Percent)/progress.Rate)
		case progress.StalledFor >= standstillTimeout:
			remaining = math.Inf(1)
		}
	}
	if remaining <= minMoveGain*(restarted+float64(stopLatency)) {
		return false
	}
	return math.IsInf(remaining, 1) || p.delayOf(t, progressed) >= p.moveCost(t, progressed)
}

// delayOf returns the time that a run has lost so far, in milliseconds: the time since it was assigned
// less the time that its progress takes on its targets while they aren't slow.
func (p *planner) delayOf(t *placedRun, progressed float64) float64 {
	return float64(p.Now-t.info.job.State(t.task).PhaseSince) - progressed
}

// moveCost returns the time that a move takes and the work that it loses, in milliseconds. Targets turn slow
// for some seconds, and nobody knows for how long. A run that is moved only when it has lost as much time
// as the move costs never loses more than twice what the better choice would have lost.
func (p *planner) moveCost(t *placedRun, progressed float64) float64 {
	if t.info.job.Spec.Steps[t.task.Step].Checkpoints {
		return float64(stopLatency)
	}
	return float64(stopLatency) + progressed
}

// vacateLeavingTargets evicts runs from targets that leave before the runs can end, if they fit elsewhere.
// Their work is lost when the target ends, and a gang loses that of all its members; the earlier they start
// again, the less.
func (p *planner) vacateLeavingTargets() {
	for _, n := range p.all.nodes {
		if !n.target.Leaving || n.target.LeavesAt == 0 {
			continue
		}
		left := max(0, n.target.LeavesAt-p.Wall) + leaveMargin
		for _, t := range n.placedRuns {
			if t.stopping || p.remainingTime(t) <= left {
				continue
			}
			if members := p.gangMembers(t); !anyStopping(members) && p.fitElsewhere(t, members) != nil {
				p.evict(members, t.info.job.ID)
			}
		}
	}
}

func anyStopping(members []runOnNode) bool {
	return slices.ContainsFunc(members, func(m runOnNode) bool { return m.placedRun.stopping })
}

// fitElsewhere returns allotments for the tasks of a run or gang in free resources if they were
// restarted now, on the fastest targets that have room, or nil. For a gang, the resources of its own runs on
// targets that aren't slow count as free.
func (p *planner) fitElsewhere(t *placedRun, members []runOnNode) []allotment {
	u := &waitingStep{
		info: t.info, step: t.info.job.Spec.Steps[t.task.Step], need: t.need,
		tasks: []anvilwork.Task{t.task}, failures: p.Failures(t.task.StepKey()),
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
	room := view{resourcesOf: func(n *node) anvilwork.Resources {
		if n.unavailable() {
			return noRoom
		}
		return n.free.Plus(released[n])
	}}
	var allotments []allotment
	for low := len(p.tierSpeeds) - 1; low >= 0 && allotments == nil; low-- {
		p.withinTiers(p.fromTier(low), func() { allotments = p.fitAll(u, len(members), room) })
	}
	return allotments
}

// fastestSpeed returns the speed of the fastest node.
func (p *planner) fastestSpeed() float64 {
	fastest := 0.0
	for _, n := range p.all.nodes {
		fastest = max(fastest, n.speed)
	}
	return fastest
}

// slowestSpeed returns the speed of the slowest node of some allotments.
func slowestSpeed(allotments []allotment) float64 {
	slowest := math.Inf(1)
	for _, s := range allotments {
		slowest = min(slowest, s.node.speed)
	}
	return slowest
}
