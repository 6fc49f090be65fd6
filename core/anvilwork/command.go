package anvilwork

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Incarnation identifies one run of a target's process. It is the start time that the
// target itself reports; a higher value is a later incarnation.
type Incarnation int64

// Batch is one entry of the replicated log: commands that are applied in order.
type Batch struct {
	Commands []Command `cbor:"1,keyasint"`
}

// Command is one change of the state. Exactly one field is set.
type Command struct {
	Submit        *Submit        `cbor:"1,keyasint,omitempty"`
	Cancel        *Cancel        `cbor:"2,keyasint,omitempty"`
	Configure     *Config        `cbor:"3,keyasint,omitempty"`
	Announce      *Announce      `cbor:"4,keyasint,omitempty"`
	Leave         *Leave         `cbor:"5,keyasint,omitempty"`
	Place         *Place         `cbor:"6,keyasint,omitempty"`
	RecordRunEnds *RecordRunEnds `cbor:"7,keyasint,omitempty"`
	Unassign      *Unassign      `cbor:"8,keyasint,omitempty"`
	ExpireLease   *ExpireLease   `cbor:"9,keyasint,omitempty"`

	NoteSilence       *NoteSilence       `cbor:"20,keyasint,omitempty"`
	RecordCheckpoints *RecordCheckpoints `cbor:"21,keyasint,omitempty"`

	RecordSpeeds *RecordSpeeds `cbor:"30,keyasint,omitempty"`

	StartWave   *Wave        `cbor:"10,keyasint,omitempty"`
	AdvanceWave *AdvanceWave `cbor:"11,keyasint,omitempty"`

	Evacuate      *Evacuate      `cbor:"22,keyasint,omitempty"`
	EndEvacuation *EndEvacuation `cbor:"23,keyasint,omitempty"`
}

// Submit adds a job, whose tasks then wait to be placed. A second submission with the same id has no
// effect.
type Submit struct {
	Job     anvilid.JobID     `cbor:"1,keyasint"`
	Account anvilid.AccountID `cbor:"2,keyasint,omitempty"`
	Queue   QueueName         `cbor:"3,keyasint"`
	Policy  QueuePolicy       `cbor:"4,keyasint"`
	Spec    Spec              `cbor:"5,keyasint"`
}

// Cancel ends a job that has not ended yet; its phase is then JobCancelled.
type Cancel struct {
	Job anvilid.JobID `cbor:"1,keyasint"`
}

// Announce registers a target or updates its attributes.
type Announce struct {
	Target Target `cbor:"1,keyasint"`
	// Answered means that the target's own process has answered that this is its incarnation. It then
	// replaces the known one even if that has a higher number, which a wrong announcement or a clock that was
	// set back explains.
	Answered bool `cbor:"2,keyasint,omitempty"`
}

// Leave reports that an incarnation of a target has ended, together with everything that
// ran on it.
type Leave struct {
	Target      anvilid.TargetID `cbor:"1,keyasint"`
	Incarnation Incarnation      `cbor:"2,keyasint"`
	// Final means that the target itself has said that it ends, so that a late announcement of this
	// incarnation is ignored. It may go on until it receives the acknowledgement, so its runs stay assigned
	// (see Target.DepartedAt).
	Final bool `cbor:"3,keyasint,omitempty"`
}

// Assignment assigns one run of a task to a target.
type Assignment struct {
	Task        Task             `cbor:"1,keyasint"`
	Run         Run              `cbor:"2,keyasint"`
	Target      anvilid.TargetID `cbor:"3,keyasint"`
	Incarnation Incarnation      `cbor:"4,keyasint"`
	// Ticket authorizes the run, if the policy of the queue requires that.
	Ticket Ticket `cbor:"5,keyasint,omitempty"`
}

// Place assigns tasks to targets. Either all assignments take effect or none.
type Place struct {
	Assignments []Assignment `cbor:"1,keyasint"`
}

// Outcome says how a run ended: its work was done or had failed, or the run was ended from outside.
type Outcome uint8

// Outcomes of a run.
const (
	RunDone           Outcome = 1
	RunFailed         Outcome = 2 // because of the task itself or its target
	RunStopped        Outcome = 3
	RunLeaseExpired   Outcome = 4 // the target's lease expired
	RunGangEnded      Outcome = 5 // another member of the gang ended
	RunGangIncomplete Outcome = 6 // the other members of the gang did not start
)

