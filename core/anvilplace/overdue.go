package anvilplace

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Precautions keep steps from targets that have room, for the benefit of other jobs. They pay where room is scarce: a
// target that is kept free while most of the others are free serves nobody. While the service isn't busy, the wait that
// they cause is therefore bounded: a step is overdue if nothing of its job is at work, it has waited for maxIdleWait, and
// there would be spare room for it without the precautions. They are lifted for it then, as few of them as possible. A task
// that lasts waits no longer however busy the service is, as each of them is to be at work all the time.

const (
	// maxIdleWait is how long a step waits because of precautions while nothing of its job is at work. Together
	// with the time that a start takes it stays below the 3 s for which a job that could run may stand still.
	maxIdleWait = 2 * anvilclock.Second
	// busyShare is the share of the capacity of a service from which on it is busy.
	busyShare = 0.5
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
)

// placeOverdue places tasks of an overdue step: all tasks of a gang, or one task, which is enough for the job to be at
// work. As each task that lasts counts for itself, as many of them are placed as leave spare room. placed is how many
// tasks of the step this call of Plan has placed already.
func (p *planner) placeOverdue(u *waitingStep, placed int) {
	tasks := u.tasks[placed:]
	if len(tasks) == 0 || u.stage == stageAlone || !p.standsStill(u) {
		return
	}
	defer func() { p.lifted = noPrecaution }()
	for p.lifted = reserveForUrgent; p.lifted <= avoidSlow; p.lifted++ {
		count := p.spareRoom(u, len(tasks))
		if count == 0 {
			continue
		}
		allotments := p.fitSuspects(u, count, p.fitMostByTier)
		if u.step.Gang {
			if allotments = p.fitSuspects(u, count, p.fitAll); len(allotments) == 0 {
				allotments = p.fitSpread(u, count, availableNow)
			}
		}
		if len(allotments) > 0 {
			p.releaseClaims(u)
			p.assign(u, tasks, allotments)
			return
		}
	}
}

// lifts reports whether a precaution is lifted for the step that is being placed.
func (p *planner) lifts(reason precaution) bool { return p.lifted >= reason }

// standsStill reports whether a step has waited for maxIdleWait and nothing of its job is at work, while its service
// isn't busy. A task that lasts must be at work whether others of its job are or not, and however busy the service is.
func (p *planner) standsStill(u *waitingStep) bool {
	if !u.step.LongRunning && (u.info.atWork || p.isBusy(u.info.policy.Service)) {
		return false
	}
	return p.Now-u.readySince() >= maxIdleWait
}

// isBusy reports whether at least busyShare of the capacity of a service was in use when this call of Plan began.
func (p *planner) isBusy(service anvilid.ServiceName) bool {
	if busy, known := p.busy[service]; known {
		return busy
	}
	var used, capacity float64
	for _, n := range p.all.nodes {
		if n.usable && n.target.Service == service {
			capacity += coreEquivalents(n.target.Resources)
			used += n.usedAtFirst
		}
	}
	p.busy[service] = used >= busyShare*capacity
	return p.busy[service]
}

// spareRoom returns how many of the waiting tasks of a step may be placed in the available resources so that these
// have room for minSpareRoom as many: all or none of a gang, and at most one task unless the tasks last.
func (p *planner) spareRoom(u *waitingStep, waiting int) int {
	most := u.together()
	if u.step.LongRunning && !u.step.Gang {
		most = min(waiting, p.startsLeft(u.urgent))
	}
	wanted := minSpareRoom * most
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
