package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// gpuWeight is how many processor cores an accelerator counts for when the
	// loss of work is compared.
	gpuWeight = 8
	// urgentLoss puts runs of urgent jobs behind all others, in core-milliseconds.
	urgentLoss = 1e12
	// tightLoss scales the loss of a run whose job isn't done in time if the run
	// begins anew: its worth is lost besides its work.
	tightLoss = 3
	// stopSpan is the time from the decision to stop runs to the start of what
	// takes their room: the stop itself, two commits and the calls.
	stopSpan = 1100 * anvilclock.Millisecond
	// estimateError is the part of an estimate by which urgent work is usually
	// longer at most.
	estimateError = 0.2
	// reclaimSpan is the longest that an assured job waits before others are
	// stopped for it. With stopSpan it stays well below the bound of the
	// guarantee.
	reclaimSpan = 1200 * anvilclock.Millisecond
)

// clear makes room for an urgent unit: it waits for runs that are stopping,
// or stops the runs that have least to lose. The nodes are kept for the unit,
// also while it waits for runs that end by themselves: each that ends there is
// one less to stop.
func (p *planner) clear(u *unit, count int) {
	if p.fit(u, count, (*node).own) != nil {
		return // it is on its way
	}
	if spots := p.fit(u, count, (*node).promised); spots != nil {
		p.keep(u, spots)
		return
	}
	best := p.cheapest(u, count)
	if best == nil || !u.assured && best.loss > u.work(count) {
		return
	}
	if p.Now < u.patience() {
		p.keep(u, best.spots)
		return
	}
	p.evict(best.order, u.job.ID)
	p.keep(u, best.spots)
}

// evict stops runs for a job.
func (p *planner) evict(victims []victim, job anvilid.JobID) {
	for _, v := range victims {
		v.tenant.stopping = true
		v.node.soon = v.node.soon.Plus(v.tenant.need)
		p.decision.Evictions = append(p.decision.Evictions,
			Eviction{Target: v.node.target.ID, Task: v.tenant.task, Preemptor: job})
	}
}

// work is what a number of tasks of a unit will do, in core-milliseconds. An
// urgent unit without a guarantee doesn't stop more than that.
func (u *unit) work(count int) float64 {
	return cores(u.step) * float64(count) * float64(u.step.Estimate)
}

// cores is the weight of one task in processor cores.
func cores(step anvilwork.Step) float64 {
	return float64(step.Need.CPU)/1000 + gpuWeight*float64(step.Need.GPU)
}

// patience is the time until which an urgent unit waits for room without
// stopping others, because it still ends in time if it starts a little later.
func (u *unit) patience() anvilclock.Millis {
	slack := u.due - u.from - anvilclock.Millis((1+estimateError)*float64(chain(u.job)))
	return u.from + max(0, min(slack-stopSpan, reclaimSpan))
}

// keep keeps targets for a unit, in place of those it had before.
func (p *planner) keep(u *unit, spots []spot) {
	p.release(u)
	for _, s := range spots {
		p.keepNode(s.node, u)
	}
}

// release opens the targets that were kept for a unit.
func (p *planner) release(u *unit) {
	for _, n := range p.keptBy[u.job.ID] {
		if n.keeper == u.job.ID {
			n.keeper = ""
		}
	}
	delete(p.keptBy, u.job.ID)
}

// keepNode keeps a node for a unit, in place of the one it was kept for.
func (p *planner) keepNode(n *node, u *unit) {
	n.keeper, n.yields = u.job.ID, !u.urgent
	p.keptBy[u.job.ID] = append(p.keptBy[u.job.ID], n)
}

// victim is a run that is stopped, with its node.
type victim struct {
	tenant *tenant
	node   *node
}

// clearing is one way to make room.
type clearing struct {
	planner *planner
	unit    *unit
	gone    map[*tenant]bool
	order   []victim
	taken   map[*node]int
	spots   []spot
	loss    float64
}

// cheapest finds the way with the least loss, within one rack where the unit
// needs that, or nil.
func (p *planner) cheapest(u *unit, count int) *clearing {
	if !u.step.PreferOneRack || !p.couldFitRack(u, count) {
		return p.clearing(u, count, p.nodes)
	}
	var best *clearing
	for _, r := range p.racks {
		if c := p.clearing(u, count, r.nodes); c != nil && (best == nil || c.loss < best.loss) {
			best = c
		}
	}
	return best
}

