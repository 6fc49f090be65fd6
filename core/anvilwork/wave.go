package anvilwork

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// WaveNumber names a wave. The operator chooses it.
type WaveNumber uint64

// WavePhase tells where a machine of a wave is.
type WavePhase uint8

// Phases of a machine in a wave, in order.
const (
	WaveWaiting   WavePhase = 0
	WaveDraining  WavePhase = 1 // gets no new work
	WaveRequested WavePhase = 2 // its upkeep was or will be ordered
	WaveDone      WavePhase = 3 // it has had its upkeep, or doesn't exist any more
)

// WaveMachine is one machine of a wave.
type WaveMachine struct {
	Machine anvilid.MachineID `cbor:"1,keyasint"`
	Phase   WavePhase         `cbor:"2,keyasint,omitempty"`
	// Since is when the phase began, by the clock of the log.
	Since anvilclock.Millis `cbor:"3,keyasint,omitempty"`
}

// Wave is an order to give each of some machines its upkeep.
type Wave struct {
	Number WaveNumber `cbor:"1,keyasint"`
	// MaxDown is the highest number of machines that are down at a time.
	MaxDown int `cbor:"2,keyasint"`
	// MaxDuration is the time that the whole wave may take.
	MaxDuration anvilclock.Millis `cbor:"3,keyasint"`
	Machines    []WaveMachine     `cbor:"4,keyasint"`
}

// ErrWave reports a wave that can't be carried out.
var ErrWave = errors.New("invalid wave")

// maxWave bounds the machines of one wave.
const maxWave = 10_000

// Check reports what is wrong with a wave.
func (w *Wave) Check() error {
	switch {
	case w.MaxDown < 1:
		return fmt.Errorf("%w: at most %d machines may be down at a time; it must be 1 or more", ErrWave, w.MaxDown)
	case len(w.Machines) > maxWave:
		return fmt.Errorf("%w: it has more than %d machines", ErrWave, maxWave)
	}
	seen := map[anvilid.MachineID]bool{}
	for _, m := range w.Machines {
		if m.Machine == "" || seen[m.Machine] {
			return fmt.Errorf("%w: machine %q is empty or appears twice", ErrWave, m.Machine)
		}
		seen[m.Machine] = true
	}
	return nil
}

// Completed reports whether all machines have had their upkeep.
func (w *Wave) Completed() bool {
	return !slices.ContainsFunc(w.Machines, func(m WaveMachine) bool { return m.Phase != WaveDone })
}

// AdvanceWave moves a machine of a wave to a later phase.
type AdvanceWave struct {
	Wave    WaveNumber        `cbor:"1,keyasint"`
	Machine anvilid.MachineID `cbor:"2,keyasint"`
	Phase   WavePhase         `cbor:"3,keyasint"`
}

// Wave returns a wave.
func (s *State) Wave(number WaveNumber) (*Wave, bool) {
	wave, ok := s.waves[number]
	return wave, ok
}

// Waves returns the waves that aren't completed, by number.
func (s *State) Waves() []*Wave {
	var waves []*Wave
	for _, wave := range s.waves {
		if !wave.Completed() {
			waves = append(waves, wave)
		}
	}
	slices.SortFunc(waves, func(a, b *Wave) int { return cmp.Compare(a.Number, b.Number) })
	return waves
}

// MachinesInMaintenance returns the machines of waves that are emptied for their upkeep or
// have it.
func MachinesInMaintenance(waves []*Wave) map[anvilid.MachineID]bool {
	machines := map[anvilid.MachineID]bool{}
	for _, wave := range waves {
		for _, m := range wave.Machines {
			if m.Phase == WaveDraining || m.Phase == WaveRequested {
				machines[m.Machine] = true
			}
		}
	}
	return machines
}

func (s *State) startWave(wave Wave) Result {
	if _, ok := s.waves[wave.Number]; ok {
		return Unchanged
	}
	s.waves[wave.Number] = &wave
	return Applied
}

func (s *State) advanceWave(advance AdvanceWave) Result {
	wave, ok := s.waves[advance.Wave]
	if !ok {
		return Unknown
	}
	for i := range wave.Machines {
		if m := &wave.Machines[i]; m.Machine == advance.Machine {
			if advance.Phase <= m.Phase {
				return Unchanged
			}
			m.Phase, m.Since = advance.Phase, s.now
			return Applied
		}
	}
	return Unknown
}

// MayStop reports whether a run may be ended by an order: no more tasks of a
// lasting step may be away at a time than the caller allows.
func (s *State) MayStop(task Task) bool {
	job, ok := s.jobs[task.Job]
	if !ok || job.Phase.Ended() {
		return true
	}
	step := job.Spec.Steps[task.Step]
	if !step.LongRunning || step.MaxUnavailable == 0 {
		return true
	}
	away := 0
	for i, state := range job.Occurrences[task.Occurrence].Tasks[task.Step] {
		if i != task.Index && (state.Phase != TaskAssigned || s.now-state.PhaseSince < settleSpan) {
			away++
		}
	}
	return away < step.MaxUnavailable
}

// settleSpan is how long a lasting task takes from its placement until it is
// at work.
const settleSpan = 3 * anvilclock.Second
