package anvildisk

import (
	"encoding/binary"
	"encoding/hex"

	"anvilshunt/core/anvilid"
)

// StorageID identifies one data directory. It is chosen at random when the
// directory is created, so that a directory that was lost and created again
// is never taken for the former one.
type StorageID [16]byte

// String returns the id in hexadecimal.
func (id StorageID) String() string { return hex.EncodeToString(id[:]) }

// HardState is what a voter must remember about elections.
type HardState struct {
	Term anvilid.Term
	Vote anvilid.InstanceID
}

// Entry is one entry of the replicated log. The storage doesn't interpret
// Kind and Data.
type Entry struct {
	Index anvilid.Index
	Term  anvilid.Term
	Kind  uint8
	Data  []byte
}

// Snapshot replaces the entries up to Index. The storage doesn't interpret
// Meta and Data.
type Snapshot struct {
	Index anvilid.Index
	Term  anvilid.Term
	Meta  []byte
	Data  []byte
}

// Batch is what one Save writes. Entries replace all earlier entries from
// the index of the first one on. A snapshot that doesn't match an entry of the
// log replaces the whole log.
type Batch struct {
	Hard     *HardState
	Snapshot *Snapshot
	Entries  []Entry
}

const (
	recordHard  byte = 1
	recordEntry byte = 2
)

func appendHard(b []byte, hard HardState) []byte {
	b = append(b, recordHard)
	b = binary.AppendUvarint(b, uint64(hard.Term))
	return appendBytes(b, []byte(hard.Vote))
}

func appendEntry(b []byte, entry *Entry) []byte {
	b = append(b, recordEntry)
	b = binary.AppendUvarint(b, uint64(entry.Index))
	b = binary.AppendUvarint(b, uint64(entry.Term))
	b = append(b, entry.Kind)
	return appendBytes(b, entry.Data)
}

func appendBytes(b, data []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

// segmentHead is the payload of the first frame of a segment. It repeats what
// a reader needs when the earlier segments have been removed.
type segmentHead struct {
	version  uint32
	id       StorageID
	sequence uint64
	hard     HardState
	// last and lastTerm describe the entry before the first of the segment.
	last     anvilid.Index
	lastTerm anvilid.Term
	// reset tells that the entries of earlier segments are void.
	reset bool
}

func (h *segmentHead) append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, h.version)
	b = append(b, h.id[:]...)
	b = binary.AppendUvarint(b, h.sequence)
	b = binary.AppendUvarint(b, uint64(h.hard.Term))
	b = appendBytes(b, []byte(h.hard.Vote))
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
	copy(h.id[:], d.take(uint64(len(h.id))))
	h.sequence = d.uvarint()
	h.hard = HardState{Term: anvilid.Term(d.uvarint()), Vote: anvilid.InstanceID(d.bytes())}
	h.last, h.lastTerm = anvilid.Index(d.uvarint()), anvilid.Term(d.uvarint())
	h.reset = d.byte() == 1
	return h, d.finished()
}

func (s *Snapshot) append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(s.Index))
	b = binary.AppendUvarint(b, uint64(s.Term))
	b = appendBytes(b, s.Meta)
	return appendBytes(b, s.Data)
}

func readSnapshot(payload []byte) (*Snapshot, bool) {
	d := decoder{data: payload}
	s := &Snapshot{Index: anvilid.Index(d.uvarint()), Term: anvilid.Term(d.uvarint())}
	s.Meta, s.Data = d.bytes(), d.bytes()
	return s, d.finished()
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

func (d *decoder) bytes() []byte { return d.take(d.uvarint()) }
