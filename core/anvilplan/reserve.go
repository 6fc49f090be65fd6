package anvilplan

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilconfig"
)

// extentRank returns 0 for a worker, 1 for a rack and 2 for a zone, so that a larger extent ranks
// higher.
func extentRank(e anvilconfig.Extent) int {
	switch e {
	case anvilconfig.WithinWorker:
		return 0
	case anvilconfig.WithinRack:
		return 1
	}
	return 2
}

// extentOrders are the orders in which reservations are tried: each maps the extentRank of a shape to
// its position. The first tries racks, then workers, then zones; the second workers, racks, zones.
// Gangs within a zone come last, because they can use what the other reservations leave over.
var extentOrders = [][3]int{{1, 0, 2}, {0, 1, 2}}

// reserveUnmet tries to reserve accelerators for the unmet units of a service. Existing reservations
// aren't moved.
func (p *Planner) reserveUnmet(service int32) { p.reserveUnmetInOrder(service, extentOrders[0]) }

func (p *Planner) reserveUnmetInOrder(service int32, order [3]int) {
	if len(p.services[service].unmet) == 0 {
		return
	}
	units := slices.Clone(p.services[service].unmet)
	slices.SortFunc(units, func(a, b int32) int {
		x, y := p.poolOf(a).shape, p.poolOf(b).shape
		return cmp.Or(
			cmp.Compare(order[extentRank(x.Within)], order[extentRank(y.Within)]),
			cmp.Compare(y.Accelerators, x.Accelerators), cmp.Compare(a, b))
	})
	var failed anvilconfig.Shape
	for _, u := range units {
		shape := p.poolOf(u).shape
		// Each reservation takes accelerators from p.unreserved, so a shape that didn't fit before doesn't
		// fit now.
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

// reserveOrRearrange reserves accelerators for the unmet units of a service. If some remain unmet, it
// tries to move the reservations of all idle units and keeps the arrangement that leaves the fewest
// units unmet. The search is greedy: it may miss an arrangement in which all units have reservations.
func (p *Planner) reserveOrRearrange(service int32) {
	p.reserveUnmet(service)
	if p.canRearrange(service) {
		p.rearrange(service)
	}
}

// maxQuickUnits is the number of units up to which reservations are rearranged at once when a target
// is lost or cordoned. Rearranging 600 units takes about 1 ms.
const maxQuickUnits = 512

// reserveOrRearrangeIfFew calls reserveOrRearrange if there are at most maxQuickUnits units. Otherwise
// it moves no reservations and leaves the units that remain unmet to Repair.
func (p *Planner) reserveOrRearrangeIfFew(service int32) {
	if len(p.units) <= maxQuickUnits {
		p.reserveOrRearrange(service)
		return
	}
	p.reserveUnmet(service)
}

func (p *Planner) rearrange(service int32) {
	best, fewest := p.idleReservations(service), len(p.services[service].unmet)
	for _, order := range extentOrders {
		p.unreserveAll(service)
		p.reserveUnmetInOrder(service, order)
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

// canRearrange reports whether rearranging may help: the number of unreserved accelerators is large
// enough for at least one unmet unit.
func (p *Planner) canRearrange(service int32) bool {
	for _, u := range p.services[service].unmet {
		if int32(p.poolOf(u).shape.Accelerators) <= p.unreserved.services[service] {
			return true
		}
	}
	return false
}

// unitReservation is a unit and the blocks to reserve for it when a change is applied or undone.
type unitReservation struct {
	unit   int32
	blocks []block
}

// idleReservations returns copies of the reservations of all idle units of a service.
func (p *Planner) idleReservations(service int32) []unitReservation {
	var list []unitReservation
	for u := range p.units {
		unit := &p.units[u]
		if unit.gang == none && len(unit.blocks) > 0 && p.poolOf(int32(u)).service == service {
			list = append(list, unitReservation{int32(u), slices.Clone(unit.blocks)})
		}
	}
	return list
}

func (p *Planner) unreserveAll(service int32) {
	for u := range p.units {
		unit := &p.units[u]
		if unit.gang == none && len(unit.blocks) > 0 && p.poolOf(int32(u)).service == service {
			p.unreserve(int32(u))
		}
	}
}
