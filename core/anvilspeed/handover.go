package anvilspeed

import (
	"math"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// levelsPerUnit is the number of levels for a difference of 1 of the natural logarithm of a speed. A level is
	// then 4%, and the scale reaches from a 198th to 198 times the ordinary speed.
	levelsPerUnit = 24
	// maxLevel is the highest level, and its negative the lowest.
	maxLevel = 127
	// inheritedError is the standard error of the logarithm of a speed that was taken over from an earlier
	// leader. It is small, as only differences that were found credible are handed over. ordinaryError is that
	// of a speed that wasn't known to differ.
	inheritedError = 0.1
	ordinaryError  = 0.3
	// maxChanges is the number of speeds that are recorded at a time, about 30 KB of the replicated log.
	maxChanges = 2000
)

// LevelOf returns the level in which a speed is recorded.
func LevelOf(speed Factor) anvilwork.SpeedLevel {
	level := math.Round(math.Log(float64(speed.OrOrdinary())) * levelsPerUnit)
	return anvilwork.SpeedLevel(min(max(level, -maxLevel), maxLevel))
}

// FactorOf returns the speed that a level stands for.
func FactorOf(level anvilwork.SpeedLevel) Factor {
	return Factor(math.Exp(float64(level) / levelsPerUnit))
}

// Inherit takes over the speed of a machine that an earlier leader has recorded. It counts as one comparison.
func (e *Estimator) Inherit(now anvilclock.Millis, id anvilid.MachineID, level anvilwork.SpeedLevel) {
	m := e.machine(id)
	m.seenAt = now
	deviation := inheritedError
	if level == 0 {
		deviation = ordinaryError
	}
	m.keep(comparison{at: now, offset: float64(level) / levelsPerUnit, variance: deviation * deviation, runs: 1})
	m.update(now, &e.buffers)
	m.differs = level != 0
}

// Changes returns the speeds that differ by more than their error from the recorded ones, maxChanges at most.
// Machines of ordinary speed are recorded too, because without them the next leader would take the fast and the slow
// ones alone for all there are. It returns nothing as long as no machine is known to differ and none is recorded.
func (e *Estimator) Changes(state *anvilwork.State) []anvilwork.MachineSpeed {
	if !state.HasSpeeds() && !e.anyDiffers() {
		return nil
	}
	var changes []anvilwork.MachineSpeed
	for _, m := range e.known {
		if !m.compared() {
			continue
		}
		recorded, known := state.SpeedOf(m.id)
		if known && !m.departsFrom(recorded) {
			continue
		}
		changes = append(changes, anvilwork.MachineSpeed{Machine: m.id, Level: LevelOf(m.speed())})
		if len(changes) == maxChanges {
			break
		}
	}
	return changes
}

// departsFrom reports whether the speed of a machine differs from its recorded one by more than its error.
func (m *machine) departsFrom(recorded anvilwork.SpeedLevel) bool {
	if recorded == 0 {
		return m.differs
	}
	difference := math.Abs(m.offset - float64(recorded)/levelsPerUnit)
	return difference > max(math.Sqrt(m.variance), minDifference)
}

func (e *Estimator) anyDiffers() bool {
	for _, m := range e.known {
		if m.differs {
			return true
		}
	}
	return false
}
