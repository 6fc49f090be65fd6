package anvilplan

import "slices"

const (
	none = int32(-1)
	// rackSize is the number of accelerators in a full rack. Racks with
	// more free accelerators share the last bucket.
	rackSize = 64
	// rackWorkers bounds the buckets of racks by whole targets.
	rackWorkers = 8
	// bucketScan bounds the targets that are compared within a bucket.
	bucketScan = 8
)

// space indexes a set of accelerators, such as the free ones, by the cells
// that they form. All operations take time that doesn't grow with the
// number of targets.
type space struct {
	topology *topology
	masks    []mask // by target
	next     []int32
	prev     []int32
	racks    []spaceRack
	zones    []spaceZone
	services []spaceService
	undo     []undoStep
}

type undoStep struct {
	target int32
	mask   mask
}

type spaceRack struct {
	count  int32 // accelerators
	whole  int32 // targets with all accelerators of a full worker
	counts link
	wholes link
}

// link chains a rack into a bucket.
type link struct{ next, prev int32 }

type spaceZone struct {
	count   int32
	targets [maskCount]int32       // first target by mask
	counts  [rackSize + 1]int32    // first rack by count
	wholes  [rackWorkers + 1]int32 // first rack by whole targets
}

type spaceService struct {
	count   int32
	targets [maskCount]int32 // number of targets by mask
}

func (s *space) addService() { s.services = append(s.services, spaceService{}) }

func (s *space) addZone() {
	z := spaceZone{}
	for i := range z.targets {
		z.targets[i] = none
	}
	for i := range z.counts {
		z.counts[i] = none
	}
	for i := range z.wholes {
		z.wholes[i] = none
	}
	s.zones = append(s.zones, z)
}

func (s *space) addRack(rack int32) {
	s.racks = append(s.racks, spaceRack{})
	s.linkRack(rack)
}

// addTarget adds an empty target, or connects one whose number is used
// again.
func (s *space) addTarget(target int32) {
	if int(target) == len(s.masks) {
		s.masks = append(s.masks, 0)
		s.next = append(s.next, none)
		s.prev = append(s.prev, none)
	}
	s.masks[target] = 0
	s.linkTarget(target)
}

// removeTarget disconnects an empty target.
func (s *space) removeTarget(target int32) {
	s.set(target, 0)
	s.unlinkTarget(target)
}

func (s *space) zoneOfTarget(target int32) int32 {
	return s.topology.racks[s.topology.targets[target].rack].zone
}

func (s *space) linkTarget(target int32) {
	zone := s.zoneOfTarget(target)
	m := s.masks[target]
	head := &s.zones[zone].targets[m]
	s.next[target], s.prev[target] = *head, none
	if *head != none {
		s.prev[*head] = target
	}
	*head = target
	s.services[s.topology.zones[zone].service].targets[m]++
}

func (s *space) unlinkTarget(target int32) {
	zone := s.zoneOfTarget(target)
	m := s.masks[target]
	next, prev := s.next[target], s.prev[target]
	if prev == none {
		s.zones[zone].targets[m] = next
	} else {
		s.next[prev] = next
	}
	if next != none {
		s.prev[next] = prev
	}
	s.services[s.topology.zones[zone].service].targets[m]--
}

func (s *space) linkRack(rack int32) {
	r := &s.racks[rack]
	z := &s.zones[s.topology.racks[rack].zone]
	head := &z.counts[min(r.count, rackSize)]
	r.counts = link{*head, none}
	if *head != none {
		s.racks[*head].counts.prev = rack
	}
	*head = rack
	head = &z.wholes[min(r.whole, rackWorkers)]
	r.wholes = link{*head, none}
	if *head != none {
		s.racks[*head].wholes.prev = rack
	}
	*head = rack
}

