package anvilplan

import "anvilshunt/core/anvilconfig"

// search finds blocks for a shape in a space. It prefers a single target, then a single rack, then
// a single zone, as far as the shape permits. The result is appended to blocks.
func (s *space) search(service int32, shape anvilconfig.Shape, blocks []block) ([]block, bool) {
	n := int(shape.Accelerators)
	if int(s.services[service]) < n {
		return blocks, false
	}
	if n <= workerSize {
		if b, ok := s.blockInService(service, n); ok {
			return append(blocks, b), true
		}
	}
	if shape.Within == anvilconfig.WithinWorker {
		return blocks, false
	}
	rack := s.rackFor(service, n)
	if shape.Within == anvilconfig.WithinZone && (rack == none || s.racks[rack].isWhole()) {
		// Gangs that may be spread over racks leave whole racks to gangs that may not.
		if zone := s.zoneFor(service, n, s.partialCount); zone != none {
			return s.collectBlocks(n, blocks, func(size int) (block, bool) { return s.blockInZone(zone, size, wholeRack) }), true
		}
	}
	if rack != none {
		return s.collectBlocks(n, blocks, func(size int) (block, bool) { return s.blockInRack(rack, size) }), true
	}
	if shape.Within == anvilconfig.WithinRack {
		return blocks, false
	}
	if zone := s.zoneFor(service, n, s.zoneCount); zone != none {
		return s.collectBlocks(n, blocks, func(size int) (block, bool) { return s.blockInZone(zone, size, fitClasses) }), true
	}
	return blocks, false
}

// collectBlocks collects n accelerators in as few blocks as possible. What find searches must hold
// at least n accelerators.
func (s *space) collectBlocks(n int, blocks []block, find func(size int) (block, bool)) []block {
	limit := workerSize
	for n > 0 {
		size := min(n, limit)
		b, ok := find(size)
		if !ok {
			limit = size - 1
			continue
		}
		s.takeTemporarily(b)
		blocks = append(blocks, b)
		n -= size
	}
	s.rollBack()
	return blocks
}

// rackFor returns the best rack for n accelerators: one with just enough whole targets, or else one
// with just enough accelerators.
func (s *space) rackFor(service int32, n int) int32 {
	for wholes := n / workerSize; wholes <= maxWholeTargets; wholes++ {
		if rack := s.firstRack(service, func(z *spaceZone) rackSet { return z.byWholeTargets[wholes] },
			func(rack int32) bool { return s.holdsAsWholeTargets(rack, n) }); rack != none {
			return rack
		}
	}
	for count := min(n, rackSize); count <= rackSize; count++ {
		if rack := s.firstRack(service, func(z *spaceZone) rackSet { return z.byCount[count] },
			func(rack int32) bool { return int(s.racks[rack].count) >= n }); rack != none {
			return rack
		}
	}
	return none
}

// maxRackScan limits the racks of a zone that firstRack examines.
const maxRackScan = 16

// firstRack returns a rack that is in a set and suitable, from any zone: the one with the lowest
// position.
func (s *space) firstRack(service int32, set func(*spaceZone) rackSet, suitable func(rack int32) bool) int32 {
	best, found := none, none
	for _, zone := range s.topology.services[service].zones {
		racks := set(&s.zones[zone])
		for position, i := racks.after(0), 0; position != none && i < maxRackScan && (found == none || position < found); position, i = racks.after(position+1), i+1 {
			if rack := s.topology.zones[zone].racks[position]; suitable(rack) {
				best, found = rack, position
			}
		}
	}
	return best
}

// holdsAsWholeTargets reports whether a rack holds n accelerators as whole targets and one further
// block.
func (s *space) holdsAsWholeTargets(rack int32, n int) bool {
	wholes, rest := n/workerSize, n%workerSize
	r := &s.racks[rack]
	switch {
	case int(r.count) < n || int(r.wholeTargets) < wholes:
		return false
	case rest == 0 || int(r.wholeTargets) > wholes:
		return true
	}
	for _, target := range s.topology.racks[rack].targets {
		if m := s.masks[target]; m != fullMask && cells.first[rest][m] != noFit {
			return true
		}
	}
	return false
}

// zoneFor returns the zone that holds n accelerators and has the fewest to spare, as measured by
// count.
func (s *space) zoneFor(service int32, n int, count func(zone int32) int32) int32 {
	best := none
	for _, zone := range s.topology.services[service].zones {
		if int(count(zone)) >= n && (best == none || count(zone) < count(best)) {
			best = zone
		}
	}
	return best
}

func (s *space) zoneCount(zone int32) int32 { return s.zones[zone].count }

// partialCount counts the accelerators in racks that aren't whole.
func (s *space) partialCount(zone int32) int32 { return s.zones[zone].count - s.zones[zone].inWhole }

// Largest is the sizes of the largest gangs that fit at the moment, by extent.
type Largest struct {
	Total  int `json:"total"` // all accelerators, in whatever zone they are
	Worker int `json:"worker"`
	Rack   int `json:"rack"`
	Zone   int `json:"zone"`
}

func (s *space) largest(service int32) Largest {
	l := Largest{Total: int(s.services[service])}
	for _, zone := range s.topology.services[service].zones {
		z := &s.zones[zone]
		l.Zone = max(l.Zone, int(z.count))
		for n := l.Worker + 1; n <= workerSize && z.holds(n); n++ {
			l.Worker = n
		}
		for count := rackSize; count > l.Rack; count-- {
			if z.byCount[count].after(0) != none {
				l.Rack = count
			}
		}
	}
	limit := int(MaxAccelerators)
	l.Rack, l.Zone = min(l.Rack, limit), min(l.Zone, limit)
	return l
}
