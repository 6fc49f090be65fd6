package anvilplace

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

// maxFasterWait is how long a gang that isn't urgent waits for targets on which it ends in time while others are free.
// It stays below maxIdleWait.
const maxFasterWait = 1200 * anvilclock.Millisecond

// fasterHorizon is the index in gangClaimHorizons of the time within which such targets must become free.
const fasterHorizon = 1

// fitFunc finds allotments for tasks of a step, see fitAll and fitMost.
type fitFunc func(*waitingStep, int, view) []allotment

// placeGangAt places a gang that fits now, with the given allotments if speeds don't matter. fit is how they were found.
// A gang that would end late on the targets that are free may wait for others.
func (p *planner) placeGangAt(u *waitingStep, allotments []allotment, fit fitFunc) {
	if p.choosesTier(u) {
		preferred := p.preferredTier(u)
		suitable, others := p.gangRanges(preferred)
		best := p.fitInOrder(u, suitable, fit)
		if best == nil {
			best = p.fitInOrder(u, others, fit)
			if p.awaitsFaster(u, best) {
				return
			}
		}
		allotments = best
	}
	p.releaseClaims(u)
	p.assign(u, u.tasks, allotments)
}

// fitInOrder finds allotments for all tasks of a gang in the first range of tiers where they fit, or returns nil.
func (p *planner) fitInOrder(u *waitingStep, ranges []tierRange, fit fitFunc) []allotment {
	for _, r := range ranges {
		var allotments []allotment
		p.withinTiers(r, func() { allotments = fit(u, len(u.tasks), availableNow) })
		if len(allotments) > 0 {
			return allotments
		}
	}
	return nil
}

// fitMostByTier finds allotments for as many of count tasks as possible. It fills the preferred tier first, then the
// faster ones, then the slower ones, the fastest of these first.
func (p *planner) fitMostByTier(u *waitingStep, count int, v view) []allotment {
	if !p.choosesTier(u) {
		return p.fitMost(u, count, v)
	}
	preferred := p.preferredTier(u)
	var allotments []allotment
	fill := func(tier int) {
		if left := count - taskCount(allotments); left > 0 {
			p.withinTiers(tierRange{tier, tier}, func() { allotments = append(allotments, p.fitMost(u, left, v)...) })
		}
	}
	for tier := preferred; tier < len(p.tierSpeeds); tier++ {
		fill(tier)
	}
	for tier := preferred - 1; tier >= 0; tier-- {
		fill(tier)
	}
	return allotments
}

// awaitsFaster reports whether a gang waits for faster targets, because it would end late on those that are free even if
// its estimate is right. late is the best of these. It claims the targets that it waits for. An urgent gang may evict
// runs that lose no more work than it has to do.
func (p *planner) awaitsFaster(u *waitingStep, late []allotment) bool {
	required := p.requiredTier(u, p.Now, runtimeSafetyFactor)
	if !p.needsFaster(required) || p.endsInTime(u, slowestTier(late)) {
		return false
	}
	waits := false
	if u.urgent {
		waits = p.awaitsEvictions(u, required, late)
	} else {
		waits = p.Now-u.readySince() < maxFasterWait && p.claimFaster(u, required)
	}
	if waits {
		u.awaitedTier = required
	}
	return waits
}

// awaitsEvictions reports whether an urgent gang waits for the targets that are claimed for it, or claims some. The wait
// ends when an urgent gang that fits nowhere would start at the latest.
func (p *planner) awaitsEvictions(u *waitingStep, required int, late []allotment) bool {
	waited := p.Now - u.readySince()
	if claimed := p.claimedFit(u); claimed != nil {
		return waited < maxReclaimWait+stopLatency && slowestTier(claimed) > slowestTier(late)
	}
	waits := false
	if waited < maxReclaimWait {
		p.withinTiers(p.fromTier(required), func() { waits = p.claimOrEvict(u, len(u.tasks), true) })
	}
	return waits
}

// claimedFit returns allotments for a gang on the targets that are claimed for it, or nil.
func (p *planner) claimedFit(u *waitingStep) []allotment {
	if len(p.nodesClaimedBy[u.info.job.ID]) == 0 {
		return nil
	}
	return p.fitAll(u, len(u.tasks), claimedOnly)
}

// claimFaster claims targets of the required tier or faster ones on which a gang that isn't urgent will fit soon. It
// returns false if there are none.
func (p *planner) claimFaster(u *waitingStep, required int) bool {
	p.releaseClaims(u)
	var allotments []allotment
	p.withinTiers(p.fromTier(required), func() {
		allotments = p.fitAll(u, len(u.tasks), view{resourcesOf: func(n *node) anvilwork.Resources { return n.availableWithin(fasterHorizon) }})
	})
	return allotments != nil && p.claimWithinLimit(u, allotments)
}
