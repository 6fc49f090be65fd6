package anvilplace

import (
	"cmp"
	"math"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// coresPerAccelerator is the number of processor cores that count as much as one accelerator in
	// sums of work, which are in core-milliseconds.
	coresPerAccelerator = 8
	// urgentLossPenalty is added to the lost work of urgent jobs, in core-milliseconds, so that
	// their runs are evicted after all others.
	urgentLossPenalty = 1e12
	// lateLossFactor multiplies the lost work of a run whose job would miss its deadline if the run
	// started over, because then the value of the job's result is lost, too.
	lateLossFactor = 3
	// stopLatency is the time from the decision to stop runs to the start of the tasks that take
	// their place: the stop itself, two log commits and the calls to targets.
	stopLatency = 1100 * anvilclock.Millisecond
	// estimateError is the assumed relative error of the estimated run time of an urgent job: the job
	// is assumed to run for (1 + estimateError) * estimate. Most urgent jobs exceed their estimate by less.
	estimateError = 0.2
	// maxReclaimWait is how long an urgent job waits at most for runs to end by themselves before runs
	// are stopped for it. Together with stopLatency it stays well below the time within which a job
	// within the guarantee of its account must start.
	maxReclaimWait = 1200 * anvilclock.Millisecond
)

// freeResources claims nodes for an urgent step that doesn't fit and frees resources there, on targets where the
// step ends in time if it can.
func (p *planner) freeResources(u *waitingStep, count int) {
	if len(p.nodesClaimedBy[u.info.job.ID]) > 0 && p.fitAll(u, count, claimedOnly) != nil {
		return // the step will fit on the targets that are already claimed for it
	}
	frees := false
	if required := p.requiredTier(u, p.Now, runtimeSafetyFactor); p.needsFaster(required) {
		p.withinTiers(p.fromTier(required), func() { frees = p.claimOrEvict(u, count, false) })
	}
	if !frees {
		p.claimOrEvict(u, count, false)
	}
}

// claimOrEvict claims nodes for an urgent step. If runs that are already stopping will free enough, it only claims
// their nodes. Otherwise it chooses the runs with the least work to lose and claims their nodes at once, but stops the
// runs only from evictAfter on: each run that ends by itself until then is one less to stop. bounded means that these
// runs may lose no more work than the step has to do, which also holds for steps beyond the guarantee of their account.
// It returns false if it claims nothing.
func (p *planner) claimOrEvict(u *waitingStep, count int, bounded bool) bool {
	if allotments := p.fitAll(u, count, availableOrFreeing); allotments != nil {
		p.claimTargets(u, allotments)
		return true
	}
	best := p.cheapestEvictions(u, count)
	if best == nil || (bounded || !u.withinGuarantee) && best.loss > u.plannedWork(count) {
		return false
	}
	if p.Now >= u.evictAfter() {
		p.evict(best.evictions, u.info.job.ID)
	}
	p.claimTargets(u, best.allotments)
	return true
}

// evict adds runs to Decision.Evictions, to be stopped for a job.
func (p *planner) evict(victims []runOnNode, job anvilid.JobID) {
	for _, v := range victims {
		v.placedRun.stopping, v.node.endingKnown = true, false
		v.node.freeing = v.node.freeing.Plus(v.placedRun.need)
		p.decision.Evictions = append(p.decision.Evictions,
			Eviction{Target: v.node.target.ID, Task: v.placedRun.task, Preemptor: job})
	}
}

// plannedWork returns the estimated work of count tasks of the step, in core-milliseconds. An urgent
// step beyond the guarantee of its account stops runs only if they lose no more work than this.
func (u *waitingStep) plannedWork(count int) float64 {
	return coreEquivalents(u.step.Need) * float64(count) * float64(u.step.Estimate)
}

// coreEquivalents returns the processor cores of resources, where each accelerator counts as
// coresPerAccelerator cores.
func coreEquivalents(r anvilwork.Resources) float64 {
	return float64(r.CPU)/1000 + coresPerAccelerator*float64(r.GPU)
}

// evictAfter returns the time from which on runs may be stopped for an urgent step. Before that time,
// the step waits for runs that end by themselves, because it would still meet its deadline if it
// started a little later.
func (u *waitingStep) evictAfter() anvilclock.Millis {
	slack := u.due - u.from - anvilclock.Millis((1+estimateError)*float64(u.info.longest))
	return u.from + max(0, min(slack-stopLatency, maxReclaimWait))
}

// claimTargets claims the targets of allotments for the job of a step and releases the job's earlier
// claims.
func (p *planner) claimTargets(u *waitingStep, allotments []allotment) {
	p.releaseClaims(u)
	for _, s := range allotments {
		p.claimNode(s.node, u)
	}
}

