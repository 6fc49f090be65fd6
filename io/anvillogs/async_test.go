package anvillogs

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// TestAsyncWriterIsBounded guards against a buffer that grows without limit, or a logger that
// blocks, while the buffered lines are not written. It also guards against lines at the level
// "info" that fill the buffer, so that warnings are dropped.
func TestAsyncWriterIsBounded(t *testing.T) {
	var out bytes.Buffer
	writer := NewAsyncWriter(&out)
	log, err := NewAsync(writer, "info")
	assert.NilError(t, err)
	text := strings.Repeat("x", 10_000)
	for range 100 {
		log.Write(JobAccepted, zap.String("job", text))
	}
	log.Write(StartUnanswered, zap.String("target", "kept"))
	writer.Flush()
	assert.Assert(t, out.Len() <= maxBufferedBytes)
	assert.Assert(t, strings.Contains(out.String(), `"kept"`))
	dropped, _ := writer.TakeLost()
	assert.Assert(t, dropped > 0)
	dropped, _ = writer.TakeLost()
	assert.Equal(t, dropped, int64(0))
}

// TestAsyncWriterSamples guards against an event that is repeated so often that its lines
// displace those of other events, and against omitted lines that are not counted.
func TestAsyncWriterSamples(t *testing.T) {
	var out bytes.Buffer
	writer := NewAsyncWriter(&out)
	log, err := NewAsync(writer, "info")
	assert.NilError(t, err)
	for range 3 * asyncSampleFirst {
		log.Write(TargetLeaseExpired)
	}
	writer.Flush()
	_, folded := writer.TakeLost()
	written := strings.Count(out.String(), "\n")
	assert.Assert(t, folded > 0)
	assert.Equal(t, int64(written)+folded, int64(3*asyncSampleFirst))
}

func BenchmarkAsyncWriter(b *testing.B) {
	writer := NewAsyncWriter(&bytes.Buffer{})
	log, err := NewAsync(writer, "info")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := range b.N {
		log.Write(JobAccepted, zap.String("job", "5c0e7a21d94b36f8"), zap.Int("n", i))
		if i%1000 == 0 {
			writer.Flush()
		}
	}
}
