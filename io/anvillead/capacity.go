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

// hasShrunk reports whether a target has less of some resource now than in an earlier record. A target that
// has left or has been replaced by another incarnation has none of the resources of the record.
func (l *Leader) hasShrunk(earlier anvilwork.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.state.Target(earlier.ID)
	return !ok || known.Incarnation != earlier.Incarnation || !known.Resources.Holds(earlier.Resources)
}

// amounts returns resources as thousandths of cores, megabytes of memory and accelerators.
func amounts(r anvilwork.Resources) []int { return []int{int(r.CPU), int(r.Memory), int(r.GPU)} }
