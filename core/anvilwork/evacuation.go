package anvilwork

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Evacuation is an operator's request that nothing more be started on the targets of a zone.
type Evacuation struct {
	Zone anvilid.ZoneName `cbor:"1,keyasint"`
	// Since is when the evacuation took effect, in log time (State.now).
	Since anvilclock.Millis `cbor:"2,keyasint"`
}

// Evacuate begins the evacuation of a zone. A zone needn't have targets at present.
type Evacuate struct {
	Zone anvilid.ZoneName `cbor:"1,keyasint"`
}

// EndEvacuation ends the evacuation of a zone, whose targets are then used again.
type EndEvacuation struct {
	Zone anvilid.ZoneName `cbor:"1,keyasint"`
}

// ErrZone reports a zone name that no target can have.
var ErrZone = errors.New("invalid zone name")

// CheckZone returns an error that wraps ErrZone if a zone of this name can't be evacuated.
func CheckZone(zone anvilid.ZoneName) error {
	if zone == "" || !anvilid.ValidText(string(zone)) {
		return fmt.Errorf("%w: %q is empty, too long or not valid UTF-8", ErrZone, string(zone))
	}
	return nil
}

// maxEvacuations is the maximum number of zones that are evacuated at a time. Any name is accepted, because the
// targets of a zone may not have announced themselves yet, so that wrong names must not fill the state.
const maxEvacuations = 1000

// Evacuated reports whether a zone is evacuated, so that nothing may be started on its targets.
func (s *State) Evacuated(zone anvilid.ZoneName) bool {
	_, ok := s.evacuations[zone]
	return ok
}

// Evacuations returns the evacuations in force, ordered by zone.
func (s *State) Evacuations() []Evacuation {
	return slices.SortedFunc(maps.Values(s.evacuations), func(a, b Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
}

func (s *State) evacuate(zone anvilid.ZoneName) Result {
	switch {
	case s.Evacuated(zone):
		return Unchanged
	case CheckZone(zone) != nil, len(s.evacuations) >= maxEvacuations:
		return Refused
	}
	s.evacuations[zone] = Evacuation{Zone: zone, Since: s.now}
	return Applied
}

func (s *State) endEvacuation(zone anvilid.ZoneName) Result {
	if !s.Evacuated(zone) {
		return Unchanged
	}
	delete(s.evacuations, zone)
	return Applied
}
