package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilwork"
)

// spot is a number of tasks on one node.
type spot struct {
	node  *node
	count int
}

func total(spots []spot) int {
	sum := 0
	for _, s := range spots {
		sum += s.count
	}
	return sum
}

// room is a way to look at a node's room.
type room func(*node) anvilwork.Resources

// capacity returns how many tasks of a unit a node can take.
func (u *unit) capacity(n *node, limit int, of room) int {
	if !u.suits(n) || u.terms.Advice.Needed() && !u.ticketed(n) {
		return 0
	}
	if u.step.MaxPerTarget > 0 {
		limit = min(limit, u.step.MaxPerTarget-n.tasks[u.tasks[0].StepKey()])
	}
	if limit <= 0 {
		return 0
	}
	return of(n).FitCount(need(u.step), limit)
}

// suits tells whether a node may run the unit, tickets and room aside.
func (u *unit) suits(n *node) bool {
	return n.target.Service == u.terms.Service && u.labelled(n.target) && !n.planner.Failed(u.tasks[0], n.target.ID)
}

func (u *unit) labelled(target *anvilwork.Target) bool {
	return u.step.Label == "" || slices.Contains(target.Labels, u.step.Label)
}

// fit finds spots for all of count tasks, or nil.
func (p *planner) fit(u *unit, count int, of room) []spot {
	if !u.step.PreferOneRack {
		spots := p.fitMost(u, count, of)
		if total(spots) < count {
			return nil
		}
		return spots
	}
	if spots := p.fitRack(u, count, of); spots != nil {
		return spots
	}
	if p.couldFitRack(u, count) {
		return nil
	}
	spots := p.fitRacks(u, count, of)
	if total(spots) < count {
		return nil
	}
	return spots
}

// fitRack finds the rack that holds all tasks and has the least room besides.
// The rack with the data comes first.
func (p *planner) fitRack(u *unit, count int, of room) []spot {
	var best []spot
	bestRest := 0
	for _, r := range p.racks {
		spots, capacity := p.fill(u, r.nodes, count, of)
		if total(spots) < count {
			continue
		}
		rest := capacity - count
		if r.name == u.step.Near {
			return spots
		}
		if best == nil || rest < bestRest {
			best, bestRest = spots, rest
		}
	}
	return best
}

// couldFitRack tells whether an empty rack would hold all tasks.
func (p *planner) couldFitRack(u *unit, count int) bool {
	for _, r := range p.racks {
		sum := 0
		for _, n := range r.nodes {
			if n.usable {
				sum += u.capacity(n, count, whole)
			}
		}
		if sum >= count {
			return true
		}
	}
	return false
}

// fitRacks fills whole racks, those with most room first, so that a gang that
// no rack holds is spread over few.
func (p *planner) fitRacks(u *unit, count int, of room) []spot {
	type option struct {
		rack     *rack
		capacity int
	}
	var options []option
	for _, r := range p.racks {
		if _, capacity := p.fill(u, r.nodes, count, of); capacity > 0 {
			options = append(options, option{r, capacity})
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(b.capacity, a.capacity) })
	var all []spot
	for _, o := range options {
		spots, _ := p.fill(u, o.rack.nodes, count-total(all), of)
		all = append(all, spots...)
	}
	return all
}

// fitMost finds spots for as many of count tasks as possible, near the data
// first.
func (p *planner) fitMost(u *unit, count int, of room) []spot {
	if u.step.Near == "" {
		spots, _ := p.fill(u, p.nodes, count, of)
		return spots
	}
	var near, far []*node
	for _, n := range p.nodes {
		if n.target.Rack == u.step.Near {
			near = append(near, n)
		} else {
			far = append(far, n)
		}
	}
	spots, _ := p.fill(u, near, count, of)
	rest, _ := p.fill(u, far, count-total(spots), of)
	return append(spots, rest...)
}

// fill distributes tasks over nodes, those that are fullest first, so that
// whole nodes stay free. It also returns what the nodes could take in all.
func (p *planner) fill(u *unit, nodes []*node, count int, of room) ([]spot, int) {
	type option struct {
		node     *node
		capacity int
	}
	options := make([]option, 0, len(nodes))
	capacity := 0
	for _, n := range nodes {
		if c := u.capacity(n, len(u.tasks), of); c > 0 {
			options = append(options, option{n, c})
			capacity += c
		}
	}
	slices.SortStableFunc(options, func(a, b option) int {
		return cmp.Or(cmp.Compare(of(a.node).GPU, of(b.node).GPU), cmp.Compare(of(a.node).CPU, of(b.node).CPU))
	})
	var spots []spot
	for _, o := range options {
		if count <= 0 {
			break
		}
		taken := min(o.capacity, count)
		spots = append(spots, spot{o.node, taken})
		count -= taken
	}
	return spots, capacity
}
