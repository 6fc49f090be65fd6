package anvilwork

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Millicores is an amount of CPU in thousandths of a core.
type Millicores int

// Megabytes is an amount of memory in units of 2^20 bytes.
type Megabytes int

// Resources is an amount of CPU, memory and GPUs, such as what a target has or a task needs.
type Resources struct {
	CPU    Millicores               `cbor:"1,keyasint,omitempty"`
	Memory Megabytes                `cbor:"2,keyasint,omitempty"`
	GPU    anvilid.AcceleratorCount `cbor:"3,keyasint,omitempty"`
}

// maxResource is the largest amount of one resource that a target can have or a task can need. The sums over
// all targets and tasks stay far from an overflow.
const maxResource = 1 << 30

// InRange reports whether no amount is below zero or above the largest one that can be used.
func (r Resources) InRange() bool {
	lowest, highest := min(int64(r.CPU), int64(r.Memory), int64(r.GPU)), max(int64(r.CPU), int64(r.Memory), int64(r.GPU))
	return lowest >= 0 && highest <= maxResource
}

// Plus returns r plus other, separately for each resource.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, Memory: r.Memory + other.Memory, GPU: r.GPU + other.GPU}
}

// Minus returns r minus other, separately for each resource. The result may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, Memory: r.Memory - other.Memory, GPU: r.GPU - other.GPU}
}

