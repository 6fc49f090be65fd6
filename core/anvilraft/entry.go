package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// EntryKind tells what an entry holds.
type EntryKind uint8

// Kinds of entries. The numbers are stored and are never reused.
const (
	// KindCommand entries hold a command of the state machine.
	KindCommand EntryKind = 1
	// KindEmpty entries have no data; a leader appends one when it is elected.
	KindEmpty EntryKind = 2
	// KindMembers entries hold an encoded Members value.
	KindMembers EntryKind = 3
)

// Entry is one record of the log. Entries are never changed in place.
type Entry struct {
	Index anvilid.Index `cbor:"1,keyasint"`
	Term  anvilid.Term  `cbor:"2,keyasint"`
	// At is the wall-clock time stamped by the leader. It never decreases
	// from one entry to the next.
	At   anvilclock.Millis `cbor:"3,keyasint"`
	Kind EntryKind         `cbor:"4,keyasint"`
	Data []byte            `cbor:"5,keyasint,omitempty"`
}

// entryOverhead approximates the encoded size of an entry without its data.
const entryOverhead = 32

func (e Entry) size() anvilid.ByteCount { return anvilid.ByteCount(len(e.Data) + entryOverhead) }

// Snapshot is the state after the entry at Index.
type Snapshot struct {
	Index   anvilid.Index     `cbor:"1,keyasint"`
	Term    anvilid.Term      `cbor:"2,keyasint"`
	At      anvilclock.Millis `cbor:"3,keyasint"`
	Members Members           `cbor:"4,keyasint"`
	// Data is the encoded state machine. The node does not interpret it.
	Data []byte `cbor:"5,keyasint,omitempty"`
}

// HardState is the part of a node's state, other than log and snapshot, that
// must survive a restart.
type HardState struct {
	Group GroupID      `cbor:"1,keyasint,omitempty"`
	Term  anvilid.Term `cbor:"2,keyasint"`
	// Vote is the candidate that got this node's vote in Term, if any.
	Vote VoterID `cbor:"3,keyasint"`
}
