package anvillead

import (
	"errors"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
)

// errUnknownService means that an announcement names a service that the configuration doesn't have.
var errUnknownService = errors.New("the configuration has no such service")

// heardAnnouncements has the latest announcement of each target that this process has handled. Most
// announcements change nothing and aren't committed, so that the sequence number in the replicated state is
// only that of the last change.
type heardAnnouncements map[anvilid.TargetID]heardAnnouncement

type heardAnnouncement struct {
	incarnation anvilwork.Incarnation
	sequence    uint64
	// at is when it arrived or, if it is known from the replicated state only, when this process first looked.
	at anvilclock.Millis
	// overruled is the number of the replicated record if that doesn't count any more, else 0.
	overruled uint64
}

// sequenceIntervals is the number of announce intervals, beyond the greatest age of a usable announcement,
// after which a sequence number doesn't count any more. Delayed announcements arrive sooner, while a very
// high number of another writer would count as the latest for as long as the target lives.
const sequenceIntervals = 6

// maxForgotten is the number of targets that may be remembered beyond twice the known ones.
const maxForgotten = 64

// record remembers an announcement, unless the target has sent it before one that was heard or replicated
// already. It reports whether that is so. The argument known is the replicated record, or nil. An earlier
// incarnation and lower numbers count again once no later announcement has come for the given span: a later one
// that isn't repeated was of another writer.
func (h heardAnnouncements) record(now, span anvilclock.Millis, target anvilwork.Target, known *anvilwork.Target) (outdated bool) {
	latest, ok := h.latest(now, target.ID, known)
	next := heardAnnouncement{incarnation: target.Incarnation, sequence: target.Sequence, at: now}
	switch {
	case ok && target.Incarnation < latest.incarnation && now-latest.at <= span:
		return true
	case ok && target.Incarnation == latest.incarnation:
		if target.Sequence < latest.sequence {
			if now-latest.at <= span {
				return true
			}
			latest.overruled = 0
			if known != nil && known.Incarnation == target.Incarnation && known.Sequence != anvilwork.UnorderedSequence {
				latest.overruled = known.Sequence
			}
		}
		if target.Sequence < latest.overruled {
			next.overruled = latest.overruled
		}
	}
	h[target.ID] = next
	return false
}

// latest returns the latest announcement of a target that was heard or is in the replicated state.
func (h heardAnnouncements) latest(now anvilclock.Millis, id anvilid.TargetID, known *anvilwork.Target) (heardAnnouncement, bool) {
	latest, ok := h[id]
	switch {
	case known == nil || known.Sequence == anvilwork.UnorderedSequence:
		return latest, ok
	case ok && known.Incarnation < latest.incarnation:
		return latest, ok
	case ok && known.Incarnation == latest.incarnation && (known.Sequence <= latest.sequence || known.Sequence == latest.overruled):
		return latest, ok
	}
	h[id] = heardAnnouncement{incarnation: known.Incarnation, sequence: known.Sequence, at: now}
	return h[id], true
}

// overrules reports whether an announcement that was recorded counts, although the number of the replicated
// record is higher.
func (h heardAnnouncements) overrules(target anvilwork.Target, known *anvilwork.Target) bool {
	latest := h[target.ID]
	return known != nil && known.Incarnation == target.Incarnation && known.Sequence == latest.overruled &&
		target.Sequence < latest.overruled
}

// prune forgets the targets that the state doesn't have any more, once they are many.
func (h heardAnnouncements) prune(state *anvilwork.State) {
	if len(h) <= 2*len(state.Targets())+maxForgotten {
		return
	}
	for id := range h {
		if _, ok := state.Target(id); !ok {
			delete(h, id)
		}
	}
}

// namesUnknownService reports whether an announcement names a service that the configuration doesn't have, so that
// it is of another writer. A target goes on announcing a service that was removed from the configuration.
func (l *Leader) namesUnknownService(target anvilwork.Target) (unknown bool) {
	l.shared.With(func(s *shared) {
		config := s.state.Config()
		if config.Version == 0 || config.HasService(target.Service) {
			return
		}
		known, ok := s.state.Target(target.ID)
		unknown = !ok || known.Incarnation != target.Incarnation || known.Service != target.Service
	})
	return unknown
}

// ignoredEntries returns the number of entries of lists and of announcements that this process has ignored.
func (l *Leader) ignoredEntries() uint64 { return l.calls.Ignored() + l.ignored.Total() }

// hear records an announcement that arrived at the given time, and reports whether a later one was heard
// before. It returns the announcement with the sequence number that it has for the replicated state.
func (l *Leader) hear(arrived anvilclock.Millis, target anvilwork.Target) (ordered anvilwork.Target, outdated bool) {
	span := l.bounds.Orders.MaxAnnouncementAge + sequenceIntervals*l.bounds.AnnounceInterval
	ordered = target
	l.shared.With(func(s *shared) {
		s.heard.prune(s.state)
		known, _ := s.state.Target(target.ID)
		outdated = s.heard.record(arrived, span, target, known)
		switch {
		case outdated:
			l.log.Write(anvillogs.LateAnnouncement, zap.String("target", string(target.ID)), zap.Uint64("sequence", target.Sequence),
				zap.Uint64("latest", s.heard[target.ID].sequence))
			ordered.Sequence = 0 // the replicated state may know a lower number; only the notice to leave counts
		case s.heard.overrules(target, known):
			ordered.Sequence = anvilwork.UnorderedSequence
		}
	})
	return ordered, outdated
}
