package anvilplan

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
)

const (
	// maxGangCandidates, maxUnitCandidates, maxTargetCandidates and maxRackCandidates limit how many
	// borrowers, idle units, targets and racks moveToCheapest examines in one call, which keeps the
	// call below 1 ms at 29,000 targets.
	maxGangCandidates   = 128
	maxUnitCandidates   = 128
	maxTargetCandidates = 128
	maxRackCandidates   = 8
)

// reclaimSearch is a search for the accelerators on which preempting all borrowers loses the least
// work. The best result so far is in cost and in unit or blocks.
type reclaimSearch struct {
	planner *Planner
	now     anvilclock.Millis
	origin  int32   // the idle unit whose reservation is to be moved
	cost    int64   // work that is lost at the best place found, in accelerator-milliseconds
	unit    int32   // the idle unit to swap reservations with, or none
	blocks  []block // the accelerators to move the reservation to, if unit is none

	candidate [1]block // buffer of tryCell, which avoids an allocation
}

// moveToCheapest moves the reservation of an idle unit to accelerators where preempting the borrowers
// loses the least work. It has three ways to do so: swap the reservation with that of another idle unit
// of the same pool, move the reservation to unreserved accelerators, or exchange the reservation with a
// cell whose reservations belong to idle units and don't extend beyond the cell. Every other unit that
// had a reservation still has one afterwards.
func (p *Planner) moveToCheapest(now anvilclock.Millis, u int32) {
	r := &reclaimSearch{planner: p, now: now, origin: u, unit: u, cost: p.cost(now, p.units[u].blocks)}
	k := p.poolOf(u)
	r.tryNewestBorrowers(k)
	// Later calls continue where this one stops, so that all units of the pool are considered in turn.
	for i := range min(len(k.lent), maxUnitCandidates) {
		r.tryUnit(k.lent[(p.lentCursor+i)%len(k.lent)])
	}
	p.lentCursor += maxUnitCandidates
	r.tryTargets(k.service, k.shape)
	if k.shape.Within != anvilconfig.WithinWorker {
		r.tryRacks(k.service, int(k.shape.Accelerators))
	}
	if r.unit != none {
		p.swapReservations(u, r.unit)
		return
	}
	p.exchangeReservations(u, r.blocks)
}

// exchangeReservations moves the reservation of an idle unit to blocks. Reservations of other units
// there move to the cell that the unit had before, each at the same offset in the cell.
func (p *Planner) exchangeReservations(u int32, blocks []block) {
	former := p.units[u].blocks[0]
	var moved []unitReservation
	for _, b := range blocks {
		for _, v := range p.reservedUnits(b) {
			if v == none || v == u || len(p.units[v].blocks) == 0 {
				continue
			}
			shifted := slices.Clone(p.units[v].blocks)
			for i := range shifted {
				shifted[i].target, shifted[i].first = former.target, shifted[i].first-b.first+former.first
			}
			moved = append(moved, unitReservation{v, shifted})
			p.unreserve(v)
		}
	}
	p.moveReservation(u, blocks)
	for _, r := range moved {
		p.reserve(r.unit, r.blocks)
	}
}

// reservedUnits returns the unit that each accelerator of a block is reserved for.
func (p *Planner) reservedUnits(b block) []int32 {
	first := b.target*workerSize + int32(b.first)
	return p.reservedFor[first : first+int32(b.count)]
}

// exchangeable reports whether the reservation of unit u can be exchanged with a cell: all reservations
// in the cell belong to idle units other than u and lie entirely within the cell.
func (p *Planner) exchangeable(u int32, cell block) bool {
	for _, v := range p.reservedUnits(cell) {
		if v == none {
			continue
		}
		if v == u || p.units[v].gang != none {
			return false
		}
		for _, b := range p.units[v].blocks {
			if b.target != cell.target || b.mask()&^cell.mask() != 0 {
				return false
			}
		}
	}
	return true
}

// cost returns the work that is lost if all gangs on blocks that aren't already ending are preempted,
// in accelerator-milliseconds. A gang on several blocks counts once.
func (p *Planner) cost(now anvilclock.Millis, blocks []block) int64 {
	p.visited = p.visited[:0]
	cost := int64(0)
	for _, b := range blocks {
		last := none
		for _, g := range p.holders(b) {
			if g == none || g == last || p.gangs[g].ending {
				continue
			}
			last = g
			if !slices.Contains(p.visited, g) {
				p.visited = append(p.visited, g)
				cost += p.lostWork(now, g)
			}
		}
	}
	return cost
}

