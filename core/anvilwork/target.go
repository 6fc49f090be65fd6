package anvilwork

import (
	"errors"
	"fmt"
	"slices"

	"anvilshunt/core/anvilid"
)

// ErrTarget reports an announced target that can't be used.
var ErrTarget = errors.New("invalid target")

const (
	// maxLabels is the maximum number of labels of a target.
	maxLabels = 100
	// maxIncarnation is the latest start time that a target may report, in the year 2109. An incarnation in
	// the far future would never be replaced by the next one under the same id.
	maxIncarnation Incarnation = 1 << 42
	// maxSequence is the highest sequence number of an announcement. Higher ones aren't exact in programs that
	// keep JSON numbers as 64-bit floats, and no target sends that many announcements.
	maxSequence = 1 << 53
)

// TargetClock is a time in milliseconds on a target's own clock, which restarts with each
// incarnation of the target.
type TargetClock int64

// Check returns an error that wraps ErrTarget if no work could be sent to the target, or if its numbers could
// make sums over all targets overflow.
func (t *Target) Check() error {
	switch {
	case !anvilid.ValidID(string(t.ID)):
		return fmt.Errorf("%w: the id is empty, too long or has characters that no header can carry", ErrTarget)
	case !t.Address.Valid():
		return fmt.Errorf("%w: the address %.100q is no IP address with a port from 1 to 65535", ErrTarget, t.Address)
	case t.Incarnation <= 0 || t.Incarnation > maxIncarnation:
		return fmt.Errorf("%w: the start time %d is out of range", ErrTarget, t.Incarnation)
	case t.Sequence > maxSequence:
		return fmt.Errorf("%w: the sequence number %d is above %d", ErrTarget, t.Sequence, uint64(maxSequence))
	case !t.Resources.InRange():
		return fmt.Errorf("%w: an amount of the capacity is below 0 or above %d", ErrTarget, maxResource)
	case t.Service == "" || len(t.Labels) > maxLabels:
		return fmt.Errorf("%w: the service is empty, or there are more than %d labels", ErrTarget, maxLabels)
	}
	names := append([]string{string(t.Service), string(t.Zone), string(t.Machine)}, t.Labels...)
	if slices.ContainsFunc(names, func(name string) bool { return !anvilid.ValidText(name) }) {
		return fmt.Errorf("%w: a name or a label is too long or not valid UTF-8", ErrTarget)
	}
	return nil
}
