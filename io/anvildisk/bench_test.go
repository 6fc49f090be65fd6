package anvildisk

import (
	"fmt"
	"path/filepath"
	"testing"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"

	"gotest.tools/v3/assert"
)

const entryBytes = 200

func saveOfZeros(from anvilid.Index, count int) anvilraft.Save {
	save := anvilraft.Save{From: from, Entries: entries(from, from+anvilid.Index(count)-1, 1)}
	for i := range save.Entries {
		save.Entries[i].Data = make([]byte, entryBytes)
	}
	return save
}

func BenchmarkSave(b *testing.B) {
	for _, count := range []int{1, 100} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			storage, _, err := Open(filepath.Join(b.TempDir(), "data"))
			assert.NilError(b, err)
			next := anvilid.Index(1)
			for b.Loop() {
				if err := storage.Save(saveOfZeros(next, count)); err != nil {
					b.Fatal(err)
				}
				next += anvilid.Index(count)
			}
			assert.NilError(b, storage.Close())
		})
	}
}

func BenchmarkOpen(b *testing.B) {
	const count = 100_000
	dir := filepath.Join(b.TempDir(), "data")
	storage, _, err := Open(dir)
	assert.NilError(b, err)
	for next := anvilid.Index(1); next <= count; next += 100 {
		assert.NilError(b, storage.Save(saveOfZeros(next, 100)))
	}
	assert.NilError(b, storage.Close())
	for b.Loop() {
		storage, restored, err := Open(dir)
		if err != nil || len(restored.Entries) != count {
			b.Fatal(err, len(restored.Entries))
		}
		assert.NilError(b, storage.Close())
	}
}
