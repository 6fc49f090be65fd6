package anvilconfig

import (
	"cmp"
	"math/bits"
	"slices"

	"anvilshunt/core/anvilid"
)

// packer finds a placement of gangs on targets that are all free at first. Within a target it
// allocates aligned blocks whose sizes are powers of two (buddy allocation). It is a heuristic: the
// gangs that it places do fit, but it may fail to place gangs for which a placement exists.
type packer struct {
	zones []*packZone
	racks []*packRack
	// blocks contains the list of free blocks of each size.
	blocks map[anvilid.AcceleratorCount][]block
	// oddSized lists the targets whose number of accelerators isn't a power of two. Such a target
	// can be allocated to a gang as a whole although no block covers it.
	oddSized []*packTarget
}

type packZone struct {
	racks []*packRack
	// free is the number of accelerators on targets of which no part is allocated.
	free anvilid.AcceleratorCount
}

type packRack struct {
	zone    *packZone
	targets []*packTarget
	// free is the number of accelerators on targets of which no part is allocated.
	free anvilid.AcceleratorCount
}

type packTarget struct {
	Target
	rack *packRack
	// inUse is set once any part of the target is allocated. takenWhole is set if the whole target
	// was allocated to one gang, so that its blocks are no longer free.
	inUse, takenWhole bool
}

// block is a free range of adjacent accelerators of a target. Its size, a power of two, is its key
// in packer.blocks.
type block struct {
	target *packTarget
	first  anvilid.AcceleratorCount // number of the first accelerator, starting from 0
}

func newPacker(zones []Zone) *packer {
	p := &packer{blocks: map[anvilid.AcceleratorCount][]block{}}
	for _, zone := range zones {
		z := &packZone{}
		p.zones = append(p.zones, z)
		for _, rack := range zone.Racks {
			p.addRack(z, rack)
		}
	}
	return p
}

func (p *packer) addRack(zone *packZone, rack Rack) {
	r := &packRack{zone: zone}
	zone.racks = append(zone.racks, r)
	p.racks = append(p.racks, r)
	for _, target := range rack.Targets {
		if target.Accelerators <= 0 {
			continue
		}
		t := &packTarget{Target: target, rack: r}
		r.targets = append(r.targets, t)
		r.free += target.Accelerators
		zone.free += target.Accelerators
		p.addBlocks(t)
	}
	// Larger targets come first, so that a gang needs few of them.
	slices.SortStableFunc(r.targets, func(a, b *packTarget) int { return cmp.Compare(b.Accelerators, a.Accelerators) })
}

func (p *packer) addBlocks(t *packTarget) {
	first := anvilid.AcceleratorCount(0)
	for rest := t.Accelerators; rest > 0; {
		size := anvilid.AcceleratorCount(1) << (bits.Len(uint(rest)) - 1)
		p.blocks[size] = append(p.blocks[size], block{t, first})
		first += size
		rest -= size
	}
	if t.Accelerators&(t.Accelerators-1) != 0 {
		p.oddSized = append(p.oddSized, t)
	}
}

func (p *packer) totalFree() anvilid.AcceleratorCount {
	total := anvilid.AcceleratorCount(0)
	for _, zone := range p.zones {
		total += zone.free
	}
	return total
}

// placeGang allocates accelerators for one gang, or returns nil if it finds no place.
func (p *packer) placeGang(n anvilid.AcceleratorCount, within Extent) []Part {
	// A whole target whose size isn't a power of two may leave fewer accelerators unused than a
	// block.
	size, odd := p.smallestBlock(n), p.smallestOddSized(n)
	if odd != nil && (size == 0 || odd.Accelerators < size) {
		return []Part{p.takeWholeTarget(odd)}
	}
	if size != 0 {
		return []Part{p.takeBlock(size, n)}
	}
	if within == WithinWorker {
		return nil
	}
	if within == WithinRack {
		rack := bestFit(p.racks, func(r *packRack) anvilid.AcceleratorCount { return r.free }, n)
		if rack == nil {
			return nil
		}
		return p.takeWholeTargets([]*packRack{rack}, n)
	}
	zone := bestFit(p.zones, func(z *packZone) anvilid.AcceleratorCount { return z.free }, n)
	if zone == nil {
		return nil
	}
	// Racks with few free accelerators come first, so that the other racks keep theirs for gangs that
	// must stay within one rack.
	racks := slices.Clone(zone.racks)
	slices.SortStableFunc(racks, func(a, b *packRack) int { return cmp.Compare(a.free, b.free) })
	return p.takeWholeTargets(racks, n)
}

