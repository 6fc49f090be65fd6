package anvillead

import (
	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
)

// logCapacityChange logs that a target announces another capacity than the one that is known. It must be
// called before the announcement is committed.
func (l *Leader) logCapacityChange(announced anvilwork.Target) {
	l.shared.With(func(s *shared) {
		known, ok := s.state.Target(announced.ID)
		if !ok || known.Incarnation != announced.Incarnation || known.Resources == announced.Resources {
			return
		}
		l.log.Write(anvillogs.CapacityChanged, zap.String("target", string(announced.ID)), zap.Uint64("sequence", announced.Sequence),
			zap.Ints("before", amounts(known.Resources)), zap.Ints("now", amounts(announced.Resources)),
			zap.Ints("assigned", amounts(s.state.Load(announced.ID))))
	})
}

// hasShrunk reports whether a target has, or may have, less of some resource now than in an earlier record. A
// target that has left or has been replaced by another incarnation has none of the resources of the record, and
// one that hasn't announced itself for too long may have shrunk.
func (l *Leader) hasShrunk(earlier anvilwork.Target) (shrunk bool) {
	l.shared.With(func(s *shared) {
		known, ok := s.state.Target(earlier.ID)
		shrunk = !ok || known.Incarnation != earlier.Incarnation || !known.Resources.Holds(earlier.Resources) || l.isSilent(s.heard, earlier)
	})
	return shrunk
}

// isSilent reports whether the latest announcement of a target is too old to start runs there. A target that
// this process hasn't heard counts as heard in time, as the Tracker knows the age of what a former leader
// knew.
func (l *Leader) isSilent(heard heardAnnouncements, target anvilwork.Target) bool {
	limit, latest := l.bounds.Orders.MaxAnnouncementAge, heard[target.ID]
	return limit > 0 && latest.incarnation == target.Incarnation && l.clock.Now()-latest.at > limit
}

// termEvidence tells, from the entries of the log, until when a leader certainly knew the announcements of all
// targets that it could hear. A leader that led for a moment only may have changed the state without having
// heard a target that has shrunk.
type termEvidence struct {
	term anvilid.Term
	// first is the log time of the first entry of the term that this replica has applied.
	first anvilclock.Millis
	// heardAt is the log time until which announcements were heard, or 0 if that isn't known.
	heardAt anvilclock.Millis
}

// minHeardIntervals is the number of announce intervals that a leader must have led before it counts as having
// heard each target: one until the announcement, and one more until it reaches the new leader.
const minHeardIntervals = 2

// applied records an entry of the log. The latest announcement of a target may be one interval older than it.
func (e *termEvidence) applied(term anvilid.Term, at, interval anvilclock.Millis) {
	if term != e.term {
		e.term, e.first = term, at
	}
	if at-e.first >= minHeardIntervals*interval {
		e.heardAt = at - interval
	}
}

// amounts returns resources as thousandths of cores, megabytes of memory and accelerators.
func amounts(r anvilwork.Resources) []int { return []int{int(r.CPU), int(r.Memory), int(r.GPU)} }
