package anvilorder

import (
	"anvilshunt/core/anvilclock"
)

const (
	// maxClockSlowness is the largest assumed lag of a target's clock rate behind true time, as
	// a fraction.
	maxClockSlowness = 0.02
	// leaseMargin covers the rounding of clocks, and the time in which a target ends its runs
	// after its lease has expired.
	leaseMargin = 100 * anvilclock.Millisecond
)

// reading is one reading of a target's clock. The clock showed this value at some time
// between sent and received.
type reading struct {
	clock          TargetClock
	sent, received anvilclock.Millis
}

// minAt returns the lowest value that the clock can show at a time.
func (r reading) minAt(at anvilclock.Millis) TargetClock {
	return r.clock + TargetClock(float64(max(0, at-r.received))*(1-maxClockSlowness))
}

// certainlyReaches returns the earliest time at which the clock certainly shows value or
// more.
func (r reading) certainlyReaches(value TargetClock) anvilclock.Millis {
	if value <= r.clock {
		return r.received
	}
	return r.received + anvilclock.Millis(float64(value-r.clock)/(1-maxClockSlowness)) + 1
}

// lease tracks the lease that was granted to one incarnation of a target.
type lease struct {
	clockKnown     bool
	latestReading  reading
	latestDeadline TargetClock // the highest deadline in any order so far
	// untrackedUntil is until when runs may last that latestDeadline doesn't cover: a former
	// leader granted their lease, or their start was sent to a former incarnation of the
	// target.
	untrackedUntil anvilclock.Millis
}

// recordReading records the clock reading in an answer, unless a later one is known.
func (l *lease) recordReading(answer Answer) {
	if answer.Clock == 0 || l.clockKnown && answer.Received < l.latestReading.received {
		return
	}
	l.clockKnown, l.latestReading = true, reading{answer.Clock, answer.Sent, answer.Received}
}

// grant returns a new deadline that is span after now, or 0 if the target's clock isn't
// known.
func (l *lease) grant(now, span anvilclock.Millis) TargetClock {
	if !l.clockKnown {
		return 0
	}
	l.latestDeadline = max(l.latestDeadline, l.latestReading.minAt(now)+TargetClock(span))
	return l.latestDeadline
}

// certainlyEndedAt returns the time from which on no run that was started or extended by
// any order so far can still be running.
func (l *lease) certainlyEndedAt() anvilclock.Millis {
	end := l.untrackedUntil
	if l.clockKnown && l.latestDeadline > 0 {
		end = max(end, l.latestReading.certainlyReaches(l.latestDeadline))
	}
	return end + leaseMargin
}
