package anvilconfig

import (
	"cmp"
	"math/bits"
	"slices"

	"anvilshunt/core/anvilid"
)

// packer places gangs on unoccupied targets. Within a target it allocates aligned blocks whose
// sizes are powers of two (buddy allocation). It is a heuristic: what it places does fit, but it
// may fail to find an existing placement.
type packer struct {
	zones []*packZone
	racks []*packRack
	// blocks holds the free blocks by size.
	blocks map[anvilid.AcceleratorCount][]block
	// oddSized lists the targets whose size isn't a power of two. A gang may need such a target as
	// a whole.
	oddSized []*packTarget
}

type packZone struct {
	racks []*packRack
	free  anvilid.AcceleratorCount
}

type packRack struct {
	zone    *packZone
	targets []*packTarget
	// free is the number of accelerators on targets that are entirely free.
	free anvilid.AcceleratorCount
}

type packTarget struct {
	Target
	rack *packRack
	// inUse is set once any part of the target is allocated, takenWhole if the whole target was
	// allocated at once.
	inUse, takenWhole bool
}

type block struct {
	target *packTarget
	first  anvilid.AcceleratorCount
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
	// A target whose size isn't a power of two may fit more tightly than a block.
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
	// Racks with little free space come first, so that the others keep their space for gangs that
	// need a single rack.
	racks := slices.Clone(zone.racks)
	slices.SortStableFunc(racks, func(a, b *packRack) int { return cmp.Compare(a.free, b.free) })
	return p.takeWholeTargets(racks, n)
}

// blockSizeFor returns the size of the smallest block that holds n accelerators.
func blockSizeFor(n anvilid.AcceleratorCount) anvilid.AcceleratorCount {
	return anvilid.AcceleratorCount(1) << bits.Len(uint(n-1))
}

// smallestBlock returns the size of the smallest free block that holds n accelerators, or 0 if
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

// takeBlock allocates a block of the given size after splitting it down to the smallest block that
// holds n accelerators.
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

// dropTakenBlocks removes the blocks of targets that were allocated as a whole from the head of the
// list of free blocks.
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

// smallestOddSized returns the smallest free target in oddSized that holds n accelerators, or nil.
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

// takeWholeTargets allocates whole targets of the racks until they hold n accelerators.
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

// smallestFreeTarget returns the smallest free target that holds n accelerators. The targets must
// be ordered by decreasing size, and the first one must be free and hold n accelerators.
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

// bestFit returns the first item with the smallest free space that is at least n, or nil.
func bestFit[T any](items []*T, free func(*T) anvilid.AcceleratorCount, n anvilid.AcceleratorCount) *T {
	var best *T
	for _, item := range items {
		if f := free(item); f >= n && (best == nil || f < free(best)) {
			best = item
		}
	}
	return best
}
