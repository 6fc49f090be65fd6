package anvildisk

import (
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilraft"
)

// TestOpenWaitsForOneSync guards against a restart that makes one sync after another. While a data directory is opened, its
// voter takes part in no election, and with syncs of a second all voters were away for seconds after an outage.
func TestOpenWaitsForOneSync(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "log")
	storage, _, err := Open(dir)
	assert.NilError(t, err)
	assert.NilError(t, storage.Save(anvilraft.Save{From: 1, Entries: entries(1, 3, 1), Hard: hardState(1)}))
	assert.NilError(t, storage.Close())

	files, begun := together(3) // of the last segment, of the directory and of its parent
	storage, restored, err := Open(dir, WithFiles(files))
	assert.NilError(t, err)
	assert.Equal(t, len(restored.Entries), 3)
	assert.Equal(t, begun.Load(), int64(3))
	assert.NilError(t, storage.Close())
}

// TestFirstSaveWaitsForOneSync guards against a voter with a lost disk that makes several syncs one after another before it has
// stored its copy of the log. With syncs of a second it had no vote yet when further disks were lost.
func TestFirstSaveWaitsForOneSync(t *testing.T) {
	for name, test := range map[string]struct {
		syncs int64
		saves []anvilraft.Save
	}{
		"entries":  {3, []anvilraft.Save{{From: 1, Entries: entries(1, 3, 1), Hard: hardState(1)}}},
		"snapshot": {4, []anvilraft.Save{{Hard: hardState(1)}, {Snapshot: snapshot(20, 1)}, {From: 21, Entries: entries(21, 23, 1)}}},
	} {
		t.Run(name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "log")
			files, begun := together(test.syncs)
			storage, created, err := Open(dir, WithFiles(files), WithDeferredCreation())
			assert.NilError(t, err)
			assert.Equal(t, begun.Load(), int64(0), "syncs before the first save")
			assert.NilError(t, storage.Save(test.saves...))
			assert.Equal(t, begun.Load(), test.syncs)
			assert.NilError(t, storage.Close())
			storage, restored, err := Open(dir)
			assert.NilError(t, err)
			assert.Equal(t, restored.Storage, created.Storage)
			assert.Equal(t, len(restored.Entries), 3)
			assert.NilError(t, storage.Close())
		})
	}
}

// TestFirstSaveLosesNames guards against a directory that can't be opened any more, or that is restored without its snapshot,
// after a power failure that has kept some of the names of the first save and lost others.
func TestFirstSaveLosesNames(t *testing.T) {
	for _, lost := range []string{segmentName(1), snapshotName(20)} {
		dir := filepath.Join(t.TempDir(), "log")
		storage, first, err := Open(dir, WithDeferredCreation())
		assert.NilError(t, err)
		saves := []anvilraft.Save{{Hard: hardState(1)}, {Snapshot: snapshot(20, 1)}}
		assert.NilError(t, storage.Save(saves...))
		assert.NilError(t, storage.Close())
		assert.NilError(t, os.Remove(filepath.Join(dir, createdName)))
		assert.NilError(t, os.Remove(filepath.Join(dir, lost)))
		storage, second, err := Open(dir, WithDeferredCreation())
		assert.NilError(t, err, lost)
		assert.Assert(t, second.Created && second.Storage != first.Storage)
		assert.NilError(t, storage.Save(saves...))
		assert.NilError(t, storage.Close())
	}
}

// TestUnstoredStorage guards against a storage id that is seen again although nothing of the directory was stored, or only a
// part of its first segment: another directory may have been announced meanwhile. A process that died while it wrote must not
// leave a directory that can't be opened. Its age tells how long it was there, and how long nothing was stored.
func TestUnstoredStorage(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "log")
	var age Age
	open := func() (*Storage, anvilraft.StorageID, bool) {
		storage, restored, err := Open(dir, WithDeferredCreation())
		assert.NilError(t, err)
		age = restored.Age
		return storage, restored.Storage, restored.Created
	}
	changed := func(name string, before time.Duration) {
		assert.NilError(t, os.Chtimes(filepath.Join(dir, name), time.Time{}, time.Now().Add(-before)))
	}
	storage, first, _ := open()
	assert.NilError(t, storage.Close())
	changed(lockName, time.Minute)
	storage, second, created := open()
	assert.Assert(t, created && second != first)
	assert.Assert(t, age.Created >= 60_000 && age.Written == -1, "%+v", age)
	header := len(storage.header)
	assert.NilError(t, storage.Save(anvilraft.Save{From: 1, Entries: entries(1, 3, 1), Hard: hardState(1)}))
	assert.NilError(t, storage.Close())
	segment := filepath.Join(dir, segmentName(1))
	content, err := os.ReadFile(segment)
	assert.NilError(t, err)
	for size := range content {
		assert.NilError(t, os.Remove(filepath.Join(dir, createdName)))
		assert.NilError(t, os.WriteFile(segment, content[:size], fileMode))
		changed(segmentName(1), 20*time.Second)
		storage, third, created := open()
		assert.Assert(t, age.Created >= 60_000 && age.Written >= 20_000 && age.Written < 40_000, "cut at %d: %+v", size, age)
		assert.Equal(t, third == second, size >= header, "cut at %d", size)
		assert.Equal(t, created, size < header, "cut at %d", size)
		assert.NilError(t, storage.Save(anvilraft.Save{From: 1, Entries: entries(1, 1, 1), Hard: hardState(1)}))
		assert.NilError(t, storage.Close())
	}
}

// together returns file functions whose syncs end only once the given number of them has begun, and the number that has begun.
func together(syncs int64) (Files, *atomic.Int64) {
	var begun atomic.Int64
	all := make(chan struct{})
	wait := func() error {
		if begun.Add(1) == syncs {
			close(all)
		}
		select {
		case <-all:
			return nil
		case <-time.After(10 * time.Second):
			return errors.New("a sync waits for another one")
		}
	}
	files := OSFiles()
	hook := func(open func(string) (*File, error)) func(string) (*File, error) {
		return func(path string) (*File, error) {
			file, err := open(path)
			if err == nil {
				file.Sync = wait
			}
			return file, err
		}
	}
	files.Open, files.Create = hook(files.Open), hook(files.Create)
	files.SyncDir = func(string) error { return wait() }
	return files, &begun
}
