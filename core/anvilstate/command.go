// Package anvilstate is the replicated state machine of the control group, which is the
// group of instances that replicate one log. Its state consists of:
//
//   - the instances and their incarnations;
//   - the targets, each owned by at most one instance;
//   - the configuration;
//   - the claims of non-repeatable requests. A claim asks for the exclusive right to run a
//     request. Its holder is the instance, incarnation and attempt that has this right;
//   - the long jobs. Each runs as a gang: members on one or more targets that run together.
//
// Apply is deterministic: replicas that apply the same commands at the same indexes have the
// same state.
package anvilstate

import (
	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// Command is one entry of the replicated log. Exactly one pointer is set. Fields are
// encoded by number, so a number must never be reused.
type Command struct {
	Join     *JoinInstance       `cbor:"1,keyasint,omitempty"`
	Leave    *LeaveInstance      `cbor:"2,keyasint,omitempty"`
	Expire   *ExpireInstance     `cbor:"3,keyasint,omitempty"`
	Register *RegisterTarget     `cbor:"4,keyasint,omitempty"`
	Depart   *LeaveTarget        `cbor:"5,keyasint,omitempty"`
	Remove   *RemoveTarget       `cbor:"6,keyasint,omitempty"`
	Release  *ReleaseTarget      `cbor:"7,keyasint,omitempty"`
	Config   *anvilconfig.Change `cbor:"8,keyasint,omitempty"`
	Claim    *Claim              `cbor:"9,keyasint,omitempty"`
	Complete *Complete           `cbor:"10,keyasint,omitempty"`
	Abandon  *Abandon            `cbor:"11,keyasint,omitempty"`
	Submit   *SubmitJob          `cbor:"12,keyasint,omitempty"`
	Cancel   *CancelJob          `cbor:"13,keyasint,omitempty"`
	Place    *PlaceJob           `cbor:"14,keyasint,omitempty"`
	Advance  *AdvanceJob         `cbor:"15,keyasint,omitempty"`
	// Rebalance redistributes targets after an instance has joined.
	Rebalance *Rebalance `cbor:"16,keyasint,omitempty"`
	EndMember *EndMember `cbor:"17,keyasint,omitempty"`
	// Burn adds the counts of one instance for the service-level objectives (anvilburn.History).
	Burn  *anvilburn.Batch `cbor:"18,keyasint,omitempty"`
	Eject *EjectTarget     `cbor:"19,keyasint,omitempty"`
	// Evacuate begins or ends the evacuation of a zone.
	Evacuate *EvacuateZone `cbor:"20,keyasint,omitempty"`
}

// Instance is the record of one instance of the system, which dispatches short requests to
// the targets that it owns.
type Instance struct {
	ID          anvilid.InstanceID  `cbor:"1,keyasint" json:"id"`
	Incarnation anvilid.Incarnation `cbor:"2,keyasint" json:"incarnation"`
	Region      anvilid.RegionName  `cbor:"3,keyasint" json:"region"`
	Zone        anvilid.ZoneName    `cbor:"4,keyasint" json:"zone"`
	// Peer is the address for other instances, Public the address for callers.
	Peer   anvilid.Address `cbor:"5,keyasint" json:"peer"`
	Public anvilid.Address `cbor:"6,keyasint" json:"public"`
	// Draining means that the instance gives up its targets and gets no new ones.
	Draining bool `cbor:"7,keyasint,omitempty" json:"draining,omitempty"`
}

// JoinInstance adds an instance, or a new incarnation of a known one. The previous
// incarnation loses its targets.
type JoinInstance struct {
	Instance Instance `cbor:"1,keyasint"`
}

// LeaveInstance removes an instance at its own request. If Drain is set, the instance
// stays registered but gives up its targets.
type LeaveInstance struct {
	ID          anvilid.InstanceID  `cbor:"1,keyasint"`
	Incarnation anvilid.Incarnation `cbor:"2,keyasint"`
	Drain       bool                `cbor:"3,keyasint,omitempty"`
}

// ExpireInstance removes an instance whose lease, granted by the leader, has expired.
type ExpireInstance struct {
	ID          anvilid.InstanceID  `cbor:"1,keyasint"`
	Incarnation anvilid.Incarnation `cbor:"2,keyasint"`
}

// Target is the record of one target: its capacity, its location and the instance that owns
// it.
type Target struct {
	ID           anvilid.TargetID         `cbor:"1,keyasint" json:"id"`
	Incarnation  anvilid.Incarnation      `cbor:"2,keyasint" json:"incarnation"`
	Address      anvilid.Address          `cbor:"3,keyasint" json:"address"`
	Service      anvilid.ServiceName      `cbor:"4,keyasint" json:"service"`
	Region       anvilid.RegionName       `cbor:"5,keyasint" json:"region"`
	Zone         anvilid.ZoneName         `cbor:"6,keyasint" json:"zone"`
	Rack         anvilid.RackName         `cbor:"7,keyasint" json:"rack"`
	Slots        anvilid.SlotCount        `cbor:"8,keyasint" json:"slots"`
	Connections  anvilid.ConnectionCount  `cbor:"9,keyasint" json:"connections"`
	Accelerators anvilid.AcceleratorCount `cbor:"10,keyasint" json:"accelerators"`
	Leaving      bool                     `cbor:"11,keyasint,omitempty" json:"leaving,omitempty"`
	// Owner is the only instance that may send work to the target. Epoch is the index of
	// the log entry that made it the owner.
	Owner anvilid.InstanceID `cbor:"12,keyasint,omitempty" json:"owner,omitempty"`
	Epoch anvilid.Epoch      `cbor:"13,keyasint,omitempty" json:"epoch,omitempty"`
	// NextOwner takes over the target once the owner has released it.
	NextOwner anvilid.InstanceID `cbor:"14,keyasint,omitempty" json:"next,omitempty"`
	// Reserved is the number of slots that placed jobs use. The owner does not give them
	// to short requests.
	Reserved anvilid.SlotCount `cbor:"15,keyasint,omitempty" json:"reserved,omitempty"`
	// Ejected means that an owner has ejected the target for its failed requests, and that it hasn't
	// worked up to its full number of slots since. The next owner begins with probes.
	Ejected bool `cbor:"16,keyasint,omitempty" json:"ejected,omitempty"`
	// Evacuated means that the zone of the target is evacuated, so that it gets no new work.
	Evacuated bool `cbor:"17,keyasint,omitempty" json:"evacuated,omitempty"`
}

// RegisterTarget adds a target, or a new incarnation of a known one.
type RegisterTarget struct {
	Target Target `cbor:"1,keyasint"`
}

// LeaveTarget marks a target as leaving, so that it receives no new work.
type LeaveTarget struct {
	ID          anvilid.TargetID    `cbor:"1,keyasint"`
	Incarnation anvilid.Incarnation `cbor:"2,keyasint"`
}

// RemoveTarget removes a target that no longer exists.
type RemoveTarget struct {
	ID          anvilid.TargetID    `cbor:"1,keyasint"`
	Incarnation anvilid.Incarnation `cbor:"2,keyasint"`
}

// ReleaseTarget is sent by an owner that has stopped dispatching to a target, so that
// NextOwner may take it over.
type ReleaseTarget struct {
	ID    anvilid.TargetID   `cbor:"1,keyasint"`
	Owner anvilid.InstanceID `cbor:"2,keyasint"`
	Epoch anvilid.Epoch      `cbor:"3,keyasint"`
}

// EjectTarget is sent by an owner that has ejected a target, or that uses an ejected one without a limit again.
type EjectTarget struct {
	ID      anvilid.TargetID   `cbor:"1,keyasint"`
	Owner   anvilid.InstanceID `cbor:"2,keyasint"`
	Epoch   anvilid.Epoch      `cbor:"3,keyasint"`
	Ejected bool               `cbor:"4,keyasint,omitempty"`
}

// Rebalance hands over targets from the instances that own the most to those that own the
// fewest. Limit is the maximum number of targets that one command hands over; zero means
// defaultMoves.
type Rebalance struct {
	Limit int `cbor:"1,keyasint,omitempty"`
}

// RequestKey identifies a non-repeatable request.
type RequestKey struct {
	Account anvilid.AccountID   `cbor:"1,keyasint"`
	Service anvilid.ServiceName `cbor:"2,keyasint"`
	ID      anvilid.RequestID   `cbor:"3,keyasint"`
}

// Holder is the instance, incarnation and attempt that has the exclusive right to run a
// request.
type Holder struct {
	Instance    anvilid.InstanceID  `cbor:"1,keyasint"`
	Incarnation anvilid.Incarnation `cbor:"2,keyasint"`
	Attempt     anvilid.Attempt     `cbor:"3,keyasint"`
}

// Claim requests the exclusive right to run a request.
type Claim struct {
	Key    RequestKey `cbor:"1,keyasint"`
	Digest []byte     `cbor:"2,keyasint"`
	Holder Holder     `cbor:"3,keyasint"`
}

// Answer is the recorded answer of a request.
type Answer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Body        []byte `cbor:"3,keyasint,omitempty"`
	// Omitted is set if the body was too large to record or was dropped later.
	Omitted bool `cbor:"4,keyasint,omitempty"`
}

