// Package anvildisk stores the Raft hard state, the log and the snapshots of one voter in a data
// directory.
//
// The directory contains segment files ("segment-N"), normally at most one snapshot
// ("snapshot-INDEX"), a lock file, a mark that the first segment is stored ("created.tmp") and, while a
// file is being written, temporary files ("*.tmp").
// A segment is a part of the log: an append-only sequence of frames with checksums. When a
// snapshot covers all log entries of a segment, the segment is removed. Each directory has a random
// storage id, so that a voter whose directory was deleted and created again is recognized as a new
// member of the Raft group.
//
// A Storage must not be used by several goroutines at the same time.
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
	// ErrDamaged reports corrupt content that can't be the result of an interrupted write. The voter
	// must not start: remove it from the voters, empty the directory and add it as a new voter.
	ErrDamaged = eris.New("data directory is damaged")
	// ErrFormat reports a directory with a format version that this program can't read.
	ErrFormat = eris.New("data directory has an unsupported format version")
	// ErrLocked reports that another process holds the lock of the directory.
	ErrLocked = eris.New("data directory is in use by another process")
	// ErrFailed reports a failed file-system call, such as a write or a sync. The state of the
	// files is unknown after that, so the storage refuses all further calls.
	ErrFailed = eris.New("file-system call on the data directory failed")
	// ErrInvalid reports a call of Save with saves that contradict the stored log, such as entries
	// that leave a gap. Nothing was written.
	ErrInvalid = eris.New("saves contradict the stored log")
	// ErrClosed reports a call on a closed storage.
	ErrClosed = eris.New("data directory is closed")
)

const (
	formatVersion = 1

	// defaultSegmentBytes is the size at which a new segment is started. It is small compared with
	// a snapshot: entries that a snapshot covers stay on disk while their segment also contains
	// newer entries, and should waste little space.
	defaultSegmentBytes = 8 << 20
	// flushBytes is the size at which the write buffer is written even in the middle of a Save
	// call. It bounds the buffer of a call with very many entries.
	flushBytes = 16 << 20
	// maxDataBytes limits the data of an entry or snapshot so that the length of a frame fits
	// into 32 bits.
	maxDataBytes = 1 << 30

	segmentPrefix  = "segment-"
	snapshotPrefix = "snapshot-"
	tmpSuffix      = ".tmp"
	lockName       = "lock"
	// createdName is an empty file that exists once the first segment is stored, so that a first segment
	// without a valid header is known to be damaged. Without the mark, its creation was interrupted. The mark itself is synced
	// with the next change of the directory. Earlier builds remove it, because of its suffix.
	createdName = "created" + tmpSuffix
)

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%020d", segmentPrefix, sequence) }

func snapshotName(index anvilid.Index) string { return fmt.Sprintf("%s%020d", snapshotPrefix, index) }

// segment describes one segment file.
type segment struct {
	sequence uint64
	// maxIndex is the highest index of an entry in the segment, 0 if it has none.
	maxIndex anvilid.Index
}

// Storage is an open data directory.
type Storage struct {
	dir          string
	files        Files
	segmentBytes int
	releaseLock  func() error

	newID     anvilraft.StorageID // id for a new directory; empty for a random id
	deferred  bool                // a new directory is stored by the first Save
	id        anvilraft.StorageID
	hardState anvilraft.HardState
	terms     termTable
	snapshot  anvilid.Index // index of the stored snapshot, 0 without one
	segments  []segment     // oldest first; new frames go to the last one

	file    *File  // the last segment, open for writing; nil before the first one is stored
	header  []byte // the first frame of the first segment, until that is stored
	copied  []byte // the content of a snapshot that is stored together with the first segment, or nil
	seed    seed
	size    int
	buffer  []byte
	failure error
}

// Option overrides a default of Open.
type Option func(*Storage)

// WithFiles replaces the file-system calls, for example to inject failures.
func WithFiles(files Files) Option { return func(s *Storage) { s.files = files } }

// WithSegmentBytes sets the segment size in bytes at which a new segment is started.
func WithSegmentBytes(size int) Option { return func(s *Storage) { s.segmentBytes = size } }

// WithNewID sets the storage id of a directory that Open initializes. The default is a random id.
// Two directories of an instance must never have the same id.
func WithNewID(id anvilraft.StorageID) Option { return func(s *Storage) { s.newID = id } }

// WithDeferredCreation leaves the initialization of an empty directory to the first call of Save, which stores it together with
// its own content. If the process ends before, the next Open finds an empty directory and chooses another random id. So a
// storage id that was announced may never be seen again, but then nothing was ever acknowledged under it.
func WithDeferredCreation() Option { return func(s *Storage) { s.deferred = true } }

