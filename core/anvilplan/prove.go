package anvilplan

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilconfig"
)

// extentRank orders extents from tight to loose.
func extentRank(e anvilconfig.Extent) int {
	switch e {
	case anvilconfig.WithinWorker:
		return 0
	case anvilconfig.WithinRack:
		return 1
	}
	return 2
}

// provingOrders are orders of extents in which reservations are tried. Loose
// shapes come last, because they fit into what others leave.
var provingOrders = [][3]int{{1, 0, 2}, {0, 1, 2}}

// proveUnmet tries to find reservations for the unmet units of a service
// and leaves the others where they are.
func (p *Planner) proveUnmet(service int32) { p.proveInOrder(service, provingOrders[0]) }

func (p *Planner) proveInOrder(service int32, order [3]int) {
	if len(p.services[service].unmet) == 0 {
		return
	}
	units := slices.Clone(p.services[service].unmet)
	slices.SortFunc(units, func(a, b int32) int {
		x, y := p.kindOf(a).shape, p.kindOf(b).shape
		return cmp.Or(
			cmp.Compare(order[extentRank(x.Within)], order[extentRank(y.Within)]),
			cmp.Compare(y.Accelerators, x.Accelerators), cmp.Compare(a, b))
	})
	var failed anvilconfig.Shape
	for _, u := range units {
		shape := p.kindOf(u).shape
		// Reservations only shrink the space, so a shape that failed once
		// fails again.
		if shape == failed {
			continue
		}
		blocks, ok := p.unreserved.search(service, shape, p.scratch[:0])
		p.scratch = blocks
		if !ok {
			failed = shape
			continue
		}
		p.reserve(u, blocks)
	}
}

// prove finds reservations for the unmet units of a service. If some remain
// unmet, it arranges all reservations that aren't in use anew and keeps the
// arrangement that leaves the fewest unmet. The arrangement is greedy: it may
// miss a proof that exists.
func (p *Planner) prove(service int32) {
	p.proveUnmet(service)
	if p.mayRearrange(service) {
		p.rearrange(service)
	}
}

// maxQuickUnits bounds the units that the loss of one target rearranges,
// because 600 units take about 1 ms.
const maxQuickUnits = 512

// proveQuickly does the same if there are few units. Otherwise, what is
// unmet is left to Repair.
func (p *Planner) proveQuickly(service int32) {
	if len(p.units) <= maxQuickUnits {
		p.prove(service)
		return
	}
	p.proveUnmet(service)
}

func (p *Planner) rearrange(service int32) {
	best, fewest := p.idleReservations(service), len(p.services[service].unmet)
	for _, order := range provingOrders {
		p.unreserveAll(service)
		p.proveInOrder(service, order)
		unmet := len(p.services[service].unmet)
		if unmet == 0 {
			return
		}
		if unmet < fewest {
			best, fewest = p.idleReservations(service), unmet
		}
	}
	p.unreserveAll(service)
	for _, r := range best {
		p.reserve(r.unit, r.blocks)
	}
}

// mayRearrange tells whether there are unmet units and enough accelerators
// for at least one of them.
func (p *Planner) mayRearrange(service int32) bool {
	for _, u := range p.services[service].unmet {
		if int32(p.kindOf(u).shape.Accelerators) <= p.unreserved.services[service] {
			return true
		}
	}
	return false
}

type unitReservation struct {
	unit   int32
	blocks []block
}

// idleReservations copies the reservations of a service that aren't in use.
func (p *Planner) idleReservations(service int32) []unitReservation {
	var list []unitReservation
	for u := range p.units {
		unit := &p.units[u]
		if unit.gang == none && len(unit.blocks) > 0 && p.kindOf(int32(u)).service == service {
			list = append(list, unitReservation{int32(u), slices.Clone(unit.blocks)})
		}
	}
	return list
}

func (p *Planner) unreserveAll(service int32) {
	for u := range p.units {
		unit := &p.units[u]
		if unit.gang == none && len(unit.blocks) > 0 && p.kindOf(int32(u)).service == service {
			p.unreserve(int32(u))
		}
	}
}
