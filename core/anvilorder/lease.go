package anvilorder

import (
	"anvilshunt/core/anvilclock"
)

const (
	// maxClockSlowness is the largest fraction by which a target's clock is assumed to run slower
	// than real time: 0.02 means that it may advance by only 980 ms in a second.
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

// minAt returns the lowest value that the target's clock can show at a time of the leader's
// clock.
func (r reading) minAt(at anvilclock.Millis) TargetClock {
	return r.clock + TargetClock(float64(max(0, at-r.received))*(1-maxClockSlowness))
}

// lowestAt is minAt for any time, also one before the reading. A target's clock isn't fast.
func (r reading) lowestAt(at anvilclock.Millis) TargetClock {
	return r.minAt(at) - TargetClock(max(0, r.received-at))
}

// certainlyReaches returns the time, by the leader's clock, from which on the target's clock
// is certain to show value or more, even if it runs as slowly as maxClockSlowness allows.
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
	// untrackedUntil is the time, by the leader's clock, until which runs may last whose lease
	// isn't covered by latestDeadline, because a former leader granted it or because the start
	// was sent to a former incarnation of the target.
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

// everGranted reports whether any order so far may have given the target a lease, whether it has expired or
// not.
func (l *lease) everGranted() bool { return l.latestDeadline > 0 || l.untrackedUntil > 0 }

// certainlyEndedAt returns the time from which on no run that was started or extended by
// any order so far can still be running, by the leader's clock.
func (l *lease) certainlyEndedAt() anvilclock.Millis {
	end := l.untrackedUntil
	if l.clockKnown && l.latestDeadline > 0 {
		end = max(end, l.latestReading.certainlyReaches(l.latestDeadline))
	}
	return end + leaseMargin
}
