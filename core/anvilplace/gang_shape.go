package anvilplace

import (
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// gangShape is everything that determines where a gang fits, except its size and its history.
type gangShape struct {
	need          anvilwork.Resources
	service       anvilid.ServiceName
	label         string
	dataRack      anvilid.RackName
	maxPerTarget  int
	preferOneRack bool
	deferrable    bool
}

// shape returns the shape of a gang that isn't urgent.
func (p *planner) shape(u *waitingStep) gangShape {
	return gangShape{
		need: need(u.step), service: u.policy.Service, label: u.step.Label, dataRack: u.step.PreferredRack,
		maxPerTarget: u.step.MaxPerTarget, preferOneRack: u.step.PreferOneRack, deferrable: p.deferrable,
	}
}

// dependsOnShapeOnly reports whether a gang fits exactly where other gangs of its shape do: it
// isn't urgent, has no claimed targets, needs no ticket and has failed nowhere.
func (p *planner) dependsOnShapeOnly(u *waitingStep) bool {
	if u.urgent || u.policy.Advice.Needed() || len(p.nodesClaimedBy[u.job.ID]) > 0 {
		return false
	}
	for _, task := range u.tasks {
		if u.job.State(task).Failed > 0 {
			return false
		}
	}
	return true
}

// blocked reports whether a gang of this shape that is no larger has already failed to fit in this
// plan. Free resources only shrink during a plan. Without this check, each of many waiting gangs
// would search all racks.
func (p *planner) blocked(u *waitingStep) bool {
	size, known := p.smallestBlocked[p.shape(u)]
	return known && len(u.tasks) >= size && p.dependsOnShapeOnly(u)
}

func (p *planner) recordBlocked(u *waitingStep) {
	if !p.dependsOnShapeOnly(u) {
		return
	}
	key := p.shape(u)
	if size, known := p.smallestBlocked[key]; !known || len(u.tasks) < size {
		p.smallestBlocked[key] = len(u.tasks)
	}
}
