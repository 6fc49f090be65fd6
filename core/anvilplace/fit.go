package anvilplace

import (
	"cmp"
	"slices"

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

// resourcesFunc returns the resources of a node that a search may use: those that are free now, those
// that will be free later, or all that the target has.
type resourcesFunc func(*node) anvilwork.Resources

// taskCapacity returns how many tasks of a step fit in the resources of a node, at most limit. It is 0
// if the step may not run there or needs a ticket that isn't known.
func (u *waitingStep) taskCapacity(n *node, limit int, resourcesOf resourcesFunc) int {
	if !u.eligible(n) || u.policy.Advice.Needed() && !u.hasTicket(n) {
		return 0
	}
	if u.step.MaxPerTarget > 0 {
		limit = min(limit, u.step.MaxPerTarget-n.taskCounts[u.tasks[0].StepKey()])
	}
	if limit <= 0 {
		return 0
	}
	return resourcesOf(n).FitCount(need(u.step), limit)
}

// eligible reports whether the service and labels of a node suit the step and the step hasn't failed
// there. Tickets and resources are checked elsewhere.
func (u *waitingStep) eligible(n *node) bool {
	return n.target.Service == u.policy.Service && u.hasLabel(n.target) && !n.planner.Failed(u.tasks[0], n.target.ID)
}

func (u *waitingStep) hasLabel(target *anvilwork.Target) bool {
	return u.step.Label == "" || slices.Contains(target.Labels, u.step.Label)
}

// fitAll finds allotments for exactly count tasks, or returns nil if not all of them fit. Tasks of a
// step that prefers one rack are spread over several racks only if no rack would be large enough even
// if it were empty.
func (p *planner) fitAll(u *waitingStep, count int, resourcesOf resourcesFunc) []allotment {
	if !u.step.PreferOneRack {
		allotments := p.fitMost(u, count, resourcesOf)
		if taskCount(allotments) < count {
			return nil
		}
		return allotments
	}
	if allotments := p.fitInOneRack(u, count, resourcesOf); allotments != nil {
		return allotments
	}
	if p.fitsEmptyRack(u, count) {
		return nil
	}
	allotments := p.fitAcrossRacks(u, count, resourcesOf)
	if taskCount(allotments) < count {
		return nil
	}
	return allotments
}

// fitInOneRack finds allotments for count tasks in one rack, or returns nil. It prefers
// Step.PreferredRack, which has the data of the step, and otherwise takes the rack that could take the
// fewest further tasks.
func (p *planner) fitInOneRack(u *waitingStep, count int, resourcesOf resourcesFunc) []allotment {
	var best []allotment
	bestRest := 0
	for _, r := range p.racks {
		allotments, capacity := p.packNodes(u, r.nodes, count, resourcesOf)
		if taskCount(allotments) < count {
			continue
		}
		rest := capacity - count
		if r.name == u.step.PreferredRack {
			return allotments
		}
		if best == nil || rest < bestRest {
			best, bestRest = allotments, rest
		}
	}
	return best
}

// fitsEmptyRack reports whether count tasks would fit in some rack if no runs were assigned to it.
func (p *planner) fitsEmptyRack(u *waitingStep, count int) bool {
	for _, r := range p.racks {
		sum := 0
		for _, n := range r.nodes {
			if n.usable {
				sum += u.taskCapacity(n, count, totalResources)
			}
		}
		if sum >= count {
			return true
		}
	}
	return false
}

// fitAcrossRacks fills the racks with the most capacity first, so that a gang that is too large for
// one rack is spread over few.
func (p *planner) fitAcrossRacks(u *waitingStep, count int, resourcesOf resourcesFunc) []allotment {
	type option struct {
		rack     *rack
		capacity int
	}
	var options []option
	for _, r := range p.racks {
		if _, capacity := p.packNodes(u, r.nodes, count, resourcesOf); capacity > 0 {
			options = append(options, option{r, capacity})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(b.capacity, a.capacity) })
	var all []allotment
	for _, o := range options {
		allotments, _ := p.packNodes(u, o.rack.nodes, count-taskCount(all), resourcesOf)
		all = append(all, allotments...)
	}
	return all
}

// fitMost finds allotments for as many of count tasks as possible. It fills Step.PreferredRack first,
// which has the data of the step.
func (p *planner) fitMost(u *waitingStep, count int, resourcesOf resourcesFunc) []allotment {
	if u.step.PreferredRack == "" {
		allotments, _ := p.packNodes(u, p.nodes, count, resourcesOf)
		return allotments
	}
	var nearData, otherNodes []*node
	for _, n := range p.nodes {
		if n.target.Rack == u.step.PreferredRack {
			nearData = append(nearData, n)
		} else {
			otherNodes = append(otherNodes, n)
		}
	}
	allotments, _ := p.packNodes(u, nearData, count, resourcesOf)
	rest, _ := p.packNodes(u, otherNodes, count-taskCount(allotments), resourcesOf)
	return append(allotments, rest...)
}

// packNodes finds allotments for up to count tasks on nodes. It fills the nodes with the least
// available resources first, so that empty nodes stay empty. It also returns how many tasks of the
// step the nodes could take in total, which may be more than count.
func (p *planner) packNodes(u *waitingStep, nodes []*node, count int, resourcesOf resourcesFunc) ([]allotment, int) {
	type option struct {
		node     *node
		capacity int
	}
	options := make([]option, 0, len(nodes))
	capacity := 0
	for _, n := range nodes {
		if c := u.taskCapacity(n, len(u.tasks), resourcesOf); c > 0 {
			options = append(options, option{n, c})
			capacity += c
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(resourcesOf(a.node).GPU, resourcesOf(b.node).GPU), cmp.Compare(resourcesOf(a.node).CPU, resourcesOf(b.node).CPU))
	})
	var allotments []allotment
	for _, o := range options {
		if count <= 0 {
			break
		}
		taken := min(o.capacity, count)
		allotments = append(allotments, allotment{o.node, taken})
		count -= taken
	}
	return allotments, capacity
}