// Complete records the outcome of a claimed request. Lost means that the request may have
// run and that its answer will never be known.
type Complete struct {
	Key    RequestKey `cbor:"1,keyasint"`
	Holder Holder     `cbor:"2,keyasint"`
	Answer Answer     `cbor:"3,keyasint"`
	Lost   bool       `cbor:"4,keyasint,omitempty"`
}

// Abandon reports that the holder has not run the request and never will under this
// attempt. It bars the attempt even if its claim arrives later.
type Abandon struct {
	Key    RequestKey `cbor:"1,keyasint"`
	Holder Holder     `cbor:"2,keyasint"`
}

// SubmitJob adds a long job, which then waits for placement. A job that could not be placed even
// if all targets were free ends at once in state JobInfeasible.
type SubmitJob struct {
	ID           anvilid.JobID            `cbor:"1,keyasint"`
	Account      anvilid.AccountID        `cbor:"2,keyasint"`
	Service      anvilid.ServiceName      `cbor:"3,keyasint"`
	Shape        anvilid.ShapeName        `cbor:"4,keyasint,omitempty"`
	Accelerators anvilid.AcceleratorCount `cbor:"5,keyasint,omitempty"`
	Estimate     anvilclock.Millis        `cbor:"6,keyasint,omitempty"`
	Payload      []byte                   `cbor:"7,keyasint,omitempty"`
}

