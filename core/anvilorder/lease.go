package anvilorder

import (
	"anvilshunt/core/anvilclock"
)

const (
	// slowest is how much slower than true time a target's clock may be.
	slowest = 0.02
	// leaseMargin covers the rounding of clocks and the end of what ran.
	leaseMargin = 100 * anvilclock.Millisecond
)

// reading is one reading of a target's clock. The clock showed this value at
// some time between sent and received.
type reading struct {
	clock          TargetClock
	sent, received anvilclock.Millis
}

// least returns the lowest value that the clock can show at a time.
func (r reading) least(at anvilclock.Millis) TargetClock {
	return r.clock + TargetClock(float64(max(0, at-r.received))*(1-slowest))
}

// certain returns the time from which on the clock certainly shows at least a
// value.
func (r reading) certain(value TargetClock) anvilclock.Millis {
	if value <= r.clock {
		return r.received
	}
	return r.received + anvilclock.Millis(float64(value-r.clock)/(1-slowest)) + 1
}

// lease follows what was granted to one incarnation of a target.
type lease struct {
	known  bool
	read   reading
	latest TargetClock // the highest deadline that any order carried
	// before is the time until which a former leader's grants may hold.
	before anvilclock.Millis
}

// note takes a reading of the clock from an answer.
func (l *lease) note(answer Answer) {
	if answer.Clock == 0 || l.known && answer.Received < l.read.received {
		return
	}
	l.known, l.read = true, reading{answer.Clock, answer.Sent, answer.Received}
}

// grant returns a new deadline, counted from now, or 0 if the target's clock
// isn't known.
func (l *lease) grant(now, span anvilclock.Millis) TargetClock {
	if !l.known {
		return 0
	}
	l.latest = max(l.latest, l.read.least(now)+TargetClock(span))
	return l.latest
}

// over returns the time from which on nothing runs any more that was started
// or extended by any order so far.
func (l *lease) over() anvilclock.Millis {
	end := l.before
	if l.known && l.latest > 0 {
		end = max(end, l.read.certain(l.latest))
	}
	return end + leaseMargin
}
