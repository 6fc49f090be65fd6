package anvilplan

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
)

const (
	// maxUnitCandidates, maxTargetCandidates and maxRackCandidates bound
	// the places that are compared for one reclaim, which keeps a decision
	// below 1 ms at 29,000 targets.
	maxUnitCandidates   = 128
	maxTargetCandidates = 128
	maxRackCandidates   = 8
)

// reclaim is the search for the place with the least lost work.
type reclaim struct {
	planner *Planner
	now     anvilclock.Millis
	cost    int64
	unit    int32   // reservation to swap with, or none
	blocks  []block // unreserved place to move to, if unit is none
}

// moveToCheapest moves the reservation of an idle unit to where preempting
// borrowers costs the least work: to the reservation of another idle unit of
// the same kind, or to unreserved accelerators. No other reservation becomes
// invalid by that.
func (p *Planner) moveToCheapest(now anvilclock.Millis, u int32) {
	r := &reclaim{planner: p, now: now, unit: u, cost: p.cost(now, p.units[u].blocks)}
	k := p.kindOf(u)
	// Later searches continue where this one stops, so that all units are
	// considered in turn.
	for i := range min(len(k.lent), maxUnitCandidates) {
		r.tryUnit(k.lent[(p.cursor+i)%len(k.lent)])
	}
	p.cursor += maxUnitCandidates
	r.tryTargets(k.service, k.shape)
	r.tryRacks(k.service, k.shape)
	if r.unit != none {
		p.swap(u, r.unit)
		return
	}
	p.move(u, r.blocks)
}

// cost is the work lost by preempting all borrowers on blocks.
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

func (r *reclaim) tryUnit(v int32) {
	if cost := r.planner.cost(r.now, r.planner.units[v].blocks); cost < r.cost {
		r.cost, r.unit = cost, v
	}
}

func (r *reclaim) tryBlocks(blocks []block) {
	if cost := r.planner.cost(r.now, blocks); cost < r.cost {
		r.cost, r.unit = cost, none
		r.blocks = append(r.blocks[:0], blocks...)
	}
}

// tryTargets considers single targets with enough unreserved accelerators.
func (r *reclaim) tryTargets(service int32, shape anvilconfig.Shape) {
	n := int(shape.Accelerators)
	if n > workerSize {
		return
	}
	s := &r.planner.unreserved
	tried := 0
	for _, m := range cells.order[n] {
		if s.services[service].targets[m] == 0 {
			continue
		}
		for _, zone := range s.topology.services[service].zones {
			for target := s.zones[zone].targets[m]; target != none; target = s.next[target] {
				if tried++; tried > maxTargetCandidates {
					return
				}
				b, _ := s.blockIn(target, n)
				r.tryBlocks([]block{b})
			}
		}
	}
}

// tryRacks considers racks with enough unreserved accelerators.
func (r *reclaim) tryRacks(service int32, shape anvilconfig.Shape) {
	n := int(shape.Accelerators)
	if shape.Within == anvilconfig.WithinWorker {
		return
	}
	s := &r.planner.unreserved
	var racks []int32
	for _, zone := range s.topology.services[service].zones {
		for count := min(n, rackSize); count <= rackSize; count++ {
			for rack := s.zones[zone].counts[count]; rack != none && len(racks) < maxRackCandidates; rack = s.racks[rack].counts.next {
				if int(s.racks[rack].count) >= n {
					racks = append(racks, rack)
				}
			}
		}
	}
	for _, rack := range racks {
		r.planner.scratch = s.gather(n, r.planner.scratch[:0], func(size int) (block, bool) { return s.blockInRack(rack, size) })
		r.tryBlocks(r.planner.scratch)
	}
}
