package anvilwork

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// departureRetention is how long a target that has left is remembered. An announcement that was delayed on
// its way arrives within seconds.
const departureRetention = 5 * anvilclock.Minute

// departure records that an incarnation of a target has left, or that another target has taken its address.
// A late announcement of this incarnation must not make it a target again: it would be given work. A later
// incarnation under the same id is another process and may come.
type departure struct {
	Target      anvilid.TargetID  `cbor:"1,keyasint"`
	Incarnation Incarnation       `cbor:"2,keyasint"`
	At          anvilclock.Millis `cbor:"3,keyasint"` // in log time
}

// depart marks a target as departed, because another one has announced its address (displaced) or because it
// has said so itself. It gets no new runs, and removeDeparted removes it once it has none.
func (s *State) depart(target *Target, displaced bool) {
	if target.Departed() && (displaced || !target.Displaced) {
		return
	}
	departed := *target
	departed.Leaving, departed.DepartedAt, departed.Displaced = true, max(s.now, 1), displaced
	s.setTarget(&departed)
	s.departing[departed.ID] = true
}

// removeDeparted removes the departed targets whose runs have all ended.
func (s *State) removeDeparted() {
	for id := range s.departing {
		target := s.targets[id]
		if target != nil && target.Departed() && len(s.runs[id]) > 0 {
			continue
		}
		delete(s.departing, id)
		if target != nil && target.Departed() {
			s.removeTarget(id)
			s.remember(target)
		}
	}
}

// remember records the departure of a target, and forgets old ones.
func (s *State) remember(target *Target) {
	for id, d := range s.departed {
		if s.now-d.At > departureRetention {
			delete(s.departed, id)
		}
	}
	s.departed[target.ID] = departure{target.ID, target.Incarnation, s.now}
}

// hasDeparted reports whether this incarnation of a target, or a later one, has left.
func (s *State) hasDeparted(target Target) bool {
	d, ok := s.departed[target.ID]
	return ok && target.Incarnation <= d.Incarnation
}
