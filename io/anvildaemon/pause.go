package anvildaemon

import (
	"syscall"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/io/anvillogs"
)

const (
	// pauseLimit is the shortest pause of a process that is logged: the shortest election timeout of the voters.
	pauseLimit = 350 * anvilclock.Millisecond
	// pauseLogInterval is the shortest time between two lines about pauses.
	pauseLogInterval = anvilclock.Second
)

// instant is one moment as several clocks show it.
type instant struct {
	// steady and boot are times of anvilclock.Monotonic, which stands still while the machine is suspended, and of
	// anvilclock.Boot, which doesn't.
	steady, boot anvilclock.Millis
	// processor is the processor time that the process has used.
	processor time.Duration
}

// since returns the time that has passed since an earlier instant.
func (i instant) since(earlier instant) instant {
	return instant{steady: i.steady - earlier.steady, boot: i.boot - earlier.boot, processor: i.processor - earlier.processor}
}

// longer reports whether a time between instants is longer than another one.
func (i instant) longer(other instant) bool {
	return max(i.steady, i.boot) > max(other.steady, other.boot)
}

// readInstant returns a function that reads the clocks of this process.
func readInstant() func() instant {
	steady, boot := anvilclock.Monotonic(), anvilclock.Boot()
	return func() instant {
		var used syscall.Rusage
		// It can't fail for the process itself.
		_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used)
		return instant{steady.Now(), boot.Now(), time.Duration(used.Utime.Nano() + used.Stime.Nano())}
	}
}

// pauseWatch notices that the process did not run: the time between two ticks is far above their interval. The writer of
// the log ticks already, so the watch wakes the process no more often.
type pauseWatch struct {
	log  *anvillogs.Logger
	read func() instant

	ticked bool
	last   instant
	// longest is the longest pause since the latest line.
	longest instant
	lines   anvillogs.Spacing
}

// tick records that the process is running now.
func (w *pauseWatch) tick() {
	now := w.read()
	passed := now.since(w.last)
	if w.ticked && passed.longer(instant{steady: pauseLimit}) {
		w.lines.Add()
		if passed.longer(w.longest) {
			w.longest = passed
		}
	}
	w.ticked, w.last = true, now
	pauses := w.lines.Due(now.boot, pauseLogInterval)
	if pauses == 0 {
		return
	}
	w.log.Write(anvillogs.ProcessPaused, zap.Int64("steady", int64(w.longest.steady)), zap.Int64("boot", int64(w.longest.boot)),
		zap.Int64("processor", w.longest.processor.Milliseconds()), zap.Int("pauses", pauses), zap.Int64("limit", int64(pauseLimit)))
	w.longest = instant{}
}
