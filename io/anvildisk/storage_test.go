package anvildisk

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
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

func hardState(term anvilid.Term) *anvilraft.HardState {
	vote := anvilraft.VoterID{Instance: "a", Storage: "s"}
	return &anvilraft.HardState{Group: 9, Term: term, Vote: vote, MembersAt: anvilid.Index(term)}
}

func snapshot(index anvilid.Index, term anvilid.Term) *anvilraft.Snapshot {
	members := anvilraft.Members{Voters: []anvilraft.VoterID{{Instance: "a", Storage: "s"}}}
	return &anvilraft.Snapshot{Index: index, Term: term, At: 3, Members: members, Data: []byte("state")}
}

// script is a sequence of saves that covers replaced entries, truncation, snapshots of the node's
// own log, snapshots that discard the log, and the rotation of segments of 300 bytes.
var script = []anvilraft.Save{
	{Hard: hardState(1)},
	{From: 1, Entries: entries(1, 3, 1)},
	{Hard: hardState(2), From: 3, Entries: entries(3, 9, 2)},
	{From: 7},
	{From: 7, Entries: entries(7, 12, 2)},
	{Snapshot: snapshot(6, 2)},
	{From: 10, Entries: entries(10, 11, 3), Hard: hardState(3)},
	{Snapshot: snapshot(9, 2)},
	{Hard: hardState(4), Snapshot: snapshot(20, 4), From: 21, Entries: entries(21, 22, 4)},
	{From: 23, Entries: entries(23, 33, 4)},
	{Snapshot: snapshot(25, 4)},
	{Hard: hardState(5), Snapshot: snapshot(28, 5), From: 29},
	{From: 29, Entries: entries(29, 30, 5)},
}

// apply applies a save in the same way as anvilraft.PersistentState.Apply. It also does what Storage
// does: it removes all entries if none of them is the last entry that the snapshot covers.
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

// possibleStates returns the states that may be restored after a crash during a save.
func possibleStates(before anvilraft.PersistentState, save anvilraft.Save) []anvilraft.PersistentState {
	list := []anvilraft.PersistentState{before}
	for _, part := range []anvilraft.Save{{Hard: save.Hard}, {Snapshot: save.Snapshot}, {From: save.From, Entries: save.Entries}} {
		list = append(list, apply(list[len(list)-1], part))
	}
	return list
}

func formatState(state anvilraft.PersistentState) string {
	state.Storage = ""
	return fmt.Sprintf("%+v", state)
}

// runScript saves the script until a call fails. It returns the states that Open may restore
// afterwards: the acknowledged one and those that the failed call may have stored.
func runScript(disk *simDisk, saves []anvilraft.Save, opts ...Option) (allowed []anvilraft.PersistentState, failed error) {
	storage, restored, err := Open("data", append(opts, WithFiles(disk.files()), WithSegmentBytes(300))...)
	if err != nil {
		return []anvilraft.PersistentState{{}}, err
	}
	state := restored.PersistentState
	for _, save := range saves {
		if err := storage.Save(save); err != nil {
			if again := storage.Save(anvilraft.Save{Hard: hardState(99)}); again != err {
				return nil, fmt.Errorf("a call after the failure returned %v, want %v", again, err)
			}
			return possibleStates(state, save), err
		}
		state = apply(state, save)
	}
	return []anvilraft.PersistentState{state}, storage.Close()
}

// Guards against the loss of acknowledged saves and against restoring content that was never
// saved. The test makes each single file-system call fail, in each fault mode, followed by a
// restart, a power failure, or a restart and then a power failure.
func TestFaultAtEveryCall(t *testing.T) {
	t.Run("created by Open", func(t *testing.T) { checkFaults(t, script) })
	t.Run("created by Save", func(t *testing.T) { checkFaults(t, script, WithDeferredCreation()) })
	t.Run("created with a snapshot", func(t *testing.T) { checkFaults(t, script[8:], WithDeferredCreation()) })
}