// ID returns the storage id, which the directory got when it was initialized.
func (s *Storage) ID() anvilraft.StorageID { return s.id }

// Created reports whether the directory contains its first segment, see WithDeferredCreation.
func (s *Storage) Created() bool { return s.file != nil }

// Dir returns the path of the directory.
func (s *Storage) Dir() string { return s.dir }

// Save writes changes of the persistent state (saves) in order; anvilraft.PersistentState.Apply
// defines the meaning of each. When Save returns nil, all of them survive a power failure. After an
// error that wraps ErrFailed, any part of them may be stored, and every later call returns the same
// error.
//
// If a save contains a snapshot whose last entry isn't in the stored log, all stored entries are
// discarded.
func (s *Storage) Save(saves ...anvilraft.Save) error {
	if s.failure != nil {
		return s.failure
	}
	if err := s.validate(saves); err != nil {
		return err
	}
	s.buffer = newFrame(s.buffer)
	for i := range saves {
		if err := s.bufferSave(&saves[i]); err != nil {
			return s.fail(err)
		}
	}
	if err := s.flush(); err != nil {
		return s.fail(err)
	}
	if err := s.ensureCreated(); err != nil {
		return s.fail(err)
	}
	return nil
}

// validate rejects saves that would make the stored log unreadable.
func (s *Storage) validate(saves []anvilraft.Save) error {
	hardState, snapshot, terms := s.hardState, s.snapshot, s.terms.clone()
	for i := range saves {
		save := &saves[i]
		if save.Hard != nil {
			if save.Hard.Term < hardState.Term {
				return eris.Wrapf(ErrInvalid, "hard state with term %d in %s: want at least term %d",
					save.Hard.Term, s.dir, hardState.Term)
			}
			hardState = *save.Hard
		}
		if snap := save.Snapshot; snap != nil {
			if snap.Index <= snapshot || len(snap.Data) > maxDataBytes {
				return eris.Wrapf(ErrInvalid, "snapshot %d of %d bytes in %s: want an index above %d and at most %d bytes",
					snap.Index, len(snap.Data), s.dir, snapshot, maxDataBytes)
			}
			snapshot = snap.Index
			terms.startAfterSnapshot(snap.Index, snap.Term)
		}
		if save.From == 0 && len(save.Entries) == 0 {
			continue
		}
		if save.From <= snapshot || save.From > terms.last+1 {
			return eris.Wrapf(ErrInvalid, "entries from %d in %s: want an index from %d to %d",
				save.From, s.dir, snapshot+1, terms.last+1)
		}
		terms.truncate(save.From)
		for j := range save.Entries {
			entry := &save.Entries[j]
			if entry.Index != terms.last+1 || len(entry.Data) > maxDataBytes {
				return eris.Wrapf(ErrInvalid, "entry %d of %d bytes in %s: want index %d and at most %d bytes",
					entry.Index, len(entry.Data), s.dir, terms.last+1, maxDataBytes)
			}
			terms.append(entry.Index, entry.Term)
		}
	}
	return nil
}

