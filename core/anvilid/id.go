// Package anvilid defines named types for identifiers, counters and units.
package anvilid

// Names and identifiers.
type (
	// InstanceID identifies an instance, which is a process of the scheduler. The process keeps
	// its id when it restarts, and gets a higher Incarnation.
	InstanceID string
	// TargetID identifies a target, which is a process that runs the requests and tasks of one
	// service.
	TargetID string
	// MachineID identifies the machine that a target runs on.
	MachineID string
	// AccountID identifies a client account. Accounts share the capacity by weight and may have
	// guarantees.
	AccountID string
	// ServiceName names a service: a kind of work for which requests and jobs are submitted. Each
	// target provides one service.
	ServiceName string
	// ShapeName names a job shape: the number of accelerators that a job needs, and whether
	// they must be in one target, one rack or one availability zone.
	ShapeName string
	// ObjectName names a configuration object; it is unique among the objects of its kind.
	ObjectName string
	// RegionName names a region, which is a group of availability zones.
	RegionName string
	// ZoneName names an availability zone.
	ZoneName string
	// RackName names a rack within an availability zone.
	RackName string
	// RequestID identifies a short request; it is unique within an account and service.
	RequestID string
	// ChangeID identifies a configuration change. A resent change has the same id.
	ChangeID string
	// OperatorID identifies the operator who made a change.
	OperatorID string
	// JobID identifies a long job.
	JobID string
	// Address is an "ip:port" pair.
	Address string
)

// Counters that order events.
type (
	// Index is the position of an entry in the replicated log.
	Index uint64
	// Term is the election term of the replicated log.
	Term uint64
	// Epoch orders the owners of one target. It is the index of the log entry that
	// assigned the owner.
	Epoch uint64
	// Token is a fencing token: targets reject work with an outdated token. It is the index
	// of the log entry that permitted the work.
	Token uint64
	// Revision is the number of a published configuration. It increases by one with each change.
	Revision uint64
	// Incarnation distinguishes the runs of one process (an instance or a target). It increases
	// with each start.
	Incarnation uint64
	// Attempt numbers the attempts of one instance to run the same request.
	Attempt uint64
)

// Units.
type (
	// SlotCount is a number of slots of a target, each of which can run one task at a time.
	SlotCount int
	// ConnectionCount is a number of open connections to a target.
	ConnectionCount int
	// AcceleratorCount is a number of accelerators.
	AcceleratorCount int
	// ByteCount is a number of bytes.
	ByteCount int64
)
