package anvildisk

import (
	"encoding/binary"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"

	"github.com/fxamacker/cbor/v2"
)

// Kinds of records in a frame of the kind frameBatch.
const (
	recordHardState byte = 1
	recordEntry     byte = 2
	recordTruncate  byte = 3 // removes the entries from an index to the end of the log
	recordMembersAt byte = 4 // follows a record of the hard state whose MembersAt isn't zero
)

func appendHardState(b []byte, hardState anvilraft.HardState) []byte {
	b = binary.AppendUvarint(b, uint64(hardState.Group))
	b = binary.AppendUvarint(b, uint64(hardState.Term))
	b = appendBytes(b, []byte(hardState.Vote.Instance))
	return appendBytes(b, []byte(hardState.Vote.Storage))
}

func (d *decoder) hardState() anvilraft.HardState {
	return anvilraft.HardState{
		Group: anvilraft.GroupID(d.uvarint()),
		Term:  anvilid.Term(d.uvarint()),
		Vote: anvilraft.VoterID{
			Instance: anvilid.InstanceID(d.bytes()),
			Storage:  anvilraft.StorageID(d.bytes()),
		},
	}
}

func appendEntry(b []byte, entry *anvilraft.Entry) []byte {
	b = binary.AppendUvarint(b, uint64(entry.Index))
	b = binary.AppendUvarint(b, uint64(entry.Term))
	b = binary.AppendVarint(b, int64(entry.At))
	b = append(b, byte(entry.Kind))
	return appendBytes(b, entry.Data)
}

func (d *decoder) entry() anvilraft.Entry {
	return anvilraft.Entry{
		Index: anvilid.Index(d.uvarint()),
		Term:  anvilid.Term(d.uvarint()),
		At:    anvilclock.Millis(d.varint()),
		Kind:  anvilraft.EntryKind(d.byte()),
		Data:  d.bytes(),
	}
}

func appendBytes(b, data []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

// segmentHeader is the payload of the first frame of a segment. It repeats the hard state, and the
// index and term of the last entry before the segment, because the segments that contain them may
// have been removed.
type segmentHeader struct {
	version   uint32
	storage   anvilraft.StorageID
	sequence  uint64
	hardState anvilraft.HardState
	// prevIndex and prevTerm are the index and the term of the last entry before the segment.
	prevIndex anvilid.Index
	prevTerm  anvilid.Term
	// reset tells the reader to discard the entries of all earlier segments.
	reset bool
}

func (h *segmentHeader) append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, h.version)
	b = appendBytes(b, []byte(h.storage))
	b = binary.AppendUvarint(b, h.sequence)
	b = appendHardState(b, h.hardState)
	b = binary.AppendUvarint(b, uint64(h.prevIndex))
	b = binary.AppendUvarint(b, uint64(h.prevTerm))
	reset := byte(0)
	if h.reset {
		reset = 1
	}
	return binary.AppendUvarint(append(b, reset), uint64(h.hardState.MembersAt))
}

func decodeSegmentHeader(payload []byte) (segmentHeader, bool) {
	d := decoder{data: payload}
	h := segmentHeader{version: d.uint32()}
	if h.version != formatVersion {
		return h, !d.malformed
	}
	h.storage = anvilraft.StorageID(d.bytes())
	h.sequence = d.uvarint()
	h.hardState = d.hardState()
	h.prevIndex, h.prevTerm = anvilid.Index(d.uvarint()), anvilid.Term(d.uvarint())
	h.reset = d.byte() == 1
	if len(d.data) > 0 { // absent in segments that were written before MembersAt was stored
		h.hardState.MembersAt = anvilid.Index(d.uvarint())
	}
	return h, d.finished()
}

func appendSnapshot(b []byte, snap *anvilraft.Snapshot) ([]byte, error) {
	members, err := cbor.Marshal(snap.Members)
	if err != nil {
		return nil, err
	}
	b = binary.AppendUvarint(b, uint64(snap.Index))
	b = binary.AppendUvarint(b, uint64(snap.Term))
	b = binary.AppendVarint(b, int64(snap.At))
	b = appendBytes(b, members)
	return appendBytes(b, snap.Data), nil
}

func decodeSnapshot(payload []byte) (anvilraft.Snapshot, bool) {
	d := decoder{data: payload}
	snap := anvilraft.Snapshot{
		Index: anvilid.Index(d.uvarint()),
		Term:  anvilid.Term(d.uvarint()),
		At:    anvilclock.Millis(d.varint()),
	}
	err := cbor.Unmarshal(d.bytes(), &snap.Members)
	snap.Data = d.bytes()
	return snap, err == nil && d.finished()
}

// decoder reads the fields of a payload. If a field is missing or invalid, malformed is set and
// all further fields are zero.
type decoder struct {
	data      []byte
	malformed bool
}

func (d *decoder) finished() bool { return !d.malformed && len(d.data) == 0 }

func (d *decoder) take(n uint64) []byte {
	if d.malformed || n > uint64(len(d.data)) {
		d.malformed = true
		return nil
	}
	field := d.data[:n:n]
	d.data = d.data[n:]
	return field
}

func (d *decoder) byte() byte {
	if field := d.take(1); len(field) == 1 {
		return field[0]
	}
	return 0
}

func (d *decoder) uint32() uint32 {
	if field := d.take(4); len(field) == 4 {
		return binary.LittleEndian.Uint32(field)
	}
	return 0
}

func (d *decoder) uvarint() uint64 {
	value, n := binary.Uvarint(d.data)
	if d.malformed || n <= 0 {
		d.malformed = true
		return 0
	}
	d.data = d.data[n:]
	return value
}

func (d *decoder) varint() int64 {
	value, n := binary.Varint(d.data)
	if d.malformed || n <= 0 {
		d.malformed = true
		return 0
	}
	d.data = d.data[n:]
	return value
}

func (d *decoder) bytes() []byte { return d.take(d.uvarint()) }
