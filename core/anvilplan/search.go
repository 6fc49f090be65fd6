package anvilplan

import "anvilshunt/core/anvilconfig"

// search finds blocks for a gang of a shape in the space and appends them to blocks. It tries a single
// target first, then a single rack, then a single zone, as far as the shape permits.
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
		// Gangs that may be spread over racks leave racks with rackSize accelerators in the space to gangs
		// that need a single rack.
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

// collectBlocks takes the largest blocks that find returns until they have n accelerators together.
// The rack or zone that find searches must have at least n accelerators in the space.
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

// rackFor returns a rack for n accelerators, or none. It prefers a rack in which n/workerSize whole
// targets (all their accelerators are in the space) and one block for the rest suffice, and of these
// one with the fewest whole targets.
// Otherwise it returns the rack with the fewest accelerators that has n of them.
func (s *space) rackFor(service int32, n int) int32 {
	for targetCount := n / workerSize; targetCount <= maxWholeTargets; targetCount++ {
		if rack := s.firstRack(service, func(z *spaceZone) rackSet { return z.byWholeTargets[targetCount] },
			func(rack int32) bool { return s.fitsInWholeTargets(rack, n) }); rack != none {
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

// maxRackScan is how many racks of each zone firstRack examines at most.
const maxRackScan = 16

// firstRack returns the suitable rack with the lowest position in its zone, among the racks that set
// returns for each zone of the service, or none.
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

// fitsInWholeTargets reports whether n accelerators fit in a rack as n/workerSize whole targets and
// one block for the rest.
func (s *space) fitsInWholeTargets(rack int32, n int) bool {
	targetCount, rest := n/workerSize, n%workerSize
	r := &s.racks[rack]
	switch {
	case int(r.count) < n || int(r.wholeTargets) < targetCount:
		return false
	case rest == 0 || int(r.wholeTargets) > targetCount:
		return true
	}
	for _, target := range s.topology.racks[rack].targets {
		if m := s.masks[target]; m != fullMask && cells.first[rest][m] != noFit {
			return true
		}
	}
	return false
}

// zoneFor returns the zone with the lowest count that is at least n, or none. Count returns the number
// of accelerators of a zone that may be used.
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

// partialCount returns the number of accelerators of a zone in racks that aren't whole, which have
// fewer than rackSize accelerators in the space.
func (s *space) partialCount(zone int32) int32 {
	return s.zones[zone].count - s.zones[zone].inWholeRacks
}

// Largest has the number of accelerators of the largest gang that fits within one worker, one rack and
// one zone of a service.
type Largest struct {
	Total  int `json:"total"` // sum over all zones, more than one gang may be able to use
	Worker int `json:"worker"`
	Rack   int `json:"rack"`
	Zone   int `json:"zone"`
}

func (s *space) largest(service int32) Largest {
	l := Largest{Total: int(s.services[service])}
	for _, zone := range s.topology.services[service].zones {
		z := &s.zones[zone]
		l.Zone = max(l.Zone, int(z.count))
		for n := l.Worker + 1; n <= workerSize && z.fitsBlock(n); n++ {
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
