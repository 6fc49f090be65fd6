package anvilplan

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
)

const (
	// maxGangCandidates, maxUnitCandidates, maxTargetCandidates and maxRackCandidates limit how
	// many places are compared for one reclaim, which keeps a decision below 1 ms at 29,000
	// targets.
	maxGangCandidates   = 128
	maxUnitCandidates   = 128
	maxTargetCandidates = 128
	maxRackCandidates   = 8
)

// reclaimSearch is a search for the place where preemption loses the least work.
type reclaimSearch struct {
	planner *Planner
	now     anvilclock.Millis
	origin  int32 // the unit whose reservation is to move
	cost    int64
	unit    int32   // the idle unit to swap reservations with, or none
	blocks  []block // the place to move to, if unit is none

	candidate [1]block
}

// moveToCheapest moves the reservation of an idle unit to where preempting borrowers loses the
// least work: to the reservation of another idle unit of the same pool, to unreserved accelerators,
// or to a cell that holds only whole reservations of idle units, which move the other way. All
// other reservations stay valid.
func (p *Planner) moveToCheapest(now anvilclock.Millis, u int32) {
	r := &reclaimSearch{planner: p, now: now, origin: u, unit: u, cost: p.cost(now, p.units[u].blocks)}
	k := p.poolOf(u)
	r.tryNewestBorrowers(k)
	// Later searches continue where this one stops, so that all units are considered in turn.
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

// exchangeReservations moves the reservation of an idle unit to blocks. Reservations there move to
// the same positions in the former cell of the unit.
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

// exchangeable reports whether a cell holds only whole reservations of idle units other than u.
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

// cost returns the work that is lost if all borrowers on blocks are preempted, in
// accelerator-milliseconds.
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

// tryNewestBorrowers considers the places of the borrowers that lose the least work. A search of
// arbitrary places alone would miss them, because they are few.
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

// tryCell considers n accelerators of a target.
func (r *reclaimSearch) tryCell(target int32, n, first int) {
	p := r.planner
	cell := block{target, uint8(first), uint8(n)}
	if first+n > workerSize || p.present.masks[target]&cell.mask() != cell.mask() {
		return
	}
	// A reservation of several blocks has no single cell to offer in exchange.
	unreserved := p.unreserved.masks[target]&cell.mask() == cell.mask()
	if unreserved || (len(p.units[r.origin].blocks) == 1 && p.exchangeable(r.origin, cell)) {
		r.candidate[0] = cell
		r.tryBlocks(r.candidate[:])
	}
}

// tryTargets considers single targets with enough unreserved accelerators.
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

// tryRacks considers racks with enough unreserved accelerators.
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
