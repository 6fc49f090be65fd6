package anvilplace

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// gatherSpan is how long a gang waits until room is gathered for it. Most
	// find room by themselves before.
	gatherSpan = 1500 * anvilclock.Millisecond
	// gatherShare bounds the part of all accelerators that is gathered, because
	// some of them are idle meanwhile.
	gatherShare = 0.25
	// gathersAPlan bounds the gangs for which room is sought in one plan; the
	// next one goes on with the others.
	gathersAPlan = 4
	// youngRest is the rest of a run of which nothing is known but that it has
	// taken longer than its estimate.
	youngRest = 500 * anvilclock.Millisecond
)

// gatherHorizons are the times within which room may become free, tried in
// this order.
var gatherHorizons = []anvilclock.Millis{500, 1000, 2000, 4000, 8000, 16_000}

// gather keeps targets for a gang that doesn't fit anywhere, where room for it
// comes first. Without that a gang that needs whole targets or a whole rack
// waits for ever while smaller work fills each gap. Urgent work still takes
// the room.
func (p *planner) gather(u *unit) {
	if p.Now-u.from < gatherSpan || p.stillGathers(u) {
		return
	}
	p.release(u)
	if p.gathers >= gathersAPlan || p.gathered >= p.gatherLimit() {
		return
	}
	p.gathers++
	for _, horizon := range gatherHorizons {
		spots := p.fit(u, len(u.tasks), func(n *node) anvilwork.Resources { return n.within(horizon) })
		if spots == nil {
			continue
		}
		if p.gathered+accelerators(spots) <= p.gatherLimit() {
			p.gathered += accelerators(spots)
			p.keep(u, spots)
		}
		return
	}
}

// stillGathers tells whether the targets that the plan before kept for a gang
// will do.
func (p *planner) stillGathers(u *unit) bool {
	if len(p.keptBy[u.job.ID]) == 0 {
		return false
	}
	last := gatherHorizons[len(gatherHorizons)-1]
	kept := p.fit(u, len(u.tasks), func(n *node) anvilwork.Resources {
		if n.keeper != u.job.ID {
			return anvilwork.Resources{}
		}
		return n.within(last)
	})
	if kept == nil || p.gathered+accelerators(kept) > p.gatherLimit() {
		return false
	}
	p.gathered += accelerators(kept)
	return true
}

// gatherLimit is how many accelerators may be gathered.
func (p *planner) gatherLimit() anvilid.AcceleratorCount {
	return anvilid.AcceleratorCount(gatherShare * float64(p.capacity))
}

func accelerators(spots []spot) anvilid.AcceleratorCount {
	var sum anvilid.AcceleratorCount
	for _, s := range spots {
		sum += s.node.target.Room.GPU
	}
	return sum
}

// within is the room that a node has after a time if it gets no other work.
func (n *node) within(span anvilclock.Millis) anvilwork.Resources {
	room := n.promised()
	if n.closed() {
		return room
	}
	for _, t := range n.tenants {
		if !t.stopping && n.planner.rest(t) <= span {
			room = room.Plus(t.need)
		}
	}
	return room
}

// rest estimates how long a run still takes.
func (p *planner) rest(t *tenant) anvilclock.Millis {
	step := t.job.Spec.Steps[t.task.Step]
	progress, known := p.Progress(t.task)
	switch {
	case step.LongRunning:
		return anvilclock.Hour
	case known && progress.Rate > 0:
		return anvilclock.Millis((100 - progress.Percent) / progress.Rate)
	}
	return max(youngRest, step.Estimate-(p.Now-t.job.State(t.task).PhaseSince))
}
