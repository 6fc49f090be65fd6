// Package anvilclock provides the millisecond clock type of the project.
//
// The pure packages receive the current time as an argument. Only adapters
// read a clock.
package anvilclock

import "time"

// Millis is an instant of a clock, or the span between two instants, in
// milliseconds. Instants of different clocks must not be compared.
type Millis int64

// Common spans.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration converts a span for use with package time.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts a time.Duration, rounding towards zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock reads the current time. Tests replace Now.
type Clock struct {
	Now func() Millis
}

// Monotonic returns a clock that counts from its creation and is unaffected
// by changes of the wall clock. Leases are measured with it.
func Monotonic() Clock {
	start := time.Now()
	return Clock{Now: func() Millis { return FromDuration(time.Since(start)) }}
}

// Wall returns a clock that counts from the Unix epoch. It is used only for
// times that are shown to people or compared between machines.
func Wall() Clock {
	return Clock{Now: func() Millis { return Millis(time.Now().UnixMilli()) }}
}

// Manual is a clock that moves only when it is told to.
type Manual struct {
	now Millis
}

// Clock returns a clock that reads m.
func (m *Manual) Clock() Clock { return Clock{Now: func() Millis { return m.now }} }

// Now returns the current reading.
func (m *Manual) Now() Millis { return m.now }

// Advance moves the clock forward by span.
func (m *Manual) Advance(span Millis) { m.now += span }
