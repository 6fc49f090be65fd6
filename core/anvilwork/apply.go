package anvilwork

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Encode returns the log form of a batch.
func Encode(batch Batch) ([]byte, error) { return cbor.Marshal(batch) }

// Decode reads what Encode wrote.
func Decode(data []byte) (Batch, error) {
	var batch Batch
	err := cbor.Unmarshal(data, &batch)
	return batch, err
}

// Apply executes the commands of one entry and returns a result for each.
func (s *State) Apply(at anvilclock.Millis, batch Batch) []Result {
	s.now = max(s.now, at)
	results := make([]Result, len(batch.Commands))
	for i, command := range batch.Commands {
		results[i] = s.apply(command)
	}
	s.forget()
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
		return s.announce(command.Announce.Target)
	case command.Leave != nil:
		return s.leave(*command.Leave)
	case command.Place != nil:
		return s.place(command.Place.Assignments)
	case command.RecordRunEnds != nil:
		return s.settle(*command.RecordRunEnds)
	case command.Unassign != nil:
		return s.void(*command.Unassign)
	case command.ExpireLease != nil:
		return s.lapse(*command.ExpireLease)
	case command.StartWave != nil:
		return s.startWave(*command.StartWave)
	case command.AdvanceWave != nil:
		return s.advanceWave(*command.AdvanceWave)
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
	s.end(job, JobCancelled)
	return Applied
}

// end gives a job its final phase. Its runs stay assigned until they ended.
func (s *State) end(job *Job, phase Phase) {
	job.Phase, job.Ended = phase, s.now
	s.active = slices.DeleteFunc(s.active, func(other *Job) bool { return other == job })
}

// forget drops jobs that ended long ago and have nothing running.
func (s *State) forget() {
	for id, job := range s.jobs {
		if job.Phase.Ended() && s.now-job.Ended > Retention && !s.hasRuns(job) {
			delete(s.jobs, id)
		}
	}
}

func (s *State) hasRuns(job *Job) bool {
	found := false
	s.eachTask(job, func(_ Task, state *TaskState) { found = found || state.Phase == TaskAssigned })
	return found
}

// AnnouncementHasEffect reports whether an announcement would change anything.
func (s *State) AnnouncementHasEffect(target Target) bool {
	known, ok := s.targets[target.ID]
	switch {
	case !ok:
		return true
	case known.Incarnation != target.Incarnation:
		return known.Incarnation < target.Incarnation
	}
	return target.Leaving && !known.Leaving || !sameFacts(known, &target)
}

// announce takes over what a target says of itself. An older incarnation
// changes nothing. A newer one under the same id ends what ran on the older
// one, but a start that was meant for that may still be carried out here:
// its runs stay assigned until the target has refused or ended them.
func (s *State) announce(target Target) Result {
	if !s.AnnouncementHasEffect(target) {
		return Unchanged
	}
	known, ok := s.targets[target.ID]
	if ok && known.Incarnation == target.Incarnation {
		target.Cursor, target.RegisteredAt = known.Cursor, known.RegisteredAt
		target.Leaving = target.Leaving || known.Leaving
	} else {
		s.dropAddress(target)
		target.RegisteredAt = s.now
	}
	s.targets[target.ID] = &target
	s.carryOver(&target)
	return Applied
}

// carryOver gives the runs of a target to its present incarnation.
func (s *State) carryOver(target *Target) {
	for task, run := range s.runs[target.ID] {
		if _, state := s.assigned(task, run); state != nil {
			state.Incarnation = target.Incarnation
		}
	}
}

// dropAddress removes an earlier target at the address of a new one: an
// address belongs to one incarnation at a time, the one that was born last.
func (s *State) dropAddress(fresh Target) {
	for _, other := range s.Targets() {
		if other.Address == fresh.Address && other.ID != fresh.ID && other.Incarnation < fresh.Incarnation {
			s.lapseAll(other.ID)
			delete(s.targets, other.ID)
		}
	}
}

func sameFacts(a, b *Target) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Room == b.Room && a.Machine == b.Machine &&
		slices.Equal(a.Labels, b.Labels)
}

func (s *State) leave(leave Leave) Result {
	target, ok := s.targets[leave.Target]
	if !ok || target.Incarnation != leave.Incarnation {
		return Unknown
	}
	s.lapseAll(target.ID)
	delete(s.targets, target.ID)
	return Applied
}

// place checks all assignments before the first one takes effect, so that a
// gang is never assigned in part.
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
	if state == nil || state.Phase != TaskWaiting || a.Run <= state.Run || !known || target.Incarnation != a.Incarnation || target.Leaving {
		return false
	}
	return job.Occurrences[a.Task.Occurrence].Ready(job.Spec.Steps[a.Task.Step])
}

func (s *State) assign(task Task, state *TaskState) {
	if s.runs[state.Target] == nil {
		s.runs[state.Target] = map[Task]Run{}
	}
	s.runs[state.Target][task] = state.Run
}

