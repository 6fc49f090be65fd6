package anvilwork

import (
	"cmp"
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilcodec"
	"anvilshunt/core/anvilid"
)

// Retention is how long ended jobs are kept. Callers may query an ended job for at least
// two minutes, and resent submissions arrive within seconds.
const Retention = 10 * anvilclock.Minute

// State is the replicated state of jobs, targets and configuration. It is not safe for
// concurrent use.
type State struct {
	identity Identity
	config   Config
	index    *index
	jobs     map[anvilid.JobID]*Job
	targets  map[anvilid.TargetID]*Target
	// runs maps each target to the tasks that are assigned to it, with their run numbers.
	runs map[anvilid.TargetID]map[Task]Run
	// active lists the jobs that have not ended, in the order in which they were accepted.
	active []*Job
	waves  map[WaveNumber]*Wave
	// evacuations has the evacuated zones.
	evacuations map[anvilid.ZoneName]Evacuation
	// departed has the targets that have left for good, see departure.
	departed map[anvilid.TargetID]departure
	// departing has the targets that are departed and not yet removed.
	departing map[anvilid.TargetID]bool
	// ordered has the targets ordered by id, or is nil after targets were added, replaced or removed.
	ordered []*Target
	// revisions counts, for each target, the changes of the target and of its assigned runs.
	revisions map[anvilid.TargetID]Revision
	// speeds has the speeds that leaders have learnt of machines.
	speeds map[anvilid.MachineID]MachineSpeed
	// crashes has the result of TakeCrashes.
	crashes []Crash
	// now is the log time: the latest time that a leader stamped on an applied log entry.
	now anvilclock.Millis
}

// Identity tells one State from another, such as the one that a snapshot was restored to. It gives no access to the State.
// The zero value identifies none.
type Identity struct{ of *byte }

// Identity returns the identity of the state.
func (s *State) Identity() Identity { return s.identity }

// New returns the state before the first log entry.
func New() *State {
	s := &State{
		identity: Identity{new(byte)},
		jobs:     map[anvilid.JobID]*Job{}, targets: map[anvilid.TargetID]*Target{},
		runs: map[anvilid.TargetID]map[Task]Run{}, waves: map[WaveNumber]*Wave{}, revisions: map[anvilid.TargetID]Revision{},
		departed: map[anvilid.TargetID]departure{}, departing: map[anvilid.TargetID]bool{},
		evacuations: map[anvilid.ZoneName]Evacuation{},
		speeds:      map[anvilid.MachineID]MachineSpeed{},
	}
	s.index = newIndex(&s.config)
	return s
}

// Config returns the configuration in effect. Its version is 0 before the first one is
// applied.
func (s *State) Config() *Config { return &s.config }

// Job returns the job with the given id, and false if there is none. The job is not a copy: only
// Apply may modify it.
func (s *State) Job(id anvilid.JobID) (*Job, bool) {
	job, ok := s.jobs[id]
	return job, ok
}

// Active returns the jobs that have not ended, in the order in which they were accepted.
func (s *State) Active() []*Job { return s.active }

// Target returns the target with the given id, and false if there is none. The target is not a copy:
// only Apply may modify it.
func (s *State) Target(id anvilid.TargetID) (*Target, bool) {
	target, ok := s.targets[id]
	return target, ok
}

