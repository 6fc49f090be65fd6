package anvilspeed

import (
	"math"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilwork"
)

const (
	// levelsPerUnit is the number of levels for a difference of 1 of the natural logarithm of a speed. A level is
	// then 4%, and the scale reaches from a 198th to 198 times the ordinary speed.
	levelsPerUnit = 24
	// maxLevel is the highest level, and its negative the lowest.
	maxLevel = 127
	// inheritedError is the standard error of the logarithm of a speed that was taken over from an earlier
	// leader. It is small, as that has found the difference credible. uncertainError is that of other speeds.
	inheritedError = 0.1
	uncertainError = 0.25
	// maxChanges is the number of speeds that are recorded at a time, about 30 KB of the replicated log.
	maxChanges = 2000
)

// LevelOf returns the level in which a speed is recorded.
func LevelOf(speed Factor) anvilwork.SpeedLevel {
	level := math.Round(math.Log(float64(speed.OrOrdinary())) * levelsPerUnit)
	return anvilwork.SpeedLevel(min(max(level, -maxLevel), maxLevel))
}

// FactorOf returns the speed that a level stands for.
func FactorOf(level anvilwork.SpeedLevel) Factor { return Factor(math.Exp(offsetOf(level))) }

// offsetOf returns the logarithm of the speed that a level stands for.
func offsetOf(level anvilwork.SpeedLevel) float64 { return float64(level) / levelsPerUnit }

// Inherit takes over the speed of a machine that an earlier leader has recorded. It counts as one comparison, and
// decides about the machine from the next Fit on.
func (e *Estimator) Inherit(now anvilclock.Millis, recorded anvilwork.MachineSpeed) {
	m := e.machine(recorded.Machine)
	m.seenAt = now
	deviation := inheritedError
	if recorded.Uncertain {
		deviation = uncertainError
	}
	m.keep(comparison{at: now, offset: offsetOf(recorded.Level), variance: deviation * deviation, runs: 1})
	m.update(now, &e.buffers)
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
		changes = append(changes, anvilwork.MachineSpeed{Machine: m.id, Level: LevelOf(e.speedOf(m)), Uncertain: !m.differs})
		if len(changes) == maxChanges {
			break
		}
	}
	return changes
}

// departsFrom reports whether the speed of a machine differs from its recorded one by more than its error.
func (m *machine) departsFrom(recorded anvilwork.MachineSpeed) bool {
	if recorded.Uncertain {
		return m.differs
	}
	difference := math.Abs(m.offset - offsetOf(recorded.Level))
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
