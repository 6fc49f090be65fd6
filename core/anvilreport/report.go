// Package anvilreport defines the reports that targets send to the system about
// themselves. docs/protocol.md describes the protocol.
package anvilreport

import (
	"errors"
	"fmt"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// ErrInvalid reports an announcement that fails validation.
var ErrInvalid = errors.New("invalid announcement")

// TaskState is the state of a gang member, which is the part of a long job that runs on one
// target.
type TaskState string

// States of a gang member. Ended means that it has completed its work.
const (
	Prepared TaskState = "prepared"
	Running  TaskState = "running"
	Ended    TaskState = "ended"
	Failed   TaskState = "failed"
	Stopped  TaskState = "stopped"
)

// Final reports whether the task has ended and will not run again.
func (s TaskState) Final() bool { return s == Ended || s == Failed || s == Stopped }

// Task describes one gang member on a target.
type Task struct {
	Job          anvilid.JobID            `json:"job"`
	Member       int                      `json:"member"`
	Token        anvilid.Token            `json:"token"`
	State        TaskState                `json:"state"`
	Accelerators anvilid.AcceleratorCount `json:"accelerators"`
	Detail       string                   `json:"detail,omitempty"`
}

// Report is the announcement of a target: its identity, its capacity limits and its
// current usage. The usage may be out of date by up to UsageAge.
type Report struct {
	Target       anvilid.TargetID         `json:"target"`
	Incarnation  anvilid.Incarnation      `json:"incarnation"`
	Address      anvilid.Address          `json:"address"`
	Service      anvilid.ServiceName      `json:"service"`
	Region       anvilid.RegionName       `json:"region"`
	Zone         anvilid.ZoneName         `json:"zone"`
	Rack         anvilid.RackName         `json:"rack"`
	Slots        anvilid.SlotCount        `json:"slots"`
	Connections  anvilid.ConnectionCount  `json:"connections"`
	Accelerators anvilid.AcceleratorCount `json:"accelerators"`
	Leaving      bool                     `json:"leaving,omitempty"`

	// Epoch is the highest ownership epoch that the target has accepted. It is zero for
	// targets that do not support fencing.
	Epoch anvilid.Epoch `json:"epoch,omitempty"`
	// Sequence increases with each report of one incarnation.
	Sequence uint64 `json:"sequence"`
	// UsageAge is the time since the target measured the usage that it reports.
	UsageAge anvilclock.Millis `json:"age"`
	// UsedSlots is the number of slots that short requests use.
	UsedSlots anvilid.SlotCount `json:"running"`
	// OpenConnections is the number of open connections from instances.
	OpenConnections anvilid.ConnectionCount `json:"open"`
	Tasks           []Task                  `json:"tasks,omitempty"`
}

// maxCount is the largest number of slots, connections or accelerators of a target. The sums over all targets
// stay far from an overflow.
const maxCount = 1 << 20

// maxUsageAge is the largest age of a usage that can be reported.
const maxUsageAge = anvilclock.Hour

// Check returns an error that wraps ErrInvalid and names the first invalid field, or nil.
func (r *Report) Check() error {
	switch {
	case r.Target == "":
		return fmt.Errorf("%w: field \"target\" is missing", ErrInvalid)
	case !anvilid.ValidID(string(r.Target)):
		return fmt.Errorf("%w: the target's id %.100q is too long or has characters that no path can carry", ErrInvalid, r.Target)
	case r.Address == "":
		return fmt.Errorf("%w: target %q has no field \"address\"", ErrInvalid, r.Target)
	case !r.Address.Valid():
		return fmt.Errorf("%w: target %q has the address %.100q; use an IP address and a port from 1 to 65535", ErrInvalid, r.Target, r.Address)
	case r.Service == "":
		return fmt.Errorf("%w: target %q has no field \"service\"", ErrInvalid, r.Target)
	case r.Slots <= 0:
		return fmt.Errorf("%w: target %q has %d slots; use 1 or more", ErrInvalid, r.Target, r.Slots)
	case r.Connections <= 0:
		return fmt.Errorf("%w: target %q has %d connections; use 1 or more", ErrInvalid, r.Target, r.Connections)
	case r.Accelerators < 0:
		return fmt.Errorf("%w: target %q has %d accelerators; use 0 or more", ErrInvalid, r.Target, r.Accelerators)
	case r.UsedSlots < 0 || r.OpenConnections < 0 || r.UsageAge < 0:
		return fmt.Errorf("%w: target %q reports negative usage", ErrInvalid, r.Target)
	case max(int(r.Slots), int(r.Connections), int(r.Accelerators), int(r.UsedSlots), int(r.OpenConnections)) > maxCount || r.UsageAge > maxUsageAge:
		return fmt.Errorf("%w: target %q reports a number above %d, or an age above %d ms", ErrInvalid, r.Target, maxCount, maxUsageAge)
	}
	for _, name := range []string{string(r.Service), string(r.Region), string(r.Zone), string(r.Rack)} {
		if !anvilid.ValidText(name) {
			return fmt.Errorf("%w: a name in the report of target %q is too long or not valid UTF-8", ErrInvalid, r.Target)
		}
	}
	return r.checkTasks()
}

func (r *Report) checkTasks() error {
	for _, task := range r.Tasks {
		if task.Member < 0 || task.Accelerators < 0 || task.Accelerators > maxCount {
			return fmt.Errorf("%w: target %q reports a task with a member or accelerators out of range", ErrInvalid, r.Target)
		}
	}
	return nil
}
