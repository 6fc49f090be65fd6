package anvilplace

import (
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// shape is what decides where a gang fits, apart from its size and history.
type shape struct {
	need    anvilwork.Resources
	service anvilid.ServiceName
	label   string
	near    anvilid.RackName
	spread  int
	tight   bool
	waits   bool
}

// shape returns the shape of a gang that isn't urgent.
func (p *planner) shape(u *unit) shape {
	return shape{
		need: need(u.step), service: u.terms.Service, label: u.step.Label, near: u.step.Near,
		spread: u.step.MaxPerTarget, tight: u.step.PreferOneRack, waits: p.waits,
	}
}

// comparable tells whether a gang fits just where others of its shape do: it
// has no targets of its own, no ticket, and failed nowhere.
func (p *planner) comparable(u *unit) bool {
	if u.urgent || u.terms.Advice.Needed() || len(p.keptBy[u.job.ID]) > 0 {
		return false
	}
	for _, task := range u.tasks {
		if u.job.State(task).Failed > 0 {
			return false
		}
	}
	return true
}

// blocked tells whether a gang of this shape, and no larger, found no room in
// this plan, during which room only shrinks. Without that each of many waiting
// gangs looks through all racks.
func (p *planner) blocked(u *unit) bool {
	size, known := p.blockedAt[p.shape(u)]
	return known && len(u.tasks) >= size && p.comparable(u)
}

func (p *planner) noteBlocked(u *unit) {
	if !p.comparable(u) {
		return
	}
	key := p.shape(u)
	if size, known := p.blockedAt[key]; !known || len(u.tasks) < size {
		p.blockedAt[key] = len(u.tasks)
	}
}
