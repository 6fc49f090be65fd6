// Package anvilclock provides the millisecond time type and the clocks of the project.
//
// Packages without I/O receive the current time as an argument. Only adapters, which do
// I/O, read a clock.
package anvilclock

import "time"

// Millis is a point in time on some clock, or the duration between two points, in
// milliseconds. Times of different clocks must not be compared.
type Millis int64

// Units of time, for durations such as 5*Second.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration converts m, taken as a duration and not as a point in time, to the type of package time.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts a time.Duration, rounding towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// maxMillis limits what FromFloat returns: times until the year 2109, which can be added up and converted to
// the type of package time without an overflow.
const maxMillis Millis = 1 << 42

// FromFloat converts a number of milliseconds from a document, rounding towards zero. Numbers out of range
// become the nearest one in range; without that, the result would depend on the processor.
func FromFloat(ms float64) Millis {
	return Millis(max(-float64(maxMillis), min(ms, float64(maxMillis))))
}

// Clock reads the current time. Tests replace Now.
type Clock struct {
	Now func() Millis
}

// Monotonic returns a clock that starts at zero when it is created and is unaffected by
// changes of the wall clock. Leases and timeouts are measured with such a clock.
func Monotonic() Clock {
	start := time.Now()
	return Clock{Now: func() Millis { return FromDuration(time.Since(start)) }}
}

// Wall returns a clock that counts from the Unix epoch. It is used only for times that are
// shown to people or compared between machines.
func Wall() Clock {
	return Clock{Now: func() Millis { return Millis(time.Now().UnixMilli()) }}
}

// Manual is a clock for tests that advances only when Advance is called.
type Manual struct {
	now Millis
}

// Clock returns a clock that reads m.
func (m *Manual) Clock() Clock { return Clock{Now: func() Millis { return m.now }} }

// Now returns the current time of the clock.
func (m *Manual) Now() Millis { return m.now }

// Advance moves the clock forward by a duration.
func (m *Manual) Advance(d Millis) { m.now += d }
