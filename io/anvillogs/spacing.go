package anvillogs

import "anvilshunt/core/anvilclock"

// Spacing keeps the lines about events of one kind apart: the first event gets a line at once, and later ones share a line
// if they come too soon after it. Its zero value is ready to use.
type Spacing struct {
	count     int // events since the latest line
	written   bool
	writtenAt anvilclock.Millis
}

// Add counts an event.
func (s *Spacing) Add() { s.count++ }

// Due returns how many events a line has to account for now, or 0 if none is due: there was no event since the latest line,
// or that is less than span ago. The caller must write the line.
func (s *Spacing) Due(now, span anvilclock.Millis) int {
	if s.count == 0 || s.written && now-s.writtenAt < span {
		return 0
	}
	count := s.count
	*s = Spacing{written: true, writtenAt: now}
	return count
}
