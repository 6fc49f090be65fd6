package anvilwork

import (
	"cmp"
	"iter"
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
}

// RecordSpeeds records speeds of machines, so that the next leader need not learn them again. They decide nothing
// about what may run where, only what is better.
type RecordSpeeds struct {
	Speeds []MachineSpeed `cbor:"1,keyasint"`
}

// Speeds returns the recorded speeds of machines in the order of their ids.
func (s *State) Speeds() iter.Seq2[anvilid.MachineID, SpeedLevel] {
	return func(yield func(anvilid.MachineID, SpeedLevel) bool) {
		for _, speed := range s.sortedSpeeds() {
			if !yield(speed.Machine, speed.Level) {
				return
			}
		}
	}
}

// SpeedOf returns the recorded speed of a machine, and false if there is none.
func (s *State) SpeedOf(machine anvilid.MachineID) (SpeedLevel, bool) {
	level, ok := s.speeds[machine]
	return level, ok
}

// HasSpeeds reports whether any speed is recorded.
func (s *State) HasSpeeds() bool { return len(s.speeds) > 0 }

func (s *State) sortedSpeeds() []MachineSpeed {
	var speeds []MachineSpeed
	for machine, level := range s.speeds {
		speeds = append(speeds, MachineSpeed{Machine: machine, Level: level})
	}
	slices.SortFunc(speeds, func(a, b MachineSpeed) int { return cmp.Compare(a.Machine, b.Machine) })
	return speeds
}

// recordSpeeds records speeds. If there are too many, those of machines without a target are dropped, and if that
// isn't enough, further machines aren't recorded.
func (s *State) recordSpeeds(record RecordSpeeds) Result {
	result := Unchanged
	for _, speed := range record.Speeds {
		known, ok := s.speeds[speed.Machine]
		if ok && known == speed.Level {
			continue
		}
		if !ok && len(s.speeds) >= maxSpeeds {
			s.dropSpeedsOfAbsent()
		}
		if ok || len(s.speeds) < maxSpeeds {
			s.speeds[speed.Machine] = speed.Level
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
	maps.DeleteFunc(s.speeds, func(machine anvilid.MachineID, _ SpeedLevel) bool { return !present[machine] })
}

// MachineOrSelf returns the machine of a target. A target that doesn't name one stands for itself.
func (t *Target) MachineOrSelf() anvilid.MachineID {
	if t.Machine == "" {
		return anvilid.MachineID(t.ID)
	}
	return t.Machine
}
