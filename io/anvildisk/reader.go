package anvildisk

import (
	"path/filepath"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
)

// reader replays the segments.
type reader struct {
	*Storage
	base     anvilid.Index // the entry before entries[0]
	baseTerm anvilid.Term  // 0 if it isn't known
	entries  []anvilraft.Entry

	end       int    // size of the good part of the last segment
	cut       int    // size of the torn tail behind it
	lastFrame []byte // the last good frame of the last segment
}

func (r *reader) last() anvilid.Index { return r.base + anvilid.Index(len(r.entries)) }

func (r *reader) lastTerm() anvilid.Term {
	if len(r.entries) == 0 {
		return r.baseTerm
	}
	return r.entries[len(r.entries)-1].Term
}

func (r *reader) readSegment(sequence uint64, isLast bool) error {
	name := segmentName(sequence)
	data, err := r.files.Read(filepath.Join(r.dir, name))
	if err != nil {
		return err
	}
	offset, err := r.readHead(name, data, sequence)
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
				return r.damaged(name, offset, "a record fails its checksum")
			}
			r.cut = len(data) - offset
			break
		}
		if f.kind != frameBatch {
			return r.damaged(name, offset, "unexpected kind of record")
		}
		if err := r.readBatch(name, offset, f.payload); err != nil {
			return err
		}
		r.lastFrame = data[offset:f.end]
		offset = f.end
	}
	r.end = offset
	return nil
}

// readHead reads the first frame of a segment and returns its end.
func (r *reader) readHead(name string, data []byte, sequence uint64) (int, error) {
	f, state := readFrame(data, fileSeed("", name), 0)
	if state != frameComplete || f.kind != frameSegment {
		return 0, r.damaged(name, 0, "the first record fails its checksum")
	}
	head, ok := readHead(f.payload)
	if ok && head.version != formatVersion {
		return 0, r.unsupported(name, head.version)
	}
	if !ok || head.sequence != sequence {
		return 0, r.damaged(name, 0, "the first record is malformed")
	}
	if len(r.segments) == 0 {
		r.id = head.storage
		r.base, r.baseTerm = head.last, head.lastTerm
	} else {
		if head.storage != r.id {
			return 0, r.damaged(name, 0, "the segment belongs to another data directory")
		}
		if r.segments[len(r.segments)-1].sequence+1 != sequence {
			return 0, r.damaged(name, 0, "the segment before it is missing")
		}
		if head.reset {
			r.base, r.baseTerm, r.entries = head.last, head.lastTerm, nil
			for i := range r.segments {
				r.segments[i].highest = 0
			}
		} else if head.last != r.last() || head.lastTerm != r.lastTerm() {
			return 0, r.damaged(name, 0, "the segment does not continue the one before it")
		}
	}
	r.hard = head.hard
	return f.end, nil
}

func (r *reader) readBatch(name string, offset int, payload []byte) error {
	d := decoder{data: payload}
	for len(d.data) > 0 && !d.bad {
		switch d.byte() {
		case recordHard:
			r.hard = d.hard()
		case recordTruncate:
			r.truncate(anvilid.Index(d.uvarint()))
		case recordEntry:
			entry := d.entry()
			if d.bad || entry.Index == 0 || entry.Index > r.last()+1 {
				return r.damaged(name, offset, "an entry does not follow the one before it")
			}
			r.addEntry(entry)
		default:
			d.bad = true
		}
	}
	if d.bad {
		return r.damaged(name, offset, "the record is malformed")
	}
	return nil
}

func (r *reader) truncate(from anvilid.Index) {
	switch {
	case from == 0 || from > r.last():
	case from <= r.base:
		// The segments with the entries before it have been removed.
		r.base, r.baseTerm, r.entries = from-1, 0, nil
	default:
		r.entries = r.entries[:from-r.base-1]
	}
}

func (r *reader) addEntry(entry anvilraft.Entry) {
	r.truncate(entry.Index)
	r.entries = append(r.entries, entry)
	active := &r.segments[len(r.segments)-1]
	active.highest = max(active.highest, entry.Index)
}
