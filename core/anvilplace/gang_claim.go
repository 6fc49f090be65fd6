package anvilplace

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// gangClaimDelay is how long a gang waits before targets are claimed for it. Most gangs fit
	// somewhere before that.
	gangClaimDelay = 1500 * anvilclock.Millisecond
	// maxGangClaimShare limits the share of all accelerators that is claimed for gangs that are not
	// urgent, because some claimed accelerators are idle until the gang starts.
	maxGangClaimShare = 0.25
	// maxGangClaimAttempts limits the gangs for which one plan looks for targets to claim. The next
	// plan continues with the others.
	maxGangClaimAttempts = 4
	// minRemainingTime is the assumed remaining time of a run that has exceeded its estimate and of
	// whose speed nothing is known.
	minRemainingTime = 500 * anvilclock.Millisecond
)

// gangClaimHorizons are the times from now within which a gang is to fit. They are tried in this
// order.
var gangClaimHorizons = []anvilclock.Millis{500, 1000, 2000, 4000, 8000, 16_000}

// claimForGang claims targets for a gang that fits nowhere, where it will fit soonest. Without the
// claim, a gang that needs whole targets or a whole rack would wait forever while smaller tasks
// fill each gap. Urgent jobs may still use the claimed targets.
func (p *planner) claimForGang(u *waitingStep) {
	if p.Now-u.from < gangClaimDelay || p.keepsGangClaim(u) {
		return
	}
	p.releaseClaims(u)
	if p.gangClaimAttempts >= maxGangClaimAttempts || p.gangClaimed >= p.gangClaimLimit() {
		return
	}
	p.gangClaimAttempts++
	for _, horizon := range gangClaimHorizons {
		allotments := p.fitAll(u, len(u.tasks), func(n *node) anvilwork.Resources { return n.availableWithin(horizon) })
		if allotments == nil {
			continue
		}
		if p.gangClaimed+accelerators(allotments) <= p.gangClaimLimit() {
			p.gangClaimed += accelerators(allotments)
			p.claimTargets(u, allotments)
		}
		return
	}
}

// keepsGangClaim reports whether the targets that the previous plan claimed for a gang are still
// suitable.
func (p *planner) keepsGangClaim(u *waitingStep) bool {
	if len(p.nodesClaimedBy[u.job.ID]) == 0 {
		return false
	}
	last := gangClaimHorizons[len(gangClaimHorizons)-1]
	claimed := p.fitAll(u, len(u.tasks), func(n *node) anvilwork.Resources {
		if n.claimedBy != u.job.ID {
			return anvilwork.Resources{}
		}
		return n.availableWithin(last)
	})
	if claimed == nil || p.gangClaimed+accelerators(claimed) > p.gangClaimLimit() {
		return false
	}
	p.gangClaimed += accelerators(claimed)
	return true
}

// gangClaimLimit returns how many accelerators may be claimed for gangs that are not urgent.
func (p *planner) gangClaimLimit() anvilid.AcceleratorCount {
	return anvilid.AcceleratorCount(maxGangClaimShare * float64(p.usableAccelerators))
}

func accelerators(allotments []allotment) anvilid.AcceleratorCount {
	var sum anvilid.AcceleratorCount
	for _, s := range allotments {
		sum += s.node.target.Resources.GPU
	}
	return sum
}

// availableWithin returns the resources that a node will have after a time if it is given no other
// work.
func (n *node) availableWithin(span anvilclock.Millis) anvilwork.Resources {
	room := n.freeOrFreeing()
	if n.unavailable() {
		return room
	}
	for _, t := range n.placedRuns {
		if !t.stopping && n.planner.remainingTime(t) <= span {
			room = room.Plus(t.need)
		}
	}
	return room
}

// remainingTime estimates how much longer a run takes.
func (p *planner) remainingTime(t *placedRun) anvilclock.Millis {
	step := t.job.Spec.Steps[t.task.Step]
	progress, known := p.Progress(t.task)
	switch {
	case step.LongRunning:
		return anvilclock.Hour
	case known && progress.Rate > 0:
		return anvilclock.Millis((100 - progress.Percent) / progress.Rate)
	}
	return max(minRemainingTime, step.Estimate-(p.Now-t.job.State(t.task).PhaseSince))
}