func (r *reclaimSearch) tryUnit(v int32) {
	if cost := r.planner.cost(r.now, r.planner.units[v].blocks); cost < r.cost {
		r.cost, r.unit = cost, v
	}
}

func (r *reclaimSearch) tryBlocks(blocks []block) {
	if cost := r.planner.cost(r.now, blocks); cost < r.cost {
		r.cost, r.unit = cost, none
		r.blocks = append(r.blocks[:0], blocks...)
	}
}

// tryNewestBorrowers considers the accelerators of the borrowers that saved their work last and so
// lose the least. They are few, so the other searches, which stop after a fixed number of places,
// would miss most of them.
func (r *reclaimSearch) tryNewestBorrowers(k *pool) {
	p, n := r.planner, int(k.shape.Accelerators)
	racks := 0
	for g, i := p.newestBorrower, 0; g != none && i < maxGangCandidates; g, i = p.gangs[g].olderBorrower, i+1 {
		b := p.gangs[g].first
		if p.gangs[g].service != k.service || b.count == 0 {
			continue
		}
		if v := p.reservedFor[b.target*workerSize+int32(b.first)]; v != none && p.units[v].gang == none && p.poolOf(v) == k {
			r.tryUnit(v)
			continue
		}
		rack := p.targets[b.target].rack
		switch {
		case n <= workerSize:
			r.tryCell(b.target, n, int(b.first)/cellSize(n)*cellSize(n))
		case k.shape.Within != anvilconfig.WithinWorker && racks < maxRackCandidates && int(p.unreserved.racks[rack].count) >= n:
			racks++
			r.tryRack(rack, n)
		}
	}
}

// tryCell considers the accelerators first to first+n-1 of a target, if they are unreserved or can be
// exchanged with the present reservation.
func (r *reclaimSearch) tryCell(target int32, n, first int) {
	p := r.planner
	cell := block{target, uint8(first), uint8(n)}
	if first+n > workerSize || p.present.masks[target]&cell.mask() != cell.mask() {
		return
	}
	// Only a reservation of a single block can be exchanged: one of several blocks has no single cell
	// to which the reservations in this cell could move.
	unreserved := p.unreserved.masks[target]&cell.mask() == cell.mask()
	if unreserved || (len(p.units[r.origin].blocks) == 1 && p.exchangeable(r.origin, cell)) {
		r.candidate[0] = cell
		r.tryBlocks(r.candidate[:])
	}
}

// tryTargets considers all cells of targets in racks in which a block of the shape's size is
// unreserved.
func (r *reclaimSearch) tryTargets(service int32, shape anvilconfig.Shape) {
	n := int(shape.Accelerators)
	if n > workerSize {
		return
	}
	s := &r.planner.unreserved
	tried := 0
	for _, zone := range s.topology.services[service].zones {
		for _, racks := range s.zones[zone].fits[n] {
			for position := racks.after(0); position != none; position = racks.after(position + 1) {
				for _, target := range s.topology.racks[s.topology.zones[zone].racks[position]].targets {
					if tried++; tried > maxTargetCandidates {
						return
					}
					for first := 0; first < workerSize; first += cellSize(n) {
						r.tryCell(target, n, first)
					}
				}
			}
		}
	}
}

// tryRacks considers racks with at least n unreserved accelerators, those with the fewest first.
func (r *reclaimSearch) tryRacks(service int32, n int) {
	s := &r.planner.unreserved
	tried := 0
	for _, zone := range s.topology.services[service].zones {
		for count := min(n, rackSize); count <= rackSize; count++ {
			set := s.zones[zone].byCount[count]
			for position := set.after(0); position != none; position = set.after(position + 1) {
				rack := s.topology.zones[zone].racks[position]
				if int(s.racks[rack].count) < n {
					continue
				}
				if tried++; tried > maxRackCandidates {
					return
				}
				r.tryRack(rack, n)
			}
		}
	}
}

func (r *reclaimSearch) tryRack(rack int32, n int) {
	p := r.planner
	p.scratch = p.unreserved.collectBlocks(n, p.scratch[:0], func(size int) (block, bool) { return p.unreserved.blockInRack(rack, size) })
	r.tryBlocks(p.scratch)
}
