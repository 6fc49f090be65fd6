package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// placedRun is a run that occupies resources on a node.
type placedRun struct {
	task     anvilwork.Task
	job      *anvilwork.Job
	node     *node
	need     anvilwork.Resources
	stopping bool
	// loss is the work that is lost if the run is stopped. It is computed when first asked for, see
	// lossOf.
	loss      float64
	lossKnown bool
}

// node is a target as seen by one call of Plan.
type node struct {
	target *anvilwork.Target
	usable bool
	slow   bool // much slower than other targets at present, or failing the tasks that it starts
	free   anvilwork.Resources
	// freeing is what the runs on this node that were asked to stop will free.
	freeing anvilwork.Resources
	// reserved means that the node is held back for urgent jobs.
	reserved bool
	// claimedBy is the waiting job that this target is claimed for, or empty. yieldsToUrgent means
	// that urgent jobs may use it all the same.
	claimedBy      anvilid.JobID
	yieldsToUrgent bool
	planner        *planner
	placedRuns     []*placedRun
	// taskCounts is the number of runs of each step on this node, for steps with a limit per
	// target.
	taskCounts map[anvilwork.StepKey]int
}

// rack is the nodes of one rack.
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

// unavailable reports whether the node accepts no tasks of the current job.
func (n *node) unavailable() bool {
	return !n.usable || n.slow && !n.claimedForCurrentUrgent() || n.reserved && n.planner.deferrable || n.claimedByOther()
}

// claimedForCurrentUrgent reports whether the node is claimed for the current job and that job is
// urgent. The claim holds even if the node seems slow now, because more runs would have to be
// stopped elsewhere.
func (n *node) claimedForCurrentUrgent() bool {
	return n.planner.currentUrgent && n.claimedBy != "" && n.claimedBy == n.planner.currentJob
}

// claimedByOther reports whether the node is claimed for another job and not available to the
// current one.
func (n *node) claimedByOther() bool {
	return n.claimedBy != "" && n.claimedBy != n.planner.currentJob && !(n.yieldsToUrgent && n.planner.currentUrgent)
}

// claimedResources returns what is free, or will be once stopping runs have ended, if the node is
// claimed for the current job, and nothing otherwise.
func (n *node) claimedResources() anvilwork.Resources {
	if n.claimedBy != n.planner.currentJob {
		return anvilwork.Resources{}
	}
	return n.freeOrFreeing()
}

// freeOrFreeing returns the resources that are free now or will be once stopping runs have ended.
func (n *node) freeOrFreeing() anvilwork.Resources {
	if n.unavailable() {
		return anvilwork.Resources{}
	}
	return n.free.Plus(n.freeing)
}

// allocate subtracts the resources of one task of the step from the free ones.
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

// addNodes creates a node for each target, with the runs that are assigned to it.
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