func (s *space) unlinkRack(rack int32) {
	r := &s.racks[rack]
	z := &s.zones[s.topology.racks[rack].zone]
	if r.counts.prev == none {
		z.counts[min(r.count, rackSize)] = r.counts.next
	} else {
		s.racks[r.counts.prev].counts.next = r.counts.next
	}
	if r.counts.next != none {
		s.racks[r.counts.next].counts.prev = r.counts.prev
	}
	if r.wholes.prev == none {
		z.wholes[min(r.whole, rackWorkers)] = r.wholes.next
	} else {
		s.racks[r.wholes.prev].wholes.next = r.wholes.next
	}
	if r.wholes.next != none {
		s.racks[r.wholes.next].wholes.prev = r.wholes.prev
	}
}

// set replaces the accelerators of a target.
func (s *space) set(target int32, m mask) {
	old := s.masks[target]
	if old == m {
		return
	}
	rack := s.topology.targets[target].rack
	zone := s.topology.racks[rack].zone
	s.unlinkTarget(target)
	s.masks[target] = m
	s.linkTarget(target)
	s.unlinkRack(rack)
	change := int32(m.count() - old.count())
	s.racks[rack].count += change
	s.zones[zone].count += change
	s.services[s.topology.zones[zone].service].count += change
	if old == whole {
		s.racks[rack].whole--
	}
	if m == whole {
		s.racks[rack].whole++
	}
	s.linkRack(rack)
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

// blockInService finds the best block of n accelerators in the targets of a
// service: the one that splits the smallest cell, in the fullest zone and
// rack.
func (s *space) blockInService(service int32, n int) (block, bool) {
	counts := &s.services[service].targets
	for _, m := range cells.order[n] {
		if counts[m] == 0 {
			continue
		}
		best := none
		for _, zone := range s.topology.services[service].zones {
			if target := s.targetInZone(zone, m); target != none && (best == none || s.fuller(target, best)) {
				best = target
			}
		}
		return s.blockIn(best, n)
	}
	return block{}, false
}

// blockInZone does the same for a zone.
func (s *space) blockInZone(zone int32, n int) (block, bool) {
	for _, m := range cells.order[n] {
		if target := s.targetInZone(zone, m); target != none {
			return s.blockIn(target, n)
		}
	}
	return block{}, false
}

// blockInRack does the same for a rack.
func (s *space) blockInRack(rack int32, n int) (block, bool) {
	for _, m := range cells.order[n] {
		for _, target := range s.topology.racks[rack].targets {
			if s.masks[target] == m {
				return s.blockIn(target, n)
			}
		}
	}
	return block{}, false
}

// fuller compares targets by the free accelerators of their zones and racks.
func (s *space) fuller(a, b int32) bool {
	zoneA, zoneB := s.zoneOfTarget(a), s.zoneOfTarget(b)
	if zoneA != zoneB {
		return s.zones[zoneA].count < s.zones[zoneB].count
	}
	return s.racks[s.topology.targets[a].rack].count < s.racks[s.topology.targets[b].rack].count
}

// targetInZone returns a target with exactly the given mask, preferably from
// a full rack, so that other racks can become whole.
func (s *space) targetInZone(zone int32, m mask) int32 {
	z := &s.zones[zone]
	if m == whole {
		for n := 1; n <= rackWorkers; n++ {
			if rack := z.wholes[n]; rack != none {
				return s.wholeTarget(s.fullestRack(rack))
			}
		}
		return none
	}
	best := z.targets[m]
	if best == none {
		return none
	}
	for target, i := s.next[best], 1; target != none && i < bucketScan; target, i = s.next[target], i+1 {
		if s.fuller(target, best) {
			best = target
		}
	}
	return best
}

// fullestRack returns the rack with the fewest accelerators among the first
// of a bucket of racks with equally many whole targets.
func (s *space) fullestRack(rack int32) int32 {
	best := rack
	for i := 1; i < bucketScan; i++ {
		if rack = s.racks[rack].wholes.next; rack == none {
			break
		}
		if s.racks[rack].count < s.racks[best].count {
			best = rack
		}
	}
	return best
}

func (s *space) wholeTarget(rack int32) int32 {
	for _, target := range s.topology.racks[rack].targets {
		if s.masks[target] == whole {
			return target
		}
	}
	return none
}
