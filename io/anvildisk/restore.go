package anvildisk

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"

	"github.com/rotisserie/eris"
)

// Restored is the state that Open read from the directory. Its entries start directly after the
// last entry that the snapshot covers.
type Restored struct {
	anvilraft.PersistentState
	// Created reports whether the directory was empty and got a new storage id.
	Created bool
	// Truncated is the size of an incomplete last write that Open removed, 0 if there was none.
	Truncated anvilid.ByteCount
	Age       Age
}

// Age tells how long before Open a directory was created, and its log last written, or -1 if it has none. Both are by the wall clock and
// the times of its files, so that they are only logged.
type Age struct{ Created, Written anvilclock.Millis }

// Open locks a data directory, initializes it if it is empty, and returns its content. Errors
// wrap ErrLocked, ErrFormat, ErrDamaged or ErrFailed.
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

// Clear removes the content of a data directory that isn't open. It syncs the removal, so that a power failure doesn't bring the
// former storage back after the new one was announced.
func Clear(dir string, opts ...Option) error {
	s := &Storage{dir: dir, files: OSFiles()}
	for _, opt := range opts {
		opt(s)
	}
	names, err := s.files.List(dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := os.RemoveAll(filepath.Join(dir, name)); err != nil { // an unknown file may be a directory
			return err
		}
	}
	return s.files.SyncDir(dir)
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
	s.releaseLock = release
	found, err := s.listFiles()
	if err != nil {
		return Restored{}, err
	}
	age, err := s.age(found)
	if err != nil {
		return Restored{}, err
	}
	restored, err := s.read(found)
	restored.Age = age
	return restored, err
}

// age returns the age of the directory, whose lock file was created with it. It must be called before anything is repaired.
func (s *Storage) age(found fileListing) (Age, error) {
	now := anvilclock.Wall().Now()
	locked, err := s.files.ModTime(filepath.Join(s.dir, lockName))
	age := Age{Created: max(0, now-locked), Written: -1}
	found.created = false // a start may have written the mark
	for _, name := range found.leftovers() {
		written, modifiedErr := s.files.ModTime(filepath.Join(s.dir, name))
		err = errors.Join(err, modifiedErr)
		if idle := max(0, now-written); age.Written < 0 || idle < age.Written {
			age.Written = idle
		}
	}
	return age, err
}

// read returns the content of the directory, which it initializes if it is empty.
func (s *Storage) read(found fileListing) (Restored, error) {
	if found.empty() {
		return s.create(found)
	}
	if found.mayBeInterrupted() {
		complete, err := s.isComplete(found)
		if err != nil {
			return Restored{}, err
		}
		if !complete {
			return s.create(found)
		}
	}
	return s.restore(found)
}

// isComplete reports whether the first write to a directory has stored all that the rest is read with: the header of the first
// segment, and the snapshot if the segment begins after one.
func (s *Storage) isComplete(found fileListing) (bool, error) {
	if len(found.segments) == 0 {
		return false, nil
	}
	name := segmentName(1)
	data, err := s.files.Read(filepath.Join(s.dir, name))
	if err != nil {
		return false, err
	}
	f, state := readFrame(data, fileSeed("", name), 0)
	if state != frameComplete || f.kind != frameSegment {
		return false, nil
	}
	header, ok := decodeSegmentHeader(f.payload)
	if !ok || header.version != formatVersion || header.prevIndex == 0 {
		return true, nil // restore reports what can't be read
	}
	if len(found.snapshots) == 0 {
		return false, nil
	}
	name = snapshotName(found.snapshots[0])
	data, err = s.files.Read(filepath.Join(s.dir, name))
	f, state = readFrame(data, fileSeed(header.storage, name), 0)
	return state == frameComplete && f.kind == frameSnapshot && f.end == len(data), err
}