// blockSizeFor returns the size of the smallest block with at least n accelerators.
func blockSizeFor(n anvilid.AcceleratorCount) anvilid.AcceleratorCount {
	return anvilid.AcceleratorCount(1) << bits.Len(uint(n-1))
}

// smallestBlock returns the size of the smallest free block with at least n accelerators, or 0 if
// there is none.
func (p *packer) smallestBlock(n anvilid.AcceleratorCount) anvilid.AcceleratorCount {
	best := anvilid.AcceleratorCount(0)
	for size := range p.blocks {
		p.dropTakenBlocks(size)
		if size >= blockSizeFor(n) && len(p.blocks[size]) > 0 && (best == 0 || size < best) {
			best = size
		}
	}
	return best
}

// takeBlock takes a free block of the given size, splits it in halves down to the smallest size with
// at least n accelerators, and allocates one block of that size.
func (p *packer) takeBlock(size, n anvilid.AcceleratorCount) Part {
	b := p.blocks[size][0]
	p.blocks[size] = p.blocks[size][1:]
	p.markInUse(b.target)
	for size > blockSizeFor(n) {
		size /= 2
		p.blocks[size] = append(p.blocks[size], block{b.target, b.first + size})
	}
	return Part{Target: b.target.ID, First: b.first, Accelerators: size}
}

// dropTakenBlocks removes blocks from the head of the list of free blocks of the given size until the
// first one is on a target that was not allocated as a whole.
func (p *packer) dropTakenBlocks(size anvilid.AcceleratorCount) {
	list := p.blocks[size]
	for len(list) > 0 && list[0].target.takenWhole {
		list = list[1:]
	}
	p.blocks[size] = list
}

func (p *packer) markInUse(t *packTarget) {
	if !t.inUse {
		t.inUse = true
		t.rack.free -= t.Accelerators
		t.rack.zone.free -= t.Accelerators
	}
}

// smallestOddSized returns the smallest free target in oddSized with at least n accelerators, or nil.
func (p *packer) smallestOddSized(n anvilid.AcceleratorCount) *packTarget {
	var best *packTarget
	for _, t := range p.oddSized {
		if !t.inUse && t.Accelerators >= n && (best == nil || t.Accelerators < best.Accelerators) {
			best = t
		}
	}
	return best
}

func (p *packer) takeWholeTarget(t *packTarget) Part {
	p.markInUse(t)
	t.takenWhole = true
	return Part{Target: t.ID, Accelerators: t.Accelerators}
}

// takeWholeTargets allocates whole targets of the racks until these have at least n accelerators in
// all.
func (p *packer) takeWholeTargets(racks []*packRack, n anvilid.AcceleratorCount) []Part {
	var parts []Part
	for _, rack := range racks {
		for i, t := range rack.targets {
			if n <= 0 {
				return parts
			}
			if t.inUse {
				continue
			}
			if t.Accelerators >= n {
				t = smallestFreeTarget(rack.targets[i:], n)
			}
			parts = append(parts, p.takeWholeTarget(t))
			n -= t.Accelerators
		}
	}
	return parts
}

// smallestFreeTarget returns the smallest free target with at least n accelerators. The targets must
// be ordered by decreasing size, and the first one must be free and have at least n accelerators.
func smallestFreeTarget(targets []*packTarget, n anvilid.AcceleratorCount) *packTarget {
	best := targets[0]
	for _, t := range targets {
		if t.Accelerators < n {
			break
		}
		if !t.inUse && t.Accelerators < best.Accelerators {
			best = t
		}
	}
	return best
}

// bestFit returns, of the racks or zones with at least n free accelerators, the one with the fewest
// (the first of several), or nil.
func bestFit[T any](items []*T, free func(*T) anvilid.AcceleratorCount, n anvilid.AcceleratorCount) *T {
	var best *T
	for _, item := range items {
		if f := free(item); f >= n && (best == nil || f < free(best)) {
			best = item
		}
	}
	return best
}
