package anvillogs

import (
	"strings"
	"sync"
)

// tailLength bounds the lines that a Tail keeps.
const tailLength = 60

// Tail keeps the last lines of a log for the report of a failure.
type Tail struct {
	mu    sync.Mutex
	lines []string
}

// Write takes one line.
func (t *Tail) Write(line []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.lines) == tailLength {
		t.lines = t.lines[1:]
	}
	t.lines = append(t.lines, string(line))
	return len(line), nil
}

func (t *Tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.lines, "")
}
