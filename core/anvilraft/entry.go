package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// EntryKind says what the data of a log entry contains.
type EntryKind uint8

// Kinds of entries. The numbers are stored and are never reused.
const (
	// KindCommand entries contain a command of the state machine.
	KindCommand EntryKind = 1
	// KindEmpty entries have no data. A newly elected leader appends one, because committing it
	// also commits the entries of earlier terms.
	KindEmpty EntryKind = 2
	// KindMembers entries contain an encoded Members value.
	KindMembers EntryKind = 3
)

// Entry is one record of the log. An Entry is never changed in place.
type Entry struct {
	Index anvilid.Index `cbor:"1,keyasint"`
	Term  anvilid.Term  `cbor:"2,keyasint"`
	// At is the timestamp set by the leader: the wall-clock time, but never earlier than the
	// timestamp of the entry before.
	At   anvilclock.Millis `cbor:"3,keyasint"`
	Kind EntryKind         `cbor:"4,keyasint"`
	Data []byte            `cbor:"5,keyasint,omitempty"`
}

// entryOverhead is the approximate encoded size in bytes of an entry without its data.
const entryOverhead = 32

func (e Entry) size() anvilid.ByteCount { return anvilid.ByteCount(len(e.Data) + entryOverhead) }

// Snapshot is the state of the state machine after it has applied the entry at Index. Term
// and At are those of this entry, and Members are the members in effect there.
type Snapshot struct {
	Index   anvilid.Index     `cbor:"1,keyasint"`
	Term    anvilid.Term      `cbor:"2,keyasint"`
	At      anvilclock.Millis `cbor:"3,keyasint"`
	Members Members           `cbor:"4,keyasint"`
	// Data is the encoded state of the state machine. The node does not interpret it.
	Data []byte `cbor:"5,keyasint,omitempty"`
}

// HardState is the part of a node's state, other than log and snapshot, that
// must survive a restart.
type HardState struct {
	Group GroupID      `cbor:"1,keyasint,omitempty"`
	Term  anvilid.Term `cbor:"2,keyasint"`
	// Vote is the candidate that got this node's vote in Term, if any.
	Vote VoterID `cbor:"3,keyasint"`
	// MembersAt is the index of the latest member list that this node knows to be committed. It is stored because a
	// restarted node doesn't know the commit index, and the list before an uncommitted one still counts.
	MembersAt anvilid.Index `cbor:"4,keyasint,omitempty"`
}
