package anvilplan

import "anvilshunt/core/anvilconfig"

// search finds blocks for a shape in a space. It prefers one target, then
// one rack, then one zone, as far as the shape permits. The result is
// appended to blocks.
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
		// Gangs that may be apart leave whole racks to those that may not.
		if zone := s.zoneFor(service, n, s.brokenCount); zone != none {
			return s.gather(n, blocks, func(size int) (block, bool) { return s.blockInZone(zone, size, wholeRack) }), true
		}
	}
	if rack != none {
		return s.gather(n, blocks, func(size int) (block, bool) { return s.blockInRack(rack, size) }), true
	}
	if shape.Within == anvilconfig.WithinRack {
		return blocks, false
	}
	if zone := s.zoneFor(service, n, s.zoneCount); zone != none {
		return s.gather(n, blocks, func(size int) (block, bool) { return s.blockInZone(zone, size, fitClasses) }), true
	}
	return blocks, false
}

// gather collects n accelerators as few large blocks. The scope of find must
// hold at least n.
func (s *space) gather(n int, blocks []block, find func(size int) (block, bool)) []block {
	limit := workerSize
	for n > 0 {
		size := min(n, limit)
		b, ok := find(size)
		if !ok {
			limit = size - 1
			continue
		}
		s.take(b)
		blocks = append(blocks, b)
		n -= size
	}
	s.rollBack()
	return blocks
}

// rackFor returns the best rack for n accelerators: one with just enough
// whole targets, or else one with just enough accelerators.
func (s *space) rackFor(service int32, n int) int32 {
	for wholes := n / workerSize; wholes <= rackWorkers; wholes++ {
		if rack := s.firstRack(service, func(z *spaceZone) rackSet { return z.wholes[wholes] },
			func(rack int32) bool { return s.holdsNeatly(rack, n) }); rack != none {
			return rack
		}
	}
	for count := min(n, rackSize); count <= rackSize; count++ {
		if rack := s.firstRack(service, func(z *spaceZone) rackSet { return z.counts[count] },
			func(rack int32) bool { return int(s.racks[rack].count) >= n }); rack != none {
			return rack
		}
	}
	return none
}

// rackScan bounds the racks of a zone that are tried for a neat placement.
const rackScan = 16

// firstRack returns the first rack of all zones that is in a set and
// suitable.
func (s *space) firstRack(service int32, set func(*spaceZone) rackSet, suitable func(rack int32) bool) int32 {
	best, found := none, none
	for _, zone := range s.topology.services[service].zones {
		racks := set(&s.zones[zone])
		for position, i := racks.after(0), 0; position != none && i < rackScan && (found == none || position < found); position, i = racks.after(position+1), i+1 {
			if rack := s.topology.zones[zone].racks[position]; suitable(rack) {
				best, found = rack, position
			}
		}
	}
	return best
}

// holdsNeatly tells whether a rack holds n accelerators as whole targets and
// one block.
func (s *space) holdsNeatly(rack int32, n int) bool {
	wholes, rest := n/workerSize, n%workerSize
	r := &s.racks[rack]
	switch {
	case int(r.count) < n || int(r.whole) < wholes:
		return false
	case rest == 0 || int(r.whole) > wholes:
		return true
	}
	for _, target := range s.topology.racks[rack].targets {
		if m := s.masks[target]; m != whole && cells.first[rest][m] != noFit {
			return true
		}
	}
	return false
}

// zoneFor returns the fullest zone that holds n accelerators.
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

// brokenCount counts accelerators in racks that aren't whole.
func (s *space) brokenCount(zone int32) int32 { return s.zones[zone].count - s.zones[zone].inWhole }

// Largest are the largest gangs that fit at the moment, by extent.
type Largest struct {
	Total  int `json:"total"` // accelerators, wherever they are
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
			if z.counts[count].after(0) != none {
				l.Rack = count
			}
		}
	}
	limit := int(MaxAccelerators)
	l.Rack, l.Zone = min(l.Rack, limit), min(l.Zone, limit)
	return l
}
