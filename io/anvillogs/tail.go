package anvillogs

import (
	"strings"
	"sync"
)

// tailLength is the number of lines that a Tail stores.
const tailLength = 60

// Tail stores the last lines of a log, so that a test can print them when it fails.
type Tail struct {
	mu    sync.Mutex
	lines []string
}

// Write adds one line and drops the oldest one if there are too many.
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
