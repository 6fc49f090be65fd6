package anvillead

import (
	"go.uber.org/zap"

	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
)

// logCapacityChange logs that a target announces another capacity than the one that is known. It must be
// called before the announcement is committed.
func (l *Leader) logCapacityChange(announced anvilwork.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.state.Target(announced.ID)
	if !ok || known.Incarnation != announced.Incarnation || known.Resources == announced.Resources {
		return
	}
	l.log.Write(anvillogs.CapacityChanged, zap.String("target", string(announced.ID)), zap.Uint64("sequence", announced.Sequence),
		zap.Ints("before", amounts(known.Resources)), zap.Ints("now", amounts(announced.Resources)),
		zap.Ints("assigned", amounts(l.state.Load(announced.ID))))
}

// hasShrunk reports whether a target has, or may have, less of some resource now than in an earlier record. A
// target that has left or has been replaced by another incarnation has none of the resources of the record, and
// one that hasn't announced itself for too long may have shrunk.
func (l *Leader) hasShrunk(earlier anvilwork.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.state.Target(earlier.ID)
	return !ok || known.Incarnation != earlier.Incarnation || !known.Resources.Holds(earlier.Resources) || l.isSilent(earlier)
}

// isSilent reports whether the latest announcement of a target is too old to start runs there. A target that
// this process hasn't heard counts as heard in time, as the Tracker knows the age of what a former leader
// knew. l.mu must be held.
func (l *Leader) isSilent(target anvilwork.Target) bool {
	limit, latest := l.bounds.Orders.MaxAnnouncementAge, l.heard[target.ID]
	return limit > 0 && latest.incarnation == target.Incarnation && l.clock.Now()-latest.at > limit
}

// amounts returns resources as thousandths of cores, megabytes of memory and accelerators.
func amounts(r anvilwork.Resources) []int { return []int{int(r.CPU), int(r.Memory), int(r.GPU)} }
