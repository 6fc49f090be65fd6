package anvilvoter

import (
	"fmt"

	"anvilshunt/core/anvilraft"

	"github.com/rotisserie/eris"
)

// Errors of calls on a voter.
var (
	// ErrNotLeader means that this voter doesn't lead and that the call has had
	// and will have no effect. NotLeaderError names the leader.
	ErrNotLeader = eris.New("this voter is not the leader")
	// ErrLost means that the outcome isn't known: the call may still take
	// effect. Propose the command again only if it carries an id of its own.
	ErrLost = eris.New("the outcome of the call is not known")
	// ErrOverloaded means that the call had no effect because too many others
	// are waiting, or because ctx was done before its turn came.
	ErrOverloaded = eris.New("too many calls are waiting, try again later")
	// ErrStopped means that the call had no effect because Run has returned.
	ErrStopped = eris.New("the voter has stopped")
	// ErrNotEmpty means that a data directory already holds a log.
	ErrNotEmpty = eris.New("data directory is not empty")
)

// NotLeaderError is an ErrNotLeader with a hint.
type NotLeaderError struct {
	// Leader is zero if no leader is known.
	Leader anvilraft.VoterID
}

// Error describes the error.
func (e *NotLeaderError) Error() string {
	if e.Leader.IsZero() {
		return ErrNotLeader.Error() + "; no leader is known, try again later"
	}
	return fmt.Sprintf("%v; send to %s", ErrNotLeader, e.Leader)
}

// Is makes errors.Is match ErrNotLeader.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }
