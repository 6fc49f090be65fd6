package anvildisk

import (
	"crypto/rand"
	"encoding/hex"
	"path/filepath"
	"strconv"
	"strings"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"

	"github.com/rotisserie/eris"
)

// Restored is what Open found. Entries follow the snapshot without a gap.
type Restored struct {
	anvilraft.PersistentState
	// Created tells that the directory was empty. The storage id is new then.
	Created bool
	// Truncated is the size of the incomplete last write that was removed.
	Truncated anvilid.ByteCount
}

// Open locks a data directory, creates it if it is empty, and returns its
// content. It returns an error that wraps ErrLocked, ErrFormat, ErrDamaged or
// ErrFailed.
func Open(dir string, opts ...Option) (*Storage, Restored, error) {
	s := &Storage{dir: dir, files: OSFiles(), segmentBytes: defaultSegmentBytes}
	for _, opt := range opts {
		opt(s)
	}
	restored, err := s.open()
	if err != nil {
		_ = s.Close() // the first error is the one to report
		if !isContentError(err) {
			err = s.fail(err)
		}
		return nil, Restored{}, err
	}
	return s, restored, nil
}

func isContentError(err error) bool {
	return eris.Is(err, ErrLocked) || eris.Is(err, ErrFormat) || eris.Is(err, ErrDamaged)
}

func randomID() (anvilraft.StorageID, error) {
	var id [16]byte
	_, err := rand.Read(id[:])
	return anvilraft.StorageID(hex.EncodeToString(id[:])), err
}

func (s *Storage) open() (Restored, error) {
	if err := s.files.MakeDir(s.dir); err != nil {
		return Restored{}, err
	}
	release, err := s.files.Lock(filepath.Join(s.dir, lockName))
	if err != nil {
		return Restored{}, err
	}
	s.release = release
	// Files that a former process renamed may not be synced yet.
	for _, dir := range []string{s.dir, filepath.Dir(s.dir)} {
		if err := s.files.SyncDir(dir); err != nil {
			return Restored{}, err
		}
	}
	found, err := s.list()
	if err != nil {
		return Restored{}, err
	}
	if found.empty() {
		return s.create()
	}
	return s.restore(found)
}

// listing holds the names of the files in the directory.
type listing struct {
	segments  []uint64
	snapshots []anvilid.Index
}

func (l listing) empty() bool { return len(l.segments) == 0 && len(l.snapshots) == 0 }

// list reads the directory and removes files that were never completed.
func (s *Storage) list() (listing, error) {
	names, err := s.files.List(s.dir)
	if err != nil {
		return listing{}, err
	}
	var found listing
	for _, name := range names {
		segment, isSegment := numberOf(name, segmentPrefix)
		snapshot, isSnapshot := numberOf(name, snapshotPrefix)
		switch {
		case name == lockName:
		case isTmp(name):
			if err := s.files.Remove(filepath.Join(s.dir, name)); err != nil {
				return listing{}, err
			}
		case isSegment:
			found.segments = append(found.segments, segment)
		case isSnapshot:
			found.snapshots = append(found.snapshots, anvilid.Index(snapshot))
		default:
			return listing{}, s.damaged(name, 0, "the file does not belong here, move it away")
		}
	}
	return found, nil
}

func numberOf(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}

func (s *Storage) damaged(name string, offset int, why string) error {
	return eris.Wrapf(ErrDamaged, "%s at offset %d: %s", filepath.Join(s.dir, name), offset, why)
}

func (s *Storage) unsupported(name string, version uint32) error {
	return eris.Wrapf(ErrFormat, "%s has version %d, this program reads version %d: use the program that wrote it",
		filepath.Join(s.dir, name), version, formatVersion)
}

func (s *Storage) create() (Restored, error) {
	s.id, s.shape = s.newID, newShape(0, 0)
	if s.id == "" {
		id, err := randomID()
		if err != nil {
			return Restored{}, err
		}
		s.id = id
	}
	if err := s.startSegment(false); err != nil {
		return Restored{}, err
	}
	return Restored{PersistentState: anvilraft.PersistentState{Storage: s.id}, Created: true}, nil
}

