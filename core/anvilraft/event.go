package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Event is an input of Node.Step: Tick, Receive, Propose, Persisted, Compact,
// ChangeVoters or ReadBarrier.
type Event interface{ isEvent() }

// Tick lets time pass. It is stepped every few milliseconds.
type Tick struct{}

// Receive delivers a message from another member.
type Receive struct{ Message Message }

// Propose asks the leader to append commands, each as one entry. The answer
// is an Acceptance or a Rejection with the same Key. After an Acceptance, the
// outcome is known when an entry with the accepted index is committed: the
// command was committed if and only if that entry also has the accepted term.
// Until then it is unknown, also when this node stops leading, and it stays
// unknown here if the index is skipped by Effects.Restore.
type Propose struct {
	Key      uint64
	Commands [][]byte
	// At is the wall-clock time. Entries are stamped with the later of At and
	// the stamp of the entry before.
	At anvilclock.Millis
}

// Persisted reports that the Save with this sequence number, and all Saves
// before it, are synced to disk. It may be stepped late, and once for several
// Saves.
type Persisted struct{ Sequence uint64 }

// Compact hands over the state machine's snapshot after the entry at Index,
// which must have been in Effects.Committed. Entries up to Index become
// superfluous, apart from a number kept for members that lag behind.
type Compact struct {
	Index    anvilid.Index
	Snapshot []byte
}

// ChangeVoters asks the leader for one membership change. Exactly one of
// Learn, Add and Remove is set. The answer is an Acceptance or a Rejection;
// the change is in force in the long run when its entry is committed.
//
// To replace a lost disk: Learn the new id, Remove the old id, then Add the
// new id until it is no longer refused with ErrNotCaughtUp.
type ChangeVoters struct {
	Key uint64
	// AddLearner adds a learner, which receives the log without a vote.
	AddLearner VoterID
	// AddVoter turns a learner that has caught up into a voter.
	AddVoter VoterID
	// Remove removes a voter or learner.
	Remove VoterID
}

// ReadBarrier asks the leader to confirm that it is still the leader. The
// answer is a Barrier or a Rejection with the same Key. Each barrier costs a
// round of small messages, so drivers combine reads that wait at the same time.
type ReadBarrier struct{ Key uint64 }

func (Tick) isEvent()         {}
func (Receive) isEvent()      {}
func (Propose) isEvent()      {}
func (Persisted) isEvent()    {}
func (Compact) isEvent()      {}
func (ChangeVoters) isEvent() {}
func (ReadBarrier) isEvent()  {}
