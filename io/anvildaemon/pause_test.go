package anvildaemon

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/io/anvillogs"
)

// pauseLine is the line of anvillogs.ProcessPaused.
type pauseLine struct {
	Event, Steady, Boot, Processor, Pauses int
}

// TestPauseWatch guards against a silent process of which the log doesn't tell whether it was stopped, starved, suspended
// with its machine or busy, and against a line for each pause of a process that hardly runs.
func TestPauseWatch(t *testing.T) {
	var out bytes.Buffer
	log, err := anvillogs.New(&out, "info")
	assert.NilError(t, err)
	var now instant
	watch := &pauseWatch{log: log, read: func() instant { return now }}
	pass := func(steady, boot anvilclock.Millis, processor time.Duration) {
		now = instant{now.steady + steady, now.boot + boot, now.processor + processor}
		watch.tick()
	}
	lines := func() (lines []pauseLine) {
		for decoder := json.NewDecoder(&out); decoder.More(); {
			var line pauseLine
			assert.NilError(t, decoder.Decode(&line))
			lines = append(lines, line)
		}
		return lines
	}
	pass(anvilclock.Hour, anvilclock.Hour, 0)
	for range 100 {
		pass(100, 100, time.Millisecond)
	}
	pass(pauseLimit, pauseLimit, 0)
	assert.Equal(t, len(lines()), 0, "a process that runs, and the first tick")
	pass(9200, 9200, 3*time.Millisecond)
	assert.DeepEqual(t, lines(), []pauseLine{{109, 9200, 9200, 3, 1}})
	pass(100, 5100, 0)
	assert.DeepEqual(t, lines(), []pauseLine{{109, 100, 5100, 0, 1}})
	for range 20 {
		pass(400, 400, 0)
	}
	pass(500, 500, 20*time.Millisecond)
	written := lines()
	assert.Assert(t, len(written) >= 6 && len(written) <= 9, "%d lines in 8.5 s", len(written))
	assert.Equal(t, written[0].Pauses, 3)
	pass(100, 100, 0)
	pass(1000, 1000, 0)
	assert.Equal(t, len(lines()), 1)
}

// TestPauseIsLogged guards against a process that is held up and doesn't log it, or that takes its usual interval for a
// pause.
func TestPauseIsLogged(t *testing.T) {
	var out bytes.Buffer
	writer := anvillogs.NewAsyncWriter(&out)
	log, err := anvillogs.NewAsync(writer, "info")
	assert.NilError(t, err)
	watch := &pauseWatch{log: log, read: readInstant()}
	watch.tick()
	watch.tick()
	time.Sleep(2 * pauseLimit.Duration())
	watch.tick()
	writer.Flush()
	assert.Equal(t, strings.Count(out.String(), `"event":109`), 1, out.String())
}

func BenchmarkPauseWatch(b *testing.B) {
	watch := &pauseWatch{log: anvillogs.Discard(), read: readInstant()}
	for range b.N {
		watch.tick()
	}
}
