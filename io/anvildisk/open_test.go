package anvildisk

import (
	"errors"
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

	const syncs = 3 // of the last segment, of the directory and of its parent
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
	open := files.Open
	files.Open = func(path string) (*File, error) {
		file, err := open(path)
		if err == nil {
			file.Sync = wait
		}
		return file, err
	}
	files.SyncDir = func(string) error { return wait() }
	storage, restored, err := Open(dir, WithFiles(files))
	assert.NilError(t, err)
	assert.Equal(t, len(restored.Entries), 3)
	assert.Equal(t, begun.Load(), int64(syncs))
	assert.NilError(t, storage.Close())
}
