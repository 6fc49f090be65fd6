package anvilplace

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// gangClaimDelay is how long a gang waits before targets are claimed for it. Most gangs fit
	// somewhere within that time.
	gangClaimDelay = 1500 * anvilclock.Millisecond
	// maxGangClaimShare limits the share of the accelerators of all usable targets that is claimed for
	// gangs that aren't urgent, because some claimed accelerators are idle until the gang starts.
	maxGangClaimShare = 0.25
	// maxGangClaimAttempts limits for how many gangs one call of Plan searches for targets to claim.
	// The other gangs get their turn in later calls.
	maxGangClaimAttempts = 4
	// minRemainingTime is the remaining time that is assumed for a run that has reached its estimated
	// run time and whose speed isn't known.
	minRemainingTime = 500 * anvilclock.Millisecond
)

// gangClaimHorizons are the spans of time from now that claimForGang tries one after the other, the
// shortest first. It looks for targets on which the gang fits once all runs that are expected to end
// within the span are over.
var gangClaimHorizons = [...]anvilclock.Millis{500, 1000, 2000, 4000, 8000, 16_000}

// claimForGang claims the targets on which a gang that fits nowhere now will fit soonest. Without the
// claim, a gang that needs empty targets or an empty rack would wait forever, because smaller tasks
// take all resources that become free. Urgent jobs may still use the claimed targets.
func (p *planner) claimForGang(u *waitingStep) {
	if p.Now-u.from < gangClaimDelay || p.keepsGangClaim(u) {
		return
	}
	p.releaseClaims(u)
	if p.gangClaimAttempts >= maxGangClaimAttempts || p.gangClaimed >= p.gangClaimLimit() {
		return
	}
	p.gangClaimAttempts++
	allotments := p.fitSoonest(u, true)
	if allotments == nil {
		allotments = p.fitSoonest(u, false)
	}
	if allotments != nil {
		p.claimWithinLimit(u, allotments)
	}
}

// fitSoonest returns the allotments of a gang within the shortest horizon in which it will fit, or nil. With inTime it
// considers only targets on which the gang ends by its deadline if it starts then, and returns nil if these are all.
func (p *planner) fitSoonest(u *waitingStep, inTime bool) []allotment {
	for horizon, span := range gangClaimHorizons {
		tiers := p.allTiers()
		if inTime {
			required := p.requiredTier(u, p.Now+span, runtimeSafetyFactor)
			if !p.needsFaster(required) {
				continue
			}
			tiers = p.fromTier(required)
		}
		var allotments []allotment
		p.withinTiers(tiers, func() {
			allotments = p.fitAll(u, len(u.tasks), view{resourcesOf: func(n *node) anvilwork.Resources { return n.availableWithin(horizon) }})
		})
		if allotments != nil {
			return allotments
		}
	}
	return nil
}

// claimWithinLimit claims the targets of allotments for a gang that isn't urgent and returns true, unless gangClaimLimit
// would be exceeded.
func (p *planner) claimWithinLimit(u *waitingStep, allotments []allotment) bool {
	if p.gangClaimed+accelerators(allotments) > p.gangClaimLimit() {
		return false
	}
	p.gangClaimed += accelerators(allotments)
	p.claimTargets(u, allotments)
	return true
}

// keepsGangClaim reports whether the targets that the previous call of Plan claimed for a gang are kept:
// the gang will fit on them within the longest horizon, and gangClaimLimit isn't exceeded. If so, it
// counts the accelerators of these targets towards the limit.
func (p *planner) keepsGangClaim(u *waitingStep) bool {
	if len(p.nodesClaimedBy[u.info.job.ID]) == 0 {
		return false
	}
	claimed := p.fitAll(u, len(u.tasks), view{resourcesOf: func(n *node) anvilwork.Resources {
		if n.claimedBy != u.info.job.ID {
			return noRoom
		}
		return n.availableWithin(len(gangClaimHorizons) - 1)
	}})
	if claimed == nil || p.gangClaimed+accelerators(claimed) > p.gangClaimLimit() {
		return false
	}
	p.gangClaimed += accelerators(claimed)
	return true
}

// gangClaimLimit returns how many accelerators may be claimed in total for gangs that aren't urgent.
func (p *planner) gangClaimLimit() anvilid.AcceleratorCount {
	return anvilid.AcceleratorCount(maxGangClaimShare * float64(p.usableAccelerators))
}

// accelerators returns the number of accelerators, in use or not, of all targets in allotments.
func accelerators(allotments []allotment) anvilid.AcceleratorCount {
	var sum anvilid.AcceleratorCount
	for _, s := range allotments {
		sum += s.node.target.Resources.GPU
	}
	return sum
}

// availableWithin returns the resources that the current job can use on a node once a horizon has passed,
// if nothing else is placed there until then, or noRoom. horizon is an index of gangClaimHorizons.
func (n *node) availableWithin(horizon int) anvilwork.Resources {
	if n.unavailable() {
		return noRoom
	}
	return n.free.Plus(n.freeing).Plus(n.endingWithin(horizon))
}

// endingWithin returns the resources of the runs on a node that are expected to end by themselves within
// a horizon.
func (n *node) endingWithin(horizon int) anvilwork.Resources {
	if !n.endingKnown {
		n.ending, n.endingKnown = [len(gangClaimHorizons)]anvilwork.Resources{}, true
		for _, t := range n.placedRuns {
			if t.stopping {
				continue
			}
			remaining := n.planner.remainingTime(t)
			for i, span := range gangClaimHorizons {
				if remaining <= span {
					n.ending[i] = n.ending[i].Plus(t.need)
				}
			}
		}
	}
	return n.ending[horizon]
}

// remainingTime estimates how much longer a run takes, from its speed or else from the estimated run
// time of its step on its target. It returns an hour for runs that continue until they are cancelled.
func (p *planner) remainingTime(t *placedRun) anvilclock.Millis {
	step := t.info.job.Spec.Steps[t.task.Step]
	progress, known := p.Progress(t.task)
	switch {
	case step.LongRunning:
		return anvilclock.Hour
	case known && progress.Rate > 0:
		return anvilclock.Millis((100 - progress.Percent) / progress.Rate)
	}
	return max(minRemainingTime, anvilclock.Millis(float64(step.Estimate)/t.node.speed)-(p.Now-t.info.job.State(t.task).PhaseSince))
}
