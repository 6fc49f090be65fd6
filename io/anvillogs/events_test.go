package anvillogs

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// page is the path of the documentation of events, relative to the directory of this test.
const page = "../../docs/events.md"

// documented returns the events by number from the tables of the documentation page. Every row
// that begins with a number describes an event.
func documented(t *testing.T) map[int]Event {
	data, err := os.ReadFile(page)
	assert.NilError(t, err)
	events := map[int]Event{}
	for _, line := range strings.Split(string(data), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 2 {
			continue
		}
		number, err := strconv.Atoi(strings.TrimSpace(cells[1]))
		if err != nil {
			continue
		}
		// The row begins and ends with a separator, so there is an empty cell before the first
		// of the 5 columns and after the last one.
		assert.Equal(t, len(cells), 7, "event %d: want 5 columns", number)
		for i, cell := range cells[1:6] {
			assert.Assert(t, strings.TrimSpace(cell) != "", "event %d: column %d is empty", number, i+1)
		}
		event := Event{Number: number, Text: strings.TrimSpace(cells[3])}
		assert.NilError(t, event.Level.UnmarshalText([]byte(strings.TrimSpace(cells[2]))), "event %d", number)
		_, doubled := events[number]
		assert.Assert(t, !doubled, "event %d is documented twice", number)
		events[number] = event
	}
	return events
}

// TestPage guards against events that are missing in the documentation, and against
// documentation whose numbers, levels or texts differ from the code.
func TestPage(t *testing.T) {
	assert.DeepEqual(t, documented(t), Catalogue())
}

var (
	definition = regexp.MustCompile(`(?m)^\s*(\w+)\s*= define\((\d+),`)
	use        = regexp.MustCompile(`anvillogs\.(\w+)\b`)
)

// TestWritten guards against events that are defined and documented, but that no code
// writes any more. It searches the source files for a use of each event variable.
func TestWritten(t *testing.T) {
	source, err := os.ReadFile("events.go")
	assert.NilError(t, err)
	definitions := definition.FindAllStringSubmatch(string(source), -1)
	assert.Equal(t, len(definitions), len(Catalogue()), "definitions in events.go")
	files, err := filepath.Glob("../*/*.go")
	assert.NilError(t, err)
	commands, err := filepath.Glob("../*/*/*.go")
	assert.NilError(t, err)
	adapter, err := filepath.Glob("../../platform/*.go")
	assert.NilError(t, err)
	files = append(append(files, commands...), adapter...)
	used := map[string]bool{}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		for _, match := range use.FindAllStringSubmatch(string(data), -1) {
			used[match[1]] = true
		}
	}
	for _, match := range definitions {
		assert.Assert(t, used[match[1]], "event %s %s is never written", match[2], match[1])
	}
}
