package anvilraft

import (
	"errors"

	"anvilshunt/core/anvilid"
)

// Reasons of a Rejection.
var (
	// ErrNotLeader means that this node is not the leader. Rejection.Leader is the known
	// leader, if any.
	ErrNotLeader = errors.New("this voter is not the leader; send to the leader")
	// ErrBackPressure means that the uncommitted entries have reached the limit of
	// WithUncommittedBytes.
	ErrBackPressure = errors.New("too many uncommitted bytes; propose again after some have been committed")
	// ErrChangePending means that an earlier membership change, or the first
	// entry of the leader's term, is not yet committed.
	ErrChangePending = errors.New("another membership change is not yet committed; try again later")
	// ErrNotCaughtUp means that the learner or the joining instance lacks more of the log than a voter may, see HasCaughtUp.
	ErrNotCaughtUp = errors.New("the learner has not caught up with the log; try again later")
	// ErrInvalidChange means that the change cannot be applied to the current members: the id
	// is unknown or already a member, the instance already has a voter, or the last voter would
	// be removed.
	ErrInvalidChange = errors.New("the membership change does not fit the current members; read the members and correct it")
	// ErrInvalidCompact means that the index is not committed on this node, or that a snapshot
	// already covers it.
	ErrInvalidCompact = errors.New("the snapshot index is not committed or already covered; use the latest applied index")
)

// Role is the Raft role of a node.
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

// Effects is the outcome of one step. The driver may handle the fields in any order, except
// that Restore comes before Committed.
type Effects struct {
	// Save must be synced to disk. The driver writes Saves in the order of their sequence
	// numbers, and passes Persisted to Step after the sync.
	Save *Save
	// Send lists messages to send now. The node withholds a message that depends on unsynced
	// state. It returns the message in the Effects of the step that handles the Persisted event
	// for that state. At most maxWithheldMessages messages are withheld. Beyond that, the
	// oldest are dropped.
	Send []Message
	// Restore, if not nil, is a snapshot from the leader that replaces the state of the state
	// machine.
	Restore *Snapshot
	// Committed lists the newly committed entries of all kinds, without gaps.
	Committed []Entry
	// Accepted answers Propose and ChangeVoters events.
	Accepted []Acceptance
	// Rejected answers Propose, ChangeVoters, ReadBarrier and Compact events.
	Rejected []Rejection
	// Barriers lists the ReadBarrier events that are now confirmed.
	Barriers []Barrier

	// The current state of the node, set in every step.
	Role   Role
	Term   anvilid.Term
	Leader VoterID // zero if unknown
	// HasQuorum is the result of Node.HasQuorum at the time of this step.
	HasQuorum bool
}

// Save is a change of the stored state. PersistentState.Apply defines its meaning. The
// fields apply in the order in which they are declared here.
type Save struct {
	Sequence uint64
	// Hard, if not nil, replaces the stored hard state.
	Hard *HardState
	// Snapshot, if not nil, replaces the stored snapshot. Stored entries up to its index may be
	// deleted once it is synced.
	Snapshot *Snapshot
	// From, if not zero, removes all stored entries from this index on. Entries, if any, start
	// at From.
	From    anvilid.Index
	Entries []Entry
}

// Acceptance reports that entries were appended to the leader's log. They are not committed
// yet, and may be lost if the leader fails.
type Acceptance struct {
	Key         uint64
	First, Last anvilid.Index
	Term        anvilid.Term
}

// Rejection reports that an event had no effect. The rejections of Propose and ReadBarrier events may come in
// a later step, all others come in the step of their event. For a Compact event Key is the
// index.
type Rejection struct {
	Key    uint64
	Reason error
	// Leader is the leader that this node knows of, or zero if it knows none.
	Leader VoterID
}

// Barrier confirms a ReadBarrier: a state machine that has applied the entry at Index
// reflects every change that was committed before the ReadBarrier.
type Barrier struct {
	Key   uint64
	Index anvilid.Index
}
