package anvilplan

import (
	"slices"
)

// unit is the entitlement of an account to one gang of a shape. A guarantee of n gangs has n units.
// A unit is in use (a gang runs under it), idle (it has a reservation but no gang) or unmet (it has
// no reservation).
type unit struct {
	quota     int32   // the guarantee that the unit is part of
	gang      int32   // the gang that runs under the unit, or none
	lent      int32   // number of accelerators of an idle unit's reservation on which borrowers run
	poolIndex int32   // index in pool.lent or pool.notLent, if idle
	listIndex int32   // index in quota.idle if idle, in service.unmet if unmet
	blocks    []block // the reserved accelerators
	surplus   bool    // no longer guaranteed; deleted when the gang that uses it ends
}

func (p *Planner) poolOf(u int32) *pool { return &p.pools[p.quotas[p.units[u].quota].pool] }

// idleList returns the pool's list of idle units whose reservations are lent to borrowers, or of those
// whose reservations aren't.
func (k *pool) idleList(lent bool) *[]int32 {
	if lent {
		return &k.lent
	}
	return &k.notLent
}

func (p *Planner) addToPool(u int32) {
	list := p.poolOf(u).idleList(p.units[u].lent > 0)
	p.units[u].poolIndex = int32(len(*list))
	*list = append(*list, u)
}

func (p *Planner) removeFromPool(u int32, lent bool) {
	list := p.poolOf(u).idleList(lent)
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[p.units[u].poolIndex] = moved
	p.units[moved].poolIndex = p.units[u].poolIndex
	*list = (*list)[:last]
}

func (p *Planner) addIdle(u int32) {
	quota := &p.quotas[p.units[u].quota]
	p.units[u].listIndex = int32(len(quota.idle))
	quota.idle = append(quota.idle, u)
	p.addToPool(u)
}

func (p *Planner) removeIdle(u int32) {
	p.removeFromPool(u, p.units[u].lent > 0)
	quota := &p.quotas[p.units[u].quota]
	last := len(quota.idle) - 1
	moved := quota.idle[last]
	quota.idle[p.units[u].listIndex] = moved
	p.units[moved].listIndex = p.units[u].listIndex
	quota.idle = quota.idle[:last]
}

// updateLent updates the lent count of an idle unit when one of its accelerators changes from gang
// before to gang after, either of which may be none.
func (p *Planner) updateLent(u, before, after int32) {
	if (before == none) == (after == none) {
		return
	}
	change := int32(1)
	if after == none {
		change = -1
	}
	was := p.units[u].lent > 0
	now := p.units[u].lent+change > 0
	if was != now {
		p.removeFromPool(u, was)
	}
	p.units[u].lent += change
	if was != now {
		p.addToPool(u)
	}
}

func (p *Planner) recountLent(u int32) {
	lent := int32(0)
	for _, b := range p.units[u].blocks {
		for _, g := range p.holders(b) {
			if g != none {
				lent++
			}
		}
	}
	p.units[u].lent = lent
}

// holders returns, for each accelerator of a block, the gang that it is assigned to, or none.
func (p *Planner) holders(b block) []int32 {
	first := b.target*workerSize + int32(b.first)
	return p.holder[first : first+int32(b.count)]
}

// setReservation records that blocks are reserved for a unit, or for nothing if u is none.
func (p *Planner) setReservation(blocks []block, u int32) {
	for _, b := range blocks {
		first := b.target*workerSize + int32(b.first)
		for a := first; a < first+int32(b.count); a++ {
			p.reservedFor[a] = u
		}
		if u == none {
			p.targets[b.target].reserved &^= b.mask()
		} else {
			p.targets[b.target].reserved |= b.mask()
		}
		p.refresh(b.target)
	}
}

// reserve gives an unmet unit a reservation.
func (p *Planner) reserve(u int32, blocks []block) {
	p.units[u].blocks = append(p.units[u].blocks[:0], blocks...)
	p.setReservation(blocks, u)
	p.recountLent(u)
	p.removeUnmet(u)
	p.addIdle(u)
}

// unreserve removes the reservation of an idle unit, which makes the unit unmet.
func (p *Planner) unreserve(u int32) {
	p.removeIdle(u)
	p.setReservation(p.units[u].blocks, none)
	p.units[u].blocks, p.units[u].lent = p.units[u].blocks[:0], 0
	p.addUnmet(u)
}

func (p *Planner) addUnmet(u int32) {
	p.quotas[p.units[u].quota].unmet++
	s := &p.services[p.poolOf(u).service]
	p.units[u].listIndex = int32(len(s.unmet))
	s.unmet = append(s.unmet, u)
}

func (p *Planner) removeUnmet(u int32) {
	p.quotas[p.units[u].quota].unmet--
	s := &p.services[p.poolOf(u).service]
	last := len(s.unmet) - 1
	moved := s.unmet[last]
	s.unmet[p.units[u].listIndex] = moved
	p.units[moved].listIndex = p.units[u].listIndex
	s.unmet = s.unmet[:last]
}

// moveReservation replaces the reservation of an idle unit by other accelerators.
func (p *Planner) moveReservation(u int32, blocks []block) {
	p.unreserve(u)
	p.reserve(u, blocks)
}

// swapReservations exchanges the reservations of two idle units of one pool.
func (p *Planner) swapReservations(u, v int32) {
	if u == v {
		return
	}
	p.removeIdle(u)
	p.removeIdle(v)
	a, b := &p.units[u], &p.units[v]
	a.blocks, b.blocks = b.blocks, a.blocks
	a.lent, b.lent = b.lent, a.lent
	p.setReservation(a.blocks, u)
	p.setReservation(b.blocks, v)
	p.addIdle(u)
	p.addIdle(v)
}

// occupyUnit marks an idle unit as in use by a gang, which runs on its reservation.
func (p *Planner) occupyUnit(u, gang int32) {
	p.removeIdle(u)
	p.units[u].gang, p.units[u].lent = gang, 0
}

// vacateUnit makes a unit idle when its gang ends. A surplus unit is deleted instead, and a unit with
// accelerators on a cordoned target loses its reservation.
func (p *Planner) vacateUnit(u int32) {
	p.units[u].gang = none
	p.recountLent(u)
	p.addIdle(u)
	if p.units[u].surplus {
		p.deleteUnit(u)
		return
	}
	for _, b := range p.units[u].blocks {
		if p.targets[b.target].cordoned {
			p.unreserve(u)
			return
		}
	}
}

// deleteUnit removes a unit that isn't in use.
func (p *Planner) deleteUnit(u int32) {
	if len(p.units[u].blocks) > 0 {
		p.unreserve(u)
	}
	p.removeUnmet(u)
	quota := &p.quotas[p.units[u].quota]
	quota.units = slices.DeleteFunc(quota.units, func(x int32) bool { return x == u })
	p.units[u] = unit{gang: none}
	p.freeUnits = append(p.freeUnits, u)
}

func (p *Planner) newUnit(quota int32) {
	u := int32(len(p.units))
	if last := len(p.freeUnits) - 1; last >= 0 {
		u = p.freeUnits[last]
		p.freeUnits = p.freeUnits[:last]
	} else {
		p.units = append(p.units, unit{})
	}
	p.units[u] = unit{quota: quota, gang: none}
	p.quotas[quota].units = append(p.quotas[quota].units, u)
	p.addUnmet(u)
}
