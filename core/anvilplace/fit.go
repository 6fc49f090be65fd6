package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// allotment is how many tasks of a step are to be placed on one node.
type allotment struct {
	node  *node
	count int
}

func taskCount(allotments []allotment) int {
	sum := 0
	for _, s := range allotments {
		sum += s.count
	}
	return sum
}

// view is the resources of the nodes that a search may use: those that are free now, those that will be
// free later, or all that the targets have.
type view struct {
	resourcesOf func(*node) anvilwork.Resources
	// free means that resourcesOf never returns more than node.free, so that a search need not look at
	// nodes that have too few free accelerators.
	free bool
}

// Views of the resources that the current job can use.
var (
	availableNow       = view{resourcesOf: (*node).available, free: true}
	availableOrFreeing = view{resourcesOf: (*node).freeOrFreeing}
	claimedOnly        = view{resourcesOf: (*node).claimedResources}
)

// taskCapacity returns how many tasks of a step fit in the given resources of a node, at most limit. It
// is 0 if the step may not run there or needs a ticket that isn't known.
func (u *waitingStep) taskCapacity(n *node, limit int, resources anvilwork.Resources) int {
	if u.step.MaxPerTarget > 0 {
		limit = min(limit, u.step.MaxPerTarget-n.taskCounts[u.tasks[0].StepKey()])
	}
	limit = resources.FitCount(u.need, limit)
	if limit <= 0 || !u.eligible(n) || u.info.policy.Advice.Needed() && !u.hasTicket(n) {
		return 0
	}
	return limit
}

// eligible reports whether the service and labels of a node suit the step and the step doesn't avoid it
// because of its failures there. Tickets and resources are checked elsewhere.
func (u *waitingStep) eligible(n *node) bool {
	return n.target.Service == u.info.policy.Service && u.hasLabel(n.target) && !u.avoids(n.target.ID)
}

func (u *waitingStep) hasLabel(target *anvilwork.Target) bool {
	return u.step.Label == "" || slices.Contains(target.Labels, u.step.Label)
}

// fitAll finds allotments for exactly count tasks, or returns nil if not all of them fit. Tasks of a
// step that prefers one rack are spread over several racks only if no rack would be large enough even
// if it were empty.
func (p *planner) fitAll(u *waitingStep, count int, v view) []allotment {
	var allotments []allotment
	switch {
	case !u.step.PreferOneRack:
		allotments = p.fitMost(u, count, v)
	case !p.fitsEmptyRack(u, count):
		allotments = p.fitAcrossRacks(u, count, v)
	default:
		return p.fitInOneRack(u, count, v)
	}
	if taskCount(allotments) < count {
		return nil
	}
	return allotments
}

// fitInOneRack finds allotments for count tasks in one rack, or returns nil. It prefers
// Step.PreferredRack, which has the data of the step, and otherwise takes the rack that could take the
// fewest further tasks.
func (p *planner) fitInOneRack(u *waitingStep, count int, v view) []allotment {
	var best *group
	bestRest := 0
	for _, r := range p.racks {
		rest := r.capacity(u, count, v) - count
		switch {
		case rest < 0:
		case r.name == u.step.PreferredRack:
			return r.pack(u, count, v, nil)
		case best == nil || rest < bestRest:
			best, bestRest = r, rest
		}
	}
	if best == nil {
		return nil
	}
	return best.pack(u, count, v, nil)
}

// fitsEmptyRack reports whether count tasks would fit in some rack if no runs were assigned to it.
func (p *planner) fitsEmptyRack(u *waitingStep, count int) bool {
	if u.step.MaxPerTarget > 0 || u.info.policy.Advice.Needed() || u.hasFailed() {
		return p.largestRack(u) >= count
	}
	key := emptyRackKey{need: u.need, service: u.info.policy.Service, label: u.step.Label}
	largest, known := p.emptyRacks[key]
	if !known {
		largest = p.largestRack(u)
		p.emptyRacks[key] = largest
	}
	return largest >= count
}

// maxTargetTasks is above the number of tasks of any step that fit on one target.
const maxTargetTasks = 1 << 20

// largestRack returns how many tasks of a step would fit in the largest rack if no runs were assigned to
// it.
func (p *planner) largestRack(u *waitingStep) int {
	largest := 0
	for _, r := range p.racks {
		sum := 0
		for _, n := range r.nodes {
			if n.usable {
				sum += u.taskCapacity(n, maxTargetTasks, n.target.Resources)
			}
		}
		largest = max(largest, sum)
	}
	return largest
}

// fitAcrossRacks fills the racks with the most capacity first, so that a gang that is too large for
// one rack is spread over few.
func (p *planner) fitAcrossRacks(u *waitingStep, count int, v view) []allotment {
	type option struct {
		rack     *group
		capacity int
	}
	var options []option
	for _, r := range p.racks {
		if capacity := r.capacity(u, 1, v); capacity > 0 {
			options = append(options, option{r, capacity})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(b.capacity, a.capacity) })
	var all []allotment
	for _, o := range options {
		all = append(all, o.rack.pack(u, count-taskCount(all), v, nil)...)
	}
	return all
}

// fitMost finds allotments for as many of count tasks as possible. It fills Step.PreferredRack first,
// which has the data of the step.
func (p *planner) fitMost(u *waitingStep, count int, v view) []allotment {
	near := p.rackByName[u.step.PreferredRack]
	if u.step.PreferredRack == "" || near == nil {
		return p.all.pack(u, count, v, nil)
	}
	allotments := near.pack(u, count, v, nil)
	return append(allotments, p.all.pack(u, count-taskCount(allotments), v, near)...)
}

// capacity returns how many tasks of the step the nodes of the group could take in total. The result may
// be 0 if that is less than wanted.
func (g *group) capacity(u *waitingStep, wanted int, v view) int {
	nodes := g.nodes
	if v.free {
		if g.freeAccelerators < u.need.GPU*anvilid.AcceleratorCount(wanted) {
			return 0
		}
		nodes = g.withFreeAccelerators(u.need.GPU)
	}
	sum := 0
	for _, n := range nodes {
		sum += u.taskCapacity(n, len(u.tasks), v.resourcesOf(n))
	}
	return sum
}

// pack finds allotments for up to count tasks on the nodes of the group that are not in the group except.
// It fills the nodes with the least available resources first, so that empty nodes stay empty.
func (g *group) pack(u *waitingStep, count int, v view, except *group) []allotment {
	if v.free {
		return packInOrder(u, g.withFreeAccelerators(u.need.GPU), count, v, except)
	}
	type option struct {
		node      *node
		resources anvilwork.Resources
	}
	var options []option
	for _, n := range g.nodes {
		if resources := v.resourcesOf(n); resources.FitCount(u.need, 1) > 0 {
			options = append(options, option{n, resources})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.resources.GPU, b.resources.GPU), cmp.Compare(a.resources.CPU, b.resources.CPU))
	})
	nodes := make([]*node, len(options))
	for i, o := range options {
		nodes[i] = o.node
	}
	return packInOrder(u, nodes, count, v, except)
}

// packInOrder finds allotments for up to count tasks on nodes, and fills them in the given order.
func packInOrder(u *waitingStep, nodes []*node, count int, v view, except *group) []allotment {
	var allotments []allotment
	for _, n := range u.orderApart(nodes, v) {
		if count <= 0 {
			break
		}
		if except != nil && n.rack == except {
			continue
		}
		if taken := u.taskCapacity(n, count, v.resourcesOf(n)); taken > 0 {
			allotments = append(allotments, allotment{n, taken})
			count -= taken
		}
	}
	return allotments
}
