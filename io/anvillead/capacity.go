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

// amounts returns resources as thousandths of cores, megabytes of memory and accelerators.
func amounts(r anvilwork.Resources) []int { return []int{int(r.CPU), int(r.Memory), int(r.GPU)} }