// RunEnd is one entry of the list in which a target numbers its ended runs. Target.Cursor
// refers to these numbers.
type RunEnd struct {
	Number     uint64  `cbor:"1,keyasint"`
	Task       Task    `cbor:"2,keyasint"`
	Run        Run     `cbor:"3,keyasint"`
	Outcome    Outcome `cbor:"4,keyasint"`
	Checkpoint string  `cbor:"5,keyasint,omitempty"`
}

// RecordRunEnds records the ended runs that an incarnation of a target has reported.
type RecordRunEnds struct {
	Target      anvilid.TargetID `cbor:"1,keyasint"`
	Incarnation Incarnation      `cbor:"2,keyasint"`
	Ends        []RunEnd         `cbor:"3,keyasint"`
}

// RecordCheckpoints records the checkpoints of runs that are still at work as far as is known, but whose ends
// may never be listed, because their target doesn't answer or has ended.
type RecordCheckpoints struct {
	Runs []RunCheckpoint `cbor:"1,keyasint"`
}

// RunCheckpoint is a checkpoint that a run has written.
type RunCheckpoint struct {
	Task       Task   `cbor:"1,keyasint"`
	Run        Run    `cbor:"2,keyasint"`
	Checkpoint string `cbor:"3,keyasint"`
}

// Unassign ends the assignment of a run that certainly isn't executing at its target and
// will not start there any more.
type Unassign struct {
	Task Task `cbor:"1,keyasint"`
	Run  Run  `cbor:"2,keyasint"`
}

// ExpireLease reports that nothing runs any more on an incarnation of a target, because
// its lease has expired there or because the incarnation has ended. The target stays
// registered.
type ExpireLease struct {
	Target      anvilid.TargetID `cbor:"1,keyasint"`
	Incarnation Incarnation      `cbor:"2,keyasint"`
	// Runs, if not empty, restricts the command to these runs.
	Runs []Unassign `cbor:"3,keyasint,omitempty"`
}

// Target describes one incarnation of a target, which is a process that runs the tasks of
// one service.
type Target struct {
	ID          anvilid.TargetID    `cbor:"1,keyasint"`
	Incarnation Incarnation         `cbor:"2,keyasint"`
	Service     anvilid.ServiceName `cbor:"3,keyasint"`
	Address     anvilid.Address     `cbor:"4,keyasint"`
	Zone        anvilid.ZoneName    `cbor:"5,keyasint,omitempty"`
	Rack        anvilid.RackName    `cbor:"6,keyasint,omitempty"`
	Labels      []string            `cbor:"7,keyasint,omitempty"`
	Resources   Resources           `cbor:"8,keyasint"`
	// Leaving means that the target accepts no new work.
	Leaving bool `cbor:"9,keyasint,omitempty"`
	// LeavesAt is the earliest time at which a leaving target may stop, in log time
	// (State.now).
	LeavesAt anvilclock.Millis `cbor:"10,keyasint,omitempty"`
	// Cursor is the number (RunEnd.Number) of the target's latest run end that has been
	// recorded.
	Cursor uint64 `cbor:"11,keyasint,omitempty"`
	// Sequence is the number of the announcement that the record is from. It rises with each
	// announcement of one incarnation.
	Sequence uint64 `cbor:"14,keyasint,omitempty"`
	// Machine is the machine that the target runs on, or empty if unknown. It stays the
	// same when the incarnation or the id of the target changes.
	Machine anvilid.MachineID `cbor:"13,keyasint,omitempty"`
	// Silence is set while the target doesn't answer, see NoteSilence.
	Silence *Silence `cbor:"22,keyasint,omitempty"`
	// Clock is what the target's clock showed when it sent the announcement that the record is from, or 0.
	Clock TargetClock `cbor:"23,keyasint,omitempty"`
	// RegisteredAt is when this incarnation was first announced.
	RegisteredAt anvilclock.Millis `cbor:"12,keyasint,omitempty"`
	// DepartedAt is when the target said that it ends, or when another target announced its address, in log
	// time; or 0. Such a target is removed once all its runs have certainly ended.
	DepartedAt anvilclock.Millis `cbor:"20,keyasint,omitempty"`
	// Displaced means that the target counts as departed because another one has announced its address. It
	// may go on.
	Displaced bool `cbor:"21,keyasint,omitempty"`
}

// Departed reports whether the target is only kept until its runs have certainly ended.
func (t *Target) Departed() bool { return t.DepartedAt > 0 }

// Result says whether one command took effect and, if not, why.
type Result uint8

// Results of a command.
const (
	Applied   Result = 0
	Unchanged Result = 1 // it had already taken effect or was superseded
	Refused   Result = 2 // it is not valid in the current state and has no effect
	Unknown   Result = 3 // the job, target or wave that it names does not exist
)
