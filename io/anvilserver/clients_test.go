package anvilserver

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilbudget"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilsettings"
)

// Guards against a budget under which one legal body could never be read, and against more connections than the limit of
// open files allows.
func TestClientLimits(t *testing.T) {
	for _, c := range []struct {
		name        string
		buffers     anvilid.ByteCount
		memory      int64
		files       uint64
		err         error
		bytes       anvilid.ByteCount
		connections int
	}{
		{"no limits", 0, math.MaxInt64, math.MaxUint64, nil, 64 << 20, 4096},
		{"memory limit", 0, 64 << 20, 1024, nil, 8 << 20, 724},
		{"setting", 16 << 20, 64 << 20, 450, nil, 16 << 20, 225},
		{"memory limit too low", 0, 31 << 20, 1024, anvilbudget.ErrMemoryLimit, 0, 724},
	} {
		t.Run(c.name, func(t *testing.T) {
			limits := anvilsettings.Defaults().Limits
			limits.Buffers = c.buffers
			got, err := clientLimits(limits, c.memory, c.files)
			assert.ErrorIs(t, err, c.err)
			assert.Equal(t, got.Bytes, c.bytes)
			assert.Equal(t, got.Connections, c.connections)
		})
	}
}
