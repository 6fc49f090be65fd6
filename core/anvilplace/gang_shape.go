package anvilplace

import (
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// gangShape has the properties of a gang that determine on which targets it fits, except the number of
// its tasks and where they have failed before.
type gangShape struct {
	need          anvilwork.Resources
	service       anvilid.ServiceName
	label         string
	dataRack      anvilid.RackName
	maxPerTarget  int
	preferOneRack bool
	// deferrableFrom is planner.deferrableFrom.
	deferrableFrom int
}

// emptyRackKey has the properties of a step on which the number of its tasks that fit in an empty rack
// depends, unless the step has failed somewhere or has further limits.
type emptyRackKey struct {
	need    anvilwork.Resources
	service anvilid.ServiceName
	label   string
}

// shape returns the shape of a gang. It is meaningful only if dependsOnShapeOnly reports true.
func (p *planner) shape(u *waitingStep) gangShape {
	return gangShape{
		need: u.need, service: u.info.policy.Service, label: u.step.Label, dataRack: u.step.PreferredRack,
		maxPerTarget: u.step.MaxPerTarget, preferOneRack: u.step.PreferOneRack, deferrableFrom: p.deferrableFrom,
	}
}

// dependsOnShapeOnly reports whether a gang fits exactly where other gangs of its shape and size do:
// it isn't urgent, has no claimed targets, needs no ticket and has failed nowhere.
func (p *planner) dependsOnShapeOnly(u *waitingStep) bool {
	if u.urgent || u.info.policy.Advice.Needed() || len(p.nodesClaimedBy[u.info.job.ID]) > 0 {
		return false
	}
	return !u.hasFailed() && !u.usesSlow
}

// hasFailed reports whether a task of the step is known to have failed on a target.
func (u *waitingStep) hasFailed() bool { return len(u.failures) > 0 }

// blocked reports whether it is already known that a gang doesn't fit, because a gang of the same shape
// with as many or fewer tasks didn't fit earlier in this call of Plan, and free resources only shrink
// during a call. Without this check, each of many waiting gangs would search all racks.
func (p *planner) blocked(u *waitingStep) bool {
	size, known := p.smallestBlocked[p.shape(u)]
	return known && len(u.tasks) >= size && p.dependsOnShapeOnly(u)
}

// recordBlocked records that a gang doesn't fit, so that blocked returns true for gangs of the same shape
// that are as large or larger.
func (p *planner) recordBlocked(u *waitingStep) {
	if !p.dependsOnShapeOnly(u) {
		return
	}
	key := p.shape(u)
	if size, known := p.smallestBlocked[key]; !known || len(u.tasks) < size {
		p.smallestBlocked[key] = len(u.tasks)
	}
}
