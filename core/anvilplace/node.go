package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// placedRun is a run that is assigned to a node and occupies resources there.
type placedRun struct {
	task     anvilwork.Task
	info     *jobInfo
	node     *node
	need     anvilwork.Resources
	stopping bool // was asked to stop, or its job has ended
	// evictedBy is the eviction plan that stops the run, if any.
	evictedBy *evictionPlan
	// loss is the weighted work that is lost if the run is stopped, see computeLoss. It is valid if
	// lossKnown is set; lossOf sets both.
	loss      float64
	lossKnown bool
}

// node is a target as seen by one call of Plan.
type node struct {
	target *anvilwork.Target
	index  int    // position among all nodes
	rack   *group // nil only before addNodes returns
	usable bool   // may be given new runs
	// evacuated means that the zone is evacuated. What runs here goes on, so that it counts as at work if the target
	// answers, that is, if it would be usable otherwise.
	evacuated, answers bool
	slow               bool    // much slower than other targets at present, or failing the tasks that it starts
	speed              float64 // relative to an ordinary target, or 1 if there is one tier
	tier               int     // position of its tier, the slowest is 0
	free               anvilwork.Resources
	// usedAtFirst is what was in use when this call of Plan began, see coreEquivalents.
	usedAtFirst float64
	// freeing has the resources of those runs on this node that are being stopped.
	freeing anvilwork.Resources
	// reserved means that the node is kept free for urgent jobs. Other jobs may use it only if they
	// can't start later, see planner.deferrableFrom, or are overdue, see placeOverdue.
	reserved bool
	// claimedBy is the waiting job that this target is claimed for, or empty. Other jobs may not use a
	// claimed target, except that urgent jobs and overdue steps may if yieldsToUrgent is set.
	claimedBy      anvilid.JobID
	yieldsToUrgent bool
	// probation is the job whose suspects run here and are still on probation, or empty, see excluded.
	probation anvilid.JobID
	// soleJob is the job of all runs here, those included that this call of Plan has placed, or nil if there
	// are none. It is invalid if several jobs have runs here, which is when mixed is set. addRun sets both.
	soleJob *jobInfo
	mixed   bool
	// urgentByJob is the number of urgent runs here of each job, and urgentRuns their sum.
	urgentByJob map[anvilid.JobID]int
	urgentRuns  int
	planner     *planner
	placedRuns  []*placedRun
	// restarted means that this target or one on the same machine may have crashed recently, see markRestarted.
	restarted bool
	// taskCounts is the number of runs on this node of each step that Step.MaxPerTarget limits.
	taskCounts map[anvilwork.StepKey]int
	// evictable has those of placedRuns that may be stopped for an urgent job, with the least loss first.
	// It is valid if evictableKnown is set; evictionOrder sets both.
	evictable      []*placedRun
	evictableKnown bool
	// ending has the resources of the runs that are expected to end by themselves within each of the
	// horizons. It is valid if endingKnown is set; endingWithin sets both.
	ending      [len(gangClaimHorizons)]anvilwork.Resources
	endingKnown bool
	// repricing means that the price of the node in the present eviction plan is outdated.
	repricing bool
}

// noRoom are resources in which no task fits, not even one that occupies none (see Resources.FitCount).
var noRoom = anvilwork.Resources{CPU: -1, Memory: -1, GPU: -1}

// available returns the resources that the current job can use now, or noRoom.
func (n *node) available() anvilwork.Resources {
	if n.unavailable() {
		return noRoom
	}
	return n.free
}

// unavailable reports whether no task of the current job may be placed on the node, whatever its free
// resources are.
func (n *node) unavailable() bool { return n.unavailableTo(n.planner.currentUsesSlow) }

// unavailableTo is unavailable for a step that may use slow nodes or not.
func (n *node) unavailableTo(usesSlow bool) bool {
	return !n.usable || !n.planner.tiers.contains(n.tier) || n.avoidedBy(usesSlow) || n.keptForUrgent() || n.claimedByOther() || n.excluded()
}

// avoidedBy reports whether the node is slow and the current job may therefore not use it, given whether its step may
// use slow nodes.
func (n *node) avoidedBy(usesSlow bool) bool {
	return n.slow && !usesSlow && !n.planner.lifts(avoidSlow) && !n.claimedForCurrentUrgent()
}

// keptForUrgent reports whether the current job may not use the node because it is reserved for urgent jobs.
func (n *node) keptForUrgent() bool {
	return n.reserved && n.tier >= n.planner.deferrableFrom && !n.planner.lifts(reserveForUrgent)
}

// claimedForCurrentUrgent reports whether the node is claimed for the current job and that job is
// urgent. Such a job may use the node even if it seems slow now: otherwise further runs would have
// to be stopped on other nodes.
func (n *node) claimedForCurrentUrgent() bool {
	return n.planner.currentUrgent && n.claimedBy != "" && n.claimedBy == n.planner.currentJob
}