// release takes a task back from its target. A gang ends as done together, so
// a member is done if another member of the same run was.
func (s *State) release(job *Job, task Task, state *TaskState) {
	delete(s.runs[state.Target], task)
	state.Phase, state.PhaseSince = TaskWaiting, s.now
	if !job.Spec.Steps[task.Step].Gang {
		return
	}
	for _, member := range job.Occurrences[task.Occurrence].Tasks[task.Step] {
		if member.Phase == TaskDone && member.Run == state.Run {
			s.finish(job, task, state)
			return
		}
	}
}

// finish marks a released task as done.
func (s *State) finish(job *Job, task Task, state *TaskState) {
	state.Phase, state.PhaseSince = TaskDone, s.now
	job.Occurrences[task.Occurrence].Remaining[task.Step]--
	s.completeIfDone(job)
}

// assigned finds a task whose latest run is at a target's incarnation.
func (s *State) assigned(task Task, run Run) (*Job, *TaskState) {
	job, ok := s.jobs[task.Job]
	if !ok {
		return nil, nil
	}
	state := job.State(task)
	if state == nil || state.Phase != TaskAssigned || state.Run != run {
		return nil, nil
	}
	return job, state
}

func (s *State) settle(settle RecordRunEnds) Result {
	target, ok := s.targets[settle.Target]
	if !ok || target.Incarnation != settle.Incarnation {
		return Unknown
	}
	for _, end := range settle.Ends {
		if end.Number <= target.Cursor {
			continue
		}
		target.Cursor = end.Number
		s.settleOne(end, target)
	}
	return Applied
}

func (s *State) settleOne(end RunEnd, target *Target) {
	job, state := s.assigned(end.Task, end.Run)
	if job == nil || state.Target != target.ID || state.Incarnation != target.Incarnation {
		return
	}
	if end.Saved != "" {
		s.saved(job, end)
	}
	s.release(job, end.Task, state)
	switch end.Outcome {
	case RunDone:
		s.done(job, end, state)
	case RunFailed:
		s.failed(job, end)
	}
}

// saved keeps a checkpoint. That of one member is valid for the whole gang.
func (s *State) saved(job *Job, end RunEnd) {
	tasks := job.Occurrences[end.Task.Occurrence].Tasks[end.Task.Step]
	if !job.Spec.Steps[end.Task.Step].Gang {
		tasks[end.Task.Index].Checkpoint = end.Saved
		return
	}
	for i := range tasks {
		if tasks[i].Run == end.Run {
			tasks[i].Checkpoint = end.Saved
		}
	}
}

// done notes the end of a task, and of the members of its gang that have been
// released. A member that is still assigned is released by its own end.
func (s *State) done(job *Job, end RunEnd, state *TaskState) {
	step := job.Spec.Steps[end.Task.Step]
	if step.LongRunning || state.Phase == TaskDone {
		return
	}
	s.finish(job, end.Task, state)
	if !step.Gang {
		return
	}
	members := job.Occurrences[end.Task.Occurrence].Tasks[end.Task.Step]
	for i := range members {
		if members[i].Phase == TaskWaiting && members[i].Run == end.Run {
			task := end.Task
			task.Index = i
			s.finish(job, task, &members[i])
		}
	}
}

func (s *State) completeIfDone(job *Job) {
	if job.Phase.Ended() {
		return
	}
	for k := range job.Occurrences {
		if slices.ContainsFunc(job.Occurrences[k].Remaining, func(open int) bool { return open > 0 }) {
			return
		}
	}
	s.end(job, JobDone)
}

// failed counts a failed run. A gang fails once a run, whichever and however
// many of its members fail. Tasks that last have no limit.
func (s *State) failed(job *Job, end RunEnd) {
	step := job.Spec.Steps[end.Task.Step]
	tasks := job.Occurrences[end.Task.Occurrence].Tasks[end.Task.Step]
	failures := 0
	for i := range tasks {
		if i != end.Task.Index && !step.Gang || tasks[i].FailedRun == end.Run {
			continue
		}
		tasks[i].Failed++
		tasks[i].FailedRun = end.Run
		failures = max(failures, tasks[i].Failed)
	}
	if !job.Phase.Ended() && !step.LongRunning && failures >= max(1, s.PolicyOf(job).Attempts) {
		s.end(job, JobFailed)
	}
}

func (s *State) void(void Unassign) Result {
	job, state := s.assigned(void.Task, void.Run)
	if job == nil {
		return Unknown
	}
	s.release(job, void.Task, state)
	return Applied
}

func (s *State) lapse(lapse ExpireLease) Result {
	target, ok := s.targets[lapse.Target]
	if !ok || target.Incarnation != lapse.Incarnation {
		return Unknown
	}
	if len(lapse.Runs) == 0 {
		s.lapseAll(target.ID)
		return Applied
	}
	for _, run := range lapse.Runs {
		if job, state := s.assigned(run.Task, run.Run); job != nil && state.Target == target.ID {
			s.release(job, run.Task, state)
		}
	}
	return Applied
}

// lapseAll releases everything that is assigned to a target.
func (s *State) lapseAll(id anvilid.TargetID) {
	tasks := slices.SortedFunc(maps.Keys(s.runs[id]), Task.Compare)
	for _, task := range tasks {
		if job, state := s.assigned(task, s.runs[id][task]); job != nil {
			s.release(job, task, state)
		}
	}
	delete(s.runs, id)
}
