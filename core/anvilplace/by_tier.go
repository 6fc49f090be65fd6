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
		required := p.requiredTier(u, p.Now)
		inTime, late := p.gangRanges(required)
		best := p.fitInOrder(u, inTime, fit)
		if best == nil {
			best = p.fitInOrder(u, late, fit)
			if p.awaitsFaster(u, required, best) {
				u.awaitedTier = required
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

// fitMostByTier finds allotments for as many of count tasks as possible. It fills the slowest tier on which they end in
// time first, then the faster ones, then those on which they end late, the fastest of these first.
func (p *planner) fitMostByTier(u *waitingStep, count int, v view) []allotment {
	if !p.choosesTier(u) {
		return p.fitMost(u, count, v)
	}
	required := p.requiredTier(u, p.Now)
	var allotments []allotment
	fill := func(tier int) {
		if left := count - taskCount(allotments); left > 0 {
			p.withinTiers(tierRange{tier, tier}, func() { allotments = append(allotments, p.fitMost(u, left, v)...) })
		}
	}
	for tier := required; tier < len(p.tierSpeeds); tier++ {
		fill(tier)
	}
	for tier := required - 1; tier >= 0; tier-- {
		fill(tier)
	}
	return allotments
}

// awaitsFaster reports whether a gang waits for targets of the required tier or faster ones, because it would end late
// on late, the best of those that are free. It claims the targets that it waits for. An urgent gang may evict runs that
// lose no more work than it has to do.
func (p *planner) awaitsFaster(u *waitingStep, required int, late []allotment) bool {
	if !p.needsFaster(required) || p.endsInTime(u, slowestTier(late)) {
		return false
	}
	waited := p.Now - u.readySince()
	if !u.urgent {
		return waited < maxFasterWait && p.claimFaster(u, required)
	}
	if claimed := p.claimedFit(u); claimed != nil {
		// The wait for evictions ends when an urgent gang that fits nowhere would start at the latest.
		return waited < maxReclaimWait+stopLatency && slowestTier(claimed) > slowestTier(late)
	}
	if waited >= maxReclaimWait {
		return false
	}
	waits := false
	p.withinTiers(p.fromTier(required), func() { waits = p.claimOrEvict(u, len(u.tasks), true) })
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