// Targets returns all targets, ordered by id. The caller must not modify the slice. It isn't changed by
// later calls of Apply.
func (s *State) Targets() []*Target {
	if s.ordered != nil {
		return s.ordered
	}
	targets := make([]*Target, 0, len(s.targets))
	for _, target := range s.targets {
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	s.ordered = targets
	return targets
}

// Revision counts changes of a target or of its assigned runs in one State. It isn't replicated.
type Revision uint64

// RevisionOf returns a number that changes whenever a target or its assigned runs change, so that a
// reader can tell whether it has to look at them again.
func (s *State) RevisionOf(id anvilid.TargetID) Revision { return s.revisions[id] }

// setTarget adds or replaces a target.
func (s *State) setTarget(target *Target) {
	s.targets[target.ID] = target
	s.revisions[target.ID]++
	s.ordered = nil
}

// removeTarget removes a target whose runs have been released.
func (s *State) removeTarget(id anvilid.TargetID) {
	delete(s.targets, id)
	s.revisions[id]++
	s.ordered = nil
}

// Runs returns the tasks that are assigned to a target, with their run numbers. The caller
// must not modify the map.
func (s *State) Runs(id anvilid.TargetID) map[Task]Run { return s.runs[id] }

// assignedRuns returns the runs that are assigned to a target, in the order of their tasks.
func (s *State) assignedRuns(id anvilid.TargetID) []Unassign {
	var runs []Unassign
	for _, task := range slices.SortedFunc(maps.Keys(s.runs[id]), Task.Compare) {
		runs = append(runs, Unassign{Task: task, Run: s.runs[id][task]})
	}
	return runs
}

// CountWaiting returns the number of jobs of a queue of which no task has started. A job
// whose first occurrence is due later than wall, the wall-clock time, is not counted. The
// function begun reports whether a run of a job is known to have begun, which the state shows
// only once it has ended.
func (s *State) CountWaiting(queue QueueName, wall anvilclock.Millis, begun func(anvilid.JobID) bool) int {
	count := 0
	for _, job := range s.active {
		if job.Queue == queue && job.Occurrences[0].Due <= wall && !job.Begun && (job.Phase == JobQueued || !begun(job.ID)) {
			count++
		}
	}
	return count
}

// snapshot is the encoded form of State.
type snapshot struct {
	Config  Config            `cbor:"1,keyasint"`
	Jobs    []*Job            `cbor:"2,keyasint"`
	Targets []*Target         `cbor:"3,keyasint"`
	Now     anvilclock.Millis `cbor:"4,keyasint"`
	Waves   []*Wave           `cbor:"5,keyasint,omitempty"`
	// Departed is ordered by id.
	Departed []departure `cbor:"6,keyasint,omitempty"`
	// Evacuations is ordered by zone.
	Evacuations []Evacuation `cbor:"7,keyasint,omitempty"`
	// Speeds is ordered by machine.
	Speeds []MachineSpeed `cbor:"30,keyasint,omitempty"`
}

// Snapshot encodes the state.
func (s *State) Snapshot() ([]byte, error) {
	image := snapshot{Config: s.config, Targets: s.Targets(), Now: s.now, Evacuations: s.Evacuations()}
	for _, job := range s.jobs {
		image.Jobs = append(image.Jobs, job)
	}
	slices.SortFunc(image.Jobs, compareJobs)
	for _, wave := range s.waves {
		image.Waves = append(image.Waves, wave)
	}
	slices.SortFunc(image.Waves, func(a, b *Wave) int { return cmp.Compare(a.Number, b.Number) })
	for _, id := range slices.Sorted(maps.Keys(s.departed)) {
		image.Departed = append(image.Departed, s.departed[id])
	}
	image.Speeds = s.Speeds()
	return anvilcodec.Encode(image)
}

// compareJobs orders jobs by time of acceptance, and by id if these are equal.
func compareJobs(a, b *Job) int {
	if a.Accepted != b.Accepted {
		return int(a.Accepted - b.Accepted)
	}
	if a.ID < b.ID {
		return -1
	}
	return 1
}

// Restore returns the state that Snapshot encoded.
func Restore(data []byte) (*State, error) {
	var image snapshot
	if err := anvilcodec.Decode(data, &image); err != nil {
		return nil, err
	}
	s := New()
	s.config, s.now = image.Config, image.Now
	s.index = newIndex(&s.config)
	for _, wave := range image.Waves {
		s.waves[wave.Number] = wave
	}
	for _, evacuation := range image.Evacuations {
		s.evacuations[evacuation.Zone] = evacuation
	}
	for _, target := range image.Targets {
		s.setTarget(target)
		if target.Departed() {
			s.departing[target.ID] = true
		}
	}
	for _, speed := range image.Speeds {
		s.speeds[speed.Machine] = speed
	}
	for _, d := range image.Departed {
		s.departed[d.Target] = d
	}
	for _, job := range image.Jobs {
		s.jobs[job.ID] = job
		if !job.Phase.Ended() {
			s.active = append(s.active, job)
		}
		s.eachTask(job, func(task Task, state *TaskState) {
			if state.Phase == TaskAssigned {
				s.assign(task, state)
			}
		})
	}
	return s, nil
}

func (s *State) eachTask(job *Job, f func(Task, *TaskState)) {
	for k := range job.Occurrences {
		for step, tasks := range job.Occurrences[k].Tasks {
			for i := range tasks {
				f(Task{Job: job.ID, Occurrence: k, Step: step, Index: i}, &tasks[i])
			}
		}
	}
}

// RunsToStop returns the assigned runs that should be stopped: runs of jobs that have
// ended, runs of tasks of which an earlier run was done, and gang members whose gang cannot complete
// because another member of the same run is no longer assigned.
func (s *State) RunsToStop() []Assignment {
	var found []Assignment
	gangs := map[gangRun]bool{}
	for _, target := range s.Targets() {
		for task, run := range s.runs[target.ID] {
			job, ok := s.jobs[task.Job]
			if ok && shouldStop(job, task, run, gangs) {
				found = append(found, Assignment{Task: task, Run: run, Target: target.ID, Incarnation: target.Incarnation})
			}
		}
	}
	slices.SortFunc(found, func(a, b Assignment) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), a.Task.Compare(b.Task))
	})
	return found
}

// gangRun identifies one run of a gang. All members of a gang have the same run number.
type gangRun struct {
	step StepKey
	run  Run
}

// shouldStop reports whether one run should be stopped. It keeps the results for gangs in known, because
// a gang with many members would otherwise be looked at once for each of them.
func shouldStop(job *Job, task Task, run Run, known map[gangRun]bool) bool {
	if !job.Spec.Steps[task.Step].Gang {
		return job.Phase.Ended() || job.State(task).DoneRun > 0
	}
	key := gangRun{task.StepKey(), run}
	stop, ok := known[key]
	if !ok {
		stop = shouldStopGang(job, task, run)
		known[key] = stop
	}
	return stop
}

func shouldStopGang(job *Job, task Task, run Run) bool {
	incomplete := false
	for _, member := range job.Occurrences[task.Occurrence].Tasks[task.Step] {
		if member.DoneRun > 0 {
			return true
		}
		if member.Phase == TaskDone {
			return false // the gang is done, its members are reporting their ends now
		}
		incomplete = incomplete || member.Phase != TaskAssigned || member.Run != run
	}
	return incomplete || job.Phase.Ended()
}