// fileListing contains the numbers in the names of the files of the directory: N of each file
// "segment-N" and INDEX of each file "snapshot-INDEX".
type fileListing struct {
	segments  []uint64
	snapshots []anvilid.Index
	created   bool // there is a mark that the first segment was stored
}

// mayBeInterrupted reports whether the last process may have died while it created the directory.
func (l fileListing) mayBeInterrupted() bool {
	return !l.created && len(l.snapshots) <= 1 && (len(l.segments) == 0 || len(l.segments) == 1 && l.segments[0] == 1)
}

// leftovers returns the files that are in the way of a new first segment.
func (l fileListing) leftovers() (names []string) {
	if l.created {
		names = append(names, createdName)
	}
	for _, sequence := range l.segments {
		names = append(names, segmentName(sequence))
	}
	for _, index := range l.snapshots {
		names = append(names, snapshotName(index))
	}
	return names
}

func (l fileListing) empty() bool { return len(l.segments) == 0 && len(l.snapshots) == 0 }

// listFiles reads the directory and removes the temporary files of interrupted writes.
func (s *Storage) listFiles() (fileListing, error) {
	names, err := s.files.List(s.dir)
	if err != nil {
		return fileListing{}, err
	}
	var found fileListing
	for _, name := range names {
		segment, isSegment := parseFileNumber(name, segmentPrefix)
		snapshot, isSnapshot := parseFileNumber(name, snapshotPrefix)
		switch {
		case name == lockName:
		case name == createdName:
			found.created = true
		case isTmp(name):
			if err := s.files.Remove(filepath.Join(s.dir, name)); err != nil {
				return fileListing{}, err
			}
		case isSegment:
			found.segments = append(found.segments, segment)
		case isSnapshot:
			found.snapshots = append(found.snapshots, anvilid.Index(snapshot))
		default:
			return fileListing{}, s.damaged(name, 0, "unknown file in the data directory, move it elsewhere")
		}
	}
	return found, nil
}

