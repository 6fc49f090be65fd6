package anvillogs

import (
	"bytes"
	"encoding/json"
	"fmt"
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
	lost := writer.TakeLost()
	assert.Assert(t, lost.Dropped > 0)
	assert.DeepEqual(t, lost.ByEvent, map[int]int64{JobAccepted.Number: lost.Dropped})
	assert.DeepEqual(t, writer.TakeLost(), Lost{})
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
	folded := writer.TakeLost().Folded
	written := strings.Count(out.String(), "\n")
	assert.Assert(t, folded > 0)
	assert.Equal(t, int64(written)+folded, int64(3*asyncSampleFirst))
}

// TestStateChangesAreKept guards against lines about requests and targets that displace those about changes of state, in
// the buffer or in the sampler, which uses one counter for texts with the same hash.
func TestStateChangesAreKept(t *testing.T) {
	var out bytes.Buffer
	writer := NewAsyncWriter(&out)
	log, err := NewAsync(writer, "debug")
	assert.NilError(t, err)
	log = log.With(zap.String("instance", "i"))
	for _, event := range Catalogue() {
		for range 2 * asyncSampleFirst {
			if !stateChanges[event.Text] {
				log.Write(event, zap.String("path", strings.Repeat("x", 100)))
			}
		}
	}
	for _, event := range Catalogue() {
		if stateChanges[event.Text] {
			log.Write(event)
		}
	}
	writer.Flush()
	for _, number := range []int{203, 213, 215, 216, 217, 218, 601, 602} {
		assert.Assert(t, stateChanges[Catalogue()[number].Text], "event %d", number)
	}
	for number, event := range Catalogue() {
		if stateChanges[event.Text] {
			assert.Equal(t, strings.Count(out.String(), fmt.Sprintf(`"instance":"i","event":%d}`, number)), 1, "event %d", number)
		}
	}
	assert.Assert(t, writer.TakeLost().Dropped > 0)
}

// TestLostLinesByEvent guards against a line 107 from which it can't be told which decisions have no lines: the record of
// an incident lacked the placements of runs, and nothing said so.
func TestLostLinesByEvent(t *testing.T) {
	var direct bytes.Buffer
	log, err := New(&direct, "info")
	assert.NilError(t, err)
	var buffered bytes.Buffer
	writer := NewAsyncWriter(&buffered)
	async, err := NewAsync(writer, "info")
	assert.NilError(t, err)
	for _, c := range []struct {
		log *Logger
		out *bytes.Buffer
	}{{log, &direct}, {async.With(zap.String("instance", "i")), &buffered}} {
		const placed, ended = 3 * asyncSampleFirst, 2 * asyncSampleFirst
		for n := range placed {
			c.log.Write(RunPlaced, zap.Int("n", n))
			if n < ended {
				c.log.Write(RunEnded, zap.Int("n", n))
			}
		}
		c.log.WriteLost(LogLinesDropped)
		c.log.WriteLost(LogLinesDropped)
		writer.Flush()
		written := map[int]int64{}
		var omitted []map[string]int64
		for line := range strings.Lines(c.out.String()) {
			var fields struct {
				Event  int
				Events map[string]int64
			}
			assert.NilError(t, json.Unmarshal([]byte(line), &fields))
			written[fields.Event]++
			if fields.Event == LogLinesDropped.Number {
				omitted = append(omitted, fields.Events)
			}
		}
		assert.DeepEqual(t, omitted, []map[string]int64{{"607": placed - written[RunPlaced.Number], "610": ended - written[RunEnded.Number]}})
	}
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
