package anvillead

import (
	"go.uber.org/zap"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
)

// heardAnnouncements has the latest announcement of each target that this process has handled. Most
// announcements change nothing and aren't committed, so that the sequence number in the replicated state is
// only that of the last change.
type heardAnnouncements map[anvilid.TargetID]heardAnnouncement

type heardAnnouncement struct {
	incarnation anvilwork.Incarnation
	sequence    uint64
}

// maxForgotten is the number of targets that may be remembered beyond twice the known ones.
const maxForgotten = 64

// record remembers an announcement, unless the target has sent it before one that was heard already. It
// reports whether that is so.
func (h heardAnnouncements) record(target anvilwork.Target) (outdated bool) {
	latest, ok := h[target.ID]
	switch {
	case ok && target.Incarnation < latest.incarnation:
		return true
	case ok && target.Incarnation == latest.incarnation && target.Sequence < latest.sequence:
		return true
	}
	h[target.ID] = heardAnnouncement{target.Incarnation, target.Sequence}
	return false
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

// isOutdated records an announcement in l.heard, and reports whether a later one was heard before.
func (l *Leader) isOutdated(target anvilwork.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard.prune(l.state)
	outdated := l.heard.record(target)
	if outdated {
		l.log.Write(anvillogs.LateAnnouncement, zap.String("target", string(target.ID)), zap.Uint64("sequence", target.Sequence),
			zap.Uint64("latest", l.heard[target.ID].sequence))
	}
	return outdated
}