// releaseClaims releases all targets that are claimed for the job of a step.
func (p *planner) releaseClaims(u *waitingStep) {
	for _, n := range p.nodesClaimedBy[u.info.job.ID] {
		if n.claimedBy == u.info.job.ID {
			n.claimedBy = ""
		}
	}
	delete(p.nodesClaimedBy, u.info.job.ID)
}

// claimNode claims a node for the job of a step. If the node was claimed for another job, it no longer
// is.
func (p *planner) claimNode(n *node, u *waitingStep) {
	n.claimedBy, n.yieldsToUrgent = u.info.job.ID, !u.urgent
	p.nodesClaimedBy[u.info.job.ID] = append(p.nodesClaimedBy[u.info.job.ID], n)
}

// runOnNode is a run together with its node.
type runOnNode struct {
	placedRun *placedRun
	node      *node
}

// evictionPlan is one way to place tasks of a step by stopping runs, with the total loss.
type evictionPlan struct {
	planner     *planner
	waitingStep *waitingStep
	nodes       []*node
	prices      []price       // of placing one more task on each of nodes
	evictions   []runOnNode   // the runs to stop, with all members of their gangs
	taken       map[*node]int // number of tasks that are to be placed on each node
	allotments  []allotment   // the same as taken, ordered like the nodes
	loss        float64       // sum of the losses of the runs, see lossOf
	victims     []*placedRun  // result of the latest call of findVictims
}

// price is the sum of the losses of the runs that must be stopped to place one more task on a node.
type price struct {
	loss     float64
	possible bool
}

// cheapestEvictions returns the eviction plan with the least loss for count tasks of a step, or nil if
// there is none. All tasks go to one rack if the step prefers that and some rack is large enough.
func (p *planner) cheapestEvictions(u *waitingStep, count int) *evictionPlan {
	if !u.step.PreferOneRack || !p.fitsEmptyRack(u, count) {
		return p.planEvictions(u, count, p.all.nodes, math.Inf(1))
	}
	var best *evictionPlan
	limit := math.Inf(1)
	for _, r := range p.racks {
		if c := p.planEvictions(u, count, r.nodes, limit); c != nil {
			best, limit = c, c.loss
		}
	}
	return best
}

// planEvictions places count tasks one after the other, each on the node where stopping runs loses the
// least. It returns nil if not all of them can be placed, or only with a loss of limit or more.
func (p *planner) planEvictions(u *waitingStep, count int, nodes []*node, limit float64) *evictionPlan {
	c := &evictionPlan{planner: p, waitingStep: u, nodes: nodes, prices: make([]price, len(nodes)), taken: map[*node]int{}}
	for i, n := range nodes {
		n.repricing, c.prices[i] = false, c.priceOneTask(n)
	}
	for range count {
		best := c.cheapest()
		if best < 0 {
			return nil
		}
		if c.loss += c.prices[best].loss; c.loss >= limit {
			return nil
		}
		c.findVictims(nodes[best])
		c.addEvictions(c.victims)
		c.taken[nodes[best]]++
		nodes[best].repricing = true
	}
	for _, n := range nodes {
		if taken := c.taken[n]; taken > 0 {
			c.allotments = append(c.allotments, allotment{n, taken})
		}
	}
	return c
}

// cheapest returns the index of the first node with the lowest price, or -1 if no node can take a
// further task.
func (c *evictionPlan) cheapest() int {
	best := -1
	for i, n := range c.nodes {
		if n.repricing {
			n.repricing, c.prices[i] = false, c.priceOneTask(n)
		}
		if c.prices[i].possible && (best < 0 || c.prices[i].loss < c.prices[best].loss) {
			best = i
		}
	}
	return best
}

// priceOneTask returns the price of placing one more task on a node.
func (c *evictionPlan) priceOneTask(n *node) price {
	loss, ok := c.findVictims(n)
	return price{loss, ok}
}

// findVictims sets c.victims to the runs that must be stopped on a node to place one more task there,
// and returns the sum of their losses. It returns false if that isn't possible.
func (c *evictionPlan) findVictims(n *node) (loss float64, ok bool) {
	u, wanted := c.waitingStep, c.taken[n]+1
	c.victims = c.victims[:0]
	if n.unavailable() || u.taskCapacity(n, wanted, n.target.Resources) < wanted {
		return 0, false
	}
	resources := n.freeOrFreeing()
	if wanted > 1 || len(c.evictions) > 0 {
		for _, t := range n.placedRuns {
			if t.evictedBy == c {
				resources = resources.Plus(t.need)
			}
		}
	}
	for _, t := range n.evictionOrder() {
		if resources.FitCount(u.need, wanted) >= wanted {
			break
		}
		if t.stopping || t.evictedBy == c || !c.mayStop(t) {
			continue
		}
		resources = resources.Plus(t.need)
		loss += c.planner.lossOf(t)
		c.victims = append(c.victims, t)
	}
	return loss, resources.FitCount(u.need, wanted) >= wanted
}