// bufferSave appends a save to the write buffer. It flushes the buffer before a snapshot and when
// the buffer is full.
func (s *Storage) bufferSave(save *anvilraft.Save) error {
	if save.Hard != nil && *save.Hard != s.hardState {
		s.hardState = *save.Hard
		s.buffer = appendHardState(append(s.buffer, recordHardState), s.hardState)
		if s.hardState.MembersAt > 0 {
			s.buffer = binary.AppendUvarint(append(s.buffer, recordMembersAt), uint64(s.hardState.MembersAt))
		}
	}
	switch {
	case save.Snapshot == nil:
	case s.file == nil && s.snapshot == 0 && s.terms.last == 0:
		if err := s.beginWith(save.Snapshot); err != nil {
			return err
		}
	default:
		// Write the hard state before the snapshot, so that a restored term is never lower than
		// the term of the snapshot.
		if err := s.flush(); err != nil {
			return err
		}
		if err := s.ensureCreated(); err != nil {
			return err
		}
		if err := s.saveSnapshot(save.Snapshot); err != nil {
			return err
		}
	}
	if save.From > 0 && save.From <= s.terms.last {
		s.terms.truncate(save.From)
		s.buffer = binary.AppendUvarint(append(s.buffer, recordTruncate), uint64(save.From))
	}
	for i := range save.Entries {
		entry := &save.Entries[i]
		s.buffer = appendEntry(append(s.buffer, recordEntry), entry)
		s.terms.append(entry.Index, entry.Term)
		current := &s.segments[len(s.segments)-1]
		current.maxIndex = max(current.maxIndex, entry.Index)
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
	if len(s.buffer) == frameHeaderBytes {
		return nil
	}
	finishFrame(s.buffer, frameBatch, s.seed, s.size)
	if err := s.store(s.buffer); err != nil {
		return err
	}
	s.size += len(s.buffer)
	s.buffer = newFrame(s.buffer)
	if s.size >= s.segmentBytes {
		return s.startSegment(false)
	}
	return nil
}

// store writes a frame to the end of the last segment and syncs it. The first one creates the first segment.
func (s *Storage) store(frame []byte) error {
	if s.file == nil {
		return s.storeFirst(append(s.header, frame...))
	}
	if err := writeAll(s.file, frame, s.size); err != nil {
		return err
	}
	return s.file.Sync()
}

// ensureCreated stores the first segment, if that isn't done yet.
func (s *Storage) ensureCreated() error {
	if s.file != nil {
		return nil
	}
	return s.storeFirst(s.header)
}

// beginWith lets a new directory begin with a snapshot. The hard state that was saved before goes into the segment header.
func (s *Storage) beginWith(snap *anvilraft.Snapshot) error {
	content, err := appendSnapshot(newFrame(nil), snap)
	if err != nil {
		return err
	}
	finishFrame(content, frameSnapshot, fileSeed(s.id, snapshotName(snap.Index)), 0)
	s.copied, s.snapshot, s.terms = content, snap.Index, newTermTable(snap.Index, snap.Term)
	s.prepareFirst()
	s.buffer = newFrame(s.buffer)
	return nil
}

// prepareFirst makes the header of the first segment, which nothing has stored yet.
func (s *Storage) prepareFirst() {
	name := segmentName(1)
	header := segmentHeader{
		version: formatVersion, storage: s.id, sequence: 1, hardState: s.hardState,
		prevIndex: s.terms.last, prevTerm: s.terms.lastTerm(),
	}
	s.header = header.append(newFrame(nil))
	finishFrame(s.header, frameSegment, fileSeed("", name), 0)
	s.seed, s.size = fileSeed(s.id, name), len(s.header)
	s.segments = []segment{{sequence: 1}}
}

// storeFirst creates the first segment with the given content, and the snapshot before it, if there is one. Nothing was
// acknowledged before, so that the files can have their final names from the start and all syncs are made at the same time: a slow
// disk takes a second for each.
func (s *Storage) storeFirst(content []byte) error {
	if s.copied != nil {
		snapshot, err := s.write(snapshotName(s.snapshot), s.copied, s.files.Create)
		if err != nil {
			return err
		}
		defer func() { _ = snapshot.Close() }() // it is synced
		return s.storeSegment(content, snapshot.Sync)
	}
	return s.storeSegment(content)
}

// storeSegment creates the first segment. The given further syncs are made together with those of the segment.
func (s *Storage) storeSegment(content []byte, syncs ...func() error) error {
	file, err := s.write(segmentName(1), content, s.files.Create)
	if err != nil {
		return err
	}
	err = concurrently(append(syncs, file.Sync, func() error { return s.files.SyncDir(s.dir) }, s.syncParent)...)
	if err == nil {
		err = s.markCreated()
	}
	if err != nil {
		_ = file.Close() // the first error is the one to report
		return err
	}
	s.file, s.header, s.copied = file, nil, nil
	return nil
}

// write opens a file and writes its content.
func (s *Storage) write(name string, content []byte, open func(string) (*File, error)) (*File, error) {
	file, err := open(filepath.Join(s.dir, name))
	if err != nil {
		return nil, err
	}
	if err := writeAll(file, content, 0); err != nil {
		_ = file.Close() // the first error is the one to report
		return nil, err
	}
	return file, nil
}

// markCreated records that the first segment is stored.
func (s *Storage) markCreated() error {
	mark, err := s.files.Create(filepath.Join(s.dir, createdName))
	if err != nil {
		return err
	}
	return mark.Close()
}

// fail makes the storage refuse all further calls after a file-system call has failed. A failed
// sync isn't retried, because the kernel may have dropped the data and would report success the
// next time.
func (s *Storage) fail(cause error) error {
	s.failure = eris.Wrapf(fmt.Errorf("%w: %w", ErrFailed, cause),
		"%s: restart the voter once the disk is repaired", s.dir)
	return s.failure
}

// Close closes the files and releases the lock of the directory. It writes nothing, because
// everything that Save acknowledged is already stored.
func (s *Storage) Close() error {
	if errors.Is(s.failure, ErrClosed) {
		return nil
	}
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	if s.releaseLock != nil {
		err = errors.Join(err, s.releaseLock())
	}
	s.failure = eris.Wrap(ErrClosed, s.dir)
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
