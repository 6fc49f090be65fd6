package anvilplan

import "anvilshunt/core/anvilconfig"

// search finds blocks for a shape in a space. It prefers one target, then
// one rack, then one zone, as far as the shape permits. The result is
// appended to blocks.
func (s *space) search(service int32, shape anvilconfig.Shape, blocks []block) ([]block, bool) {
	n := int(shape.Accelerators)
	if int(s.services[service].count) < n {
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
	if rack := s.rackFor(service, n); rack != none {
		return s.gather(n, blocks, func(size int) (block, bool) { return s.blockInRack(rack, size) }), true
	}
	if shape.Within == anvilconfig.WithinRack {
		return blocks, false
	}
	if zone := s.zoneFor(service, n); zone != none {
		return s.gather(n, blocks, func(size int) (block, bool) { return s.blockInZone(zone, size) }), true
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
	zones := s.topology.services[service].zones
	for wholes := n / workerSize; wholes <= rackWorkers; wholes++ {
		best := none
		for _, zone := range zones {
			rack := s.zones[zone].wholes[wholes]
			for i := 0; rack != none && i < bucketScan; rack, i = s.racks[rack].wholes.next, i+1 {
				if s.holdsNeatly(rack, n) && (best == none || s.racks[rack].count < s.racks[best].count) {
					best = rack
				}
			}
		}
		if best != none {
			return best
		}
	}
	for count := min(n, rackSize); count <= rackSize; count++ {
		for _, zone := range zones {
			for rack := s.zones[zone].counts[count]; rack != none; rack = s.racks[rack].counts.next {
				if int(s.racks[rack].count) >= n {
					return rack
				}
			}
		}
	}
	return none
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
func (s *space) zoneFor(service int32, n int) int32 {
	best := none
	for _, zone := range s.topology.services[service].zones {
		if int(s.zones[zone].count) >= n && (best == none || s.zones[zone].count < s.zones[best].count) {
			best = zone
		}
	}
	return best
}

// Largest are the largest gangs that fit at the moment, by extent.
type Largest struct {
	Total  int `json:"total"` // accelerators, wherever they are
	Worker int `json:"worker"`
	Rack   int `json:"rack"`
	Zone   int `json:"zone"`
}

func (s *space) largest(service int32) Largest {
	l := Largest{Total: int(s.services[service].count)}
	for m, count := range s.services[service].targets {
		if count > 0 {
			l.Worker = max(l.Worker, int(cells.widest[m]))
		}
	}
	for _, zone := range s.topology.services[service].zones {
		z := &s.zones[zone]
		l.Zone = max(l.Zone, int(z.count))
		for count := rackSize; count > l.Rack; count-- {
			if z.counts[count] != none {
				l.Rack = count
			}
		}
	}
	limit := int(MaxAccelerators)
	l.Rack, l.Zone = min(l.Rack, limit), min(l.Zone, limit)
	return l
}