// evictionOrder returns the runs on a node that may be stopped for an urgent job, with the least loss
// first. evictionPlan.mayStop and placedRun.stopping can still forbid to stop them.
func (n *node) evictionOrder() []*placedRun {
	if !n.evictableKnown {
		n.evictableKnown = true
		for _, t := range n.placedRuns {
			if t.info.evictable && !t.stopping {
				n.evictable = append(n.evictable, t)
			}
		}
		p := n.planner
		slices.SortStableFunc(n.evictable, func(a, b *placedRun) int { return cmp.Compare(p.lossOf(a), p.lossOf(b)) })
	}
	return n.evictable
}

// addEvictions adds runs to the evictions of the plan, each together with all members of its gang.
func (c *evictionPlan) addEvictions(victims []*placedRun) {
	for _, t := range victims {
		for _, member := range c.planner.gangMembers(t) {
			if member.placedRun.evictedBy != c && !member.placedRun.stopping {
				member.placedRun.evictedBy, member.node.repricing = c, true
				c.evictions = append(c.evictions, member)
			}
		}
	}
}

// gangMembers returns the runs of all members of a run's gang, or only the run itself if it belongs to
// no gang.
func (p *planner) gangMembers(t *placedRun) []runOnNode {
	if !t.info.job.Spec.Steps[t.task.Step].Gang {
		return []runOnNode{{t, t.node}}
	}
	return p.runsByStep[t.task.StepKey()]
}

// mayStop reports whether a run may be stopped, beside those that the plan stops already and those that
// are being stopped, without violating Step.MaxUnavailable, the number of tasks of a long-running step
// that may be down at the same time.
func (c *evictionPlan) mayStop(t *placedRun) bool {
	step := t.info.job.Spec.Steps[t.task.Step]
	if !step.LongRunning || step.MaxUnavailable == 0 {
		return true
	}
	stopping := map[anvilwork.Task]bool{}
	for _, other := range c.planner.runsByStep[t.task.StepKey()] {
		stopping[other.placedRun.task] = other.placedRun.stopping || other.placedRun.evictedBy == c || slices.Contains(c.victims, other.placedRun)
	}
	return c.planner.State.MayStop(func(task anvilwork.Task) bool { return stopping[task] }, t.task)
}

// Loss returns the work in core-milliseconds that is lost if a run is stopped, including the work of
// all members of its gang. A run that saves checkpoints is assumed to lose at most one second of work.
// Now is the time of the replicated log's clock.
func Loss(job *anvilwork.Job, task anvilwork.Task, now anvilclock.Millis) float64 {
	lost := RunLoss(job, task, now)
	if step := job.Spec.Steps[task.Step]; step.Gang {
		lost *= float64(step.Count)
	}
	return lost
}

// RunLoss is like Loss, but without the work of the other members of a gang.
func RunLoss(job *anvilwork.Job, task anvilwork.Task, now anvilclock.Millis) float64 {
	span := now - job.State(task).PhaseSince
	step := job.Spec.Steps[task.Step]
	if step.Checkpoints {
		span = min(span, anvilclock.Second)
	}
	return coreEquivalents(step.Need) * float64(span)
}

// lossOf returns the result of computeLoss for a run, which decides which runs are stopped first. It is
// computed only when needed, because most calls of Plan stop nothing.
func (p *planner) lossOf(t *placedRun) float64 {
	if !t.lossKnown {
		t.loss, t.lossKnown = p.computeLoss(t), true
	}
	return t.loss
}

// computeLoss returns the work that is lost if a run is stopped, in core-milliseconds, with an addition
// for urgent jobs and a factor for jobs that would miss their deadline.
func (p *planner) computeLoss(t *placedRun) float64 {
	lost := Loss(t.info.job, t.task, p.Now)
	switch {
	case t.info.policy.Priority == 0:
		lost += urgentLossPenalty
	case p.lateIfRestarted(t):
		lost *= lateLossFactor
	}
	return lost
}

// lateIfRestarted reports whether a job would miss its deadline if a run of the job started over now.
func (p *planner) lateIfRestarted(t *placedRun) bool {
	_, due := t.info.window(t.task.Occurrence)
	return p.Now+anvilclock.Millis(runtimeSafetyFactor*float64(t.info.chains[t.task.Step])) > due
}
