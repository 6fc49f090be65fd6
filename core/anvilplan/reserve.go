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

// extentOrders are the orders of extents in which reservations are tried: each maps an extentRank
// to a position. Loose shapes come last, because they fit into what others leave.
var extentOrders = [][3]int{{1, 0, 2}, {0, 1, 2}}

// reserveUnmet tries to find reservations for the unmet units of a service. Existing reservations
// stay where they are.
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
		// Each reservation shrinks the space, so a shape that has failed once fails again.
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

// reserveOrRearrange finds reservations for the unmet units of a service. If some remain unmet, it
// rearranges all reservations that aren't in use and keeps the arrangement that leaves the fewest
// units unmet. The search is greedy: it may miss an arrangement that would meet all guarantees.
func (p *Planner) reserveOrRearrange(service int32) {
	p.reserveUnmet(service)
	if p.canRearrange(service) {
		p.rearrange(service)
	}
}

// maxQuickUnits is the largest number of units that are rearranged when one target is lost, because
// rearranging 600 units takes about 1 ms.
const maxQuickUnits = 512

// reserveOrRearrangeIfFew is reserveOrRearrange if there are few units. Otherwise it rearranges
// nothing and leaves the remaining unmet units to Repair.
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

// canRearrange reports whether there are unmet units, and enough unreserved accelerators for at
// least one of them.
func (p *Planner) canRearrange(service int32) bool {
	for _, u := range p.services[service].unmet {
		if int32(p.poolOf(u).shape.Accelerators) <= p.unreserved.services[service] {
			return true
		}
	}
	return false
}

// unitReservation is a unit with the blocks of its reservation.
type unitReservation struct {
	unit   int32
	blocks []block
}

// idleReservations copies the reservations of a service that aren't in use.
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
