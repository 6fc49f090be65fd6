package anvilplace

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

const (
	// reserveShare bounds the part of all accelerators that is held back from
	// jobs that can wait.
	reserveShare = 0.5
	// riskMargin is how much earlier than its latest start a job may use what
	// is held back, so that it isn't late for the time that a start takes.
	riskMargin = 2 * anvilclock.Second
	// riskChain scales the estimate of a job's run time for its latest start.
	riskChain = 1.3
	// demandSpan is the time over which the demand of urgent jobs is averaged.
	demandSpan = 8 * anvilclock.Second
	// demandScale covers demand above the average: urgent jobs come in bursts.
	demandScale = 2.0
)

// Demand follows how many accelerators urgent jobs need. The zero value has
// seen none.
type Demand struct {
	average float64
	at      anvilclock.Millis
}

// Observe takes the present need of urgent jobs.
func (d *Demand) Observe(now anvilclock.Millis, need anvilid.AcceleratorCount) {
	weight := min(1, float64(now-d.at)/float64(demandSpan))
	d.at = now
	d.average += weight * (float64(need) - d.average)
}

// Reserve is what should be held back for urgent jobs.
func (d *Demand) Reserve() anvilid.AcceleratorCount {
	return anvilid.AcceleratorCount(d.average * demandScale)
}

// UrgentDemand adds up what the unfinished urgent jobs need.
func UrgentDemand(input Input) anvilid.AcceleratorCount {
	var need anvilid.AcceleratorCount
	for _, job := range input.State.Active() {
		if input.State.PolicyOf(job).Priority == 0 {
			need += demand(job)
		}
	}
	return need
}

// holdBack marks whole racks for urgent jobs, the last ones first. A gang needs
// room in one rack, so that room spread over all of them would not help.
func (p *planner) holdBack() {
	left := min(p.Reserve, anvilid.AcceleratorCount(reserveShare*float64(p.capacity)))
	for _, r := range slices.Backward(p.racks) {
		for _, n := range r.nodes {
			if left <= 0 {
				return
			}
			n.reserved = true
			left -= n.target.Room.GPU
		}
	}
}

// canWait tells whether a unit ends in time if it starts later.
func (p *planner) canWait(u *unit) bool {
	latest := u.due - anvilclock.Millis(riskChain*float64(chain(u.job))) - riskMargin
	return !u.urgent && p.Now < latest
}
