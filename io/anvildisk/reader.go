package anvildisk

import (
	"path/filepath"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
)

// reader reads the log entries and the hard state from the segment files when the directory is
// opened.
type reader struct {
	*Storage
	prevIndex anvilid.Index // index of the entry before entries[0]
	prevTerm  anvilid.Term  // term of the entry at prevIndex; 0 if unknown
	entries   []anvilraft.Entry

	validEnd  int    // size of the valid part of the last segment
	tornBytes int    // size of the incomplete frame after the valid part
	lastFrame []byte // the last valid frame of the last segment
	// mayBeUnsynced means that several frames may have been written without a sync, as in the first write to a
	// directory. lastFrame contains all of them.
	mayBeUnsynced bool
}

func (r *reader) last() anvilid.Index { return r.prevIndex + anvilid.Index(len(r.entries)) }

func (r *reader) lastTerm() anvilid.Term {
	if len(r.entries) == 0 {
		return r.prevTerm
	}
	return r.entries[len(r.entries)-1].Term
}

func (r *reader) readSegment(sequence uint64, isLast bool) error {
	name := segmentName(sequence)
	data, err := r.files.Read(filepath.Join(r.dir, name))
	if err != nil {
		return err
	}
	offset, err := r.readFirstFrame(name, data, sequence)
	if err != nil {
		return err
	}
	r.segments = append(r.segments, segment{sequence: sequence})
	r.lastFrame = data[:offset]
	s := fileSeed(r.id, name)
	for offset < len(data) {
		f, state := readFrame(data, s, offset)
		if state != frameComplete {
			if !isLast || !isTornTail(data, s, offset, f, state) {
				return r.damaged(name, offset, "a frame fails its checksum")
			}
			r.tornBytes = len(data) - offset
			break
		}
		if f.kind != frameBatch {
			return r.damaged(name, offset, "unexpected kind of frame")
		}
		if err := r.readBatch(name, offset, f.payload); err != nil {
			return err
		}
		r.lastFrame = data[offset:f.end]
		offset = f.end
	}
	if r.mayBeUnsynced {
		r.lastFrame = data[:offset]
	}
	r.validEnd = offset
	return nil
}

// readFirstFrame reads the segment header, which is the first frame of a segment, and returns
// the offset of the next frame.
func (r *reader) readFirstFrame(name string, data []byte, sequence uint64) (int, error) {
	f, state := readFrame(data, fileSeed("", name), 0)
	if state != frameComplete || f.kind != frameSegment {
		return 0, r.damaged(name, 0, "the segment header fails its checksum")
	}
	header, ok := decodeSegmentHeader(f.payload)
	if ok && header.version != formatVersion {
		return 0, r.unsupported(name, header.version)
	}
	if !ok || header.sequence != sequence {
		return 0, r.damaged(name, 0, "the segment header is malformed")
	}
	if len(r.segments) == 0 {
		r.id = header.storage
		r.prevIndex, r.prevTerm = header.prevIndex, header.prevTerm
	} else {
		if header.storage != r.id {
			return 0, r.damaged(name, 0, "the segment belongs to another data directory")
		}
		if r.segments[len(r.segments)-1].sequence+1 != sequence {
			return 0, r.damaged(name, 0, "the previous segment is missing")
		}
		if header.reset {
			r.prevIndex, r.prevTerm, r.entries = header.prevIndex, header.prevTerm, nil
			for i := range r.segments {
				r.segments[i].maxIndex = 0
			}
		} else if header.prevIndex != r.last() || header.prevTerm != r.lastTerm() {
			return 0, r.damaged(name, 0, "the segment does not continue the previous one")
		}
	}
	r.hardState = header.hardState
	return f.end, nil
}

func (r *reader) readBatch(name string, offset int, payload []byte) error {
	d := decoder{data: payload}
	for len(d.data) > 0 && !d.malformed {
		switch d.byte() {
		case recordHardState:
			r.hardState = d.hardState()
		case recordMembersAt:
			r.hardState.MembersAt = anvilid.Index(d.uvarint())
		case recordTruncate:
			r.truncate(anvilid.Index(d.uvarint()))
		case recordEntry:
			entry := d.entry()
			if d.malformed || entry.Index == 0 || entry.Index > r.last()+1 {
				return r.damaged(name, offset, "an entry does not follow the previous one")
			}
			r.addEntry(entry)
		default:
			d.malformed = true
		}
	}
	if d.malformed {
		return r.damaged(name, offset, "a record in the frame is malformed")
	}
	return nil
}

func (r *reader) truncate(from anvilid.Index) {
	switch {
	case from == 0 || from > r.last():
	case from <= r.prevIndex:
		// The segments with the entries before from have been removed, so the term of the last
		// of these entries is unknown.
		r.prevIndex, r.prevTerm, r.entries = from-1, 0, nil
	default:
		r.entries = r.entries[:from-r.prevIndex-1]
	}
}

func (r *reader) addEntry(entry anvilraft.Entry) {
	r.truncate(entry.Index)
	r.entries = append(r.entries, entry)
	current := &r.segments[len(r.segments)-1]
	current.maxIndex = max(current.maxIndex, entry.Index)
}
