package anvilwork

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

const (
	// recentPlacement is the time before a target fell silent within which a run must have been placed to be
	// suspected of having crashed it, if it isn't known when the run began. It covers the time from the
	// placement to the start, and a lease for which a new leader has waited.
	recentPlacement = 10 * anvilclock.Second
	// maxStartDelay is the longest time from the placement of a run to its beginning. A run that was placed
	// earlier has worked before, even if the present leader has learned of it only now.
	maxStartDelay = 20 * anvilclock.Second
)

// Silence is what is known about a target that doesn't answer. If the target turns out to have crashed, it
// tells which runs may be the cause, even if they were released in the meantime.
type Silence struct {
	// Since is when the silence was noted, in log time (State.now).
	Since anvilclock.Millis `cbor:"1,keyasint"`
	// Suspects are the runs that had begun so shortly before that they may be the cause.
	Suspects []Unassign `cbor:"2,keyasint,omitempty"`
	// OneJob means that all runs on the target belonged to the same job.
	OneJob bool `cbor:"3,keyasint,omitempty"`
	// Closed is NoteSilence.Closed.
	Closed bool `cbor:"4,keyasint,omitempty"`
}

// NoteSilence reports that a target doesn't answer, or that it answers again.
type NoteSilence struct {
	Target      anvilid.TargetID `cbor:"1,keyasint"`
	Incarnation Incarnation      `cbor:"2,keyasint"`
	// Answers means that the target answers again.
	Answers bool `cbor:"3,keyasint,omitempty"`
	// Begun are the runs that began shortly before the silence, or may have begun then.
	Begun []Unassign `cbor:"4,keyasint,omitempty"`
	// Unknown are the runs of which the leader doesn't know when they began.
	Unknown []Unassign `cbor:"5,keyasint,omitempty"`
	// Closed means that connections to the target were refused or closed at once. Its process has ended then,
	// whereas calls to a target that is cut off time out.
	Closed bool `cbor:"6,keyasint,omitempty"`
}

func (s *State) noteSilence(note NoteSilence) Result {
	target, ok := s.targets[note.Target]
	switch {
	case !ok || target.Incarnation != note.Incarnation:
		return Unknown
	case note.Answers && target.Silence == nil:
		return Unchanged
	case note.Answers:
		s.setSilence(target, nil)
		return Applied
	}
	silence := &Silence{Since: s.now, OneJob: s.oneJob(target.ID), Closed: note.Closed}
	if before := target.Silence; before != nil {
		silence.Since, silence.OneJob = before.Since, before.OneJob && silence.OneJob
		silence.Suspects, silence.Closed = before.Suspects, before.Closed || note.Closed
	}
	silence.add(s.placedWithin(note.Begun, maxStartDelay))
	silence.add(s.placedWithin(note.Unknown, recentPlacement))
	silence.add(slices.DeleteFunc(s.placedWithin(note.Unknown, maxStartDelay), func(run Unassign) bool {
		return !s.jobs[run.Task.Job].State(run.Task).Suspect()
	}))
	s.setSilence(target, silence)
	return Applied
}

// rememberSilence notes the silence of a target whose runs are being released, unless it is noted already.
func (s *State) rememberSilence(target *Target) {
	if target.Silence == nil {
		s.setSilence(target, s.unnotedSilence(target.ID))
	}
}

// unnotedSilence returns the silence of a target that no leader has noted. Nobody knows when the runs began,
// so those that were placed recently are suspected.
func (s *State) unnotedSilence(id anvilid.TargetID) *Silence {
	recent := s.placedWithin(s.assignedRuns(id), recentPlacement)
	return &Silence{Since: s.now, OneJob: s.oneJob(id), Suspects: recent}
}

func (s *State) setSilence(target *Target, silence *Silence) {
	target.Silence = silence
	s.revisions[target.ID]++
}

// add adds runs to the suspects that aren't there yet.
func (silence *Silence) add(runs []Unassign) {
	for _, run := range runs {
		if !slices.Contains(silence.Suspects, run) {
			silence.Suspects = append(slices.Clip(silence.Suspects), run)
		}
	}
}

// placedWithin returns those runs that are assigned and were placed within the last span.
func (s *State) placedWithin(runs []Unassign, span anvilclock.Millis) []Unassign {
	var found []Unassign
	for _, run := range runs {
		if _, state := s.assignedTask(run.Task, run.Run); state != nil && s.now-state.PhaseSince <= span {
			found = append(found, run)
		}
	}
	return found
}

// oneJob reports whether all runs on a target belong to the same job.
func (s *State) oneJob(id anvilid.TargetID) bool {
	var job anvilid.JobID
	for task := range s.runs[id] {
		if job != "" && task.Job != job {
			return false
		}
		job = task.Job
	}
	return true
}
