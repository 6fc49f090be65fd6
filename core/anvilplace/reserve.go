package anvilplace

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

const (
	// maxReserveShare limits the share of all accelerators that is held back from jobs that can
	// start later.
	maxReserveShare = 0.5
	// startMargin is how long before its latest start a job may use accelerators that are held
	// back, so that the time that a start takes doesn't make it late.
	startMargin = 2 * anvilclock.Second
	// runtimeSafetyFactor scales the estimated run time of a job when its latest start is computed.
	runtimeSafetyFactor = 1.3
	// demandWindow is the time over which the demand of urgent jobs is averaged.
	demandWindow = 8 * anvilclock.Second
	// burstFactor scales the average demand to cover peaks, because urgent jobs come in bursts.
	burstFactor = 2.0
)

// Demand tracks how many accelerators urgent jobs need. Its zero value is ready to use.
type Demand struct {
	average float64
	at      anvilclock.Millis
}

// Observe records the present demand of urgent jobs.
func (d *Demand) Observe(now anvilclock.Millis, need anvilid.AcceleratorCount) {
	weight := min(1, float64(now-d.at)/float64(demandWindow))
	d.at = now
	d.average += weight * (float64(need) - d.average)
}

// Reserve returns how many accelerators should be held back for urgent jobs.
func (d *Demand) Reserve() anvilid.AcceleratorCount {
	return anvilid.AcceleratorCount(d.average * burstFactor)
}

// UrgentDemand returns the number of accelerators that the unfinished urgent jobs need.
func UrgentDemand(input Input) anvilid.AcceleratorCount {
	var need anvilid.AcceleratorCount
	for _, job := range input.State.Active() {
		if input.State.PolicyOf(job).Priority == 0 {
			need += demand(job)
		}
	}
	return need
}

// reserveRacks marks whole racks as reserved for urgent jobs, from the last rack on. A gang needs
// targets in one rack, so a reserve that is spread over all racks would not help it.
func (p *planner) reserveRacks() {
	left := min(p.Reserve, anvilid.AcceleratorCount(maxReserveShare*float64(p.usableAccelerators)))
	for _, r := range slices.Backward(p.racks) {
		for _, n := range r.nodes {
			if left <= 0 {
				return
			}
			n.reserved = true
			left -= n.target.Resources.GPU
		}
	}
}

// isDeferrable reports whether a step that isn't urgent would still meet its deadline if it started
// later.
func (p *planner) isDeferrable(u *waitingStep) bool {
	latest := u.due - anvilclock.Millis(runtimeSafetyFactor*float64(longestChain(u.job))) - startMargin
	return !u.urgent && p.Now < latest
}
