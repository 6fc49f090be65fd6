package anvilwork

import (
	"cmp"
	"maps"
	"slices"

	"anvilshunt/core/anvilid"
)

// SpeedLevel is the lasting speed of a machine on a logarithmic scale of anvilspeed. 0 is the ordinary speed.
type SpeedLevel int8

// maxSpeeds is the number of machines whose speeds are kept.
const maxSpeeds = 1 << 16

// MachineSpeed is the speed that a leader has learnt of one machine.
type MachineSpeed struct {
	Machine anvilid.MachineID `cbor:"1,keyasint"`
	Level   SpeedLevel        `cbor:"2,keyasint,omitempty"`
	// Uncertain means that the speed may be the ordinary one as well.
	Uncertain bool `cbor:"3,keyasint,omitempty"`
}

// RecordSpeeds records speeds of machines, so that the next leader need not learn them again. They decide nothing
// about what may run where, only what is better.
type RecordSpeeds struct {
	Speeds []MachineSpeed `cbor:"1,keyasint"`
}

// Speeds returns the recorded speeds of machines in the order of their ids.
func (s *State) Speeds() []MachineSpeed {
	speeds := slices.Collect(maps.Values(s.speeds))
	slices.SortFunc(speeds, func(a, b MachineSpeed) int { return cmp.Compare(a.Machine, b.Machine) })
	return speeds
}

// SpeedOf returns the recorded speed of a machine, and false if there is none.
func (s *State) SpeedOf(machine anvilid.MachineID) (MachineSpeed, bool) {
	speed, ok := s.speeds[machine]
	return speed, ok
}

// HasSpeeds reports whether any speed is recorded.
func (s *State) HasSpeeds() bool { return len(s.speeds) > 0 }

// recordSpeeds records speeds. If there are too many, those of machines without a target are dropped, and if that
// isn't enough, further machines aren't recorded.
func (s *State) recordSpeeds(record RecordSpeeds) Result {
	result := Unchanged
	for _, speed := range record.Speeds {
		known, ok := s.speeds[speed.Machine]
		if ok && known == speed {
			continue
		}
		if !ok && len(s.speeds) >= maxSpeeds {
			s.dropSpeedsOfAbsent()
		}
		if ok || len(s.speeds) < maxSpeeds {
			s.speeds[speed.Machine] = speed
			result = Applied
		}
	}
	return result
}

// dropSpeedsOfAbsent drops the speeds of machines on which no target is.
func (s *State) dropSpeedsOfAbsent() {
	present := map[anvilid.MachineID]bool{}
	for _, target := range s.targets {
		present[target.MachineOrSelf()] = true
	}
	maps.DeleteFunc(s.speeds, func(machine anvilid.MachineID, _ MachineSpeed) bool { return !present[machine] })
}

// MachineOrSelf returns the machine of a target. A target that doesn't name one stands for itself.
func (t *Target) MachineOrSelf() anvilid.MachineID {
	if t.Machine == "" {
		return anvilid.MachineID(t.ID)
	}
	return t.Machine
}
