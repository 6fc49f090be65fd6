package anvilplan

import (
	"math/bits"
	"slices"
)

const (
	none = int32(-1)
	// rackSize is the number of accelerators in a full rack. Racks with more accelerators are
	// listed with the full ones.
	rackSize = 64
	// maxWholeTargets is the largest number of whole targets that racks are listed by. Racks with
	// more are listed under it.
	maxWholeTargets = 8
)

// space indexes a set of accelerators, such as the free ones, by the cells that they form. The
// racks of a zone have a fixed order. Gangs go to the first racks in which they fit, so that the
// last racks become empty and stay whole. Best fit alone would leave gaps in all racks.
type space struct {
	topology *topology
	masks    []mask // by target: its accelerators that are in the space
	racks    []spaceRack
	zones    []spaceZone
	services []int32 // by service: number of accelerators
	undo     []undoStep
}

// undoStep is the former mask of a target, for rollBack.
type undoStep struct {
	target int32
	mask   mask
}

// spaceRack summarizes the accelerators of a space in one rack.
type spaceRack struct {
	count               int32 // number of accelerators
	wholeTargets        int32 // number of targets of which all accelerators of a full worker are in the set
	largestBlock        uint8 // size of the largest block within one target
	largestPartialBlock uint8 // size of the largest block within a target that isn't whole
}

// Classes of racks in which a block fits, in the order in which they are used, so that whole
// targets and whole racks are split last.
const (
	partialWorker = iota
	wholeWorker
	wholeRack
	fitClasses
)

// spaceZone summarizes the accelerators of a space in one zone.
type spaceZone struct {
	count   int32
	inWhole int32 // number of accelerators in racks that are whole
	// fits[n] are the racks in which a block of n accelerators fits, by class.
	fits [workerSize + 1][fitClasses]rackSet
	// byCount lists the racks by number of accelerators, byWholeTargets by number of whole targets.
	byCount        [rackSize + 1]rackSet
	byWholeTargets [maxWholeTargets + 1]rackSet
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

// after returns the first position in the set that is at least from, or none.
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

// addTarget adds a target without accelerators. Its number may be that of a target that was
// removed.
func (s *space) addTarget(target int32) {
	if int(target) == len(s.masks) {
		s.masks = append(s.masks, 0)
	}
}

func (s *space) zoneOfTarget(target int32) int32 {
	return s.topology.racks[s.topology.targets[target].rack].zone
}

// isWhole reports whether the rack has all accelerators of a full rack, and so holds the largest
// gang.
func (r *spaceRack) isWhole() bool { return r.count >= rackSize }

// class returns the class of the rack for blocks of n accelerators.
func (r *spaceRack) class(n int) int {
	switch {
	case r.isWhole():
		return wholeRack
	case n > int(r.largestPartialBlock):
		return wholeWorker
	}
	return partialWorker
}

// holds reports whether a block of n accelerators fits into any rack of the zone.
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
	z.byCount[min(r.count, rackSize)].add(place.position)
	z.byWholeTargets[min(r.wholeTargets, maxWholeTargets)].add(place.position)
	if r.isWhole() {
		z.inWhole += r.count
	}
	for n := 1; n <= int(r.largestBlock); n++ {
		z.fits[n][r.class(n)].add(place.position)
	}
}

func (s *space) unlistRack(rack int32) {
	r, place := &s.racks[rack], &s.topology.racks[rack]
	z := &s.zones[place.zone]
	z.byCount[min(r.count, rackSize)].remove(place.position)
	z.byWholeTargets[min(r.wholeTargets, maxWholeTargets)].remove(place.position)
	if r.isWhole() {
		z.inWhole -= r.count
	}
	for n := 1; n <= int(r.largestBlock); n++ {
		z.fits[n][r.class(n)].remove(place.position)
	}
}

// set replaces the accelerators of a target that are in the space.
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
	if old == fullMask {
		r.wholeTargets--
	}
	if m == fullMask {
		r.wholeTargets++
	}
	r.largestBlock, r.largestPartialBlock = 0, 0
	for _, t := range place.targets {
		largestBlock := cells.largestBlock[s.masks[t]]
		r.largestBlock = max(r.largestBlock, largestBlock)
		if s.masks[t] != fullMask {
			r.largestPartialBlock = max(r.largestPartialBlock, largestBlock)
		}
	}
	s.listRack(number)
}

// takeTemporarily removes a block until rollBack is called.
func (s *space) takeTemporarily(b block) {
	s.undo = append(s.undo, undoStep{b.target, s.masks[b.target]})
	s.set(b.target, s.masks[b.target]&^b.mask())
}

// rollBack undoes all calls of takeTemporarily.
func (s *space) rollBack() {
	for _, step := range slices.Backward(s.undo) {
		s.set(step.target, step.mask)
	}
	s.undo = s.undo[:0]
}

// blockIn returns the block of n accelerators in a target that splits the smallest cell.
func (s *space) blockIn(target int32, n int) (block, bool) {
	first := cells.first[n][s.masks[target]]
	return block{target, first, uint8(n)}, first != noFit
}

// blockInService finds a block of n accelerators in the service. It takes the first class of racks
// that has one, and the rack with the lowest position in its zone.
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

// blockInZone finds a block of n accelerators in a zone, in the classes below limit.
func (s *space) blockInZone(zone int32, n, limit int) (block, bool) {
	for class := range limit {
		if position := s.zones[zone].fits[n][class].after(0); position != none {
			return s.blockInRack(s.topology.zones[zone].racks[position], n)
		}
	}
	return block{}, false
}

// blockInRack finds the block of n accelerators in a rack that splits the smallest cell.
func (s *space) blockInRack(rack int32, n int) (block, bool) {
	best, splitCost := none, int32(0)
	for _, target := range s.topology.racks[rack].targets {
		m := s.masks[target]
		if cells.first[n][m] != noFit && (best == none || cells.splitCost[n][m] < splitCost) {
			best, splitCost = target, cells.splitCost[n][m]
		}
	}
	if best == none {
		return block{}, false
	}
	return s.blockIn(best, n)
}
