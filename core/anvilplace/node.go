package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// tenant is a run that holds room on a node.
type tenant struct {
	task     anvilwork.Task
	job      *anvilwork.Job
	node     *node
	need     anvilwork.Resources
	stopping bool
	// loss is the work that stopping the run throws away, once it was asked for.
	loss    float64
	weighed bool
}

// node is a target during one pass.
type node struct {
	target *anvilwork.Target
	usable bool
	slow   bool // much slower than others now, or failing
	free   anvilwork.Resources
	// soon is the room of runs whose end was asked for.
	soon anvilwork.Resources
	// reserved tells that the node is held back for urgent jobs.
	reserved bool
	// keeper is the job that waits for this target, if any. Yields tells that
	// urgent work may use it all the same.
	keeper  anvilid.JobID
	yields  bool
	planner *planner
	tenants []*tenant
	// tasks counts the runs of each step here, for steps with a spread.
	tasks map[anvilwork.StepKey]int
}

// rack is a set of nodes.
type rack struct {
	name  anvilid.RackName
	nodes []*node
}

// available is the room that a unit may take now.
func (n *node) available() anvilwork.Resources {
	if n.closed() {
		return anvilwork.Resources{}
	}
	return n.free
}

// closed nodes take no tasks of the job that is being served.
func (n *node) closed() bool {
	return !n.usable || n.slow && !n.cleared() || n.reserved && n.planner.waits || n.keptFromServing()
}

// cleared tells whether the node is kept for the urgent job that is being
// served. It stays with that job even if it seems slow now, because elsewhere
// more runs would have to be stopped.
func (n *node) cleared() bool {
	return n.planner.urgent && n.keeper != "" && n.keeper == n.planner.serving
}

// keptFromServing tells whether the node waits for another job.
func (n *node) keptFromServing() bool {
	return n.keeper != "" && n.keeper != n.planner.serving && !(n.yields && n.planner.urgent)
}

// own is the room that is promised on targets kept for the job that is being
// served.
func (n *node) own() anvilwork.Resources {
	if n.keeper != n.planner.serving {
		return anvilwork.Resources{}
	}
	return n.promised()
}

// promised is the room that is free now or after the runs that are stopping.
func (n *node) promised() anvilwork.Resources {
	if n.closed() {
		return anvilwork.Resources{}
	}
	return n.free.Plus(n.soon)
}

// take books the room of a task.
func (n *node) take(u *unit, task anvilwork.Task) {
	n.free = n.free.Minus(need(u.step))
	n.tasks[task.StepKey()]++
}

// need is the room that a task of a step holds. Tasks that fill use
// processors that others leave idle.
func need(step anvilwork.Step) anvilwork.Resources {
	if step.Fills {
		return anvilwork.Resources{Memory: step.Need.Memory, GPU: step.Need.GPU}
	}
	return step.Need
}

// survey books all assigned runs.
func (p *planner) survey() {
	racks := map[anvilid.RackName]*rack{}
	for _, target := range p.State.Targets() {
		n := &node{
			planner: p, target: target, usable: !target.Leaving && p.Usable(target.ID),
			slow: p.Avoid(target.ID), free: target.Room, tasks: map[anvilwork.StepKey]int{},
		}
		if n.usable {
			p.capacity += target.Room.GPU
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
		p.book(n)
	}
	slices.SortFunc(p.racks, func(a, b *rack) int { return cmp.Compare(a.name, b.name) })
}

func (p *planner) book(n *node) {
	for task := range p.State.Runs(n.target.ID) {
		job, ok := p.State.Job(task.Job)
		if !ok {
			continue
		}
		t := &tenant{task: task, job: job, node: n, need: need(job.Spec.Steps[task.Step])}
		t.stopping = job.Phase.Ended() || p.Stopping(n.target.ID, task)
		n.free = n.free.Minus(t.need)
		if t.stopping {
			n.soon = n.soon.Plus(t.need)
		}
		n.tenants = append(n.tenants, t)
		n.tasks[task.StepKey()]++
	}
	slices.SortFunc(n.tenants, func(a, b *tenant) int { return a.task.Compare(b.task) })
	for _, t := range n.tenants {
		p.runs[t.task.StepKey()] = append(p.runs[t.task.StepKey()], victim{t, n})
	}
}