// Holds reports whether need fits into r: for no resource does need exceed r.
func (r Resources) Holds(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// FitCount returns how many times need fits into r, at most limit. Nothing fits if some resource is negative,
// even if it isn't needed.
func (r Resources) FitCount(need Resources, limit int) int {
	if !r.Holds(Resources{}) {
		return 0
	}
	if need.CPU > 0 {
		limit = min(limit, int(r.CPU/need.CPU))
	}
	if need.Memory > 0 {
		limit = min(limit, int(r.Memory/need.Memory))
	}
	if need.GPU > 0 {
		limit = min(limit, int(r.GPU/need.GPU))
	}
	return max(limit, 0)
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count int       `cbor:"1,keyasint,omitempty"`
	Need  Resources `cbor:"2,keyasint"`
	// Estimate is the caller's rough estimate of the run time of one task.
	Estimate anvilclock.Millis `cbor:"3,keyasint,omitempty"`
	// After lists the steps that must be complete before this step starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints means that the tasks write checkpoints from which a later run can
	// resume.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang means that the tasks can only run simultaneously, all of them or none.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// PreferOneRack means that the tasks run slowly if they are spread over several racks.
	PreferOneRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that a target must have to run the tasks, or empty.
	Label string `cbor:"8,keyasint,omitempty"`
	// PreferredRack is the rack that stores the input data. The tasks run slowly in other
	// racks.
	PreferredRack anvilid.RackName `cbor:"9,keyasint,omitempty"`
	// MaxPerTarget is the maximum number of tasks of this step on one target. Zero means
	// no limit.
	MaxPerTarget int `cbor:"10,keyasint,omitempty"`
	// AllowCopies means that several runs of the same task may execute at the same time.
	AllowCopies bool `cbor:"11,keyasint,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// MaxUnavailable is the maximum number of tasks of a long-running step that may be
	// unavailable at a time when the scheduler stops one, such as for maintenance. Zero means
	// no limit.
	MaxUnavailable int `cbor:"14,keyasint,omitempty"`
	// TailLatencyLimit is the upper bound for the tail latency (a high percentile of the
	// response times) that a serving task reports. Zero means no bound.
	TailLatencyLimit anvilclock.Millis `cbor:"15,keyasint,omitempty"`
	// BestEffort means that the tasks use only CPU time that other tasks leave idle.
	BestEffort bool `cbor:"13,keyasint,omitempty"`
}

// Repeat makes a job run several times at a fixed interval. The zero value is a job that
// runs once, immediately.
type Repeat struct {
	First anvilclock.Millis `cbor:"1,keyasint,omitempty"` // due time of the first occurrence, by the wall clock
	Every anvilclock.Millis `cbor:"2,keyasint,omitempty"`
	Times int               `cbor:"3,keyasint,omitempty"`
}

// Spec is the description of a job as the caller submitted it.
type Spec struct {
	// Text is an opaque payload that is passed to the targets unchanged.
	Text   string `cbor:"1,keyasint,omitempty"`
	Steps  []Step `cbor:"2,keyasint"`
	Repeat Repeat `cbor:"3,keyasint"`
}

// Limits of one job. They bound how much space a caller's job takes in the replicated log.
const (
	maxText  = 4000
	maxSteps = 200
	maxTasks = 5000 // over all occurrences
)

// ErrSpec reports a job description that fails validation.
var ErrSpec = errors.New("invalid job")

// Check returns an error that wraps ErrSpec if the job description is not valid.
func (s *Spec) Check() error {
	switch {
	case len(s.Text) > maxText:
		return fmt.Errorf("%w: the text is longer than %d bytes", ErrSpec, maxText)
	case len(s.Steps) == 0 || len(s.Steps) > maxSteps:
		return fmt.Errorf("%w: the job has %d steps; use 1 to %d", ErrSpec, len(s.Steps), maxSteps)
	case s.Repeat.Times < 0 || s.Repeat.Every < 0:
		return fmt.Errorf("%w: the number of occurrences or their interval is negative; use 0 or more", ErrSpec)
	}
	tasks := 0
	for i, step := range s.Steps {
		if err := step.check(i); err != nil {
			return err
		}
		tasks += step.Count * max(1, s.Repeat.Times)
		if tasks > maxTasks || s.Repeat.Times > maxTasks {
			return fmt.Errorf("%w: the job has more than %d tasks over all occurrences; submit several smaller jobs",
				ErrSpec, maxTasks)
		}
	}
	return nil
}

// CheckJobID returns an error that wraps ErrSpec if a job can't have this id: it becomes a part of its tasks'
// names, whose parts are separated by dots.
func CheckJobID(id anvilid.JobID) error {
	if !anvilid.ValidID(string(id)) || strings.Contains(string(id), ".") {
		return fmt.Errorf("%w: the id of the job is empty, too long or has characters other than visible ASCII without slash, percent sign and dot",
			ErrSpec)
	}
	return nil
}

func (s *Step) check(index int) error {
	need := s.Need
	if s.Count < 1 || s.Count > maxTasks || !need.InRange() || s.MaxPerTarget < 0 || s.Estimate < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("%w: the task count, resources, estimate or a limit of step %d is out of range", ErrSpec, index)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return fmt.Errorf("%w: step %d depends on step %d; a step can depend only on earlier ones",
				ErrSpec, index, earlier)
		}
	}
	return nil
}

// Task identifies one task of a job by its step, its index within the step, and the occurrence, which is
// one execution of all steps.
type Task struct {
	Job        anvilid.JobID `cbor:"1,keyasint"`
	Occurrence int           `cbor:"2,keyasint,omitempty"`
	Step       int           `cbor:"3,keyasint,omitempty"`
	Index      int           `cbor:"4,keyasint,omitempty"`
}

// String returns "job.occurrence.step.index".
func (t Task) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// ParseTask parses "job.occurrence.step.index".
func ParseTask(name string) (Task, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return Task{}, fmt.Errorf("task name %q does not have the 4 parts JOB.OCCURRENCE.STEP.INDEX", name)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		number, err := strconv.Atoi(part)
		if err != nil {
			return Task{}, fmt.Errorf("task name %q has a part that is not a number: %w", name, err)
		}
		numbers[i] = number
	}
	return Task{Job: anvilid.JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Compare orders tasks by job, occurrence, step and index.
func (t Task) Compare(other Task) int {
	return cmp.Or(cmp.Compare(t.Job, other.Job), cmp.Compare(t.Occurrence, other.Occurrence),
		cmp.Compare(t.Step, other.Step), cmp.Compare(t.Index, other.Index))
}

// StepKey identifies one step of one occurrence of a job.
type StepKey struct {
	Job              anvilid.JobID
	Occurrence, Step int
}

// String returns "job.occurrence.step".
func (k StepKey) String() string { return fmt.Sprintf("%s.%d.%d", k.Job, k.Occurrence, k.Step) }

// StepKey returns the key of the step that the task belongs to.
func (t Task) StepKey() StepKey { return StepKey{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step} }

// Run numbers the runs of one task. It increases with each start and is never reused, even
// if the target or the leader changes.
type Run uint64

// TaskPhase says whether a task waits for a target, is assigned to one or has completed its work.
type TaskPhase uint8

// Phases of a task.
const (
	TaskWaiting  TaskPhase = 0
	TaskAssigned TaskPhase = 1 // a start request for the run has been sent to its target, or will be
	TaskDone     TaskPhase = 2
)

// TaskState is the replicated record of one task: its phase, its latest run and its failures.
type TaskState struct {
	Phase TaskPhase `cbor:"1,keyasint,omitempty"`
	// Run is the latest run, or zero before the first one.
	Run    Run              `cbor:"2,keyasint,omitempty"`
	Target anvilid.TargetID `cbor:"3,keyasint,omitempty"`
	// Incarnation is the incarnation of Target that the run is assigned to.
	Incarnation Incarnation `cbor:"4,keyasint,omitempty"`
	// Failed counts the runs that failed.
	Failed int `cbor:"5,keyasint,omitempty"`
	// FailedRun is the latest run that was counted in Failed.
	FailedRun Run `cbor:"8,keyasint,omitempty"`
	// Crashes counts the crashes of targets that may be due to the task. It starts again from 0 after a run that
	// worked for ProvenAfter.
	Crashes int `cbor:"20,keyasint,omitempty"`
	// JudgedRun is the run for which a crash was counted last, so that it isn't counted twice.
	JudgedRun Run `cbor:"21,keyasint,omitempty"`
	// SeenCrashes counts those of Crashes with Silence.Closed.
	SeenCrashes int `cbor:"22,keyasint,omitempty"`
	// ClearedRun is the latest run that is known to have worked for ProvenAfter after a crash was counted.
	ClearedRun Run `cbor:"23,keyasint,omitempty"`
	// Checkpoint is the latest checkpoint of the task, from which its next run continues, or empty if
	// there is none.
	Checkpoint string `cbor:"6,keyasint,omitempty"`
	// CheckpointRun is the run whose end came with Checkpoint, or 0 if the run hadn't ended when it was recorded.
	CheckpointRun Run `cbor:"24,keyasint,omitempty"`
	// DoneRun is an earlier run that was done, as became known while the latest one was assigned, or 0. The latest one is
	// stopped then.
	DoneRun Run `cbor:"25,keyasint,omitempty"`
	// Ticket authorizes the latest run, if the policy of the queue requires a ticket.
	Ticket Ticket `cbor:"9,keyasint,omitempty"`
	// PhaseSince is when the current phase began, in log time (State.now).
	PhaseSince anvilclock.Millis `cbor:"7,keyasint,omitempty"`
}

// Phase says whether a whole job waits, runs or has ended, and how it ended.
type Phase uint8

// Phases of a job.
const (
	JobQueued    Phase = 0
	JobRunning   Phase = 1
	JobDone      Phase = 2
	JobFailed    Phase = 3
	JobCancelled Phase = 4
)

// Ended reports whether the job has reached a final phase, so that no more of its tasks
// are started.
func (p Phase) Ended() bool { return p >= JobDone }

// String returns the phase as a lower-case word.
func (p Phase) String() string {
	return [...]string{"queued", "running", "done", "failed", "cancelled"}[p]
}

// Occurrence is one execution of all steps of a job.
type Occurrence struct {
	// Due is the earliest start by the wall clock, or 0 to start immediately.
	Due anvilclock.Millis `cbor:"1,keyasint,omitempty"`
	// Tasks holds the state of each task: Tasks[step][index].
	Tasks [][]TaskState `cbor:"2,keyasint"`
	// Remaining counts the tasks of each step that are not done.
	Remaining []int `cbor:"3,keyasint"`
}

// Ready reports whether all steps that a step depends on are complete.
func (o *Occurrence) Ready(step Step) bool {
	for _, earlier := range step.After {
		if o.Remaining[earlier] > 0 {
			return false
		}
	}
	return true
}

// Job is the replicated record of one job: what the caller submitted, and how far the job has got.
type Job struct {
	ID      anvilid.JobID     `cbor:"1,keyasint"`
	Account anvilid.AccountID `cbor:"2,keyasint,omitempty"`
	Queue   QueueName         `cbor:"3,keyasint"`
	Spec    Spec              `cbor:"4,keyasint"`
	Phase   Phase             `cbor:"5,keyasint,omitempty"`
	// Accepted and Ended are when the job was accepted and when it ended, in log time
	// (State.now).
	Accepted    anvilclock.Millis `cbor:"6,keyasint"`
	Ended       anvilclock.Millis `cbor:"7,keyasint,omitempty"`
	Occurrences []Occurrence      `cbor:"8,keyasint"`
	// Policy is the policy that the queue had when the job was accepted. It applies only if
	// the queue has been removed since; see State.PolicyOf.
	Policy QueuePolicy `cbor:"9,keyasint"`
	// Begun means that a run of the job has ended, so that one has begun.
	Begun bool `cbor:"10,keyasint,omitempty"`
}

// State returns the state of a task, or nil if the job has no such task.
func (j *Job) State(task Task) *TaskState {
	if task.Occurrence < 0 || task.Occurrence >= len(j.Occurrences) {
		return nil
	}
	steps := j.Occurrences[task.Occurrence].Tasks
	if task.Step < 0 || task.Step >= len(steps) || task.Index < 0 || task.Index >= len(steps[task.Step]) {
		return nil
	}
	return &steps[task.Step][task.Index]
}

// newJob returns a job whose tasks are all waiting.
func newJob(submit Submit, at anvilclock.Millis) *Job {
	job := &Job{
		ID: submit.Job, Account: submit.Account, Queue: submit.Queue, Spec: submit.Spec,
		Accepted: at, Policy: submit.Policy,
	}
	for k := range max(1, submit.Spec.Repeat.Times) {
		occurrence := Occurrence{}
		if submit.Spec.Repeat.Times > 0 {
			occurrence.Due = submit.Spec.Repeat.First + anvilclock.Millis(k)*submit.Spec.Repeat.Every
		}
		for _, step := range submit.Spec.Steps {
			occurrence.Tasks = append(occurrence.Tasks, make([]TaskState, step.Count))
			occurrence.Remaining = append(occurrence.Remaining, step.Count)
		}
		job.Occurrences = append(job.Occurrences, occurrence)
	}
	return job
}
