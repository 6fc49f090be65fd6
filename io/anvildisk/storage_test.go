package anvildisk

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"testing"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

func entries(from, to anvilid.Index, term anvilid.Term) []anvilraft.Entry {
	var list []anvilraft.Entry
	for index := from; index <= to; index++ {
		data := bytes.Repeat([]byte{byte(index), byte(term)}, 12)
		list = append(list, anvilraft.Entry{Index: index, Term: term, At: 7, Kind: anvilraft.KindCommand, Data: data})
	}
	return list
}

func hard(term anvilid.Term) *anvilraft.HardState {
	return &anvilraft.HardState{Group: 9, Term: term, Vote: anvilraft.VoterID{Instance: "a", Storage: "s"}}
}

func snapshot(index anvilid.Index, term anvilid.Term) *anvilraft.Snapshot {
	members := anvilraft.Members{Voters: []anvilraft.VoterID{{Instance: "a", Storage: "s"}}}
	return &anvilraft.Snapshot{Index: index, Term: term, At: 3, Members: members, Data: []byte("state")}
}

// script covers replacement of entries, truncation, own snapshots, snapshots
// that void the log, and rotation of segments of 300 bytes.
var script = []anvilraft.Save{
	{Hard: hard(1)},
	{From: 1, Entries: entries(1, 3, 1)},
	{Hard: hard(2), From: 3, Entries: entries(3, 9, 2)},
	{From: 7},
	{From: 7, Entries: entries(7, 12, 2)},
	{Snapshot: snapshot(6, 2)},
	{From: 10, Entries: entries(10, 11, 3), Hard: hard(3)},
	{Snapshot: snapshot(9, 2)},
	{Hard: hard(4), Snapshot: snapshot(20, 4), From: 21, Entries: entries(21, 22, 4)},
	{From: 23, Entries: entries(23, 33, 4)},
	{Snapshot: snapshot(25, 4)},
	{Hard: hard(5), Snapshot: snapshot(28, 5), From: 29},
	{From: 29, Entries: entries(29, 30, 5)},
}

// apply follows anvilraft.PersistentState.Apply, and drops entries that do not
// continue the snapshot.
func apply(state anvilraft.PersistentState, save anvilraft.Save) anvilraft.PersistentState {
	if save.Snapshot != nil {
		matches := slices.ContainsFunc(state.Entries, func(e anvilraft.Entry) bool {
			return e.Index == save.Snapshot.Index && e.Term == save.Snapshot.Term
		})
		if !matches {
			state.Entries = nil
		}
	}
	state.Apply(save)
	return state
}

// stages returns the states that a crash during a save may leave.
func stages(before anvilraft.PersistentState, save anvilraft.Save) []anvilraft.PersistentState {
	list := []anvilraft.PersistentState{before}
	for _, part := range []anvilraft.Save{{Hard: save.Hard}, {Snapshot: save.Snapshot}, {From: save.From, Entries: save.Entries}} {
		list = append(list, apply(list[len(list)-1], part))
	}
	return list
}

func show(state anvilraft.PersistentState) string {
	state.Storage = ""
	return fmt.Sprintf("%+v", state)
}

// run plays the script until a call fails. It returns what was acknowledged
// and the states that the failed call may leave.
func run(disk *simDisk) (allowed []anvilraft.PersistentState, failed error) {
	storage, restored, err := Open("data", WithFiles(disk.files()), WithSegmentBytes(300))
	if err != nil {
		return []anvilraft.PersistentState{{}}, err
	}
	state := restored.PersistentState
	for _, save := range script {
		if err := storage.Save(save); err != nil {
			if again := storage.Save(anvilraft.Save{Hard: hard(99)}); again != err {
				return nil, fmt.Errorf("a call after the failure returned %v, want %v", again, err)
			}
			return stages(state, save), err
		}
		state = apply(state, save)
	}
	return []anvilraft.PersistentState{state}, storage.Close()
}

// Guards against loss of acknowledged saves and against invented content: a
// failure of every single call, in every mode, followed by a restart, a loss
// of power, or a restart and then a loss of power.
func TestFaultAtEveryCall(t *testing.T) {
	clean := newSimDisk()
	_, err := run(clean)
	assert.NilError(t, err)
	assert.Assert(t, len(clean.cached) <= 4, "directory is not bounded: %v", clean.cached)
	for mode := range modeCount {
		for failAt := range clean.calls {
			for _, crash := range []string{"restart", "power", "both"} {
				disk := newSimDisk()
				disk.mode, disk.failAt = mode, failAt
				allowed, err := run(disk)
				label := fmt.Sprintf("mode %d, call %d, %s", mode, failAt, crash)
				if err != nil { // a failed Close of a replaced file may be ignored
					assert.Assert(t, errors.Is(err, ErrFailed) || errors.Is(err, errInjected) || errors.Is(err, syscall.ENOSPC), "%s: %v", label, err)
				}
				checkReopen(t, disk, crash, label, allowed)
			}
		}
	}
}

