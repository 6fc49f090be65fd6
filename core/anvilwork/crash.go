package anvilwork

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

const (
	// ProvenAfter is how long a run must have worked to show that its task doesn't crash the targets that
	// start it.
	ProvenAfter = 3 * anvilclock.Second
	// maxSeenCrashes is the number of crashes after which the job of a task is given up, if the leader saw the
	// process of the target end each time. maxCrashesAlone is the number if the latest of them hit a target on
	// which only tasks of this job ran: beside other tasks, nobody knows which one is the cause. maxCrashes is
	// the number that includes the targets that may have been cut off and restarted for other reasons.
	maxSeenCrashes  = 3
	maxCrashesAlone = 2
	maxCrashes      = 5
)

// Crash describes an incarnation of a target that ended without notice, as a later incarnation shows.
type Crash struct {
	Target anvilid.TargetID
	Lost   []LostRun
}

// LostRun is a run that was assigned to an incarnation of a target when it crashed.
type LostRun struct {
	Task Task
	Run  Run
	// Placed is the time from the placement of the run until the target fell silent, or zero if the run was
	// released before the crash was known.
	Placed anvilclock.Millis
	// Suspect means that the run had begun so shortly before the crash that it may be the cause.
	Suspect bool
	// Crashes is TaskState.Crashes of the task after this crash, and GivenUp means that its job has failed
	// because of this crash.
	Crashes int
	GivenUp bool
}

// Suspect reports whether a task may have crashed a target and has not worked since.
func (t *TaskState) Suspect() bool { return t.Crashes > 0 }

// TakeCrashes returns the crashes that were recorded since the last call. They aren't part of the replicated
// state.
func (s *State) TakeCrashes() []Crash {
	crashes := s.crashes
	s.crashes = nil
	return crashes
}

// recordCrashes records the crashes that the announcement of a new incarnation shows: of the former
// incarnation under the same id, and of earlier targets at the same address or on the same machine that don't
// answer. An announcement with the address of a target that answers is wrong.
func (s *State) recordCrashes(announced Target) {
	for _, known := range s.Targets() {
		sameMachine := known.Machine != "" && known.Machine == announced.Machine
		replaced := known.ID == announced.ID || known.Silence != nil && (known.Address == announced.Address || sameMachine)
		if replaced && known.Incarnation < announced.Incarnation && !s.endsAsPlanned(known) {
			s.recordCrash(known)
		}
	}
}

// endsAsPlanned reports whether a target has said that it leaves, or its machine is or just was in maintenance.
func (s *State) endsAsPlanned(target *Target) bool {
	if target.Leaving {
		return true
	}
	for _, wave := range s.waves {
		for _, m := range wave.Machines {
			recent := m.Phase != WaveDone || s.now-m.Since < maxStartDelay
			if m.Machine == target.Machine && m.Phase != WaveWaiting && recent {
				return true
			}
		}
	}
	return false
}

// recordCrash counts a crash for each task whose run may be its cause, and clears the tasks whose runs had
// worked for long.
func (s *State) recordCrash(target *Target) {
	silence := target.Silence
	if silence == nil {
		silence = s.unnotedSilence(target.ID)
	}
	crash := Crash{Target: target.ID}
	for _, suspect := range silence.Suspects {
		if lost, ok := s.countCrash(suspect, silence); ok {
			crash.Lost = append(crash.Lost, lost)
		}
	}
	for _, run := range s.assignedRuns(target.ID) {
		_, state := s.assignedTask(run.Task, run.Run)
		if state == nil || slices.Contains(silence.Suspects, run) {
			continue
		}
		s.clearIfProven(state, silence.Since, RunLeaseExpired)
		crash.Lost = append(crash.Lost, LostRun{Task: run.Task, Run: run.Run, Placed: silence.Since - state.PhaseSince, Crashes: state.Crashes})
	}
	s.setSilence(target, nil)
	s.crashes = append(s.crashes, crash)
}

// countCrash counts a crash for the task of a run that may be its cause, and gives its job up if there were too
// many. It returns false if the run has been judged before or its task has ended.
func (s *State) countCrash(run Unassign, silence *Silence) (LostRun, bool) {
	job, ok := s.jobs[run.Task.Job]
	if !ok || job.Phase.Ended() {
		return LostRun{}, false
	}
	state := job.State(run.Task)
	if state == nil || state.Phase == TaskDone || run.Run == state.JudgedRun || run.Run <= state.ClearedRun {
		return LostRun{}, false
	}
	lost := LostRun{Task: run.Task, Run: run.Run, Suspect: true}
	if state.Phase == TaskAssigned && state.Run == run.Run {
		lost.Placed = silence.Since - state.PhaseSince
	}
	state.JudgedRun = run.Run
	state.Crashes++
	if silence.Closed {
		state.SeenCrashes++
	}
	if tooManyCrashes(state, silence) {
		s.endJob(job, JobFailed)
		lost.GivenUp = true
	}
	lost.Crashes = state.Crashes
	return lost, true
}

// tooManyCrashes reports whether the job of a task has to be given up after the crash that followed a silence.
func tooManyCrashes(state *TaskState, silence *Silence) bool {
	alone := silence.Closed && silence.OneJob && state.SeenCrashes >= maxCrashesAlone
	return alone || state.SeenCrashes >= maxSeenCrashes || state.Crashes >= maxCrashes
}

// clearIfProven clears a task of all suspicion if its present run had worked for ProvenAfter at the given
// time. A gang member that waited for the others has not worked.
func (s *State) clearIfProven(state *TaskState, at anvilclock.Millis, outcome Outcome) {
	if state.Crashes > 0 && outcome != RunGangIncomplete && at-state.PhaseSince >= ProvenAfter {
		state.Crashes, state.SeenCrashes, state.ClearedRun = 0, 0, state.Run
	}
}