// clearing adds one task after the other where it costs least.
func (p *planner) clearing(u *unit, count int, nodes []*node) *clearing {
	c := &clearing{planner: p, unit: u, gone: map[*tenant]bool{}, taken: map[*node]int{}}
	for range count {
		var best *node
		var victims []*tenant
		var least float64
		for _, n := range nodes {
			set, loss, ok := c.price(n)
			if ok && (best == nil || loss < least) {
				best, victims, least = n, set, loss
			}
		}
		if best == nil {
			return nil
		}
		c.stop(victims)
		c.loss += least
		c.taken[best]++
	}
	for _, n := range nodes {
		if taken := c.taken[n]; taken > 0 {
			c.spots = append(c.spots, spot{n, taken})
		}
	}
	return c
}

// price returns the runs to stop on a node for one more task, and their loss.
func (c *clearing) price(n *node) (victims []*tenant, loss float64, ok bool) {
	room := n.promised()
	if n.closed() || c.unit.capacity(n, c.taken[n]+1, whole) <= c.taken[n] {
		return nil, 0, false
	}
	var candidates []*tenant
	for _, t := range n.tenants {
		switch {
		case c.gone[t]:
			room = room.Plus(t.need)
		case !t.stopping && c.planner.evictable(t):
			candidates = append(candidates, t)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *tenant) int { return cmp.Compare(c.planner.lossOf(a), c.planner.lossOf(b)) })
	wanted := c.taken[n] + 1
	for room.FitCount(need(c.unit.step), wanted) < wanted {
		if len(candidates) == 0 {
			return nil, 0, false
		}
		t := candidates[0]
		candidates = candidates[1:]
		room = room.Plus(t.need)
		loss += c.planner.lossOf(t)
		victims = append(victims, t)
	}
	return victims, loss, true
}

// whole is the room of an empty target.
func whole(n *node) anvilwork.Resources { return n.target.Room }

// stop notes runs as stopped, each with its whole gang.
func (c *clearing) stop(victims []*tenant) {
	for _, t := range victims {
		for _, member := range c.planner.gang(t) {
			if !c.gone[member.tenant] && !member.tenant.stopping {
				c.gone[member.tenant] = true
				c.order = append(c.order, member)
			}
		}
	}
}

// gang lists a run with the other members of its gang.
func (p *planner) gang(t *tenant) []victim {
	if !t.job.Spec.Steps[t.task.Step].Gang {
		return []victim{{t, t.node}}
	}
	return p.runs[t.task.StepKey()]
}

// evictable runs belong to jobs that aren't urgent, or to an account that has
// more urgent work than its guarantee.
func (p *planner) evictable(t *tenant) bool {
	if !p.mayStop(t) {
		return false
	}
	if p.State.PolicyOf(t.job).Priority > 0 {
		return true
	}
	account, ok := p.State.Account(t.job.Account)
	return !ok || p.used[t.job.Account] > account.Guaranteed
}

// mayStop tells whether the caller bears the loss of a lasting run. Two of a
// step are never stopped at a time, because the state shows the first only once
// it has ended.
func (p *planner) mayStop(t *tenant) bool {
	step := t.job.Spec.Steps[t.task.Step]
	if !step.LongRunning || step.MaxUnavailable == 0 {
		return true
	}
	for _, other := range p.runs[t.task.StepKey()] {
		if other.tenant.stopping {
			return false
		}
	}
	return p.State.MayStop(t.task)
}

// Loss is the work in core-milliseconds that stopping a run throws away, that
// of its whole gang included. Now is the clock of the log.
func Loss(job *anvilwork.Job, task anvilwork.Task, now anvilclock.Millis) float64 {
	span := now - job.State(task).PhaseSince
	step := job.Spec.Steps[task.Step]
	if step.Checkpoints {
		span = min(span, anvilclock.Second)
	}
	lost := cores(step) * float64(span)
	if step.Gang {
		lost *= float64(step.Count)
	}
	return lost
}

// lossOf is the loss of a run, by which those of urgent jobs come last, and
// those of jobs that can wait come first. Most plans stop nothing and ask for
// none.
func (p *planner) lossOf(t *tenant) float64 {
	if !t.weighed {
		t.loss, t.weighed = p.weigh(t), true
	}
	return t.loss
}

func (p *planner) weigh(t *tenant) float64 {
	lost := Loss(t.job, t.task, p.Now)
	terms := p.State.PolicyOf(t.job)
	switch {
	case terms.Priority == 0:
		lost += urgentLoss
	case p.tight(t, terms):
		lost *= tightLoss
	}
	return lost
}

// tight tells whether a job isn't done in time if a run of it begins anew.
func (p *planner) tight(t *tenant, terms anvilwork.QueuePolicy) bool {
	_, due := ScheduledWindow(t.job, terms, t.task.Occurrence)
	return p.Now+anvilclock.Millis(riskChain*float64(chains(t.job)[t.task.Step])) > due
}