func (s *Storage) restore(found listing) (Restored, error) {
	if len(found.segments) == 0 {
		return Restored{}, s.damaged(snapshotName(found.snapshots[0]), 0, "the segments are missing")
	}
	r := reader{Storage: s}
	for i, sequence := range found.segments {
		if err := r.readSegment(sequence, i == len(found.segments)-1); err != nil {
			return Restored{}, err
		}
	}
	snap, err := s.readLatest(found.snapshots)
	if err != nil {
		return Restored{}, err
	}
	entries, err := s.join(snap, &r)
	if err != nil {
		return Restored{}, err
	}
	if err := s.repairTail(&r); err != nil {
		return Restored{}, err
	}
	if snap.Index > 0 && !s.shape.matches(snap.Index, snap.Term) {
		// The process died between the snapshot and the segment that follows it.
		if err := s.startAfter(snap.Index, snap.Term); err != nil {
			return Restored{}, err
		}
	}
	for _, index := range found.snapshots {
		if index != s.snapshot {
			if err := s.remove(snapshotName(index)); err != nil {
				return Restored{}, err
			}
		}
	}
	if err := s.prune(); err != nil {
		return Restored{}, err
	}
	return Restored{
		PersistentState: anvilraft.PersistentState{Storage: s.id, Hard: s.hard, Snapshot: snap, Entries: entries},
		Truncated:       anvilid.ByteCount(r.cut),
	}, nil
}

func (s *Storage) readLatest(indexes []anvilid.Index) (anvilraft.Snapshot, error) {
	if len(indexes) == 0 {
		return anvilraft.Snapshot{}, nil
	}
	s.snapshot = indexes[len(indexes)-1]
	name := snapshotName(s.snapshot)
	data, err := s.files.Read(filepath.Join(s.dir, name))
	if err != nil {
		return anvilraft.Snapshot{}, err
	}
	f, state := readFrame(data, fileSeed(s.id, name), 0)
	if state != frameComplete || f.kind != frameSnapshot || f.end != len(data) {
		return anvilraft.Snapshot{}, s.damaged(name, 0, "the snapshot fails its checksum")
	}
	snap, ok := readSnapshot(f.payload)
	if !ok || snap.Index != s.snapshot {
		return anvilraft.Snapshot{}, s.damaged(name, 0, "the snapshot is malformed")
	}
	return snap, nil
}

// repairTail cuts an incomplete last write and makes the last segment the one
// that is written. The last frame is written once more: a process that died
// after a failed sync may have left it in the page cache only, marked clean.
func (s *Storage) repairTail(r *reader) error {
	name := segmentName(s.segments[len(s.segments)-1].sequence)
	file, err := s.files.Open(filepath.Join(s.dir, name))
	if err != nil {
		return err
	}
	s.file, s.seed, s.size = file, fileSeed(s.id, name), r.end
	if r.cut > 0 {
		if err := file.Truncate(int64(r.end)); err != nil {
			return err
		}
	}
	if err := writeAll(file, r.lastFrame, r.end-len(r.lastFrame)); err != nil {
		return err
	}
	return file.Sync()
}

// join returns the entries that follow the snapshot. There are none if the
// log doesn't have the last entry of the snapshot.
func (s *Storage) join(snap anvilraft.Snapshot, r *reader) ([]anvilraft.Entry, error) {
	s.shape = newShape(r.base, r.baseTerm)
	for i := range r.entries {
		s.shape.append(r.entries[i].Index, r.entries[i].Term)
	}
	first := segmentName(s.segments[0].sequence)
	switch {
	case snap.Index == 0 && r.base == 0:
		return r.entries, nil
	case snap.Index < r.base:
		return nil, s.damaged(first, 0, "the entries or the snapshot before this segment are missing")
	case s.shape.matches(snap.Index, snap.Term):
		return r.entries[snap.Index-r.base:], nil
	case snap.Index == r.base:
		return nil, s.damaged(first, 0, "the segment does not continue the snapshot")
	}
	return nil, nil
}
