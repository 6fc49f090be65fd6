package anvilplan

import (
	"math/bits"
	"slices"
)

const (
	// none marks an index or position that refers to nothing.
	none = int32(-1)
	// rackSize is the number of accelerators from which on a rack is called whole. spaceZone.byCount
	// puts racks with more accelerators into the same set as those with exactly rackSize.
	rackSize = 64
	// maxWholeTargets is the last index of spaceZone.byWholeTargets, which groups racks by their
	// number of whole targets, see space. The last group also has the racks with more of them.
	maxWholeTargets = 8
)

// space is a set of accelerators, such as the free ones, with an index of the cells that they form.
// A target is whole in a space if all of its workerSize accelerators are in the set. A rack is whole
// if at least rackSize accelerators of its targets are.
//
// The racks of a zone have a fixed order. Gangs go to the first racks in which they fit, so that the
// last racks stay empty and available for large gangs. Best fit alone would leave gaps in all racks.
type space struct {
	topology *topology
	masks    []mask // by target: which of its accelerators are in the space
	racks    []spaceRack
	zones    []spaceZone
	services []int32    // by service: number of accelerators in the space
	undo     []undoStep // changes by takeTemporarily since the last rollBack
}

// undoStep is the mask that a target had before a call of takeTemporarily; rollBack restores it.
type undoStep struct {
	target int32
	mask   mask
}

// spaceRack summarizes the accelerators of a space in one rack.
type spaceRack struct {
	count               int32 // number of accelerators in the space
	wholeTargets        int32 // number of targets with all workerSize accelerators in the space
	largestBlock        uint8 // size of the largest block that fits in a target of the rack
	largestPartialBlock uint8 // size of the largest block that fits in a target that isn't whole
}

// Classes of racks in which a block fits, in the order in which searches use them, so that whole
// targets and whole racks are broken up last.
const (
	partialWorker = iota // the block fits in a target that isn't whole
	wholeWorker          // the block fits only in whole targets
	wholeRack            // the rack is whole
	fitClasses
)

// spaceZone summarizes the accelerators of a space in one zone.
type spaceZone struct {
	count        int32
	inWholeRacks int32 // number of accelerators in whole racks
	// fits[n][class] is the set of racks of that class in which a block of n accelerators fits.
	fits [workerSize + 1][fitClasses]rackSet
	// byCount[n] is the set of racks with n accelerators, byWholeTargets[n] that of racks with n whole
	// targets. The last set of each also has the racks with more.
	byCount        [rackSize + 1]rackSet
	byWholeTargets [maxWholeTargets + 1]rackSet
}

// rackSet is a set of racks of one zone. Bit i of the words is set for the rack at position i of
// zone.racks.
type rackSet []uint64

func (r *rackSet) add(position int32) {
	for int(position/64) >= len(*r) {
		*r = append(*r, 0)
	}
	(*r)[position/64] |= 1 << (position % 64)
}

func (r rackSet) remove(position int32) { r[position/64] &^= 1 << (position % 64) }

// after returns the lowest position in the set that is not below from, or none.
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
	s.indexRack(rack)
}

// addTarget makes an entry for a target, at first without accelerators. The index of a target that was
// removed is used again, so the entry may exist already.
func (s *space) addTarget(target int32) {
	if int(target) == len(s.masks) {
		s.masks = append(s.masks, 0)
	}
}

func (s *space) zoneOfTarget(target int32) int32 {
	return s.topology.racks[s.topology.targets[target].rack].zone
}

// isWhole reports whether the rack has at least rackSize accelerators in the space, which is enough
// for the largest possible gang.
func (r *spaceRack) isWhole() bool { return r.count >= rackSize }

// class returns the class of a rack (partialWorker, wholeWorker or wholeRack) for a block of n
// accelerators, which must fit in the rack.
func (r *spaceRack) class(n int) int {
	switch {
	case r.isWhole():
		return wholeRack
	case n > int(r.largestPartialBlock):
		return wholeWorker
	}
	return partialWorker
}

// fitsBlock reports whether a block of n accelerators fits in a target of any rack of the zone.
func (z *spaceZone) fitsBlock(n int) bool {
	for _, racks := range z.fits[n] {
		if racks.after(0) != none {
			return true
		}
	}
	return false
}

func (s *space) indexRack(rack int32) {
	r, place := &s.racks[rack], &s.topology.racks[rack]
	z := &s.zones[place.zone]
	z.byCount[min(r.count, rackSize)].add(place.position)
	z.byWholeTargets[min(r.wholeTargets, maxWholeTargets)].add(place.position)
	if r.isWhole() {
		z.inWholeRacks += r.count
	}
	for n := 1; n <= int(r.largestBlock); n++ {
		z.fits[n][r.class(n)].add(place.position)
	}
}

func (s *space) unindexRack(rack int32) {
	r, place := &s.racks[rack], &s.topology.racks[rack]
	z := &s.zones[place.zone]
	z.byCount[min(r.count, rackSize)].remove(place.position)
	z.byWholeTargets[min(r.wholeTargets, maxWholeTargets)].remove(place.position)
	if r.isWhole() {
		z.inWholeRacks -= r.count
	}
	for n := 1; n <= int(r.largestBlock); n++ {
		z.fits[n][r.class(n)].remove(place.position)
	}
}

// set replaces the set of accelerators of one target that belong to the space.
func (s *space) set(target int32, m mask) {
	old := s.masks[target]
	if old == m {
		return
	}
	number := s.topology.targets[target].rack
	place, r := &s.topology.racks[number], &s.racks[number]
	s.unindexRack(number)
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
	s.indexRack(number)
}

// takeTemporarily removes the accelerators of a block from the space until rollBack is called.
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

// blockIn returns a block of n accelerators in a target, at the position with the lowest
// cellTable.splitCost, and whether there is one.
func (s *space) blockIn(target int32, n int) (block, bool) {
	first := cells.first[n][s.masks[target]]
	return block{target, first, uint8(n)}, first != noFit
}

// blockInService finds a block of n accelerators in the service: in the first class of racks in which
// one fits, and there in the rack with the lowest position in its zone.
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

// blockInZone finds a block of n accelerators in a zone. It searches only the classes of racks before
// limit.
func (s *space) blockInZone(zone int32, n, limit int) (block, bool) {
	for class := range limit {
		if position := s.zones[zone].fits[n][class].after(0); position != none {
			return s.blockInRack(s.topology.zones[zone].racks[position], n)
		}
	}
	return block{}, false
}

// blockInRack finds the block of n accelerators in a rack with the lowest cellTable.splitCost.
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
