package anvilplace

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// Precautions keep steps from targets that have room, for the benefit of other jobs. The wait that they cause is
// bounded: a step is overdue if nothing of its job is at work, it has waited for maxIdleWait, and there would be
// spare room for it without the precautions. They are lifted for it then, as few of them as possible.

const (
	// maxIdleWait is how long a step waits because of precautions while nothing of its job is at work. Together
	// with the time that a start takes it stays below the 3 s for which a job that could run may stand still.
	maxIdleWait = 2 * anvilclock.Second
	// minSpareRoom is how often the tasks that must be placed together have to fit into what is free. With less
	// room it is better left to the jobs for which it is kept.
	minSpareRoom = 2
)

// precaution is a reason for which a step is kept from targets that have room. The precautions are in the order in
// which they are lifted, and lifting one lifts those before it too.
type precaution int

const (
	noPrecaution precaution = iota
	reserveForUrgent
	claimForWaiting
	avoidSlow
	lastPrecaution = avoidSlow
)

// lifts reports whether a precaution is lifted for the step that is being placed.
func (p *planner) lifts(reason precaution) bool {
	return p.lifted >= reason && (reason == reserveForUrgent || !p.onlyReserve)
}

// fitOverdue finds allotments for tasks of a step that doesn't fit otherwise, with precautions lifted, or returns nil
// if the step isn't overdue. These are all tasks of a gang, or one task, which is enough for the job to be at work. As
// each task that lasts counts for itself, all of them are placed for which there is spare room.
func (p *planner) fitOverdue(u *waitingStep, waiting int) []allotment {
	if !p.standsStill(u) {
		return nil
	}
	defer func(tolerated int) { p.lifted, u.tolerated = noPrecaution, tolerated }(u.tolerated)
	p.lifted, p.onlyReserve = lastPrecaution, !u.step.LongRunning && p.overloaded()
	if p.knownWithoutSpareRoom(u) {
		return nil
	}
	count := p.spareRoom(u, waiting)
	if count == 0 {
		p.recordWithoutSpareRoom(u)
		return nil
	}
	for p.lifted = noPrecaution + 1; p.lifted <= lastPrecaution; p.lifted++ {
		if len(u.failures) > 0 {
			u.tolerated = p.toleratedFailures(u, u.together())
		}
		if allotments := p.fitAvailable(u, count); len(allotments) > 0 {
			return allotments
		}
	}
	return nil
}

// fitAvailable finds allotments for tasks of an overdue step in the available resources: for a gang as a whole, over
// several racks if it doesn't fit in one, or for as many tasks as fit.
func (p *planner) fitAvailable(u *waitingStep, count int) []allotment {
	if !u.step.Gang {
		return p.fitMost(u, count, availableNow)
	}
	if allotments := p.fitAll(u, count, availableNow); len(allotments) > 0 {
		return allotments
	}
	return p.fitSpread(u, count, availableNow)
}

// overloaded reports whether more than half of all usable resources are in use and there is no spare room for all that
// waits. Claimed and slow targets are then kept from overdue steps, except tasks that last, which come in no stream: a
// stream of small tasks would otherwise take all that becomes free, so that gangs never start, and one after the other
// would fail on a target that is ejected and therefore idle.
func (p *planner) overloaded() bool {
	if p.overloadKnown {
		return p.overload
	}
	p.overloadKnown = true
	total, free, waiting := 0.0, 0.0, 0.0
	for _, n := range p.all.nodes {
		if n.usable {
			total += coreEquivalents(n.target.Resources)
			free += max(0, coreEquivalents(n.free))
		}
	}
	for _, u := range p.waitingSteps {
		if len(p.nodesClaimedBy[u.info.job.ID]) == 0 {
			waiting += coreEquivalents(u.need) * float64(len(u.tasks))
		}
	}
	p.overload = free < total/2 && free < minSpareRoom*waiting
	return p.overload
}

// standsStill reports whether a step has waited for maxIdleWait and nothing of its job is at work. A task that lasts
// must be at work whether others of its job are or not.
func (p *planner) standsStill(u *waitingStep) bool {
	return p.Now-u.readySince() >= maxIdleWait && (u.step.LongRunning || !u.info.atWork)
}

// spareRoom returns how many of the waiting tasks of a step may be placed in the available resources so that these
// have room for minSpareRoom as many: all or none of a gang, and at most one task unless the tasks last.
func (p *planner) spareRoom(u *waitingStep, waiting int) int {
	most := u.together()
	if u.step.LongRunning && !u.step.Gang {
		most = waiting
	}
	wanted := minSpareRoom * most
	if p.all.freeAccelerators < u.need.GPU*anvilid.AcceleratorCount(minSpareRoom*u.together()) {
		return 0
	}
	if len(u.failures) > 0 {
		u.tolerated = p.toleratedFailures(u, minSpareRoom*u.together())
	}
	room := 0
	for _, n := range p.all.withFreeAccelerators(u.need.GPU) {
		if room += u.taskCapacity(n, wanted-room, n.available()); room >= wanted {
			break
		}
	}
	if u.step.Gang && room < wanted {
		return 0
	}
	return room / minSpareRoom
}

// spareRoomShape has the properties of a step and of the precautions on which its spare room depends, if
// spareRoomDependsOnShapeOnly reports true.
type spareRoomShape struct {
	need        anvilwork.Resources
	service     anvilid.ServiceName
	label       string
	onlyReserve bool
}

func (p *planner) spareRoomShape(u *waitingStep) spareRoomShape {
	return spareRoomShape{need: u.need, service: u.info.policy.Service, label: u.step.Label, onlyReserve: p.onlyReserve}
}

// spareRoomDependsOnShapeOnly reports whether there is the same spare room for a step as for others of its shape. Of a
// step with MaxPerTarget, the room depends on where its own tasks run, and suspects are kept from further targets.
func (p *planner) spareRoomDependsOnShapeOnly(u *waitingStep) bool {
	return p.dependsOnShapeOnly(u) && !u.suspect() && u.step.MaxPerTarget == 0
}

// knownWithoutSpareRoom reports whether it is already known that there is no spare room for a step, because there was
// none for one of the same shape with as many or fewer tasks to be placed together. Spare room only shrinks during a call
// of Plan until claims are released. Without this check, each of many overdue steps would search all targets.
func (p *planner) knownWithoutSpareRoom(u *waitingStep) bool {
	size, known := p.smallestWithoutSpareRoom[p.spareRoomShape(u)]
	return known && u.together() >= size && p.spareRoomDependsOnShapeOnly(u)
}

// recordWithoutSpareRoom records that there is no spare room for a step, see knownWithoutSpareRoom.
func (p *planner) recordWithoutSpareRoom(u *waitingStep) {
	if !p.spareRoomDependsOnShapeOnly(u) {
		return
	}
	key := p.spareRoomShape(u)
	if size, known := p.smallestWithoutSpareRoom[key]; !known || u.together() < size {
		p.smallestWithoutSpareRoom[key] = u.together()
	}
}
