package anvilwork

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Incarnation is when an incarnation of a target started, in its own words. A higher
// value is a later incarnation.
type Incarnation int64

// Batch is one entry of the log: commands that are applied in order.
type Batch struct {
	Commands []Command `cbor:"1,keyasint"`
}

// Command is one change. Exactly one field is set.
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

	StartWave   *Wave        `cbor:"10,keyasint,omitempty"`
	AdvanceWave *AdvanceWave `cbor:"11,keyasint,omitempty"`
}

// Submit hands a job in. A second one with the same id changes nothing.
type Submit struct {
	Job     anvilid.JobID     `cbor:"1,keyasint"`
	Account anvilid.AccountID `cbor:"2,keyasint,omitempty"`
	Queue   QueueName         `cbor:"3,keyasint"`
	Policy  QueuePolicy       `cbor:"4,keyasint"`
	Spec    Spec              `cbor:"5,keyasint"`
}

// Cancel ends a job.
type Cancel struct {
	Job anvilid.JobID `cbor:"1,keyasint"`
}

// Announce makes a target known, or changes what is known of it.
type Announce struct {
	Target Target `cbor:"1,keyasint"`
}

// Leave tells that an incarnation of a target has ended, and everything on it.
type Leave struct {
	Target      anvilid.TargetID `cbor:"1,keyasint"`
	Incarnation Incarnation      `cbor:"2,keyasint"`
}

// Assignment gives one run of a task to a target.
type Assignment struct {
	Task        Task             `cbor:"1,keyasint"`
	Run         Run              `cbor:"2,keyasint"`
	Target      anvilid.TargetID `cbor:"3,keyasint"`
	Incarnation Incarnation      `cbor:"4,keyasint"`
	// Ticket allows the run where the queue needs that.
	Ticket Ticket `cbor:"5,keyasint,omitempty"`
}

// Place assigns tasks. Either all assignments take effect or none.
type Place struct {
	Assignments []Assignment `cbor:"1,keyasint"`
}

// Outcome tells how a run ended.
type Outcome uint8

// Outcomes of a run.
const (
	RunDone           Outcome = 1
	RunFailed         Outcome = 2 // by its own fault or the target's
	RunStopped        Outcome = 3
	RunLeaseExpired   Outcome = 4 // its lease passed
	RunGangEnded      Outcome = 5 // another member of the gang ended
	RunGangIncomplete Outcome = 6 // the other members of the gang didn't come
)

// RunEnd is one entry of a target's list of ends.
type RunEnd struct {
	Number  uint64  `cbor:"1,keyasint"`
	Task    Task    `cbor:"2,keyasint"`
	Run     Run     `cbor:"3,keyasint"`
	Outcome Outcome `cbor:"4,keyasint"`
	Saved   string  `cbor:"5,keyasint,omitempty"`
}

// RecordRunEnds records ends of runs that an incarnation of a target has listed.
type RecordRunEnds struct {
	Target      anvilid.TargetID `cbor:"1,keyasint"`
	Incarnation Incarnation      `cbor:"2,keyasint"`
	Ends        []RunEnd         `cbor:"3,keyasint"`
}

// Unassign takes an assignment back that certainly never runs.
type Unassign struct {
	Task Task `cbor:"1,keyasint"`
	Run  Run  `cbor:"2,keyasint"`
}

// ExpireLease tells that nothing runs any more on an incarnation of a target,
// because its lease has passed there or it has ended. The target stays known.
type ExpireLease struct {
	Target      anvilid.TargetID `cbor:"1,keyasint"`
	Incarnation Incarnation      `cbor:"2,keyasint"`
	// Runs, if not empty, limits this to some runs.
	Runs []Unassign `cbor:"3,keyasint,omitempty"`
}

// Target is one incarnation of a target.
type Target struct {
	ID          anvilid.TargetID    `cbor:"1,keyasint"`
	Incarnation Incarnation         `cbor:"2,keyasint"`
	Service     anvilid.ServiceName `cbor:"3,keyasint"`
	Address     anvilid.Address     `cbor:"4,keyasint"`
	Zone        anvilid.ZoneName    `cbor:"5,keyasint,omitempty"`
	Rack        anvilid.RackName    `cbor:"6,keyasint,omitempty"`
	Labels      []string            `cbor:"7,keyasint,omitempty"`
	Room        Resources           `cbor:"8,keyasint"`
	// Leaving tells that the target takes no new work.
	Leaving bool `cbor:"9,keyasint,omitempty"`
	// LeavesAt is the earliest end of a leaving target, by the log's clock.
	LeavesAt anvilclock.Millis `cbor:"10,keyasint,omitempty"`
	// Cursor is the number of the latest recorded end.
	Cursor uint64 `cbor:"11,keyasint,omitempty"`
	// Machine is what the target runs on, or empty if that isn't known. It
	// stays while incarnations and ids change.
	Machine anvilid.MachineID `cbor:"13,keyasint,omitempty"`
	// RegisteredAt is when the target was first known.
	RegisteredAt anvilclock.Millis `cbor:"12,keyasint,omitempty"`
}

// Result is the answer to one command.
type Result uint8

// Results of a command.
const (
	Applied   Result = 0
	Unchanged Result = 1 // it had taken effect before, or was overtaken
	Refused   Result = 2 // it doesn't fit the state and has no effect
	Unknown   Result = 3 // its subject doesn't exist
)
