package anvilwork

import (
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// recentPlacement is the time before a crash became known within which a run must have been placed to count
// as its possible cause. It covers the time from the placement to the start, and the time for which a target
// that has crashed is away.
const recentPlacement = 10 * anvilclock.Second

// Crash describes an incarnation of a target that ended without notice, as a later incarnation shows.
type Crash struct {
	Target anvilid.TargetID
	Lost   []LostRun
}

// LostRun is a run that was assigned to an incarnation of a target that has crashed.
type LostRun struct {
	Task Task
	Run  Run
	// Placed is the time from the placement of the run until the crash became known.
	Placed anvilclock.Millis
	// Recent means that the run had begun so shortly before the crash that it may be the cause.
	Recent bool
	// Crashes is TaskState.Crashes of the task after this crash.
	Crashes int
}

// TakeCrashes returns the crashes that were recorded since the last call. They aren't part of the replicated
// state.
func (s *State) TakeCrashes() []Crash {
	crashes := s.crashes
	s.crashes = nil
	return crashes
}

// recordCrashes records the crashes that the announcement of a new incarnation shows: of the former
// incarnation under the same id, and of earlier targets at the same address or on the same machine.
func (s *State) recordCrashes(announced Target) {
	for _, known := range s.Targets() {
		sameMachine := known.Machine != "" && known.Machine == announced.Machine
		replaced := known.ID == announced.ID || known.Address == announced.Address || sameMachine
		if replaced && known.Incarnation < announced.Incarnation && !s.endsAsPlanned(known) {
			s.recordCrash(known)
		}
	}
}

// endsAsPlanned reports whether a target has said that it leaves or its machine is or was in maintenance.
func (s *State) endsAsPlanned(target *Target) bool {
	if target.Leaving {
		return true
	}
	for _, wave := range s.waves {
		for _, m := range wave.Machines {
			recent := m.Phase != WaveDone || s.now-m.Since < recentPlacement
			if m.Machine == target.Machine && m.Phase != WaveWaiting && recent {
				return true
			}
		}
	}
	return false
}

// recordCrash counts a crash for each task whose run may be its cause: the run had begun shortly before.
func (s *State) recordCrash(target *Target) {
	crash := Crash{Target: target.ID}
	for _, task := range slices.SortedFunc(maps.Keys(s.runs[target.ID]), Task.Compare) {
		_, state := s.assignedTask(task, s.runs[target.ID][task])
		if state == nil || state.Run <= state.JudgedRun {
			continue
		}
		lost := LostRun{Task: task, Run: state.Run, Placed: s.now - state.PhaseSince}
		lost.Recent = lost.Placed <= recentPlacement
		state.JudgedRun = state.Run
		if lost.Recent {
			state.Crashes++
		}
		lost.Crashes = state.Crashes
		crash.Lost = append(crash.Lost, lost)
	}
	s.crashes = append(s.crashes, crash)
}
