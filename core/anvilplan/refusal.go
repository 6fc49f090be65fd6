package anvilplan

import (
	"errors"
	"fmt"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// Errors that the methods of Planner return, wrapped with details; compare them with errors.Is.
var (
	// ErrInvalid reports invalid arguments, such as a shape or a count out of range.
	ErrInvalid = errors.New("invalid request")
	// ErrDuplicate reports a job that is already placed.
	ErrDuplicate = errors.New("job is already placed")
	// ErrUnsatisfiable reports a shape that wouldn't fit even if nothing ran in the service, or a
	// service without targets.
	ErrUnsatisfiable = errors.New("no set of targets can hold the shape")
	// ErrNoCapacity reports a shape that doesn't fit into the accelerators that are free at the
	// moment.
	ErrNoCapacity = errors.New("the free accelerators do not suffice for the shape at the moment")
	// ErrNotPreemptible reports a gang that may not be preempted and for which its account has no idle
	// reservation: all its guaranteed gangs of the shape run or have no reservation, or it has no
	// guarantee for the shape.
	ErrNotPreemptible = errors.New("the account has no unused reservation for the gang, which may not be preempted")
)

// Refusal is the error for a gang that wasn't placed, with the numbers that explain why. It wraps
// ErrUnsatisfiable, ErrNoCapacity or ErrNotPreemptible.
type Refusal struct {
	Reason  error
	Account anvilid.AccountID
	Service anvilid.ServiceName
	Shape   anvilconfig.Shape
	// Guaranteed is the number of gangs of this shape that the account is guaranteed. InUse of them are
	// placed, and Unmet of them have no reservation at the moment.
	Guaranteed, InUse, Unmet int
	// Free has the largest gangs that fit without preemption, Present those that would fit if nothing
	// ran.
	Free, Present Largest
}

// Error returns the reason, the numbers behind it, and what the caller can do.
func (r *Refusal) Error() string {
	shape := fmt.Sprintf("%d accelerators within one %s", r.Shape.Accelerators, r.Shape.Within)
	switch {
	case errors.Is(r.Reason, ErrUnsatisfiable):
		return fmt.Sprintf("%v: %s in service %q; the largest that its targets can hold is %s; ask for less or add targets", r.Reason, shape, r.Service, r.Present)
	case errors.Is(r.Reason, ErrNotPreemptible) && r.Guaranteed == 0:
		return fmt.Sprintf("%v: account %q has no guarantee for gangs of %s in service %q; allow preemption or add a guarantee", r.Reason, r.Account, shape, r.Service)
	case errors.Is(r.Reason, ErrNotPreemptible):
		return fmt.Sprintf("%v: account %q uses %d of %d guaranteed gangs of %s in service %q (%d have no reservation at the moment); allow preemption, wait for a release or raise the guarantee", r.Reason, r.Account, r.InUse, r.Guaranteed, shape, r.Service, r.Unmet)
	}
	return fmt.Sprintf("%v: %s in service %q; the largest that is free is %s, of %d free in all; wait for a release", r.Reason, shape, r.Service, r.Free, r.Free.Total)
}

// Unwrap returns the reason.
func (r *Refusal) Unwrap() error { return r.Reason }

func (l Largest) String() string {
	return fmt.Sprintf("%d within a worker, %d within a rack and %d within a zone", l.Worker, l.Rack, l.Zone)
}

func wrapReason(reason error, format string, args ...any) error {
	return fmt.Errorf("%w: %s", reason, fmt.Sprintf(format, args...))
}

// cannotFit reports whether a shape needs more accelerators than the largest gang of its extent.
func (l Largest) cannotFit(shape anvilconfig.Shape) bool {
	largest := l.Zone
	switch shape.Within {
	case anvilconfig.WithinWorker:
		largest = l.Worker
	case anvilconfig.WithinRack:
		largest = l.Rack
	}
	return int(shape.Accelerators) > largest
}

// refusal returns the error for a request that wasn't placed, with the numbers of its service and
// account. ErrNoCapacity becomes ErrUnsatisfiable if the shape wouldn't fit even if nothing ran.
func (p *Planner) refusal(reason error, r Request) error {
	refusal := &Refusal{Reason: reason, Account: r.Account, Service: r.Service, Shape: r.Shape}
	if number, known := p.serviceByID[r.Service]; known {
		refusal.Free, refusal.Present = p.free.largest(number), p.present.largest(number)
		if errors.Is(reason, ErrNoCapacity) && refusal.Present.cannotFit(r.Shape) {
			refusal.Reason = ErrUnsatisfiable
		}
	} else {
		refusal.Reason = ErrUnsatisfiable
	}
	if number, known := p.findQuota(r); known {
		quota := &p.quotas[number]
		refusal.Guaranteed, refusal.Unmet = quota.count, quota.unmet
		refusal.InUse = len(quota.units) - quota.unmet - len(quota.idle)
	}
	return refusal
}

// checkShape returns an error that wraps ErrInvalid if the number of accelerators of a shape is out of
// range or its extent is unknown.
func checkShape(s anvilconfig.Shape) error {
	if s.Accelerators < 1 || s.Accelerators > MaxAccelerators {
		return wrapReason(ErrInvalid, "gang of %d accelerators requested, want 1 to %d", s.Accelerators, MaxAccelerators)
	}
	switch s.Within {
	case anvilconfig.WithinWorker, anvilconfig.WithinRack, anvilconfig.WithinZone:
		return nil
	}
	return wrapReason(ErrInvalid, "gang requested within %q, want worker, rack or zone", s.Within)
}
