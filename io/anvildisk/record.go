package anvildisk

import (
	"encoding/binary"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"

	"github.com/fxamacker/cbor/v2"
)

// Kinds of records in a batch.
const (
	recordHard     byte = 1
	recordEntry    byte = 2
	recordTruncate byte = 3 // removes the entries from an index on
)

func appendHard(b []byte, hard anvilraft.HardState) []byte {
	b = binary.AppendUvarint(b, uint64(hard.Group))
	b = binary.AppendUvarint(b, uint64(hard.Term))
	b = appendBytes(b, []byte(hard.Vote.Instance))
	return appendBytes(b, []byte(hard.Vote.Storage))
}

func (d *decoder) hard() anvilraft.HardState {
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

// segmentHead is the payload of the first frame of a segment. It repeats what
// a reader needs when the earlier segments have been removed.
type segmentHead struct {
	version  uint32
	storage  anvilraft.StorageID
	sequence uint64
	hard     anvilraft.HardState
	// last and lastTerm describe the entry before the first of the segment.
	last     anvilid.Index
	lastTerm anvilid.Term
	// reset tells that the entries of earlier segments are void.
	reset bool
}

func (h *segmentHead) append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, h.version)
	b = appendBytes(b, []byte(h.storage))
	b = binary.AppendUvarint(b, h.sequence)
	b = appendHard(b, h.hard)
	b = binary.AppendUvarint(b, uint64(h.last))
	b = binary.AppendUvarint(b, uint64(h.lastTerm))
	if h.reset {
		return append(b, 1)
	}
	return append(b, 0)
}

func readHead(payload []byte) (segmentHead, bool) {
	d := decoder{data: payload}
	h := segmentHead{version: d.uint32()}
	if h.version != formatVersion {
		return h, !d.bad
	}
	h.storage = anvilraft.StorageID(d.bytes())
	h.sequence = d.uvarint()
	h.hard = d.hard()
	h.last, h.lastTerm = anvilid.Index(d.uvarint()), anvilid.Term(d.uvarint())
	h.reset = d.byte() == 1
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

func readSnapshot(payload []byte) (anvilraft.Snapshot, bool) {
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

// decoder reads the fields of a payload. After the first field that isn't
// there, bad is set and every further field is zero.
type decoder struct {
	data []byte
	bad  bool
}

func (d *decoder) finished() bool { return !d.bad && len(d.data) == 0 }

func (d *decoder) take(n uint64) []byte {
	if d.bad || n > uint64(len(d.data)) {
		d.bad = true
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
	if d.bad || n <= 0 {
		d.bad = true
		return 0
	}
	d.data = d.data[n:]
	return value
}

func (d *decoder) varint() int64 {
	value, n := binary.Varint(d.data)
	if d.bad || n <= 0 {
		d.bad = true
		return 0
	}
	d.data = d.data[n:]
	return value
}

func (d *decoder) bytes() []byte { return d.take(d.uvarint()) }
