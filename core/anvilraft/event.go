package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Event is an input of Node.Step: Tick, Receive, Propose, Persisted, Compact, ChangeVoters,
// SendLog, StorageLost or ReadBarrier.
type Event interface{ isEvent() }

// Tick tells the node the current time, so that timeouts can expire. The driver passes one
// every few milliseconds.
type Tick struct {
	// Late is how much later than due this tick comes, because the process was starved or
	// frozen. Messages that arrived in that time may still wait to be passed to the node.
	Late anvilclock.Millis
}

// Receive delivers a message from another member.
type Receive struct{ Message Message }

// Propose asks the leader to append commands, each as one entry. The answer is an
// Acceptance or a Rejection with the same Key. It may come in a later step, as the leader holds commands
// back while a seat in place of a lost voter is expected. After an Acceptance, the outcome is known
// when an entry with the accepted index is committed: the command was committed if and only
// if that entry also has the accepted term. Until then the outcome is unknown, even when
// this node stops being the leader. It stays unknown on this node if Effects.Restore skips
// the index.
type Propose struct {
	Key      uint64
	Commands [][]byte
	// At is the wall-clock time. Entries are stamped with the later of At and the timestamp of
	// the entry before.
	At anvilclock.Millis
}

// Persisted reports that the Save with this sequence number, and all Saves before it, are
// synced to disk. It may arrive late, and one event may cover several Saves.
type Persisted struct{ Sequence uint64 }

// Compact passes the state machine's snapshot after the entry at Index to the node. The
// entry must have been listed in Effects.Committed. Entries up to Index are then dropped,
// except for the last ones that are kept for members that lag behind (WithTrailingEntries).
type Compact struct {
	Index    anvilid.Index
	Snapshot []byte
}

// SendLog asks the leader to send its log to an instance that isn't a member, so that one ChangeVoters makes it a voter.
// It must be repeated within sendLogSpan. A later one for another storage of the same instance takes its place.
type SendLog struct {
	To VoterID
	// Empty means that the instance has no log yet, so that it gets everything at once.
	Empty bool
}

// ChangeVoters asks the leader for one membership change. Exactly one of AddLearner, AddVoter, Remove, Lost and Found is set, or
// Seat, with Remove or without it. The answer is an Acceptance or a Rejection. The change is
// permanent once its entry is committed.
//
// To replace a lost disk without WithLostStorages: AddLearner with the new id, Remove the old id, then AddVoter with
// the new id, repeated until it is no longer rejected with ErrNotCaughtUp.
type ChangeVoters struct {
	Key uint64
	// AddLearner adds a member that receives the log but has no vote.
	AddLearner VoterID
	// AddVoter turns a learner that has caught up into a voter.
	AddVoter VoterID
	// Remove removes a voter or learner.
	Remove VoterID
	// Seat makes instances that have caught up voters, each in place of the former member of the same instance, if there is
	// one. It needs WithLostStorages, as the lists before and after it may differ by more than one voter.
	Seat []VoterID
	// Lost marks voters that are probably gone for good, at most as many as leave a quorum. Where an odd number of voters is kept,
	// a Seat in place of marked voters needs no quorum of the list before it. It needs WithLostStorages.
	Lost []VoterID
	// Successors are storages that instances of voters in Lost have now. Their votes count in elections in place of those of the lost
	// ones as soon as the change is committed.
	Successors []VoterID
	// Found takes marks back, of voters that are there after all.
	Found []VoterID
}

// StorageLost tells the node that the storage of a voter is gone for good: the instance was asked by this node,
// after the node knew the voter, and answered with another storage. A storage that was reported lost must never
// be used again. It has no effect without WithLostStorages. See lostStorages for what depends on it.
type StorageLost struct {
	Voter VoterID
	// Successor is the storage that the instance answered with.
	Successor VoterID
}

// ReadBarrier asks the leader to confirm that it is still the leader, before a linearizable
// read. The answer is a Barrier or a Rejection with the same Key. Each barrier costs a
// round of small messages, so drivers should use one barrier for all reads that wait at the
// same time.
type ReadBarrier struct{ Key uint64 }

func (Tick) isEvent()         {}
func (Receive) isEvent()      {}
func (Propose) isEvent()      {}
func (Persisted) isEvent()    {}
func (Compact) isEvent()      {}
func (ChangeVoters) isEvent() {}
func (StorageLost) isEvent()  {}
func (SendLog) isEvent()      {}
func (ReadBarrier) isEvent()  {}
