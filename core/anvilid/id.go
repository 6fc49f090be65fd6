// Package anvilid defines the named types of ids and units.
package anvilid

// Names and ids.
type (
	// InstanceID names one instance of the system.
	InstanceID string
	// TargetID names one target.
	TargetID string
	// MachineID names the machine that a target runs on.
	MachineID string
	// AccountID names one client account.
	AccountID string
	// ServiceName names a service that targets serve.
	ServiceName string
	// ShapeName names a job shape.
	ShapeName string
	// ObjectName names a configuration object within its kind.
	ObjectName string
	// RegionName names a region.
	RegionName string
	// ZoneName names an availability zone.
	ZoneName string
	// RackName names a rack within an availability zone.
	RackName string
	// RequestID identifies a short request within an account and service.
	RequestID string
	// ChangeID identifies a configuration change across resends.
	ChangeID string
	// OperatorID names the operator who made a change.
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
	// Epoch orders the owners of one target. It is the index of the log
	// entry that assigned the owner.
	Epoch uint64
	// Token fences a unit of work at a target. It is the index of the log
	// entry that permitted the work.
	Token uint64
	// Revision orders published configurations.
	Revision uint64
	// Incarnation tells apart the runs of one process. It grows with each
	// start.
	Incarnation uint64
	// Attempt numbers the attempts at one request by one holder.
	Attempt uint64
)

// Units.
type (
	// SlotCount counts concurrent tasks on a target.
	SlotCount int
	// ConnectionCount counts open connections to a target.
	ConnectionCount int
	// AcceleratorCount counts accelerators.
	AcceleratorCount int
	// ByteCount counts bytes.
	ByteCount int64
)
