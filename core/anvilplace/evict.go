package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

// gpuWeight is how many processor cores an accelerator counts for when the
// loss of work is compared.
const gpuWeight = 8

// clear makes room for an urgent unit: it waits for runs that are stopping,
// or stops the cheapest set of runs. The nodes are kept for the unit.
func (p *planner) clear(u *unit, count int) {
	if spots := p.fit(u, count, (*node).promised); spots != nil {
		p.keep(spots)
		return
	}
	if !u.assured {
		return
	}
	spots := p.fit(u, count, p.reclaimable)
	for _, s := range spots {
		p.evict(u, s)
	}
	p.keep(spots)
}

func (p *planner) keep(spots []spot) {
	for _, s := range spots {
		s.node.kept = true
	}
}

// reclaimable is the room of a node without the runs that an urgent unit may
// stop.
func (p *planner) reclaimable(n *node) anvilwork.Room {
	room := n.promised()
	if !n.usable || n.kept {
		return room
	}
	for _, t := range n.tenants {
		if !t.stopping && p.evictable(t) {
			room = room.Plus(t.need)
		}
	}
	return room
}

// evictable runs belong to jobs that aren't urgent, or to an account that has
// more urgent work than its guarantee.
func (p *planner) evictable(t *tenant) bool {
	if p.State.Terms(t.job).Priority > 0 {
		return true
	}
	account, ok := p.State.Account(t.job.Account)
	return !ok || p.used[t.job.Account] > account.Guaranteed
}

// evict stops the runs on one node that have least to lose, until the tasks
// fit.
func (p *planner) evict(u *unit, s spot) {
	room := s.node.free.Plus(s.node.soon)
	victims := slices.Clone(s.node.tenants)
	victims = slices.DeleteFunc(victims, func(t *tenant) bool { return t.stopping || !p.evictable(t) })
	slices.SortStableFunc(victims, func(a, b *tenant) int { return cmp.Compare(p.loss(a), p.loss(b)) })
	for _, t := range victims {
		if room.Times(need(u.step), s.count) >= s.count {
			return
		}
		room = room.Plus(t.need)
		p.stop(u, t, s.node)
	}
}

// stop ends a run, and with it the whole gang.
func (p *planner) stop(u *unit, t *tenant, n *node) {
	if !t.job.Spec.Steps[t.task.Step].Gang {
		p.stopOne(u, t, n)
		return
	}
	for _, other := range p.nodes {
		for _, member := range other.tenants {
			if keyOf(member.task) == keyOf(t.task) && !member.stopping {
				p.stopOne(u, member, other)
			}
		}
	}
}

func (p *planner) stopOne(u *unit, t *tenant, n *node) {
	t.stopping = true
	n.soon = n.soon.Plus(t.need)
	p.decision.Evict = append(p.decision.Evict, Eviction{Target: n.target.ID, Task: t.task, For: u.job.ID})
}

// loss is the work in core-milliseconds that stopping a run throws away.
// Urgent runs come last.
func (p *planner) loss(t *tenant) float64 {
	state := t.job.State(t.task)
	span := p.Now - state.At
	step := t.job.Spec.Steps[t.task.Step]
	if step.Saves {
		span = min(span, anvilclock.Second)
	}
	cores := float64(step.Need.CPU)/1000 + gpuWeight*float64(step.Need.GPU)
	if step.Gang {
		cores *= float64(step.Count)
	}
	lost := cores * float64(span)
	if p.State.Terms(t.job).Priority == 0 {
		lost += 1e12
	}
	return lost
}
