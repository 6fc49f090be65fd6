package anvilorder

import "anvilshunt/core/anvilclock"

// An announcement may arrive seconds after it was sent, and a leader that was just elected has heard no later one.
// What the target's clock showed in it tells how old it is, once an answer of the target has told the clock. Each
// start needs such an answer before it is sent.

// date records when an announcement was sent. As long as the clock of the target isn't known, the announcement
// counts as sent when it arrived.
func (target *target) date(announced Announcement) {
	switch {
	case announced.Clock == 0:
		target.lastAnnounced = max(target.lastAnnounced, announced.Received)
	case target.lease.clockKnown:
		target.lastAnnounced = max(target.lastAnnounced, target.lease.sentAt(announced))
	case target.undated == nil || announced.Clock > target.undated.Clock:
		target.undated = &announced
	}
}

// announcedAt returns when the latest announcement of the target was sent, as far as that is known.
func (target *target) announcedAt() anvilclock.Millis {
	if target.undated == nil {
		return target.lastAnnounced
	}
	if !target.lease.clockKnown {
		return max(target.lastAnnounced, target.undated.Received)
	}
	undated := *target.undated
	target.undated = nil
	target.date(undated)
	return target.lastAnnounced
}

// sentAt returns when an announcement was sent at the latest, by the leader's clock.
func (l *lease) sentAt(announced Announcement) anvilclock.Millis {
	late := l.latestReading.lowestAt(announced.Received) - announced.Clock
	return announced.Received - anvilclock.Millis(max(0, late))
}
