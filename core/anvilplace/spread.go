package anvilplace

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

const (
	// maxRackWait is how long a gang that prefers one rack waits for one with room. Tasks that last may keep each rack
	// from ever becoming free, and a job that could run elsewhere must not stand still.
	maxRackWait = 3 * anvilclock.Second
	// minSpreadRoom is how often a gang must fit into the free resources to be spread over several racks, where it
	// takes longer. With less room, the resources are better used for others until a rack is free.
	minSpreadRoom = 2
)

// fitSpread finds allotments for a gang over several racks that prefers one and has waited for maxRackWait, or returns
// nil.
func (p *planner) fitSpread(u *waitingStep, count int, v view) []allotment {
	if !u.step.PreferOneRack || p.Now-u.readySince() < maxRackWait ||
		p.all.freeAccelerators < minSpreadRoom*anvilid.AcceleratorCount(count)*u.need.GPU {
		return nil
	}
	room := 0
	for _, r := range p.racks {
		room += r.capacity(u, 1, v)
	}
	if room < minSpreadRoom*count {
		return nil
	}
	return p.fitAcrossRacks(u, count, v)
}

// readySince returns when the waiting tasks of a step could have begun at the earliest: its turn has come, and the
// first of them or, for a gang, the last of them began to wait.
func (u *waitingStep) readySince() anvilclock.Millis {
	since := max(u.from, u.firstWaitingSince())
	if u.step.Gang {
		since = max(u.from, u.waitingSince())
	}
	occurrence := &u.info.job.Occurrences[u.tasks[0].Occurrence]
	for _, earlier := range u.step.After {
		since = max(since, lastChange(occurrence.Tasks[earlier]))
	}
	return since
}
