package anvilvoter

import (
	"sync"

	"anvilshunt/core/anvilclock"
)

// logTime is the time with which a voter stamps log entries. It starts with the wall clock and the entries of
// earlier leaders, and then advances with the monotonic clock. So it never goes back and never stands still
// when the wall clock is set back: durations are measured with it, such as how long a job has waited.
type logTime struct {
	mu   sync.Mutex
	at   anvilclock.Millis
	read anvilclock.Millis // when at was current, by the monotonic clock
}

// now returns the present log time, given the readings of both clocks.
func (t *logTime) now(monotonic, wall anvilclock.Millis) anvilclock.Millis {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at = max(t.at+max(0, monotonic-t.read), wall)
	t.read = max(t.read, monotonic)
	return t.at
}

// LogTime returns the time with which this voter would stamp a log entry now.
func (v *Voter) LogTime() anvilclock.Millis { return v.logTime.now(v.clock.Now(), v.wall.Now()) }