func checkFaults(t *testing.T, script []anvilraft.Save, opts ...Option) {
	clean := newSimDisk()
	_, err := runScript(clean, script, opts...)
	assert.NilError(t, err)
	assert.Assert(t, len(clean.cached) <= 4, "the directory keeps more than 4 files: %v", clean.cached)
	for mode := range modeCount {
		for failAt := range clean.calls {
			for _, crash := range []string{"restart", "power", "power, first name kept", "both"} {
				disk := newSimDisk()
				disk.mode, disk.failAt = mode, failAt
				allowed, err := runScript(disk, script, opts...)
				label := fmt.Sprintf("mode %d, call %d, %s", mode, failAt, crash)
				if err != nil { // nil if Save ignored the injected failure, as it may when it closes a replaced file
					assert.Assert(t, errors.Is(err, ErrFailed) || errors.Is(err, errInjected) || errors.Is(err, syscall.ENOSPC),
						"%s: %v", label, err)
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
			disk.losePower(crash == "power, first name kept")
		}
		storage, restored, err := Open("data", WithFiles(disk.files()), WithSegmentBytes(300))
		assert.NilError(t, err, label)
		return storage, restored.PersistentState
	}
	storage, restored := reopen(strings.HasPrefix(crash, "power"))
	if crash == "both" {
		first := formatState(restored)
		storage, restored = reopen(true)
		assert.Equal(t, formatState(restored), first, label)
	}
	isAllowed := slices.ContainsFunc(allowed, func(s anvilraft.PersistentState) bool { return formatState(s) == formatState(restored) })
	assert.Assert(t, isAllowed, "%s: restored %s\nallowed %+v", label, formatState(restored), allowed)

	last := restored.Snapshot.Index + anvilid.Index(len(restored.Entries))
	next := anvilraft.Save{From: last + 1, Entries: entries(last+1, last+2, 50), Hard: hardState(50)}
	assert.NilError(t, storage.Save(next), label)
	want := apply(restored, next)
	_, restored = reopen(true)
	assert.Equal(t, formatState(restored), formatState(want), label)
}

// writeSegment creates a directory whose only segment has three frames after the segment header. It
// returns the path of the segment, the offsets of these frames and the size of the file.
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

// Guards against a start that fails, or restores an entry that was never saved, after a crash in
// the middle of a write. The test truncates the file at each byte of the last frame, flips a bit in
// each byte of that frame, and fills the frame with zeros from each byte on.
func TestTornTail(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	file, offsets := writeSegment(t, dir)
	original, err := os.ReadFile(file)
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
		assert.DeepEqual(t, left, original[:offsets[2]])
	}
	for size := offsets[2]; size < offsets[3]; size++ {
		check(fmt.Sprintf("cut at %d", size), original[:size])
		flipped := slices.Clone(original)
		flipped[size] ^= 0x10
		check(fmt.Sprintf("flipped at %d", size), flipped)
		check(fmt.Sprintf("zeros from %d", size), append(slices.Clone(original[:size]), make([]byte, len(original)-size)...))
	}
}

// Guards against the silent loss of acknowledged saves when data is corrupted. The test flips a bit
// at each position before the last frame: Open must fail, and the error must name the file and the
// offset of the frame.
func TestDamageIsRefused(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "data")
	file, offsets := writeSegment(t, dir)
	original, err := os.ReadFile(file)
	assert.NilError(t, err)
	for position := range offsets[2] {
		flipped := slices.Clone(original)
		flipped[position] ^= 0x10
		assert.NilError(t, os.WriteFile(file, flipped, fileMode))
		_, _, err := Open(dir)
		assert.ErrorIs(t, err, ErrDamaged, "position %d", position)
		record, _ := slices.BinarySearch(offsets, position+1)
		start := append([]int{0}, offsets...)[record]
		assert.ErrorContains(t, err, fmt.Sprintf("%s at offset %d:", file, start))
	}
}