func checkReopen(t *testing.T, disk *simDisk, crash, label string, allowed []anvilraft.PersistentState) {
	t.Helper()
	reopen := func(power bool) (*Storage, anvilraft.PersistentState) {
		disk.failAt = -1
		if power {
			disk.losePower()
		}
		storage, restored, err := Open("data", WithFiles(disk.files()), WithSegmentBytes(300))
		assert.NilError(t, err, label)
		return storage, restored.PersistentState
	}
	storage, restored := reopen(crash == "power")
	if crash == "both" {
		first := show(restored)
		storage, restored = reopen(true)
		assert.Equal(t, show(restored), first, label)
	}
	known := slices.ContainsFunc(allowed, func(state anvilraft.PersistentState) bool { return show(state) == show(restored) })
	assert.Assert(t, known, "%s: restored %s\nallowed %+v", label, show(restored), allowed)

	last := restored.Snapshot.Index + anvilid.Index(len(restored.Entries))
	next := anvilraft.Save{From: last + 1, Entries: entries(last+1, last+2, 50), Hard: hard(50)}
	assert.NilError(t, storage.Save(next), label)
	want := apply(restored, next)
	_, restored = reopen(true)
	assert.Equal(t, show(restored), show(want), label)
}

// writeSegment makes a directory with three records behind the first one and
// returns the file and the offsets of its records.
func writeSegment(t *testing.T, dir string) (file string, offsets []int) {
	t.Helper()
	storage, restored, err := Open(dir)
	assert.NilError(t, err)
	assert.Assert(t, restored.Created)
	for index := anvilid.Index(1); index <= 3; index++ {
		offsets = append(offsets, storage.size)
		assert.NilError(t, storage.Save(anvilraft.Save{From: index, Entries: entries(index, index, 1)}))
	}
	assert.NilError(t, storage.Close())
	return filepath.Join(dir, segmentName(1)), append(offsets, storage.size)
}

// Guards against a start that fails, or invents an entry, after a crash in
// the middle of a write: the file is cut at every byte of the last record, and
// every byte of the last record is changed.
func TestTornTail(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	file, offsets := writeSegment(t, dir)
	whole, err := os.ReadFile(file)
	assert.NilError(t, err)
	check := func(label string, content []byte) {
		assert.NilError(t, os.WriteFile(file, content, fileMode))
		storage, restored, err := Open(dir)
		assert.NilError(t, err, label)
		assert.Equal(t, len(restored.Entries), 2, label)
		assert.Equal(t, int(restored.Truncated), len(content)-offsets[2], label)
		assert.NilError(t, storage.Close())
		left, err := os.ReadFile(file)
		assert.NilError(t, err)
		assert.DeepEqual(t, left, whole[:offsets[2]])
	}
	for size := offsets[2]; size < offsets[3]; size++ {
		check(fmt.Sprintf("cut at %d", size), whole[:size])
		flipped := slices.Clone(whole)
		flipped[size] ^= 0x10
		check(fmt.Sprintf("flipped at %d", size), flipped)
		check(fmt.Sprintf("zeros from %d", size), append(slices.Clone(whole[:size]), make([]byte, len(whole)-size)...))
	}
}

// Guards against silent loss of acknowledged records: a changed byte at every
// position before the last record is refused, and the error names the place.
func TestDamageIsRefused(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	file, offsets := writeSegment(t, dir)
	whole, err := os.ReadFile(file)
	assert.NilError(t, err)
	for position := range offsets[2] {
		flipped := slices.Clone(whole)
		flipped[position] ^= 0x10
		assert.NilError(t, os.WriteFile(file, flipped, fileMode))
		_, _, err := Open(dir)
		assert.ErrorIs(t, err, ErrDamaged, "position %d", position)
		record, _ := slices.BinarySearch(offsets, position+1)
		start := append([]int{0}, offsets...)[record]
		assert.ErrorContains(t, err, fmt.Sprintf("%s at offset %d:", file, start))
	}
}

