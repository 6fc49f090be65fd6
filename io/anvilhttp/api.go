// Package anvilhttp is the HTTP interface for callers, operators and targets.
// docs/protocol.md describes it.
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

// Errors that API functions return. Others are internal errors.
var (
	ErrNotFound          = errors.New("not found")
	ErrUnavailable       = errors.New("unavailable")
	ErrStaleAnnouncement = errors.New("stale")
)

// Report is the announcement of a target.
type Report = anvilreport.Report

// API holds what the interface calls.
type API struct {
	Service  func(anvilid.ServiceName) *anvilconfig.Service
	IssueID  func() anvilid.RequestID
	Run      func(*anvilrequest.Request) anvilrequest.Answer
	Announce func(context.Context, *Report) (anvilid.Address, error)
	Ready    func() bool
	// Draining tells that the instance is about to end. Answers given then
	// close their connections.
	Draining func() bool
	Status   func() Status
	// Config returns the configuration in force, or ErrUnavailable if the
	// instance can't be sure which one that is.
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
	Metrics         func(io.Writer) error
}

// Limits bound what a request may carry.
type Limits struct {
	BodyBytes   anvilid.ByteCount
	HeaderBytes anvilid.ByteCount
}

// Status is what an instance knows of itself and of the system.
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

// Voter is the state of an instance's part in the replicated log.
type Voter struct {
	IsLeader bool `json:"leading"`
	// HasQuorum tells that the leader still has a majority; it is false at the
	// other voters.
	HasQuorum    bool                 `json:"quorum"`
	Term         anvilid.Term         `json:"term"`
	Leader       anvilid.InstanceID   `json:"leader,omitempty"`
	CommitIndex  anvilid.Index        `json:"commit"`
	AppliedIndex anvilid.Index        `json:"applied"`
	Voters       []anvilid.InstanceID `json:"voters,omitempty"`
	// IsVoter tells that this data directory is one of the voters. It is false
	// for one that has not replaced its predecessor yet.
	IsVoter bool `json:"vote"`
}

// OwnedTarget is a target in the care of an instance.
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

// defaultTimeout is the deadline of requests to services that configure none.
const defaultTimeout = 30 * anvilclock.Second

// longestTimeout bounds the deadline of a request.
const longestTimeout = 10 * anvilclock.Minute
