package anvilvoter

import (
	"fmt"

	"anvilshunt/core/anvilraft"

	"github.com/rotisserie/eris"
)

// Errors of calls on a voter.
var (
	// ErrNotLeader means that this voter is not the leader and that the call
	// has had no effect and never will have one. NotLeaderError names the leader.
	ErrNotLeader = eris.New("this voter is not the leader")
	// ErrLost means that the outcome is unknown: the call may still take
	// effect. Propose the command again only if it is idempotent, for example
	// because it has a unique id.
	ErrLost = eris.New("the outcome of the call is unknown")
	// ErrOverloaded means that the call had no effect because the queue of
	// calls is full, or because ctx was done before the call was handled.
	ErrOverloaded = eris.New("too many calls are queued, retry later")
	// ErrStopped means that the call had no effect because Run has returned.
	ErrStopped = eris.New("the voter has stopped")
	// ErrNotEmpty means that a data directory already contains a log.
	ErrNotEmpty = eris.New("data directory is not empty")
)

// NotLeaderError is an error that errors.Is matches with ErrNotLeader. It names the
// leader, if it is known.
type NotLeaderError struct {
	// Leader is zero if no leader is known.
	Leader anvilraft.VoterID
}

// Error returns the message, which says where to send the call instead.
func (e *NotLeaderError) Error() string {
	if e.Leader.IsZero() {
		return ErrNotLeader.Error() + "; no leader is known, retry later"
	}
	return fmt.Sprintf("%v; send the call to %s", ErrNotLeader, e.Leader)
}

// Is makes errors.Is match ErrNotLeader.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }
