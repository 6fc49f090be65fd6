package anvilwork

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilcodec"
	"anvilshunt/core/anvilid"
)

// Encode returns the CBOR encoding of a batch as it is stored in the replicated log.
func Encode(batch Batch) ([]byte, error) { return anvilcodec.Encode(batch) }

// Decode parses a batch that Encode wrote.
func Decode(data []byte) (Batch, error) {
	var batch Batch
	err := anvilcodec.Decode(data, &batch)
	return batch, err
}

// Apply executes the commands of one log entry and returns one result per command. at is
// the time that the leader stamped on the entry.
func (s *State) Apply(at anvilclock.Millis, batch Batch) []Result {
	s.now = max(s.now, at)
	results := make([]Result, len(batch.Commands))
	for i, command := range batch.Commands {
		results[i] = s.apply(command)
	}
	s.removeDeparted()
	s.purgeEndedJobs()
	return results
}

func (s *State) apply(command Command) Result {
	switch {
	case command.Submit != nil:
		return s.submit(*command.Submit)
	case command.Cancel != nil:
		return s.cancel(command.Cancel.Job)
	case command.Configure != nil:
		return s.configure(*command.Configure)
	case command.Announce != nil:
		return s.announce(*command.Announce)
	case command.Leave != nil:
		return s.leave(*command.Leave)
	case command.Place != nil:
		return s.place(command.Place.Assignments)
	case command.RecordRunEnds != nil:
		return s.recordRunEnds(*command.RecordRunEnds)
	case command.Unassign != nil:
		return s.unassign(*command.Unassign)
	case command.ExpireLease != nil:
		return s.expireLease(*command.ExpireLease)
	case command.NoteSilence != nil:
		return s.noteSilence(*command.NoteSilence)
	case command.RecordCheckpoints != nil:
		return s.recordCheckpoints(*command.RecordCheckpoints)
	case command.RecordSpeeds != nil:
		return s.recordSpeeds(*command.RecordSpeeds)
	case command.StartWave != nil:
		return s.startWave(*command.StartWave)
	case command.AdvanceWave != nil:
		return s.advanceWave(*command.AdvanceWave)
	case command.Evacuate != nil:
		return s.evacuate(command.Evacuate.Zone)
	case command.EndEvacuation != nil:
		return s.endEvacuation(command.EndEvacuation.Zone)
	}
	return Unknown
}

func (s *State) configure(config Config) Result {
	if config.Version <= s.config.Version {
		return Unchanged
	}
	s.config = config
	s.index = newIndex(&s.config)
	return Applied
}

func (s *State) submit(submit Submit) Result {
	if _, ok := s.jobs[submit.Job]; ok {
		return Unchanged
	}
	job := newJob(submit, s.now)
	s.jobs[job.ID] = job
	s.active = append(s.active, job)
	return Applied
}

func (s *State) cancel(id anvilid.JobID) Result {
	job, ok := s.jobs[id]
	switch {
	case !ok:
		return Unknown
	case job.Phase.Ended():
		return Unchanged
	}
	s.endJob(job, JobCancelled)
	return Applied
}

// endJob sets the final phase of a job and removes it from the active jobs. Runs that are
// still assigned stay assigned until their targets report that they ended.
func (s *State) endJob(job *Job, phase Phase) {
	job.Phase, job.Ended = phase, s.now
	s.active = slices.DeleteFunc(s.active, func(other *Job) bool { return other == job })
}

// purgeEndedJobs deletes jobs that ended more than Retention ago and have no assigned
// runs.
func (s *State) purgeEndedJobs() {
	for id, job := range s.jobs {
		if job.Phase.Ended() && s.now-job.Ended > Retention && !s.hasAssignedRuns(job) {
			delete(s.jobs, id)
		}
	}
}

func (s *State) hasAssignedRuns(job *Job) bool {
	found := false
	s.eachTask(job, func(_ Task, state *TaskState) { found = found || state.Phase == TaskAssigned })
	return found
}

// AnnouncementHasEffect reports whether applying an announcement would change the state.
func (s *State) AnnouncementHasEffect(target Target) bool {
	known, ok := s.targets[target.ID]
	switch {
	case s.hasDeparted(target):
		return false
	case !ok:
		return true
	case known.Incarnation != target.Incarnation:
		return known.Incarnation < target.Incarnation || s.isForeign(known) && s.config.HasService(target.Service)
	}
	return target.Leaving && !known.Leaving || !target.sentBefore(known) && !sameAttributes(known, &target)
}

