package anvildisk

import (
	"path/filepath"

	"anvilshunt/core/anvilraft"
)

// newFile is a file to be created.
type newFile struct {
	name    string
	content []byte
}

// startSegment creates a new segment and directs further writes to it. The file gets its final
// name only after its first frame is synced, so a segment without a valid first frame is always
// corrupt and never the result of a crash. The first segment is stored by storeFirst.
func (s *Storage) startSegment(reset bool) error {
	segment := s.nextSegment(reset)
	files, err := s.createAtomically(segment)
	if err != nil {
		return err
	}
	return s.useSegment(segment, files[0])
}

// nextSegment returns the next segment with its first frame.
func (s *Storage) nextSegment(reset bool) newFile {
	sequence := s.segments[len(s.segments)-1].sequence + 1
	name := segmentName(sequence)
	header := segmentHeader{
		version: formatVersion, storage: s.id, sequence: sequence, hardState: s.hardState,
		prevIndex: s.terms.last, prevTerm: s.terms.lastTerm(), reset: reset,
	}
	first := header.append(newFrame(nil))
	finishFrame(first, frameSegment, fileSeed("", name), 0)
	return newFile{name, first}
}

// useSegment directs further writes to the segment that nextSegment returned.
func (s *Storage) useSegment(next newFile, file *File) error {
	if err := s.file.Close(); err != nil {
		_ = file.Close() // the first error is the one to report
		return err
	}
	s.file, s.seed, s.size = file, fileSeed(s.id, next.name), len(next.content)
	s.segments = append(s.segments, segment{sequence: s.segments[len(s.segments)-1].sequence + 1})
	return nil
}

// createAtomically writes files under temporary names and renames them when all are complete. They are
// synced at the same time, and so are their names, each of which a power failure may keep without the other.
// The returned files are open.
func (s *Storage) createAtomically(created ...newFile) (files []*File, err error) {
	defer func() {
		if err != nil {
			for _, file := range files {
				_ = file.Close() // the first error is the one to report
			}
		}
	}()
	var syncs []func() error
	for _, next := range created {
		file, err := s.write(next.name+tmpSuffix, next.content, s.files.Create)
		if err != nil {
			return files, err
		}
		files, syncs = append(files, file), append(syncs, file.Sync)
	}
	if err := concurrently(syncs...); err != nil {
		return files, err
	}
	for _, next := range created {
		path := filepath.Join(s.dir, next.name)
		if err := s.files.Rename(path+tmpSuffix, path); err != nil {
			return files, err
		}
	}
	return files, s.files.SyncDir(s.dir)
}

func (s *Storage) saveSnapshot(snap *anvilraft.Snapshot) error {
	content, err := appendSnapshot(newFrame(nil), snap)
	if err != nil {
		return err
	}
	name, previous := snapshotName(snap.Index), s.snapshot
	finishFrame(content, frameSnapshot, fileSeed(s.id, name), 0)
	if err := s.storeSnapshot(snap, newFile{name, content}); err != nil {
		return err
	}
	s.snapshot = snap.Index
	if previous > 0 {
		if err := s.files.Remove(filepath.Join(s.dir, snapshotName(previous))); err != nil {
			return err
		}
	}
	return s.removeObsoleteSegments()
}

// storeSnapshot stores a snapshot and starts a new segment after it. If the log doesn't contain the last entry that the
// snapshot covers, all entries of the log are discarded, once the snapshot is stored. Otherwise both files are stored at the same
// time: the segment continues the log with and without the snapshot.
func (s *Storage) storeSnapshot(snap *anvilraft.Snapshot, content newFile) error {
	created := []newFile{content}
	continues := s.terms.startAfterSnapshot(snap.Index, snap.Term)
	if continues {
		created = append(created, s.nextSegment(false))
	}
	files, err := s.createAtomically(created...)
	if err != nil {
		return err
	}
	if err := files[0].Close(); err != nil {
		return err
	}
	if continues {
		return s.useSegment(created[1], files[1])
	}
	return s.discardEntries()
}

// discardEntries starts a segment after which the log begins with the latest snapshot.
func (s *Storage) discardEntries() error {
	for i := range s.segments {
		s.segments[i].maxIndex = 0
	}
	return s.startSegment(true)
}

// removeObsoleteSegments removes segments, the oldest first, until one contains an entry that the
// snapshot doesn't cover. Each removal is synced before the next one, so that the remaining segments have no gap
// in their numbers after a power failure. The last one is synced with the names of the next files.
func (s *Storage) removeObsoleteSegments() error {
	for removed := 0; len(s.segments) > 1 && s.segments[0].maxIndex <= s.snapshot; removed++ {
		if removed > 0 {
			if err := s.files.SyncDir(s.dir); err != nil {
				return err
			}
		}
		if err := s.files.Remove(filepath.Join(s.dir, segmentName(s.segments[0].sequence))); err != nil {
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
