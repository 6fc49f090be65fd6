package anvillead

import (
	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
)

const (
	// recordSpeedsInterval is how often speeds of machines are recorded if they have changed.
	recordSpeedsInterval = 5 * anvilclock.Second
	// maxLoggedSpeeds is the number of machines that one line of the log names.
	maxLoggedSpeeds = 40
	// speedLinesPerFit is the number of such lines after one estimate. More lines of one event in a short time would
	// be folded.
	speedLinesPerFit = 2
)

// inheritSpeeds takes over the speeds of machines that earlier leaders have recorded.
func (r *leadership) inheritSpeeds(now anvilclock.Millis, state *anvilwork.State) {
	for _, speed := range state.Speeds() {
		r.tracker.Lasting.Inherit(now, speed)
	}
}

// learnSpeeds estimates the lasting speeds of machines anew if that is due, and requests a commit of those that have
// changed.
func (r *leadership) learnSpeeds(now anvilclock.Millis, state *anvilwork.State) {
	if !r.tracker.Lasting.Fit(now) {
		return
	}
	r.logSpeeds()
	r.logNeighbours(now)
	if now-r.speedsRecordedAt < recordSpeedsInterval {
		return
	}
	changes := r.tracker.Lasting.Changes(state)
	if len(changes) == 0 {
		return
	}
	r.speedsRecordedAt = now
	r.pendingCommands = append(r.pendingCommands, anvilwork.Command{RecordSpeeds: &anvilwork.RecordSpeeds{Speeds: changes}})
}

// logSpeeds logs speeds that were recorded, with their evidence, a few lines at a time.
func (r *leadership) logSpeeds() {
	for range speedLinesPerFit {
		count := min(len(r.unloggedSpeeds), maxLoggedSpeeds)
		if count == 0 {
			return
		}
		r.logSpeedLine(r.unloggedSpeeds[:count])
		r.unloggedSpeeds = r.unloggedSpeeds[count:]
	}
}

func (r *leadership) logSpeedLine(recorded []anvilwork.MachineSpeed) {
	machines, speeds := make([]string, len(recorded)), make([]float64, len(recorded))
	errs, comparisons := make([]float64, len(recorded)), make([]int, len(recorded))
	for i, speed := range recorded {
		estimate := r.tracker.Lasting.Estimate(speed.Machine)
		machines[i], speeds[i] = string(speed.Machine), hundredths(float64(anvilspeed.FactorOf(speed.Level)))
		errs[i], comparisons[i] = hundredths(estimate.Error), estimate.Comparisons
	}
	r.log.Write(anvillogs.SpeedsRecorded, zap.Strings("machines", machines), zap.Float64s("speeds", speeds),
		zap.Float64s("errors", errs), zap.Ints("comparisons", comparisons))
}

// speedFields returns how many machines have been compared and how many differ, with the lowest and the highest
// speed, as fields of the summary.
func (r *leadership) speedFields() []zap.Field {
	counts := r.tracker.Lasting.Counts()
	return []zap.Field{
		zap.Int("compared", counts.Compared), zap.Int("unequal", counts.Unequal),
		zap.Int("disturbed", len(r.disturbed)),
		zap.Float64("slowest", hundredths(float64(counts.Slowest))), zap.Float64("fastest", hundredths(float64(counts.Fastest))),
	}
}

// hundredths rounds a figure for the log.
func hundredths(value float64) float64 { return float64(int(value*100+0.5)) / 100 }
