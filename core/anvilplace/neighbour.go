package anvilplace

import "anvilshunt/core/anvilwork"

// orderApart returns the nodes in the order in which to fill them. Among nodes with equally many accelerators, those come
// first where the step would neither slow other runs down nor be slowed down. The others are still used where no other fits,
// so that nothing waits because of its neighbours and no target stays empty for them.
func (u *waitingStep) orderApart(nodes []*node, v view) []*node {
	if len(nodes) < 2 || nodes[0].planner.Apart == nil {
		return nodes
	}
	ordered := make([]*node, 0, len(nodes))
	var disturbed []*node
	for i, n := range nodes {
		if i > 0 && v.resourcesOf(n).GPU != v.resourcesOf(nodes[i-1]).GPU {
			ordered, disturbed = append(ordered, disturbed...), disturbed[:0]
		}
		if n.disturbs(u.info.job.Queue) {
			disturbed = append(disturbed, n)
		} else {
			ordered = append(ordered, n)
		}
	}
	return append(ordered, disturbed...)
}

// disturbs reports whether runs of a queue on the node would slow down others there, or be slowed down by them.
func (n *node) disturbs(queue anvilwork.QueueName) bool {
	for _, run := range n.placedRuns {
		if !run.stopping && n.planner.Apart(queue, run.info.job.Queue) {
			return true
		}
	}
	return false
}
