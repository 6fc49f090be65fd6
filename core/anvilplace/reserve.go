package anvilplace

import (
	"math"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

const (
	// maxReserveShare limits the share of the accelerators of all usable targets that is kept free for
	// urgent jobs, see reserveRacks.
	maxReserveShare = 0.5
	// startMargin is subtracted from the latest time at which a job can start and still meet its
	// deadline. From then on the job may use accelerators that are kept free for urgent jobs, so that
	// the time that a start takes doesn't make it late.
	startMargin = 2 * anvilclock.Second
	// runtimeSafetyFactor is the factor by which a job is assumed to run longer than estimated, in two
	// decisions: what its latest start is, and whether it would be late if it started over.
	runtimeSafetyFactor = 1.3
	// demandWindow is the time over which Demand averages the accelerators that urgent jobs need.
	demandWindow = 8 * anvilclock.Second
	// burstFactor scales the average demand to cover peaks, because urgent jobs come in bursts.
	burstFactor = 2.0
)

// Demand keeps a moving average of the number of accelerators that urgent jobs need. Its zero value is
// ready to use.
type Demand struct {
	average float64
	at      anvilclock.Millis
}

// Observe updates the average with the number of accelerators that urgent jobs need now.
func (d *Demand) Observe(now anvilclock.Millis, need anvilid.AcceleratorCount) {
	weight := min(1, float64(now-d.at)/float64(demandWindow))
	d.at = now
	d.average += weight * (float64(need) - d.average)
}

// Reserve returns how many accelerators should be kept free for urgent jobs, as an input of Plan.
func (d *Demand) Reserve() anvilid.AcceleratorCount {
	return anvilid.AcceleratorCount(d.average * burstFactor)
}

// UrgentDemand returns the number of accelerators that all unfinished urgent jobs need together.
func UrgentDemand(input Input) anvilid.AcceleratorCount {
	var need anvilid.AcceleratorCount
	for _, job := range input.State.Active() {
		if input.State.PolicyOf(job).Priority == 0 {
			need += demand(job)
		}
	}
	return need
}

// reserveRacks marks targets as reserved for urgent jobs until they have Input.Reserve accelerators,
// at most maxReserveShare of all. It goes rack by rack, from the last rack backwards: a gang needs
// targets in one rack, so reserved targets that are spread over all racks would not help it.
func (p *planner) reserveRacks() {
	slowest := p.urgentTier()
	left := min(p.Reserve, anvilid.AcceleratorCount(maxReserveShare*float64(p.usableAccelerators)))
	for _, r := range slices.Backward(p.racks) {
		for _, n := range r.nodes {
			if left <= 0 {
				return
			}
			if n.tier < slowest {
				continue
			}
			n.reserved = true
			left -= n.target.Resources.GPU
		}
	}
}

// deferrableTier returns the slowest tier on which a step that isn't urgent would still meet its deadline if it
// started later, or the number of tiers if there is none.
func (p *planner) deferrableTier(u *waitingStep) int {
	if u.urgent {
		return len(p.tierSpeeds)
	}
	for tier, speed := range p.tierSpeeds {
		latest := u.due - anvilclock.Millis(runtimeSafetyFactor*float64(u.info.longest)/speed) - startMargin
		if p.Now < latest {
			return tier
		}
	}
	return len(p.tierSpeeds)
}

// urgentTier returns the slowest tier on which the tightest urgent jobs can end in time, or the fastest if there is none.
// Slower targets aren't kept free for urgent jobs.
func (p *planner) urgentTier() int {
	tightest := math.Inf(1)
	for _, queue := range p.State.Config().Queues {
		if queue.Policy.Priority == 0 && queue.Policy.DeadlineFactor > 0 {
			tightest = min(tightest, queue.Policy.DeadlineFactor)
		}
	}
	for tier, speed := range p.tierSpeeds {
		if speed*tightest >= runtimeSafetyFactor {
			return tier
		}
	}
	return len(p.tierSpeeds) - 1
}
