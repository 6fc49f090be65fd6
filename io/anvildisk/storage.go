// Package anvildisk keeps the hard state, the log and the snapshots of one
// voter in a data directory.
//
// The directory holds segments ("segment-N"), at most one snapshot in regular
// operation ("snapshot-INDEX"), a lock file and, for a moment, files that
// aren't complete yet ("*.tmp"). Segments are append-only sequences of frames
// with checksums.
//
// A Storage belongs to one goroutine.
package anvildisk

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"anvilshunt/core/anvilid"

	"github.com/rotisserie/eris"
)

// Errors of this package.
var (
	// ErrDamaged reports content that a crash can't explain. The voter must
	// not start: remove it from the voters, empty the directory and add it as
	// a new voter.
	ErrDamaged = eris.New("data directory is damaged")
	// ErrFormat reports a directory of another format version.
	ErrFormat = eris.New("data directory has an unsupported format version")
	// ErrLocked reports that another process uses the directory.
	ErrLocked = eris.New("data directory is in use by another process")
	// ErrFailed reports a write or sync that failed. The state of the files
	// isn't known after that, so the storage refuses all further calls.
	ErrFailed = eris.New("data directory failed")
	// ErrInvalid reports a batch that contradicts the stored log. Nothing was
	// written.
	ErrInvalid = eris.New("batch does not fit the stored log")
	// ErrClosed reports the use of a closed storage.
	ErrClosed = eris.New("data directory is closed")
)

const (
	formatVersion = 1

	// defaultSegmentBytes keeps the loss of space by entries that a snapshot
	// has replaced small in relation to a snapshot.
	defaultSegmentBytes = 8 << 20
	// flushBytes bounds the buffer of a Save with very many entries.
	flushBytes = 16 << 20
	// maxContentBytes keeps the length of a frame within 32 bits.
	maxContentBytes = 1 << 30

	segmentPrefix  = "segment-"
	snapshotPrefix = "snapshot-"
	tmpSuffix      = ".tmp"
	lockName       = "lock"
)

func segmentName(sequence uint64) string      { return fmt.Sprintf("%s%020d", segmentPrefix, sequence) }
func snapshotName(index anvilid.Index) string { return fmt.Sprintf("%s%020d", snapshotPrefix, index) }

// segment describes one segment file.
type segment struct {
	sequence uint64
	// highest is the highest index of an entry in the segment.
	highest anvilid.Index
}

// Storage is an open data directory.
type Storage struct {
	dir          string
	files        Files
	newID        func() (StorageID, error)
	segmentBytes int
	release      func() error

	id       StorageID
	hard     HardState
	shape    logShape
	snapshot anvilid.Index // index of the stored snapshot, 0 without one
	segments []segment     // oldest first; the last one is written

	file   *File // the last segment
	seed   seed
	size   int
	buffer []byte
	failed error
}

// Option changes a default of Open.
type Option func(*Storage)

// WithFiles replaces the file-system calls.
func WithFiles(files Files) Option { return func(s *Storage) { s.files = files } }

// WithSegmentBytes sets the size from which on a new segment is started.
func WithSegmentBytes(size int) Option { return func(s *Storage) { s.segmentBytes = size } }

// WithNewID replaces the random choice of the id of a new directory.
func WithNewID(newID func() (StorageID, error)) Option {
	return func(s *Storage) { s.newID = newID }
}

// ID returns the id that was chosen when the directory was created.
func (s *Storage) ID() StorageID { return s.id }

// Save writes batches in order. When it returns nil, all of them survive a
// loss of power. After an error that wraps ErrFailed, any part of the batches
// may be stored, and every later call returns the same error.
func (s *Storage) Save(batches ...Batch) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.check(batches); err != nil {
		return err
	}
	s.buffer = newFrame(s.buffer)
	for i := range batches {
		if err := s.add(&batches[i]); err != nil {
			return s.fail(err)
		}
	}
	if err := s.flush(); err != nil {
		return s.fail(err)
	}
	return nil
}

// check refuses batches that would make the stored log unreadable.
func (s *Storage) check(batches []Batch) error {
	hard, snapshot, shape := s.hard, s.snapshot, s.shape.clone()
	for i := range batches {
		if next := batches[i].Hard; next != nil {
			if next.Term < hard.Term {
				return eris.Wrapf(ErrInvalid, "term %d in %s: want at least %d", next.Term, s.dir, hard.Term)
			}
			hard = *next
		}
		if snap := batches[i].Snapshot; snap != nil {
			if snap.Index <= snapshot {
				return eris.Wrapf(ErrInvalid, "snapshot %d in %s: want an index above %d", snap.Index, s.dir, snapshot)
			}
			if len(snap.Meta)+len(snap.Data) > maxContentBytes {
				return eris.Wrapf(ErrInvalid, "snapshot %d in %s: want at most %d bytes", snap.Index, s.dir, maxContentBytes)
			}
			snapshot = snap.Index
			shape.follow(snap.Index, snap.Term)
		}
		for j := range batches[i].Entries {
			entry := &batches[i].Entries[j]
			if entry.Index <= snapshot || entry.Index > shape.last+1 || (j > 0 && entry.Index != shape.last+1) {
				return eris.Wrapf(ErrInvalid, "entry %d in %s: want an index above %d that follows %d",
					entry.Index, s.dir, snapshot, shape.last)
			}
			if len(entry.Data) > maxContentBytes {
				return eris.Wrapf(ErrInvalid, "entry %d in %s: want at most %d bytes", entry.Index, s.dir, maxContentBytes)
			}
			shape.append(entry.Index, entry.Term)
		}
	}
	return nil
}

