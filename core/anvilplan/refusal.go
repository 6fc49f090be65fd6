package anvilplan

import (
	"errors"
	"fmt"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// Errors that the planner returns.
var (
	// ErrInvalid reports invalid arguments.
	ErrInvalid = errors.New("invalid request")
	// ErrDuplicate reports a job that is already placed.
	ErrDuplicate = errors.New("job is already placed")
	// ErrUnsatisfiable reports a shape that doesn't fit even when nothing runs.
	ErrUnsatisfiable = errors.New("no set of targets can hold the shape")
	// ErrNoCapacity reports a shape that doesn't fit at the moment.
	ErrNoCapacity = errors.New("no room for the shape at the moment")
	// ErrNotPreemptible reports a gang beyond the guarantee of its account that may not be
	// preempted.
	ErrNotPreemptible = errors.New("gang exceeds the guarantee of its account and may not be preempted")
)

// Refusal tells with numbers why a gang wasn't placed. It wraps one of the errors above.
type Refusal struct {
	Reason  error
	Account anvilid.AccountID
	Service anvilid.ServiceName
	Shape   anvilconfig.Shape
	// Guaranteed is the number of gangs of this shape that the account is guaranteed, InUse the
	// number of those that run, and Unmet the number of those that have no reservation at the
	// moment.
	Guaranteed, InUse, Unmet int
	// Free is what fits without preemption, Present what would fit if nothing ran.
	Free, Present Largest
}

// Error returns the reason, the numbers behind it, and what the caller can do.
func (r *Refusal) Error() string {
	shape := fmt.Sprintf("%d accelerators within one %s", r.Shape.Accelerators, r.Shape.Within)
	switch {
	case errors.Is(r.Reason, ErrUnsatisfiable):
		return fmt.Sprintf("%v: %s in service %q; the largest that its targets can hold is %s; ask for less or add targets", r.Reason, shape, r.Service, r.Present)
	case errors.Is(r.Reason, ErrNotPreemptible):
		return fmt.Sprintf("%v: account %q uses %d of %d guaranteed gangs of %s in service %q (%d have no reservation at the moment); allow preemption or wait", r.Reason, r.Account, r.InUse, r.Guaranteed, shape, r.Service, r.Unmet)
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

// cannotHold reports whether a shape doesn't fit.
func (l Largest) cannotHold(shape anvilconfig.Shape) bool {
	room := l.Zone
	switch shape.Within {
	case anvilconfig.WithinWorker:
		room = l.Worker
	case anvilconfig.WithinRack:
		room = l.Rack
	}
	return int(shape.Accelerators) > room
}

// refusal collects the numbers for a request that wasn't placed.
func (p *Planner) refusal(reason error, r Request) error {
	refusal := &Refusal{Reason: reason, Account: r.Account, Service: r.Service, Shape: r.Shape}
	if number, known := p.serviceByID[r.Service]; known {
		refusal.Free, refusal.Present = p.free.largest(number), p.present.largest(number)
		if errors.Is(reason, ErrNoCapacity) && refusal.Present.cannotHold(r.Shape) {
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

// checkShape returns an error for a shape that isn't valid.
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
