package anvilplan

import (
	"slices"
)

// unit is one guaranteed gang. It is in use, idle with a reservation, or
// unmet.
type unit struct {
	promise int32
	gang    int32 // none if not in use
	lent    int32 // accelerators of an idle reservation that gangs hold
	inKind  int32 // position in a list of the kind
	inList  int32 // position in the idle list of the promise, or in the unmet list of the service
	blocks  []block
	surplus bool // no longer promised; removed when it is released
}

func (p *Planner) kindOf(u int32) *kind { return &p.kinds[p.promises[p.units[u].promise].kind] }

// listed returns the list of the kind that an idle unit is on.
func (k *kind) listed(lent bool) *[]int32 {
	if lent {
		return &k.lent
	}
	return &k.clear
}

func (p *Planner) addToKind(u int32) {
	list := p.kindOf(u).listed(p.units[u].lent > 0)
	p.units[u].inKind = int32(len(*list))
	*list = append(*list, u)
}

func (p *Planner) removeFromKind(u int32, lent bool) {
	list := p.kindOf(u).listed(lent)
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[p.units[u].inKind] = moved
	p.units[moved].inKind = p.units[u].inKind
	*list = (*list)[:last]
}

func (p *Planner) addIdle(u int32) {
	promise := &p.promises[p.units[u].promise]
	p.units[u].inList = int32(len(promise.idle))
	promise.idle = append(promise.idle, u)
	p.addToKind(u)
}

func (p *Planner) removeIdle(u int32) {
	p.removeFromKind(u, p.units[u].lent > 0)
	promise := &p.promises[p.units[u].promise]
	last := len(promise.idle) - 1
	moved := promise.idle[last]
	promise.idle[p.units[u].inList] = moved
	p.units[moved].inList = p.units[u].inList
	promise.idle = promise.idle[:last]
}

// countLent follows the accelerators of an idle reservation that gangs hold.
func (p *Planner) countLent(u, before, after int32) {
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
		p.removeFromKind(u, was)
	}
	p.units[u].lent += change
	if was != now {
		p.addToKind(u)
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

// holders returns the holder of each accelerator of a block.
func (p *Planner) holders(b block) []int32 {
	first := b.target*workerSize + int32(b.first)
	return p.holder[first : first+int32(b.count)]
}

// mark makes blocks part of the reservation of a unit, or of none.
func (p *Planner) mark(blocks []block, u int32) {
	for _, b := range blocks {
		first := b.target*workerSize + int32(b.first)
		for a := first; a < first+int32(b.count); a++ {
			p.reservation[a] = u
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
	p.mark(blocks, u)
	p.recountLent(u)
	p.removeUnmet(u)
	p.addIdle(u)
}

// unreserve takes the reservation from an idle unit, which is unmet then.
func (p *Planner) unreserve(u int32) {
	p.removeIdle(u)
	p.mark(p.units[u].blocks, none)
	p.units[u].blocks, p.units[u].lent = p.units[u].blocks[:0], 0
	p.addUnmet(u)
}

func (p *Planner) addUnmet(u int32) {
	p.promises[p.units[u].promise].unmet++
	s := &p.services[p.kindOf(u).service]
	p.units[u].inList = int32(len(s.unmet))
	s.unmet = append(s.unmet, u)
}

func (p *Planner) removeUnmet(u int32) {
	p.promises[p.units[u].promise].unmet--
	s := &p.services[p.kindOf(u).service]
	last := len(s.unmet) - 1
	moved := s.unmet[last]
	s.unmet[p.units[u].inList] = moved
	p.units[moved].inList = p.units[u].inList
	s.unmet = s.unmet[:last]
}

// move changes the reservation of an idle unit.
func (p *Planner) move(u int32, blocks []block) {
	p.unreserve(u)
	p.reserve(u, blocks)
}

// swap exchanges the reservations of two idle units of one kind.
func (p *Planner) swap(u, v int32) {
	if u == v {
		return
	}
	p.removeIdle(u)
	p.removeIdle(v)
	a, b := &p.units[u], &p.units[v]
	a.blocks, b.blocks = b.blocks, a.blocks
	a.lent, b.lent = b.lent, a.lent
	p.mark(a.blocks, u)
	p.mark(b.blocks, v)
	p.addIdle(u)
	p.addIdle(v)
}

// enterUnit lets a gang use an idle unit.
func (p *Planner) enterUnit(u, gang int32) {
	p.removeIdle(u)
	p.units[u].gang, p.units[u].lent = gang, 0
}

// leaveUnit ends the use of a unit.
func (p *Planner) leaveUnit(u int32) {
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
	promise := &p.promises[p.units[u].promise]
	promise.units = slices.DeleteFunc(promise.units, func(x int32) bool { return x == u })
	p.units[u] = unit{gang: none}
	p.freeUnits = append(p.freeUnits, u)
}

func (p *Planner) newUnit(promise int32) {
	u := int32(len(p.units))
	if last := len(p.freeUnits) - 1; last >= 0 {
		u = p.freeUnits[last]
		p.freeUnits = p.freeUnits[:last]
	} else {
		p.units = append(p.units, unit{})
	}
	p.units[u] = unit{promise: promise, gang: none}
	p.promises[promise].units = append(p.promises[promise].units, u)
	p.addUnmet(u)
}