// Guards against an Open that succeeds although files of the directory are missing, renamed,
// truncated or unknown.
func TestForeignAndMissingFiles(t *testing.T) {
	for name, damage := range map[string]func(dir string) error{
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
			assert.NilError(t, damage(dir))
			_, _, err = Open(dir)
			assert.ErrorIs(t, err, ErrDamaged)
		})
	}
}

// Guards against two processes that write to one directory at the same time.
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
	assert.ErrorIs(t, storage.Save(anvilraft.Save{Hard: hardState(1)}), ErrClosed)
}

// Guards against a directory that gets the same storage id again after it was deleted, and against
// reading a format version that this program doesn't know.
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

	header := segmentHeader{version: formatVersion + 1}
	frame := header.append(newFrame(nil))
	finishFrame(frame, frameSegment, fileSeed("", segmentName(1)), 0)
	assert.NilError(t, os.WriteFile(file, frame, fileMode))
	_, _, err = Open(dir)
	assert.ErrorIs(t, err, ErrFormat)
}

// Guards against a data directory of an earlier build that is taken for damaged, because its segments don't say which
// members are known to be committed.
func TestHeaderWithoutMembersAt(t *testing.T) {
	want := segmentHeader{version: formatVersion, storage: "s", sequence: 3, hardState: *hardState(2), prevIndex: 4, prevTerm: 2}
	want.hardState.MembersAt = 0
	payload := want.append(nil)
	header, ok := decodeSegmentHeader(payload[:len(payload)-1])
	assert.Assert(t, ok)
	assert.Equal(t, header, want)
}

// Guards against accepting saves that would make the stored log unreadable.
func TestInvalidSave(t *testing.T) {
	storage, _, err := Open("data", WithFiles(newSimDisk().files()))
	assert.NilError(t, err)
	assert.NilError(t, storage.Save(
		anvilraft.Save{Hard: hardState(2), From: 1, Entries: entries(1, 5, 2)}, anvilraft.Save{Snapshot: snapshot(3, 2)}))
	for name, save := range map[string]anvilraft.Save{
		"gap":                       {From: 7, Entries: entries(7, 7, 2)},
		"gap in entries":            {From: 6, Entries: append(entries(6, 6, 2), entries(8, 8, 2)...)},
		"within snapshot":           {From: 3, Entries: entries(3, 6, 2)},
		"no first index":            {Entries: entries(6, 6, 2)},
		"older snapshot":            {Snapshot: snapshot(2, 2)},
		"lower term":                {Hard: hardState(1)},
		"gap after a discarded log": {Snapshot: snapshot(4, 3), From: 6, Entries: entries(6, 6, 3)},
	} {
		assert.ErrorIs(t, storage.Save(save), ErrInvalid, name)
	}
	assert.NilError(t, storage.Save(anvilraft.Save{From: 6, Entries: entries(6, 6, 2)}))
}

// Guards against a lock that stays in force after its release, because a child process that is
// being started has a copy of the file descriptor. Because of this fault, a group was once created
// in a directory that its voter then could not open. The test copies the descriptor and releases the lock.
func TestReleasedLockIsFree(t *testing.T) {
	path := filepath.Join(t.TempDir(), lockName)
	release, err := lockFile(path)
	assert.NilError(t, err)
	descriptorCopied := false
	entries, err := os.ReadDir("/proc/self/fd")
	assert.NilError(t, err)
	for _, entry := range entries {
		if target, err := os.Readlink("/proc/self/fd/" + entry.Name()); err != nil || target != path {
			continue
		}
		fd, err := strconv.Atoi(entry.Name())
		assert.NilError(t, err)
		copiedDescriptor, err := unix.Dup(fd)
		assert.NilError(t, err)
		defer unix.Close(copiedDescriptor)
		descriptorCopied = true
		break
	}
	assert.Assert(t, descriptorCopied)
	assert.NilError(t, release())
	again, err := lockFile(path)
	assert.NilError(t, err)
	assert.NilError(t, again())
}
