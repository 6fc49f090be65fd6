package anvillogs

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// TestRingIsBounded guards against logs that fill the memory or hold up their
// writers when nobody takes the lines, and against losing warnings to common
// lines.
func TestRingIsBounded(t *testing.T) {
	var out bytes.Buffer
	ring := NewAsyncWriter(&out)
	log, err := NewAsync(ring, "info")
	assert.NilError(t, err)
	text := strings.Repeat("x", 10_000)
	for range 100 {
		log.Write(JobAccepted, zap.String("job", text))
	}
	log.Write(StartUnanswered, zap.String("target", "kept"))
	ring.Flush()
	assert.Assert(t, out.Len() <= ringBytes)
	assert.Assert(t, strings.Contains(out.String(), `"kept"`))
	dropped, _ := ring.TakeLossCounts()
	assert.Assert(t, dropped > 0)
	dropped, _ = ring.TakeLossCounts()
	assert.Equal(t, dropped, int64(0))
}

// TestRingFolds guards against a storm of one event that hides the others.
func TestRingFolds(t *testing.T) {
	var out bytes.Buffer
	ring := NewAsyncWriter(&out)
	log, err := NewAsync(ring, "info")
	assert.NilError(t, err)
	for range 3 * foldFirst {
		log.Write(TargetLeaseExpired)
	}
	ring.Flush()
	_, folded := ring.TakeLossCounts()
	written := strings.Count(out.String(), "\n")
	assert.Assert(t, folded > 0)
	assert.Equal(t, int64(written)+folded, int64(3*foldFirst))
}

func BenchmarkRing(b *testing.B) {
	ring := NewAsyncWriter(&bytes.Buffer{})
	log, err := NewAsync(ring, "info")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := range b.N {
		log.Write(JobAccepted, zap.String("job", "5c0e7a21d94b36f8"), zap.Int("n", i))
		if i%1000 == 0 {
			ring.Flush()
		}
	}
}