// claimedByOther reports whether the current job may not use the node because the node is claimed for
// another job. An urgent job or an overdue step may use a claimed node if yieldsToUrgent is set.
func (n *node) claimedByOther() bool {
	if n.claimedBy == "" || n.claimedBy == n.planner.currentJob {
		return false
	}
	return !n.yieldsToUrgent || !n.planner.currentUrgent && !n.planner.lifts(claimForWaiting)
}

// claimedResources returns the result of freeOrFreeing if the node is claimed for the current job, and
// noRoom otherwise.
func (n *node) claimedResources() anvilwork.Resources {
	if n.claimedBy != n.planner.currentJob {
		return noRoom
	}
	return n.freeOrFreeing()
}

// freeOrFreeing returns the resources that the current job can use now or once the runs that are being
// stopped have ended, or noRoom.
func (n *node) freeOrFreeing() anvilwork.Resources {
	if n.unavailable() {
		return noRoom
	}
	return n.free.Plus(n.freeing)
}

// allocate subtracts the resources of count tasks of the step from the free ones and counts the tasks
// towards the limit of tasks per target.
func (n *node) allocate(u *waitingStep, count int) {
	reduceFree(n, []*group{n.rack, n.planner.all}, func() {
		for range count {
			n.free = n.free.Minus(u.need)
		}
	})
	n.countTasks(u.step, u.tasks[0].StepKey(), count)
	for range count {
		n.addRun(u.info)
	}
	if u.suspect() {
		n.planner.setProbation(n, u.info.job.ID)
	}
}

func (n *node) countTasks(step anvilwork.Step, key anvilwork.StepKey, count int) {
	if step.MaxPerTarget == 0 {
		return
	}
	if n.taskCounts == nil {
		n.taskCounts = map[anvilwork.StepKey]int{}
	}
	n.taskCounts[key] += count
}

// addNodes creates a node for each target, with the runs that are assigned to the target, and groups
// the nodes into racks.
func (p *planner) addNodes() {
	targets := p.State.Targets()
	nodes := make([]node, len(targets))
	p.all = &group{nodes: make([]*node, len(targets))}
	for i, target := range targets {
		n := &nodes[i]
		*n = node{
			planner: p, target: target, index: i, answers: !target.Leaving && p.Usable(target.ID),
			evacuated: p.State.Evacuated(target.Zone), slow: p.Avoid(target.ID), speed: 1, free: target.Resources,
		}
		n.usable = n.answers && !n.evacuated
		if n.usable {
			p.usableTargets++
			p.emptyNodes++
			p.usableAccelerators += target.Resources.GPU
		}
		if n.slow {
			p.slowNodes++
		}
		p.all.nodes[i] = n
		p.byID[target.ID] = n
		p.addToRack(n)
		p.addRuns(n)
		n.usedAtFirst = coreEquivalents(target.Resources.Minus(n.free))
	}
	p.setTiers()
	p.markRestarted()
	slices.SortFunc(p.racks, func(a, b *group) int { return cmp.Compare(a.name, b.name) })
	p.all.sortByFree()
	for _, r := range p.racks {
		r.sortByFree()
	}
}

func (p *planner) addToRack(n *node) {
	n.rack = p.rackByName[n.target.Rack]
	if n.rack == nil {
		n.rack = &group{name: n.target.Rack}
		p.rackByName[n.target.Rack] = n.rack
		p.racks = append(p.racks, n.rack)
	}
	n.rack.nodes = append(n.rack.nodes, n)
}

func (p *planner) addRuns(n *node) {
	runs := p.State.Runs(n.target.ID)
	placed := make([]placedRun, 0, len(runs))
	for task := range runs {
		info := p.jobInfo(task.Job)
		if info == nil {
			continue
		}
		t := placedRun{task: task, info: info, node: n, need: info.job.Spec.Steps[task.Step].Occupies()}
		t.stopping = info.job.Phase.Ended() || p.Stopping(n.target.ID, task)
		n.free = n.free.Minus(t.need)
		if t.stopping {
			n.freeing = n.freeing.Plus(t.need)
		}
		placed = append(placed, t)
		info.atWork = info.atWork || n.answers
		n.countTasks(info.job.Spec.Steps[task.Step], task.StepKey(), 1)
	}
	slices.SortFunc(placed, func(a, b placedRun) int { return a.task.Compare(b.task) })
	for i := range placed {
		t := &placed[i]
		n.placedRuns = append(n.placedRuns, t)
		n.addRun(t.info)
		if p.onProbation(t) {
			p.setProbation(n, t.task.Job)
		}
		p.runsByStep[t.task.StepKey()] = append(p.runsByStep[t.task.StepKey()], runOnNode{t, n})
	}
}