// Guards against a start with part of the files, or with files of others.
func TestForeignAndMissingFiles(t *testing.T) {
	for name, spoil := range map[string]func(dir string) error{
		"no first segment":  func(dir string) error { return os.Remove(filepath.Join(dir, segmentName(2))) },
		"no middle segment": func(dir string) error { return os.Remove(filepath.Join(dir, segmentName(3))) },
		"no snapshot":       func(dir string) error { return os.Remove(filepath.Join(dir, snapshotName(6))) },
		"torn snapshot":     func(dir string) error { return os.Truncate(filepath.Join(dir, snapshotName(6)), 30) },
		"unknown file":      func(dir string) error { return os.WriteFile(filepath.Join(dir, "notes"), nil, fileMode) },
		"renamed": func(dir string) error {
			return os.Rename(filepath.Join(dir, segmentName(5)), filepath.Join(dir, segmentName(6)))
		},
		"no segment": func(dir string) error {
			names, err := filepath.Glob(filepath.Join(dir, segmentPrefix+"*"))
			for _, name := range names {
				err = errors.Join(err, os.Remove(name))
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "data")
			storage, _, err := Open(dir, WithSegmentBytes(300))
			assert.NilError(t, err)
			for index := anvilid.Index(1); index <= 16; index++ {
				assert.NilError(t, storage.Save(anvilraft.Save{From: index, Entries: entries(index, index, 1)}))
			}
			assert.NilError(t, storage.Save(anvilraft.Save{Snapshot: snapshot(6, 1)}))
			assert.NilError(t, storage.Close())
			assert.NilError(t, spoil(dir))
			_, _, err = Open(dir)
			assert.ErrorIs(t, err, ErrDamaged)
		})
	}
}

// Guards against two processes that write to one directory.
func TestLock(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	storage, _, err := Open(dir)
	assert.NilError(t, err)
	_, _, err = Open(dir)
	assert.ErrorIs(t, err, ErrLocked)
	assert.NilError(t, storage.Close())
	storage, _, err = Open(dir)
	assert.NilError(t, err)
	assert.NilError(t, storage.Close())
	assert.ErrorIs(t, storage.Save(anvilraft.Save{Hard: hard(1)}), ErrClosed)
}

// Guards against taking a directory that was created again for the former
// one, and against reading a format that this program doesn't know.
func TestIdentity(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	file, _ := writeSegment(t, dir)
	storage, first, err := Open(dir)
	assert.NilError(t, err)
	assert.Assert(t, !first.Created)
	assert.NilError(t, storage.Close())
	assert.NilError(t, os.RemoveAll(dir))
	writeSegment(t, dir)
	storage, second, err := Open(dir)
	assert.NilError(t, err)
	assert.NilError(t, storage.Close())
	assert.Assert(t, first.Storage != "" && first.Storage != second.Storage)

	head := segmentHead{version: formatVersion + 1}
	frame := head.append(newFrame(nil))
	sealFrame(frame, frameSegment, fileSeed("", segmentName(1)), 0)
	assert.NilError(t, os.WriteFile(file, frame, fileMode))
	_, _, err = Open(dir)
	assert.ErrorIs(t, err, ErrFormat)
}

// Guards against saves that would make the log unreadable.
func TestInvalidSave(t *testing.T) {
	storage, _, err := Open("data", WithFiles(newSimDisk().files()))
	assert.NilError(t, err)
	assert.NilError(t, storage.Save(anvilraft.Save{Hard: hard(2), From: 1, Entries: entries(1, 5, 2)}, anvilraft.Save{Snapshot: snapshot(3, 2)}))
	for name, save := range map[string]anvilraft.Save{
		"gap":               {From: 7, Entries: entries(7, 7, 2)},
		"gap in entries":    {From: 6, Entries: append(entries(6, 6, 2), entries(8, 8, 2)...)},
		"within snapshot":   {From: 3, Entries: entries(3, 6, 2)},
		"no first index":    {Entries: entries(6, 6, 2)},
		"former snapshot":   {Snapshot: snapshot(2, 2)},
		"lower term":        {Hard: hard(1)},
		"gap behind a void": {Snapshot: snapshot(4, 3), From: 6, Entries: entries(6, 6, 3)},
	} {
		assert.ErrorIs(t, storage.Save(save), ErrInvalid, name)
	}
	assert.NilError(t, storage.Save(anvilraft.Save{From: 6, Entries: entries(6, 6, 2)}))
}

// Guards against a lock that outlives its release, because a process that is
// started at that moment holds a copy of the file: the group was founded in a
// directory that its voter then could not open.
func TestReleasedLockIsFree(t *testing.T) {
	path := filepath.Join(t.TempDir(), lockName)
	release, err := lockFile(path)
	assert.NilError(t, err)
	copied := false
	entries, err := os.ReadDir("/proc/self/fd")
	assert.NilError(t, err)
	for _, entry := range entries {
		if target, err := os.Readlink("/proc/self/fd/" + entry.Name()); err != nil || target != path {
			continue
		}
		fd, err := strconv.Atoi(entry.Name())
		assert.NilError(t, err)
		kept, err := unix.Dup(fd)
		assert.NilError(t, err)
		defer unix.Close(kept)
		copied = true
		break
	}
	assert.Assert(t, copied)
	assert.NilError(t, release())
	again, err := lockFile(path)
	assert.NilError(t, err)
	assert.NilError(t, again())
}
