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
	job      *anvilwork.Job
	node     *node
	need     anvilwork.Resources
	stopping bool // was asked to stop, or its job has ended
	// loss is the weighted work that is lost if the run is stopped, see computeLoss. It is valid if
	// lossKnown is set; lossOf sets both.
	loss      float64
	lossKnown bool
}

// node is a target as seen by one call of Plan.
type node struct {
	target *anvilwork.Target
	usable bool // may be given new runs
	slow   bool // much slower than other targets at present, or failing the tasks that it starts
	free   anvilwork.Resources
	// freeing has the resources of those runs on this node that are being stopped.
	freeing anvilwork.Resources
	// reserved means that the node is kept free for urgent jobs. Other jobs may use it only if they
	// can't start later, see planner.deferrable.
	reserved bool
	// claimedBy is the waiting job that this target is claimed for, or empty. Other jobs may not use a
	// claimed target, except that urgent jobs may if yieldsToUrgent is set.
	claimedBy      anvilid.JobID
	yieldsToUrgent bool
	planner        *planner
	placedRuns     []*placedRun
	// taskCounts is the number of runs of each step on this node, which Step.MaxPerTarget may limit.
	taskCounts map[anvilwork.StepKey]int
}

// rack groups the nodes of one rack.
type rack struct {
	name  anvilid.RackName
	nodes []*node
}

// available returns the resources that the current job can use now.
func (n *node) available() anvilwork.Resources {
	if n.unavailable() {
		return anvilwork.Resources{}
	}
	return n.free
}

// unavailable reports whether no task of the current job may be placed on the node, whatever its free
// resources are.
func (n *node) unavailable() bool {
	return !n.usable || n.slow && !n.claimedForCurrentUrgent() || n.reserved && n.planner.deferrable || n.claimedByOther()
}

// claimedForCurrentUrgent reports whether the node is claimed for the current job and that job is
// urgent. Such a job may use the node even if it seems slow now: otherwise further runs would have
// to be stopped on other nodes.
func (n *node) claimedForCurrentUrgent() bool {
	return n.planner.currentUrgent && n.claimedBy != "" && n.claimedBy == n.planner.currentJob
}

// claimedByOther reports whether the current job may not use the node because the node is claimed for
// another job. An urgent job may use a claimed node if yieldsToUrgent is set.
func (n *node) claimedByOther() bool {
	return n.claimedBy != "" && n.claimedBy != n.planner.currentJob && !(n.yieldsToUrgent && n.planner.currentUrgent)
}

// claimedResources returns the result of freeOrFreeing if the node is claimed for the current job, and
// no resources otherwise.
func (n *node) claimedResources() anvilwork.Resources {
	if n.claimedBy != n.planner.currentJob {
		return anvilwork.Resources{}
	}
	return n.freeOrFreeing()
}

// freeOrFreeing returns the resources that the current job can use now or once the runs that are being
// stopped have ended.
func (n *node) freeOrFreeing() anvilwork.Resources {
	if n.unavailable() {
		return anvilwork.Resources{}
	}
	return n.free.Plus(n.freeing)
}

// allocate subtracts the resources of one task of the step from the free ones and counts the task
// towards the limit of tasks per target.
func (n *node) allocate(u *waitingStep, task anvilwork.Task) {
	n.free = n.free.Minus(need(u.step))
	n.taskCounts[task.StepKey()]++
}

// need returns the resources that a task of a step occupies. Best-effort tasks run on processors
// that other tasks leave idle, so they occupy no processor time of their own.
func need(step anvilwork.Step) anvilwork.Resources {
	if step.BestEffort {
		return anvilwork.Resources{Memory: step.Need.Memory, GPU: step.Need.GPU}
	}
	return step.Need
}

// addNodes creates a node for each target, with the runs that are assigned to the target, and groups
// the nodes into racks.
func (p *planner) addNodes() {
	racks := map[anvilid.RackName]*rack{}
	for _, target := range p.State.Targets() {
		n := &node{
			planner: p, target: target, usable: !target.Leaving && p.Usable(target.ID),
			slow: p.Avoid(target.ID), free: target.Resources, taskCounts: map[anvilwork.StepKey]int{},
		}
		if n.usable {
			p.usableAccelerators += target.Resources.GPU
		}
		p.nodes = append(p.nodes, n)
		p.byID[target.ID] = n
		r := racks[target.Rack]
		if r == nil {
			r = &rack{name: target.Rack}
			racks[target.Rack] = r
			p.racks = append(p.racks, r)
		}
		r.nodes = append(r.nodes, n)
		p.addRuns(n)
	}
	slices.SortFunc(p.racks, func(a, b *rack) int { return cmp.Compare(a.name, b.name) })
}

func (p *planner) addRuns(n *node) {
	for task := range p.State.Runs(n.target.ID) {
		job, ok := p.State.Job(task.Job)
		if !ok {
			continue
		}
		t := &placedRun{task: task, job: job, node: n, need: need(job.Spec.Steps[task.Step])}
		t.stopping = job.Phase.Ended() || p.Stopping(n.target.ID, task)
		n.free = n.free.Minus(t.need)
		if t.stopping {
			n.freeing = n.freeing.Plus(t.need)
		}
		n.placedRuns = append(n.placedRuns, t)
		n.taskCounts[task.StepKey()]++
	}
	slices.SortFunc(n.placedRuns, func(a, b *placedRun) int { return a.task.Compare(b.task) })
	for _, t := range n.placedRuns {
		p.runsByStep[t.task.StepKey()] = append(p.runsByStep[t.task.StepKey()], runOnNode{t, n})
	}
}
