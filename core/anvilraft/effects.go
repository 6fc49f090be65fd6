package anvilraft

import (
	"errors"

	"anvilshunt/core/anvilid"
)

// Reasons of a Rejection.
var (
	// ErrNotLeader means that this node does not lead; Rejection.Leader is the
	// known leader, if any.
	ErrNotLeader = errors.New("this voter is not the leader; send to the leader")
	// ErrBackPressure means that too many bytes are waiting to be committed.
	ErrBackPressure = errors.New("too many uncommitted bytes; propose again after some have been committed")
	// ErrChangePending means that an earlier membership change, or the first
	// entry of the leader's term, is not yet committed.
	ErrChangePending = errors.New("another membership change is not yet committed; try again later")
	// ErrNotCaughtUp means that the learner still lacks too much of the log.
	ErrNotCaughtUp = errors.New("the learner has not caught up with the log; try again later")
	// ErrInvalidChange means that the change makes no sense for the current
	// members: an unknown or doubled id, a second voter of one instance, or
	// the removal of the last voter.
	ErrInvalidChange = errors.New("the membership change does not fit the current members; read the members and correct it")
	// ErrInvalidCompact means that the index is not committed on this node or
	// is already covered by a snapshot.
	ErrInvalidCompact = errors.New("the snapshot index is not committed or already covered; use the latest applied index")
)

// Role is the part a node currently plays.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "precandidate", "candidate", "leader"}[r]
}

// Effects is the outcome of one step. The driver handles the fields in any
// order, except that Restore comes before Committed.
type Effects struct {
	// Save must be synced to disk. Saves are written in the order of their
	// sequence numbers; then Persisted is stepped.
	Save *Save
	// Send lists messages that may be sent at once. Messages that depend on
	// state not yet reported as Persisted are withheld until it is.
	Send []Message
	// Restore replaces the state machine's state by a snapshot from the leader.
	Restore *Snapshot
	// Committed lists the newly committed entries of all kinds, without gaps.
	Committed []Entry
	// Accepted answers Propose and ChangeVoters events.
	Accepted []Acceptance
	// Rejected answers Propose, ChangeVoters, ReadBarrier and Compact events.
	Rejected []Rejection
	// Barriers lists the confirmed ReadBarriers.
	Barriers []Barrier

	// The current state of the node, set in every step.
	Role   Role
	Term   anvilid.Term
	Leader VoterID // zero if unknown
	// HasQuorum is the result of Node.HasQuorum at the time of the step.
	HasQuorum bool
}

// Save describes a change of the stored state. Restored.Apply defines its
// meaning; fields apply in the order of this struct.
type Save struct {
	Sequence uint64
	// Hard replaces the stored hard state, if not nil.
	Hard *HardState
	// Snapshot replaces the stored snapshot, if not nil. Stored entries up to
	// its index are superfluous once it is synced.
	Snapshot *Snapshot
	// From, if not zero, removes all stored entries from this index on.
	// Entries, if any, start at From.
	From    anvilid.Index
	Entries []Entry
}

// Acceptance reports that entries were appended to the leader's log. They are
// not committed yet, and may be lost if the leader is.
type Acceptance struct {
	Key         uint64
	First, Last anvilid.Index
	Term        anvilid.Term
}

// Rejection reports that an event had no effect. All but those of ReadBarrier
// come in the step of their event. For a Compact event Key is the index.
type Rejection struct {
	Key    uint64
	Reason error
	// Leader is the known leader, or zero.
	Leader VoterID
}

// Barrier confirms a ReadBarrier: a state machine that has applied the entry
// at Index shows every change that was committed before the ReadBarrier.
type Barrier struct {
	Key   uint64
	Index anvilid.Index
}