// add appends a batch to the buffer, and writes what can't wait for the end
// of the Save.
func (s *Storage) add(batch *Batch) error {
	if batch.Hard != nil && *batch.Hard != s.hard {
		s.hard = *batch.Hard
		s.buffer = appendHard(s.buffer, s.hard)
	}
	if batch.Snapshot != nil {
		// The hard state goes first, so that a restored term is never lower
		// than that of the snapshot.
		if err := s.flush(); err != nil {
			return err
		}
		if err := s.saveSnapshot(batch.Snapshot); err != nil {
			return err
		}
	}
	for i := range batch.Entries {
		entry := &batch.Entries[i]
		s.buffer = appendEntry(s.buffer, entry)
		s.shape.append(entry.Index, entry.Term)
		active := &s.segments[len(s.segments)-1]
		active.highest = max(active.highest, entry.Index)
		if len(s.buffer) >= flushBytes {
			if err := s.flush(); err != nil {
				return err
			}
		}
	}
	return nil
}

// flush writes the buffer as one frame and syncs it.
func (s *Storage) flush() error {
	if len(s.buffer) == frameHeader {
		return nil
	}
	sealFrame(s.buffer, frameBatch, s.seed, s.size)
	if err := writeAll(s.file, s.buffer, s.size); err != nil {
		return err
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	s.size += len(s.buffer)
	s.buffer = newFrame(s.buffer)
	if s.size >= s.segmentBytes {
		return s.startSegment(false)
	}
	return nil
}

// startSegment makes a new segment the one that is written. The file gets its
// name when its first frame is complete, so a segment without a good first
// frame is always damage.
func (s *Storage) startSegment(reset bool) error {
	sequence := uint64(1)
	if len(s.segments) > 0 {
		sequence = s.segments[len(s.segments)-1].sequence + 1
	}
	name := segmentName(sequence)
	head := segmentHead{
		version: formatVersion, id: s.id, sequence: sequence, hard: s.hard,
		last: s.shape.last, lastTerm: s.shape.lastTerm(), reset: reset,
	}
	first := head.append(newFrame(nil))
	sealFrame(first, frameSegment, fileSeed(StorageID{}, name), 0)
	file, err := s.publish(name, first)
	if err != nil {
		return err
	}
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			_ = file.Close() // the first error is the one to report
			return err
		}
	}
	s.file, s.seed, s.size = file, fileSeed(s.id, name), len(first)
	s.segments = append(s.segments, segment{sequence: sequence})
	return nil
}

// publish writes a file under a temporary name and renames it when it is
// complete. Every step is synced. The returned file is open.
func (s *Storage) publish(name string, content []byte) (*File, error) {
	path := filepath.Join(s.dir, name)
	file, err := s.files.Create(path + tmpSuffix)
	if err != nil {
		return nil, err
	}
	err = writeAll(file, content, 0)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = s.files.Rename(path+tmpSuffix, path)
	}
	if err == nil {
		err = s.files.SyncDir(s.dir)
	}
	if err != nil {
		_ = file.Close() // the first error is the one to report
		return nil, err
	}
	return file, nil
}

func (s *Storage) saveSnapshot(snap *Snapshot) error {
	name := snapshotName(snap.Index)
	content := snap.append(newFrame(nil))
	sealFrame(content, frameSnapshot, fileSeed(s.id, name), 0)
	file, err := s.publish(name, content)
	if err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	former := s.snapshot
	s.snapshot = snap.Index
	if err := s.startAfter(snap.Index, snap.Term); err != nil {
		return err
	}
	if former > 0 {
		if err := s.remove(snapshotName(former)); err != nil {
			return err
		}
	}
	return s.prune()
}

// startAfter starts a segment after a snapshot. The log goes on if it has the
// last entry of the snapshot, otherwise it is void.
func (s *Storage) startAfter(index anvilid.Index, term anvilid.Term) error {
	reset := !s.shape.follow(index, term)
	if reset {
		for i := range s.segments {
			s.segments[i].highest = 0
		}
	}
	return s.startSegment(reset)
}

// prune removes the oldest segments while the snapshot covers all of their
// entries. Each removal is synced before the next, so that the sequence of
// the remaining segments has no gap after a loss of power.
func (s *Storage) prune() error {
	for len(s.segments) > 1 && s.segments[0].highest <= s.snapshot {
		if err := s.remove(segmentName(s.segments[0].sequence)); err != nil {
			return err
		}
		s.segments = s.segments[1:]
	}
	return nil
}

func (s *Storage) remove(name string) error {
	if err := s.files.Remove(filepath.Join(s.dir, name)); err != nil {
		return err
	}
	return s.files.SyncDir(s.dir)
}

// fail makes the storage refuse all further calls. A failed sync isn't
// repeated, because the kernel may have dropped the data and report success
// the next time.
func (s *Storage) fail(cause error) error {
	s.failed = eris.Wrapf(fmt.Errorf("%w: %w", ErrFailed, cause), "%s: restart the voter once the disk is repaired", s.dir)
	return s.failed
}

// Close releases the directory. Everything that Save acknowledged is stored
// already.
func (s *Storage) Close() error {
	if errors.Is(s.failed, ErrClosed) {
		return nil
	}
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	if s.release != nil {
		err = errors.Join(err, s.release())
	}
	s.failed = eris.Wrap(ErrClosed, s.dir)
	return err
}

func writeAll(file *File, data []byte, offset int) error {
	n, err := file.WriteAt(data, int64(offset))
	if err == nil && n < len(data) {
		err = io.ErrShortWrite
	}
	return err
}

func isTmp(name string) bool { return strings.HasSuffix(name, tmpSuffix) }
