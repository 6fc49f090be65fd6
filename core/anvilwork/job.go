package anvilwork

import (
	"cmp"
	"errors"
	"fmt"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Millicores counts thousandths of a processor core.
type Millicores int

// Megabytes counts 2^20 bytes of a target's memory.
type Megabytes int

// Resources is an amount of a target's resources.
type Resources struct {
	CPU    Millicores               `cbor:"1,keyasint,omitempty"`
	Memory Megabytes                `cbor:"2,keyasint,omitempty"`
	GPU    anvilid.AcceleratorCount `cbor:"3,keyasint,omitempty"`
}

// Plus returns the sum of two amounts.
func (r Resources) Plus(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, Memory: r.Memory + other.Memory, GPU: r.GPU + other.GPU}
}

// Minus returns the difference, which may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, Memory: r.Memory - other.Memory, GPU: r.GPU - other.GPU}
}

// Holds reports whether need fits into r.
func (r Resources) Holds(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// FitCount returns how many times need fits into r, at most limit.
func (r Resources) FitCount(need Resources, limit int) int {
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

// Step is a set of equal tasks of a job.
type Step struct {
	Count int       `cbor:"1,keyasint,omitempty"`
	Need  Resources `cbor:"2,keyasint"`
	// Estimate is the caller's rough estimate of one task's run time.
	Estimate anvilclock.Millis `cbor:"3,keyasint,omitempty"`
	// After lists the steps whose tasks must all be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints tells that the tasks write checkpoints.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang tells that the tasks run only all together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// PreferOneRack tells that the tasks are slow when they run in several racks.
	PreferOneRack bool `cbor:"7,keyasint,omitempty"`
	// Label must be among the labels of the target.
	Label string `cbor:"8,keyasint,omitempty"`
	// Near names the rack where the data is; the tasks are slow elsewhere.
	Near anvilid.RackName `cbor:"9,keyasint,omitempty"`
	// MaxPerTarget is the highest number of tasks of this step on one target, or 0.
	MaxPerTarget int `cbor:"10,keyasint,omitempty"`
	// AllowCopies tells that a task may run more than once at the same time.
	AllowCopies bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tells that the tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// MaxUnavailable is how many tasks of a lasting step may be away at a time because
	// of orders, or 0 if nobody counts.
	MaxUnavailable int `cbor:"14,keyasint,omitempty"`
	// TailLatencyLimit is the bound of the response times that a serving task reports, or 0.
	TailLatencyLimit anvilclock.Millis `cbor:"15,keyasint,omitempty"`
	// Fills tells that the tasks use the processors that others leave idle.
	Fills bool `cbor:"13,keyasint,omitempty"`
}

// Repeat makes a job run several times. The zero value is a job that runs
// once, at once.
type Repeat struct {
	First anvilclock.Millis `cbor:"1,keyasint,omitempty"` // wall clock
	Every anvilclock.Millis `cbor:"2,keyasint,omitempty"`
	Times int               `cbor:"3,keyasint,omitempty"`
}

// Spec is a job as it was submitted.
type Spec struct {
	// Text is passed to the targets as it is.
	Text   string `cbor:"1,keyasint,omitempty"`
	Steps  []Step `cbor:"2,keyasint"`
	Repeat Repeat `cbor:"3,keyasint"`
}

// Limits of one job. They bound what a caller can make the log hold.
const (
	maxText  = 4000
	maxSteps = 200
	maxTasks = 5000 // of all occurrences
)

// ErrSpec reports a job that can't be accepted as it is.
var ErrSpec = errors.New("invalid job")

// Check reports what is wrong with a job.
func (s *Spec) Check() error {
	switch {
	case len(s.Text) > maxText:
		return fmt.Errorf("%w: the text has more than %d bytes", ErrSpec, maxText)
	case len(s.Steps) == 0 || len(s.Steps) > maxSteps:
		return fmt.Errorf("%w: it has %d steps, allowed are 1 to %d", ErrSpec, len(s.Steps), maxSteps)
	case s.Repeat.Times < 0 || s.Repeat.Every < 0:
		return fmt.Errorf("%w: the times of its occurrences are negative", ErrSpec)
	}
	tasks := 0
	for i, step := range s.Steps {
		if err := step.check(i); err != nil {
			return err
		}
		tasks += step.Count * max(1, s.Repeat.Times)
		if tasks > maxTasks || s.Repeat.Times > maxTasks {
			return fmt.Errorf("%w: it has more than %d tasks", ErrSpec, maxTasks)
		}
	}
	return nil
}

func (s *Step) check(index int) error {
	need := s.Need
	if s.Count < 1 || s.Count > maxTasks || need.CPU < 0 || need.Memory < 0 || need.GPU < 0 || s.MaxPerTarget < 0 || s.Estimate < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("%w: step %d has a number that is out of range", ErrSpec, index)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return fmt.Errorf("%w: step %d follows step %d, which isn't an earlier one", ErrSpec, index, earlier)
		}
	}
	return nil
}