func parseFileNumber(name, prefix string) (uint64, bool) {
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

// create initializes a directory without content, or in which the first segment was stored only in part.
func (s *Storage) create(found fileListing) (Restored, error) {
	s.id, s.terms = s.newID, newTermTable(0, 0)
	if s.id == "" {
		id, err := randomID()
		if err != nil {
			return Restored{}, err
		}
		s.id = id
	}
	for _, name := range found.leftovers() {
		if err := s.files.Remove(filepath.Join(s.dir, name)); err != nil {
			return Restored{}, err
		}
	}
	s.prepareFirst()
	restored := Restored{PersistentState: anvilraft.PersistentState{Storage: s.id}, Created: true}
	if s.deferred {
		return restored, nil
	}
	return restored, s.ensureCreated()
}

func (s *Storage) restore(found fileListing) (Restored, error) {
	if len(found.segments) == 0 {
		return Restored{}, s.damaged(snapshotName(found.snapshots[0]), 0, "all segment files are missing")
	}
	r := reader{Storage: s, mayBeUnsynced: found.mayBeInterrupted()}
	for i, sequence := range found.segments {
		if err := r.readSegment(sequence, i == len(found.segments)-1); err != nil {
			return Restored{}, err
		}
	}
	snap, err := s.readLatestSnapshot(found.snapshots)
	if err != nil {
		return Restored{}, err
	}
	entries, err := s.entriesAfterSnapshot(snap, &r)
	if err != nil {
		return Restored{}, err
	}
	if err := s.repairTail(&r); err != nil {
		return Restored{}, err
	}
	if r.mayBeUnsynced {
		if err := s.markCreated(); err != nil {
			return Restored{}, err
		}
	}
	if snap.Index > 0 && !s.terms.matches(snap.Index, snap.Term) {
		// The process died after it wrote the snapshot and before it started the next segment.
		s.terms.startAfterSnapshot(snap.Index, snap.Term)
		if err := s.discardEntries(); err != nil {
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
	if err := s.removeObsoleteSegments(); err != nil {
		return Restored{}, err
	}
	return Restored{
		PersistentState: anvilraft.PersistentState{Storage: s.id, Hard: s.hardState, Snapshot: snap, Entries: entries},
		Truncated:       anvilid.ByteCount(r.tornBytes),
	}, nil
}

func (s *Storage) readLatestSnapshot(indexes []anvilid.Index) (anvilraft.Snapshot, error) {
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
	snap, ok := decodeSnapshot(f.payload)
	if !ok || snap.Index != s.snapshot {
		return anvilraft.Snapshot{}, s.damaged(name, 0, "the snapshot is malformed")
	}
	return snap, nil
}

// repairTail removes an incomplete last write and opens the last segment for writing. It writes
// the last frame again (reader.mayBeUnsynced: all frames): after a failed sync, a process that died may have left that frame only in
// the page cache, marked clean, so that a later sync would not write it to disk. It syncs the directories
// too, because a process may have died after it renamed a file and before it synced the directory.
func (s *Storage) repairTail(r *reader) error {
	name := segmentName(s.segments[len(s.segments)-1].sequence)
	file, err := s.files.Open(filepath.Join(s.dir, name))
	if err != nil {
		return err
	}
	s.file, s.seed, s.size = file, fileSeed(s.id, name), r.validEnd
	if r.tornBytes > 0 {
		if err := file.Truncate(int64(r.validEnd)); err != nil {
			return err
		}
	}
	if err := writeAll(file, r.lastFrame, r.validEnd-len(r.lastFrame)); err != nil {
		return err
	}
	syncs := []func() error{file.Sync, func() error { return s.files.SyncDir(s.dir) }, s.syncParent}
	if r.mayBeUnsynced && s.snapshot > 0 {
		snapshot, err := s.rewriteSnapshot()
		if err != nil {
			return err
		}
		defer func() { _ = snapshot.Close() }() // it is synced
		syncs = append(syncs, snapshot.Sync)
	}
	return concurrently(syncs...)
}

// rewriteSnapshot writes the snapshot again, with the same content, and returns the open file.
func (s *Storage) rewriteSnapshot() (*File, error) {
	name := snapshotName(s.snapshot)
	content, err := s.files.Read(filepath.Join(s.dir, name))
	if err != nil {
		return nil, err
	}
	return s.write(name, content, s.files.Open)
}

func (s *Storage) syncParent() error { return s.files.SyncDir(filepath.Dir(s.dir)) }

// concurrently makes several calls at the same time and returns their errors. On a slow disk each sync takes up
// to seconds, and a voter takes part in no election before its data directory is open.
func concurrently(calls ...func() error) error {
	errs := make([]error, len(calls))
	var group sync.WaitGroup
	for i, call := range calls {
		group.Go(func() { errs[i] = call() })
	}
	group.Wait()
	return errors.Join(errs...)
}

// entriesAfterSnapshot returns the entries that follow the snapshot. There are none if the log
// doesn't contain the last entry that the snapshot covers.
func (s *Storage) entriesAfterSnapshot(snap anvilraft.Snapshot, r *reader) ([]anvilraft.Entry, error) {
	s.terms = newTermTable(r.prevIndex, r.prevTerm)
	for i := range r.entries {
		s.terms.append(r.entries[i].Index, r.entries[i].Term)
	}
	first := segmentName(s.segments[0].sequence)
	switch {
	case snap.Index == 0 && r.prevIndex == 0:
		return r.entries, nil
	case snap.Index < r.prevIndex:
		return nil, s.damaged(first, 0, "the entries or the snapshot before this segment are missing")
	case s.terms.matches(snap.Index, snap.Term):
		return r.entries[snap.Index-r.prevIndex:], nil
	case snap.Index == r.prevIndex:
		return nil, s.damaged(first, 0, "the segment does not continue the snapshot")
	}
	return nil, nil
}
