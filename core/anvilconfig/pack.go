package anvilconfig

import (
	"cmp"
	"math/bits"
	"slices"

	"anvilshunt/core/anvilid"
)

// packer places gangs on empty targets. Within a target it hands out aligned
// blocks whose sizes are powers of two (buddy cells). It is a heuristic: what
// it places fits, but it may fail to find a placement that exists.
type packer struct {
	zones []*packZone
	racks []*packRack
	// blocks holds the free cells by size.
	blocks map[anvilid.AcceleratorCount][]block
	// odd lists targets whose size isn't a power of two. A gang may need such
	// a target as a whole.
	odd []*packTarget
}

type packZone struct {
	racks []*packRack
	free  anvilid.AcceleratorCount
}

type packRack struct {
	zone    *packZone
	targets []*packTarget
	// free counts the accelerators of targets that are entirely free.
	free anvilid.AcceleratorCount
}

type packTarget struct {
	Target
	rack *packRack
	// broken targets have handed out a block; whole ones are handed out
	// entirely.
	broken, whole bool
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
	// Larger targets first, so that a gang takes few of them.
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
		p.odd = append(p.odd, t)
	}
}

func (p *packer) total() anvilid.AcceleratorCount {
	total := anvilid.AcceleratorCount(0)
	for _, zone := range p.zones {
		total += zone.free
	}
	return total
}

// take places one gang, or returns nil.
func (p *packer) take(n anvilid.AcceleratorCount, within Extent) []Part {
	// A target whose size isn't a power of two may be tighter than a block.
	size, odd := p.smallestBlock(n), p.smallestOdd(n)
	if odd != nil && (size == 0 || odd.Accelerators < size) {
		return []Part{p.useWhole(odd)}
	}
	if size != 0 {
		return []Part{p.takeBlock(size, n)}
	}
	if within == WithinWorker {
		return nil
	}
	if within == WithinRack {
		rack := tightest(p.racks, func(r *packRack) anvilid.AcceleratorCount { return r.free }, n)
		if rack == nil {
			return nil
		}
		return p.takeWhole([]*packRack{rack}, n)
	}
	zone := tightest(p.zones, func(z *packZone) anvilid.AcceleratorCount { return z.free }, n)
	if zone == nil {
		return nil
	}
	// Racks with little space first, so that others keep theirs for gangs
	// that need a rack.
	racks := slices.Clone(zone.racks)
	slices.SortStableFunc(racks, func(a, b *packRack) int { return cmp.Compare(a.free, b.free) })
	return p.takeWhole(racks, n)
}

// cellFor returns the size of the cell that holds n.
func cellFor(n anvilid.AcceleratorCount) anvilid.AcceleratorCount {
	return anvilid.AcceleratorCount(1) << bits.Len(uint(n-1))
}

// smallestBlock returns the size of the smallest free block that holds n, or
// zero.
func (p *packer) smallestBlock(n anvilid.AcceleratorCount) anvilid.AcceleratorCount {
	best := anvilid.AcceleratorCount(0)
	for size := range p.blocks {
		p.dropStale(size)
		if size >= cellFor(n) && len(p.blocks[size]) > 0 && (best == 0 || size < best) {
			best = size
		}
	}
	return best
}

// takeBlock hands out a block of the size, split to the cell that holds n.
func (p *packer) takeBlock(size, n anvilid.AcceleratorCount) Part {
	b := p.blocks[size][0]
	p.blocks[size] = p.blocks[size][1:]
	p.breakUp(b.target)
	for size > cellFor(n) {
		size /= 2
		p.blocks[size] = append(p.blocks[size], block{b.target, b.first + size})
	}
	return Part{Target: b.target.ID, First: b.first, Accelerators: size}
}

// dropStale removes blocks of targets that were handed out whole.
func (p *packer) dropStale(size anvilid.AcceleratorCount) {
	list := p.blocks[size]
	for len(list) > 0 && list[0].target.whole {
		list = list[1:]
	}
	p.blocks[size] = list
}

func (p *packer) breakUp(t *packTarget) {
	if !t.broken {
		t.broken = true
		t.rack.free -= t.Accelerators
		t.rack.zone.free -= t.Accelerators
	}
}

// smallestOdd returns the smallest free target of odd that holds n.
func (p *packer) smallestOdd(n anvilid.AcceleratorCount) *packTarget {
	var best *packTarget
	for _, t := range p.odd {
		if !t.broken && t.Accelerators >= n && (best == nil || t.Accelerators < best.Accelerators) {
			best = t
		}
	}
	return best
}

func (p *packer) useWhole(t *packTarget) Part {
	p.breakUp(t)
	t.whole = true
	return Part{Target: t.ID, Accelerators: t.Accelerators}
}

// takeWhole hands out whole targets of the racks until they hold n.
func (p *packer) takeWhole(racks []*packRack, n anvilid.AcceleratorCount) []Part {
	var parts []Part
	for _, rack := range racks {
		for i, t := range rack.targets {
			if n <= 0 {
				return parts
			}
			if t.broken {
				continue
			}
			if t.Accelerators >= n {
				t = smallestFor(rack.targets[i:], n)
			}
			parts = append(parts, p.useWhole(t))
			n -= t.Accelerators
		}
	}
	return parts
}

// smallestFor returns the smallest free target that holds n. The targets are
// sorted by falling size and the first one is free and holds n.
func smallestFor(targets []*packTarget, n anvilid.AcceleratorCount) *packTarget {
	best := targets[0]
	for _, t := range targets {
		if t.Accelerators < n {
			break
		}
		if !t.broken && t.Accelerators < best.Accelerators {
			best = t
		}
	}
	return best
}

// tightest returns the first item with the least free space of at least n.
func tightest[T any](items []*T, free func(*T) anvilid.AcceleratorCount, n anvilid.AcceleratorCount) *T {
	var best *T
	for _, item := range items {
		if f := free(item); f >= n && (best == nil || f < free(best)) {
			best = item
		}
	}
	return best
}
