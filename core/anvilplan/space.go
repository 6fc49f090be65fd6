package anvilplan

import (
	"math/bits"
	"slices"
)

const (
	none = int32(-1)
	// rackSize is the number of accelerators in a full rack. Racks with
	// more free accelerators share the last set.
	rackSize = 64
	// rackWorkers bounds the sets of racks by whole targets.
	rackWorkers = 8
)

// space indexes a set of accelerators, such as the free ones, by the cells
// that they form. The racks of a zone have a fixed order. Gangs go to the
// first racks that fit, so that the last racks drain and stay whole: packing
// by the best fit alone leaves holes in all racks.
type space struct {
	topology *topology
	masks    []mask // by target
	racks    []spaceRack
	zones    []spaceZone
	services []int32 // number of accelerators
	undo     []undoStep
}

type undoStep struct {
	target int32
	mask   mask
}

type spaceRack struct {
	count  int32 // accelerators
	whole  int32 // targets with all accelerators of a full worker
	widest uint8 // largest block within one target
	broken uint8 // largest block within a target that isn't whole
}

// Classes of racks in which a block fits, in the order in which they are
// used, so that whole workers and whole racks are split last.
const (
	brokenWorker = iota
	wholeWorker
	wholeRack
	fitClasses
)

type spaceZone struct {
	count   int32
	inWhole int32 // accelerators in racks that are whole
	// fits[n] are the racks in which a block of n fits, by class.
	fits [workerSize + 1][fitClasses]rackSet
	// counts and wholes are the racks by accelerators and by whole targets.
	counts [rackSize + 1]rackSet
	wholes [rackWorkers + 1]rackSet
}

// rackSet is a set of racks of a zone, by their position in the zone.
type rackSet []uint64

func (r *rackSet) add(position int32) {
	for int(position/64) >= len(*r) {
		*r = append(*r, 0)
	}
	(*r)[position/64] |= 1 << (position % 64)
}

func (r rackSet) remove(position int32) { r[position/64] &^= 1 << (position % 64) }

// after returns the first position that is at least from, or none.
func (r rackSet) after(from int32) int32 {
	for i := int(from / 64); i < len(r); i++ {
		word := r[i]
		if i == int(from/64) {
			word &= ^uint64(0) << (from % 64)
		}
		if word != 0 {
			return int32(i*64 + bits.TrailingZeros64(word))
		}
	}
	return none
}

func (s *space) addService() { s.services = append(s.services, 0) }

func (s *space) addZone() { s.zones = append(s.zones, spaceZone{}) }

func (s *space) addRack(rack int32) {
	s.racks = append(s.racks, spaceRack{})
	s.listRack(rack)
}

// addTarget adds an empty target, or one whose number is used again.
func (s *space) addTarget(target int32) {
	if int(target) == len(s.masks) {
		s.masks = append(s.masks, 0)
	}
}

func (s *space) zoneOfTarget(target int32) int32 {
	return s.topology.racks[s.topology.targets[target].rack].zone
}

// isWhole tells whether the rack holds the largest gang.
func (r *spaceRack) isWhole() bool { return r.count >= rackSize }

// class returns the class of the rack for blocks of n.
func (r *spaceRack) class(n int) int {
	switch {
	case r.isWhole():
		return wholeRack
	case n > int(r.broken):
		return wholeWorker
	}
	return brokenWorker
}

// holds tells whether a block of n fits into any rack.
func (z *spaceZone) holds(n int) bool {
	for _, racks := range z.fits[n] {
		if racks.after(0) != none {
			return true
		}
	}
	return false
}

func (s *space) listRack(rack int32) {
	r, place := &s.racks[rack], &s.topology.racks[rack]
	z := &s.zones[place.zone]
	z.counts[min(r.count, rackSize)].add(place.position)
	z.wholes[min(r.whole, rackWorkers)].add(place.position)
	if r.isWhole() {
		z.inWhole += r.count
	}
	for n := 1; n <= int(r.widest); n++ {
		z.fits[n][r.class(n)].add(place.position)
	}
}

func (s *space) unlistRack(rack int32) {
	r, place := &s.racks[rack], &s.topology.racks[rack]
	z := &s.zones[place.zone]
	z.counts[min(r.count, rackSize)].remove(place.position)
	z.wholes[min(r.whole, rackWorkers)].remove(place.position)
	if r.isWhole() {
		z.inWhole -= r.count
	}
	for n := 1; n <= int(r.widest); n++ {
		z.fits[n][r.class(n)].remove(place.position)
	}
}

// set replaces the accelerators of a target.
func (s *space) set(target int32, m mask) {
	old := s.masks[target]
	if old == m {
		return
	}
	number := s.topology.targets[target].rack
	place, r := &s.topology.racks[number], &s.racks[number]
	s.unlistRack(number)
	s.masks[target] = m
	change := int32(m.count() - old.count())
	r.count += change
	s.zones[place.zone].count += change
	s.services[s.topology.zones[place.zone].service] += change
	if old == whole {
		r.whole--
	}
	if m == whole {
		r.whole++
	}
	r.widest, r.broken = 0, 0
	for _, t := range place.targets {
		widest := cells.widest[s.masks[t]]
		r.widest = max(r.widest, widest)
		if s.masks[t] != whole {
			r.broken = max(r.broken, widest)
		}
	}
	s.listRack(number)
}

// take removes a block for the time of a search.
func (s *space) take(b block) {
	s.undo = append(s.undo, undoStep{b.target, s.masks[b.target]})
	s.set(b.target, s.masks[b.target]&^b.mask())
}

// rollBack puts back everything that was taken.
func (s *space) rollBack() {
	for _, step := range slices.Backward(s.undo) {
		s.set(step.target, step.mask)
	}
	s.undo = s.undo[:0]
}

// blockIn returns the best block of n accelerators in a target.
func (s *space) blockIn(target int32, n int) (block, bool) {
	first := cells.first[n][s.masks[target]]
	return block{target, first, uint8(n)}, first != noFit
}

// blockInService finds a block of n accelerators in the first rack of all
// zones that has one, in the order of the classes.
func (s *space) blockInService(service int32, n int) (block, bool) {
	for class := range fitClasses {
		best, zone := none, none
		for _, z := range s.topology.services[service].zones {
			if position := s.zones[z].fits[n][class].after(0); position != none && (best == none || position < best) {
				best, zone = position, z
			}
		}
		if best != none {
			return s.blockInRack(s.topology.zones[zone].racks[best], n)
		}
	}
	return block{}, false
}

// blockInZone does the same for a zone and the classes below limit.
func (s *space) blockInZone(zone int32, n, limit int) (block, bool) {
	for class := range limit {
		if position := s.zones[zone].fits[n][class].after(0); position != none {
			return s.blockInRack(s.topology.zones[zone].racks[position], n)
		}
	}
	return block{}, false
}

// blockInRack finds the block in a rack that splits the smallest cell.
func (s *space) blockInRack(rack int32, n int) (block, bool) {
	best, damage := none, int32(0)
	for _, target := range s.topology.racks[rack].targets {
		m := s.masks[target]
		if cells.first[n][m] != noFit && (best == none || cells.damage[n][m] < damage) {
			best, damage = target, cells.damage[n][m]
		}
	}
	if best == none {
		return block{}, false
	}
	return s.blockIn(best, n)
}
