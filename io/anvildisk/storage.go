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
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"

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

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%020d", segmentPrefix, sequence) }

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
	segmentBytes int
	release      func() error

	newID    anvilraft.StorageID // for a new directory; empty for a random one
	id       anvilraft.StorageID
	hard     anvilraft.HardState
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

// WithNewID sets the storage id of a directory that Open creates. The default
// is a random one. The id must never name another directory of this instance.
func WithNewID(id anvilraft.StorageID) Option { return func(s *Storage) { s.newID = id } }

// ID returns the id that was chosen when the directory was created.
func (s *Storage) ID() anvilraft.StorageID { return s.id }

// Save writes saves in order; anvilraft.PersistentState.Apply defines their meaning.
// When it returns nil, all of them survive a loss of power. After an error
// that wraps ErrFailed, any part of them may be stored, and every later call
// returns the same error.
//
// A snapshot whose last entry isn't in the log makes the whole log void.
func (s *Storage) Save(saves ...anvilraft.Save) error {
	if s.failed != nil {
		return s.failed
	}
	if err := s.check(saves); err != nil {
		return err
	}
	s.buffer = newFrame(s.buffer)
	for i := range saves {
		if err := s.add(&saves[i]); err != nil {
			return s.fail(err)
		}
	}
	if err := s.flush(); err != nil {
		return s.fail(err)
	}
	return nil
}

// check refuses saves that would make the stored log unreadable.
func (s *Storage) check(saves []anvilraft.Save) error {
	hard, snapshot, shape := s.hard, s.snapshot, s.shape.clone()
	for i := range saves {
		save := &saves[i]
		if save.Hard != nil {
			if save.Hard.Term < hard.Term {
				return eris.Wrapf(ErrInvalid, "term %d in %s: want at least %d", save.Hard.Term, s.dir, hard.Term)
			}
			hard = *save.Hard
		}
		if snap := save.Snapshot; snap != nil {
			if snap.Index <= snapshot || len(snap.Data) > maxContentBytes {
				return eris.Wrapf(ErrInvalid, "snapshot %d of %d bytes in %s: want an index above %d and at most %d bytes",
					snap.Index, len(snap.Data), s.dir, snapshot, maxContentBytes)
			}
			snapshot = snap.Index
			shape.follow(snap.Index, snap.Term)
		}
		if save.From == 0 && len(save.Entries) == 0 {
			continue
		}
		if save.From <= snapshot || save.From > shape.last+1 {
			return eris.Wrapf(ErrInvalid, "entries from %d in %s: want an index from %d to %d",
				save.From, s.dir, snapshot+1, shape.last+1)
		}
		shape.truncate(save.From)
		for j := range save.Entries {
			entry := &save.Entries[j]
			if entry.Index != shape.last+1 || len(entry.Data) > maxContentBytes {
				return eris.Wrapf(ErrInvalid, "entry %d of %d bytes in %s: want index %d and at most %d bytes",
					entry.Index, len(entry.Data), s.dir, shape.last+1, maxContentBytes)
			}
			shape.append(entry.Index, entry.Term)
		}
	}
	return nil
}

// add appends a save to the buffer, and writes what can't wait for the end of
// the call.
func (s *Storage) add(save *anvilraft.Save) error {
	if save.Hard != nil && *save.Hard != s.hard {
		s.hard = *save.Hard
		s.buffer = appendHard(append(s.buffer, recordHard), s.hard)
	}
	if save.Snapshot != nil {
		// The hard state goes first, so that a restored term is never lower
		// than that of the snapshot.
		if err := s.flush(); err != nil {
			return err
		}
		if err := s.saveSnapshot(save.Snapshot); err != nil {
			return err
		}
	}
	if save.From > 0 && save.From <= s.shape.last {
		s.shape.truncate(save.From)
		s.buffer = binary.AppendUvarint(append(s.buffer, recordTruncate), uint64(save.From))
	}
	for i := range save.Entries {
		entry := &save.Entries[i]
		s.buffer = appendEntry(append(s.buffer, recordEntry), entry)
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
		version: formatVersion, storage: s.id, sequence: sequence, hard: s.hard,
		last: s.shape.last, lastTerm: s.shape.lastTerm(), reset: reset,
	}
	first := head.append(newFrame(nil))
	sealFrame(first, frameSegment, fileSeed("", name), 0)
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

func (s *Storage) saveSnapshot(snap *anvilraft.Snapshot) error {
	name := snapshotName(snap.Index)
	content, err := appendSnapshot(newFrame(nil), snap)
	if err != nil {
		return err
	}
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
