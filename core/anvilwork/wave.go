package anvilwork

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// WaveNumber identifies a maintenance wave. The operator chooses it.
type WaveNumber uint64

// WavePhase is the progress of one machine in a maintenance wave.
type WavePhase uint8

// Phases of a machine in a maintenance wave, in order.
const (
	WaveWaiting   WavePhase = 0
	WaveDraining  WavePhase = 1 // the machine gets no new work
	WaveRequested WavePhase = 2 // maintenance of the machine was requested or will be
	WaveDone      WavePhase = 3 // the machine has had its maintenance or no longer exists
)

// WaveMachine is one machine of a maintenance wave, and how far its maintenance has got.
type WaveMachine struct {
	Machine anvilid.MachineID `cbor:"1,keyasint"`
	Phase   WavePhase         `cbor:"2,keyasint,omitempty"`
	// Since is when the phase began, in log time (State.now).
	Since anvilclock.Millis `cbor:"3,keyasint,omitempty"`
}

// Wave is an operator's request to perform maintenance on each of a set of machines, a
// limited number of them at a time.
type Wave struct {
	Number WaveNumber `cbor:"1,keyasint"`
	// MaxDown is the maximum number of machines that are down at a time.
	MaxDown int `cbor:"2,keyasint"`
	// MaxDuration is the time within which the whole wave should complete.
	MaxDuration anvilclock.Millis `cbor:"3,keyasint"`
	Machines    []WaveMachine     `cbor:"4,keyasint"`
}

// ErrWave reports a maintenance wave that fails validation.
var ErrWave = errors.New("invalid wave")

// maxWave is the maximum number of machines in one wave.
const maxWave = 10_000

// Check returns an error that wraps ErrWave if the wave is not valid.
func (w *Wave) Check() error {
	switch {
	case w.MaxDown < 1:
		return fmt.Errorf("%w: the limit of machines that are down at a time is %d; use 1 or more", ErrWave, w.MaxDown)
	case len(w.Machines) > maxWave:
		return fmt.Errorf("%w: the wave has more than %d machines; split it into several waves", ErrWave, maxWave)
	}
	seen := map[anvilid.MachineID]bool{}
	for _, m := range w.Machines {
		if m.Machine == "" || seen[m.Machine] {
			return fmt.Errorf("%w: machine id %q is empty or appears twice", ErrWave, m.Machine)
		}
		seen[m.Machine] = true
	}
	return nil
}

// Completed reports whether all machines of the wave have had their maintenance or no longer exist.
func (w *Wave) Completed() bool {
	return !slices.ContainsFunc(w.Machines, func(m WaveMachine) bool { return m.Phase != WaveDone })
}

// AdvanceWave moves one machine of a wave to a later phase.
type AdvanceWave struct {
	Wave    WaveNumber        `cbor:"1,keyasint"`
	Machine anvilid.MachineID `cbor:"2,keyasint"`
	Phase   WavePhase         `cbor:"3,keyasint"`
}

// Wave returns the maintenance wave with the given number, and false if there is none.
func (s *State) Wave(number WaveNumber) (*Wave, bool) {
	wave, ok := s.waves[number]
	return wave, ok
}

// Waves returns the waves that are not completed, ordered by number.
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

// MachinesInMaintenance returns the machines of the waves that are being drained for
// maintenance or are undergoing it.
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

// unavailable returns the number of machines that are drained or in maintenance.
func (w *Wave) unavailable() int {
	count := 0
	for _, m := range w.Machines {
		if m.Phase == WaveDraining || m.Phase == WaveRequested {
			count++
		}
	}
	return count
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
			if m.Phase == WaveWaiting && advance.Phase != WaveDone && wave.unavailable() >= wave.MaxDown {
				return Refused
			}
			m.Phase, m.Since = advance.Phase, s.now
			return Applied
		}
	}
	return Unknown
}

// MayStop reports whether the scheduler may stop the runs of tasks at the same time. The limit
// is each step's MaxUnavailable: a long-running step must not have more tasks unavailable at a
// time than the caller allows. The function stopping reports whether a run is being stopped
// already, which the state shows only once it has ended.
func (s *State) MayStop(stopping func(Task) bool, tasks ...Task) bool {
	return !slices.ContainsFunc(tasks, func(task Task) bool {
		job, ok := s.jobs[task.Job]
		if !ok || job.Phase.Ended() {
			return false
		}
		step := job.Spec.Steps[task.Step]
		return step.LongRunning && step.MaxUnavailable > 0 && s.countUnavailable(stopping, job, task, tasks) > step.MaxUnavailable
	})
}

// countUnavailable returns how many tasks of the step of a task are unavailable once the given tasks are stopped.
func (s *State) countUnavailable(stopping func(Task) bool, job *Job, task Task, stopped []Task) int {
	unavailable := 0
	for i, state := range job.Occurrences[task.Occurrence].Tasks[task.Step] {
		task.Index = i
		if state.Phase != TaskAssigned || s.now-state.PhaseSince < startupTime || slices.Contains(stopped, task) || stopping(task) {
			unavailable++
		}
	}
	return unavailable
}

// startupTime is the time after its placement for which a long-running task still counts as
// unavailable.
const startupTime = 3 * anvilclock.Second