// isForeign reports whether a record was made by an announcement of another writer before there was a
// configuration: it names a service that the configuration doesn't have. A record without a service is of a
// target that hasn't announced itself yet.
func (s *State) isForeign(record *Target) bool {
	return s.config.Version > 0 && record.Service != "" && !s.config.HasService(record.Service)
}

// announce stores what a target reports about itself. An announcement of an older incarnation is ignored, and
// so is one that an incarnation sent before the latest one, unless the record is foreign. A newer incarnation under the same id means that
// the processes of the older one have ended. A start request that was sent to the older incarnation may still
// be executed by the newer one, however, so its runs stay assigned until the target has rejected or ended
// them.
func (s *State) announce(command Announce) Result {
	target := command.Target
	known, ok := s.targets[target.ID]
	answered := ok && command.Answered && known.Incarnation != target.Incarnation
	if !answered && !s.AnnouncementHasEffect(target) {
		return Unchanged
	}
	if ok && known.Incarnation == target.Incarnation {
		target = known.updatedBy(target)
	} else {
		s.recordCrashes(target)
		s.departPreviousAtAddress(target)
		target.RegisteredAt, target.Silence = s.now, nil
	}
	s.setTarget(&target)
	s.transferRuns(&target)
	return Applied
}

// transferRuns assigns the runs of a target's former incarnation to its current one.
func (s *State) transferRuns(target *Target) {
	for task, run := range s.runs[target.ID] {
		if _, state := s.assignedTask(task, run); state != nil {
			state.Incarnation = target.Incarnation
		}
	}
}

// departPreviousAtAddress marks an earlier target as departed that has the address of a new one. An address
// belongs to one incarnation at a time: the one that started last. The announcement doesn't show that the runs
// of the earlier target have ended, and it doesn't count if the configuration doesn't name its service.
func (s *State) departPreviousAtAddress(announced Target) {
	if s.config.Version > 0 && !s.config.HasService(announced.Service) {
		return
	}
	for _, other := range s.Targets() {
		if other.Address == announced.Address && other.ID != announced.ID && other.Incarnation < announced.Incarnation {
			s.depart(other, true)
		}
	}
}

func sameAttributes(a, b *Target) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Resources == b.Resources && a.Machine == b.Machine &&
		slices.Equal(a.Labels, b.Labels)
}

func (s *State) leave(leave Leave) Result {
	target, ok := s.targets[leave.Target]
	if !ok || target.Incarnation != leave.Incarnation {
		return Unknown
	}
	if leave.Final {
		s.depart(target, false)
		return Applied
	}
	if target.Silence != nil && !s.endsAsPlanned(target) {
		s.recordCrash(target)
	}
	s.releaseAll(target.ID)
	if !target.Departed() {
		s.removeTarget(target.ID)
	}
	return Applied
}

// place validates all assignments before it applies the first one, so that a gang is never
// assigned partially.
func (s *State) place(assignments []Assignment) Result {
	for _, assignment := range assignments {
		if !s.placeable(assignment) {
			return Refused
		}
	}
	for _, a := range assignments {
		job := s.jobs[a.Task.Job]
		state := job.State(a.Task)
		state.Phase, state.Run, state.Target, state.Incarnation, state.PhaseSince = TaskAssigned, a.Run, a.Target, a.Incarnation, s.now
		state.Ticket = a.Ticket
		job.Phase = JobRunning
		s.assign(a.Task, state)
	}
	return Applied
}

func (s *State) placeable(a Assignment) bool {
	job, ok := s.jobs[a.Task.Job]
	if !ok || job.Phase.Ended() {
		return false
	}
	state := job.State(a.Task)
	target, known := s.targets[a.Target]
	if state == nil || state.Phase != TaskWaiting || a.Run <= state.Run || !known || target.Incarnation != a.Incarnation ||
		target.Leaving || s.Evacuated(target.Zone) {
		return false
	}
	return job.Occurrences[a.Task.Occurrence].Ready(job.Spec.Steps[a.Task.Step])
}

func (s *State) assign(task Task, state *TaskState) {
	if s.runs[state.Target] == nil {
		s.runs[state.Target] = map[Task]Run{}
	}
	s.runs[state.Target][task] = state.Run
	s.revisions[state.Target]++
}