// Task names one task of a job.
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

// Compare orders tasks by job, occurrence, step and index.
func (t Task) Compare(other Task) int {
	return cmp.Or(cmp.Compare(t.Job, other.Job), cmp.Compare(t.Occurrence, other.Occurrence),
		cmp.Compare(t.Step, other.Step), cmp.Compare(t.Index, other.Index))
}

// StepKey names one step of one occurrence of a job.
type StepKey struct {
	Job              anvilid.JobID
	Occurrence, Step int
}

// StepKey names the step that the task belongs to.
func (t Task) StepKey() StepKey { return StepKey{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step} }

// Run numbers the starts of one task. It rises for good, across targets and
// leaders.
type Run uint64

// TaskPhase tells where a task is.
type TaskPhase uint8

// Phases of a task.
const (
	TaskWaiting  TaskPhase = 0
	TaskAssigned TaskPhase = 1 // a target was given the run, or will be
	TaskDone     TaskPhase = 2
)

// TaskState is the state of one task.
type TaskState struct {
	Phase TaskPhase `cbor:"1,keyasint,omitempty"`
	// Run is the latest run, zero before the first.
	Run    Run              `cbor:"2,keyasint,omitempty"`
	Target anvilid.TargetID `cbor:"3,keyasint,omitempty"`
	// Incarnation identifies the target's incarnation.
	Incarnation Incarnation `cbor:"4,keyasint,omitempty"`
	// Failed counts the runs that ended as failed.
	Failed int `cbor:"5,keyasint,omitempty"`
	// FailedRun is the latest run that was counted in Failed.
	FailedRun Run `cbor:"8,keyasint,omitempty"`
	// Checkpoint is the latest checkpoint, or empty.
	Checkpoint string `cbor:"6,keyasint,omitempty"`
	// Ticket is that of the latest run, where the queue needs one.
	Ticket Ticket `cbor:"9,keyasint,omitempty"`
	// PhaseSince is when the phase began, by the clock of the log.
	PhaseSince anvilclock.Millis `cbor:"7,keyasint,omitempty"`
}

// Phase is the state of a whole job.
type Phase uint8

// Phases of a job.
const (
	JobQueued    Phase = 0
	JobRunning   Phase = 1
	JobDone      Phase = 2
	JobFailed    Phase = 3
	JobCancelled Phase = 4
)

// Ended reports whether nothing of the job will run any more.
func (p Phase) Ended() bool { return p >= JobDone }

// String returns the phase in words.
func (p Phase) String() string {
	return [...]string{"queued", "running", "done", "failed", "cancelled"}[p]
}

// Occurrence is one run of all steps.
type Occurrence struct {
	// Due is the earliest start by the wall clock, or 0.
	Due anvilclock.Millis `cbor:"1,keyasint,omitempty"`
	// Tasks has the states by step and index.
	Tasks [][]TaskState `cbor:"2,keyasint"`
	// Remaining counts the tasks of each step that aren't done.
	Remaining []int `cbor:"3,keyasint"`
}

// Ready reports whether all steps before a step are done.
func (o *Occurrence) Ready(step Step) bool {
	for _, earlier := range step.After {
		if o.Remaining[earlier] > 0 {
			return false
		}
	}
	return true
}

// Job is the state of one job.
type Job struct {
	ID      anvilid.JobID     `cbor:"1,keyasint"`
	Account anvilid.AccountID `cbor:"2,keyasint,omitempty"`
	Queue   QueueName         `cbor:"3,keyasint"`
	Spec    Spec              `cbor:"4,keyasint"`
	Phase   Phase             `cbor:"5,keyasint,omitempty"`
	// Accepted and Ended are times of the log's clock.
	Accepted    anvilclock.Millis `cbor:"6,keyasint"`
	Ended       anvilclock.Millis `cbor:"7,keyasint,omitempty"`
	Occurrences []Occurrence      `cbor:"8,keyasint"`
	// Policy are those of the queue when the job was accepted. They hold when
	// the queue has been removed since.
	Policy QueuePolicy `cbor:"9,keyasint"`
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

// newJob lays out the tasks of a job.
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