// CancelJob cancels a job at the caller's request. A job that was placed is stopped before it ends.
type CancelJob struct {
	ID anvilid.JobID `cbor:"1,keyasint"`
}

// Member is the part of a gang that runs on one target.
type Member struct {
	Target       anvilid.TargetID         `cbor:"1,keyasint" json:"target"`
	Incarnation  anvilid.Incarnation      `cbor:"2,keyasint" json:"incarnation"`
	Accelerators anvilid.AcceleratorCount `cbor:"3,keyasint" json:"accelerators"`
	// FirstAccelerator is the index of the first accelerator of the target that the member
	// uses.
	FirstAccelerator int `cbor:"4,keyasint,omitempty" json:"first,omitempty"`
}

// PlaceJob reserves accelerators for all members of a gang at once.
type PlaceJob struct {
	ID      anvilid.JobID `cbor:"1,keyasint"`
	Members []Member      `cbor:"2,keyasint"`
	// Guaranteed is set if the placement uses accelerators that are guaranteed to the account.
	Guaranteed bool `cbor:"3,keyasint,omitempty"`
}

// JobState says how far a long job has got from its submission to its end.
type JobState string

// States of a long job.
const (
	JobSubmitted  JobState = "submitted" // waits for placement
	JobPlaced     JobState = "placed"    // has reserved accelerators for all members
	JobPreparing  JobState = "preparing"
	JobRunning    JobState = "running"
	JobStopping   JobState = "stopping"
	JobDone       JobState = "done"
	JobFailed     JobState = "failed"
	JobCancelled  JobState = "cancelled"
	JobInfeasible JobState = "never" // the job could not be placed even if all targets were free
)

// Final reports whether the job has ended.
func (s JobState) Final() bool {
	return s == JobDone || s == JobFailed || s == JobCancelled || s == JobInfeasible
}

// AdvanceJob moves a job to its next state. Token identifies the placement that the
// command refers to, so that a late command about an earlier placement has no effect.
type AdvanceJob struct {
	ID     anvilid.JobID `cbor:"1,keyasint"`
	Token  anvilid.Token `cbor:"2,keyasint"`
	State  JobState      `cbor:"3,keyasint"`
	Detail string        `cbor:"4,keyasint,omitempty"`
}
