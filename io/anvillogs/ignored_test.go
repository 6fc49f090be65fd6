package anvillogs

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
)

// TestIgnored guards against an ignored entry without a line or a count, and against one line for each time
// that a list is read, or a line as large as the entry.
func TestIgnored(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "debug")
	assert.NilError(t, err)
	now := anvilclock.Millis(5)
	ignored := NewIgnored(anvilclock.Clock{Now: func() anvilclock.Millis { return now }}, log, EntryIgnored)
	large := strings.Repeat("x", 1<<20)
	for range 25 {
		ignored.Add("machines", "", []byte(large), errors.New(large))
		ignored.Add("runs", "w1", []byte("{}"), errors.New("not a list"))
		now += anvilclock.Second
	}
	assert.Equal(t, ignored.Total(), uint64(50))
	assert.Equal(t, strings.Count(out.String(), "\n"), 6)
	assert.Equal(t, strings.Count(out.String(), `"folded":9`), 4)
	assert.Assert(t, out.Len() < 6*1000)

	for i := range 5000 {
		ignored.Add("runs", "w1", nil, fmt.Errorf("error %d", i))
	}
	assert.Assert(t, len(ignored.kinds) <= maxIgnoredKinds)
}
