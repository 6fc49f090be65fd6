package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// MessageType says what a message asks for, carries or answers.
type MessageType uint8

// Message types. The numbers are part of the wire format.
const (
	// MessagePreVote asks whether the receiver would grant a vote, without raising any term.
	MessagePreVote MessageType = 1
	// MessagePreVoteResponse answers MessagePreVote.
	MessagePreVoteResponse MessageType = 2
	// MessageVote asks the receiver to vote for the sender in the sender's term.
	MessageVote MessageType = 3
	// MessageVoteResponse answers MessageVote.
	MessageVoteResponse MessageType = 4
	// MessageAppend carries log entries. Without entries it is a heartbeat.
	MessageAppend MessageType = 5
	// MessageAppendResponse acknowledges or rejects entries and heartbeats.
	MessageAppendResponse MessageType = 6
	// MessageSnapshot carries one chunk of a snapshot.
	MessageSnapshot MessageType = 7
	// MessageSnapshotResponse acknowledges or rejects a chunk.
	MessageSnapshotResponse MessageType = 8
	// MessageEntryPart carries one part of an entry that is too large for one message.
	MessageEntryPart MessageType = 9
	// MessageEntryPartResponse acknowledges or rejects a part of an entry.
	MessageEntryPartResponse MessageType = 10
)

// Message is sent from one member to another. Messages may be lost, delayed,
// duplicated and reordered. Fields that a type does not use are zero.
type Message struct {
	Type  MessageType  `cbor:"1,keyasint"`
	Group GroupID      `cbor:"2,keyasint"`
	From  VoterID      `cbor:"3,keyasint"`
	To    VoterID      `cbor:"4,keyasint"`
	Term  anvilid.Term `cbor:"5,keyasint"`

	// Index and LogTerm identify an entry: the candidate's last entry in vote requests (repeated in
	// MessageVoteResponse), the entry before Entries in MessageAppend and before the entry in MessageEntryPart (repeated
	// in the responses), and the entry up to which the snapshot reaches in MessageSnapshot and
	// its response.
	Index   anvilid.Index `cbor:"6,keyasint,omitempty"`
	LogTerm anvilid.Term  `cbor:"7,keyasint,omitempty"`
	Entries []Entry       `cbor:"8,keyasint,omitempty"`
	// Commit is the leader's commit index.
	Commit anvilid.Index `cbor:"9,keyasint,omitempty"`

	// Sent is the leader's clock when it sent the message, and Round is the number of its latest
	// round of read barriers. Responses repeat the highest values received, and only the leader
	// interprets them.
	Sent  anvilclock.Millis `cbor:"10,keyasint,omitempty"`
	Round uint64            `cbor:"11,keyasint,omitempty"`

	// Reject is set in a response that refuses a vote, an append or a snapshot chunk.
	Reject bool `cbor:"12,keyasint,omitempty"`
	// Match is the highest index up to which the sender has synced its log and knows it to
	// equal the leader's log.
	Match anvilid.Index `cbor:"13,keyasint,omitempty"`
	// Hint and HintTerm are set when an append is rejected. They identify the highest entry of
	// the sender that may still match the leader's log.
	Hint     anvilid.Index `cbor:"14,keyasint,omitempty"`
	HintTerm anvilid.Term  `cbor:"15,keyasint,omitempty"`

	// Offset is the position of Chunk in the snapshot or the encoded entry, or in a response the
	// number of bytes received.
	Offset anvilid.ByteCount `cbor:"16,keyasint,omitempty"`
	Chunk  *Chunk            `cbor:"17,keyasint,omitempty"`
}

// fromLeader reports whether only a leader sends messages of this type.
func (m Message) fromLeader() bool {
	return m.Type == MessageAppend || m.Type == MessageSnapshot || m.Type == MessageEntryPart
}

// Chunk is one part of a snapshot or of an encoded entry. Every chunk repeats the fields other
// than Data, which describe the whole; Size is the total size of its data. At and Members are
// those of a snapshot.
type Chunk struct {
	At      anvilclock.Millis `cbor:"1,keyasint"`
	Members Members           `cbor:"2,keyasint"`
	Size    anvilid.ByteCount `cbor:"3,keyasint"`
	Data    []byte            `cbor:"4,keyasint,omitempty"`
}
