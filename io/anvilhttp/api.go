// Package anvilhttp is the HTTP API for callers, operators and targets. docs/protocol.md describes
// it.
package anvilhttp

import (
	"context"
	"errors"
	"io"

	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
	"anvilshunt/core/anvilrequest"
	"anvilshunt/core/anvilstate"
)

// Errors that the functions in API return. Each is answered with its own HTTP status; any other error
// is answered with status 500.
var (
	ErrNotFound          = errors.New("not found")
	ErrUnavailable       = errors.New("unavailable")
	ErrStaleAnnouncement = errors.New("stale")
)

// Report is the announcement in which a target reports its address, limits and usage.
type Report = anvilreport.Report

// API contains the functions of the instance that the HTTP handlers call.
type API struct {
	// Service returns the configuration of a service, or nil if the service is unknown.
	Service func(anvilid.ServiceName) *anvilconfig.Service
	// IssueID returns a new unique id for a request or job that came without one.
	IssueID func() anvilid.RequestID
	Run     func(*anvilrequest.Request) anvilrequest.Answer
	// Announce processes the announcement of a target and returns the address of its owner.
	Announce func(context.Context, *Report) (anvilid.Address, error)
	// IgnoreAnnouncement counts and logs the body of an announcement that can't be used.
	IgnoreAnnouncement func(body []byte, err error)
	Ready              func() bool
	// Draining reports whether the instance is shutting down. If it is, each answer closes its
	// connection. Draining may be nil.
	Draining func() bool
	Status   func() Status
	// Config returns the configuration in force, or ErrUnavailable if the instance may have an
	// outdated one.
	Config          func() (anvilconfig.Snapshot, error)
	CheckChange     func(context.Context, anvilconfig.Change) ([]anvilconfig.Problem, error)
	PublishChange   func(ctx context.Context, change anvilconfig.Change, everywhere bool) (anvilstate.Result, bool, error)
	History         func(context.Context) ([]anvilstate.Published, error)
	ObjectiveReport func(context.Context, anvilid.ServiceName) (anvilburn.Report, error)
	SubmitJob       func(context.Context, anvilstate.SubmitJob) (anvilstate.Result, error)
	Job             func(context.Context, anvilid.JobID) (anvilstate.Job, error)
	Jobs            func(context.Context) ([]anvilstate.Job, error)
	CancelJob       func(context.Context, anvilid.JobID) (anvilstate.Result, error)
	DrainTarget     func(context.Context, anvilid.TargetID) error
	Zones           func(context.Context) ([]anvilstate.ZoneStatus, error)
	// EvacuateZone begins or ends the evacuation of a zone, and reports whether that is in force on all instances.
	EvacuateZone func(context.Context, anvilstate.EvacuateZone) (result anvilstate.Result, everywhere bool, err error)
	Metrics      func(io.Writer) error
}

// Limits bound the size of a request.
type Limits struct {
	BodyBytes   anvilid.ByteCount
	HeaderBytes anvilid.ByteCount
}

// Status is the status of an instance, with the instances and targets as its copy of the replicated
// state contains them. The copy may be behind that of the leader.
type Status struct {
	Instance     anvilid.InstanceID    `json:"instance"`
	Incarnation  anvilid.Incarnation   `json:"incarnation"`
	Region       anvilid.RegionName    `json:"region"`
	Zone         anvilid.ZoneName      `json:"zone"`
	Ready        bool                  `json:"ready"`
	HasLease     bool                  `json:"leased"`
	Draining     bool                  `json:"draining,omitempty"`
	AppliedIndex anvilid.Index         `json:"index"`
	Revision     anvilid.Revision      `json:"revision"`
	Admitted     int64                 `json:"admitted"`
	Voter        *Voter                `json:"voter,omitempty"`
	Owned        []OwnedTarget         `json:"owned"`
	Instances    []anvilstate.Instance `json:"instances"`
	Targets      []anvilstate.Target   `json:"targets"`
}

// Voter is the status of the replica of the Raft log that an instance runs if it is a voter.
type Voter struct {
	IsLeader bool `json:"leading"`
	// HasQuorum reports whether this voter is the leader and a majority of the voters still
	// follows it.
	HasQuorum    bool                 `json:"quorum"`
	Term         anvilid.Term         `json:"term"`
	Leader       anvilid.InstanceID   `json:"leader,omitempty"`
	CommitIndex  anvilid.Index        `json:"commit"`
	AppliedIndex anvilid.Index        `json:"applied"`
	Voters       []anvilid.InstanceID `json:"voters,omitempty"`
	// IsVoter reports whether this data directory is a voter of the Raft group. It is false for a
	// new data directory that has not yet replaced the previous one of the instance.
	IsVoter bool `json:"vote"`
}

// OwnedTarget is the status of a target that the instance owns. Its slots are divided into those that
// requests of this instance use (OwnSlots), those that other work uses (ForeignSlots), those reserved
// for gangs, and those that are free.
type OwnedTarget struct {
	Target         anvilid.TargetID        `json:"target"`
	Epoch          anvilid.Epoch           `json:"epoch"`
	State          string                  `json:"state"`
	Health         string                  `json:"health"`
	OwnSlots       anvilid.SlotCount       `json:"own"`
	ForeignSlots   anvilid.SlotCount       `json:"foreign"`
	ReservedSlots  anvilid.SlotCount       `json:"reserved"`
	FreeSlots      anvilid.SlotCount       `json:"free"`
	MaxConnections anvilid.ConnectionCount `json:"connections"`
}

// defaultTimeout applies to requests without a timeout to services whose configuration sets none.
const defaultTimeout = 30 * anvilclock.Second

// maxTimeout limits the timeout that a caller may set for a request.
const maxTimeout = 10 * anvilclock.Minute
