package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
)

// Targets of about the same speed form a tier. A step goes to the slowest tier on which it ends by its deadline, so
// that the faster ones remain for steps that need them. If all targets are about equally fast, there is one tier and
// speeds change nothing.

const (
	// maxTierRatio is the largest ratio of the speeds in one tier. It is above the error of learnt speeds.
	maxTierRatio = 1.2
	// urgentSafetyFactor is the factor by which an urgent job is assumed to run longer than estimated where its tier is
	// chosen. Their estimates are the least certain, and patient work leaves the fast targets to them.
	urgentSafetyFactor = 2
	// startDelay is the expected time from a decision to the start of the tasks: a log commit and a call.
	startDelay = 300 * anvilclock.Millisecond
)

// tierRange is a range of tiers, both ends included. Tiers are numbered by speed, the slowest is 0.
type tierRange struct{ low, high int }

func (r tierRange) contains(tier int) bool { return r.low <= tier && tier <= r.high }

// setTiers sets the speeds and tiers of all nodes.
func (p *planner) setTiers() {
	p.tierSpeeds = []float64{1}
	if p.Speed != nil {
		p.groupBySpeed()
	}
	p.tiers = p.allTiers()
}

// groupBySpeed divides the nodes into tiers, unless all are about equally fast.
func (p *planner) groupBySpeed() {
	nodes := slices.Clone(p.all.nodes)
	for _, n := range nodes {
		n.speed = float64(p.Speed(n.target).OrOrdinary())
	}
	slices.SortStableFunc(nodes, func(a, b *node) int { return cmp.Compare(a.speed, b.speed) })
	var speeds []float64
	for first := 0; first < len(nodes); {
		end := first + 1
		for end < len(nodes) && nodes[end].speed <= maxTierRatio*nodes[first].speed {
			end++
		}
		for _, n := range nodes[first:end] {
			n.tier = len(speeds)
		}
		speeds = append(speeds, nodes[(first+end-1)/2].speed)
		first = end
	}
	if len(speeds) > 1 {
		p.tierSpeeds = speeds
		return
	}
	for _, n := range nodes {
		n.speed = 1
	}
}

// allTiers returns the range of all tiers.
func (p *planner) allTiers() tierRange { return tierRange{0, len(p.tierSpeeds) - 1} }

// withinTiers calls f, for which nodes outside the range of tiers are unavailable.
func (p *planner) withinTiers(r tierRange, f func()) {
	p.tiers = r
	defer func() { p.tiers = p.allTiers() }()
	f()
}

// choosesTier reports whether speeds matter for where a step is placed. A task that lasts has no end that a faster
// target would bring forward, and suspects have fewer targets to choose from.
func (p *planner) choosesTier(u *waitingStep) bool {
	return len(p.tierSpeeds) > 1 && !u.step.LongRunning && !u.suspect()
}

// requiredTier returns the slowest tier on which a step that starts at a given time ends by its deadline, if it runs for
// longer than estimated by a factor. It is the number of tiers if that is possible only without the factor, and 0 if the
// step ends late on all tiers, because the fast ones are better used for others then.
func (p *planner) requiredTier(u *waitingStep, start anvilclock.Millis, factor float64) int {
	if !p.choosesTier(u) {
		return 0
	}
	work, left := u.workLeft(start)
	for tier, speed := range p.tierSpeeds {
		if factor*work <= left*speed {
			return tier
		}
	}
	if work <= left*p.tierSpeeds[len(p.tierSpeeds)-1] {
		return len(p.tierSpeeds)
	}
	return 0
}

// preferredTier returns the required tier of a step that starts now, from which on it looks for targets.
func (p *planner) preferredTier(u *waitingStep) int {
	return p.requiredTier(u, p.Now, u.safetyFactor())
}

// safetyFactor is the factor by which the step is assumed to run longer than estimated where its tier is chosen.
func (u *waitingStep) safetyFactor() float64 {
	if u.urgent {
		return urgentSafetyFactor
	}
	return runtimeSafetyFactor
}

// workLeft returns the run time on an ordinary target of a step and those that wait for it, and the time that is left
// for them until the deadline if the step starts at a given time. Both are in milliseconds.
func (u *waitingStep) workLeft(start anvilclock.Millis) (work, left float64) {
	return float64(u.info.chains[u.tasks[0].Step]), float64(u.due - start - startDelay)
}

// endsInTime reports whether a step that starts now on a tier ends by its deadline if its estimate is right.
func (p *planner) endsInTime(u *waitingStep, tier int) bool {
	work, left := u.workLeft(p.Now)
	return work <= left*p.tierSpeeds[tier]
}

// needsFaster reports whether only some tiers, those from required on, let a step end in time.
func (p *planner) needsFaster(required int) bool { return 0 < required && required < len(p.tierSpeeds) }

// fromTier returns the range of all tiers from a given one on.
func (p *planner) fromTier(low int) tierRange { return tierRange{low, len(p.tierSpeeds) - 1} }

// gangRanges returns ranges of tiers for a gang in the order in which to try them. Those of suitable begin with the
// preferred tier alone, which leaves the faster targets free. Those of others begin with the fastest tiers.
func (p *planner) gangRanges(preferred int) (suitable, others []tierRange) {
	for high := preferred; high < len(p.tierSpeeds); high++ {
		suitable = append(suitable, tierRange{preferred, high})
	}
	for low := preferred - 1; low >= 0; low-- {
		others = append(others, p.fromTier(low))
	}
	return suitable, others
}

// slowestTier returns the slowest tier of some allotments, which is what a gang is as fast as, or -1 if there are none.
func slowestTier(allotments []allotment) int {
	slowest := -1
	for _, s := range allotments {
		if slowest < 0 || s.node.tier < slowest {
			slowest = s.node.tier
		}
	}
	return slowest
}
