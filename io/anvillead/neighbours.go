package anvillead

import (
	"cmp"
	"slices"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
)

const (
	// neighboursInterval is how often the effects of queues on each other are logged if nothing new was found.
	neighboursInterval = 30 * anvilclock.Second
	// maxLoggedPairs is the number of pairs in one line, those with the largest slowdown.
	maxLoggedPairs = 20
)

// apart returns the function that tells the planner which queues to keep apart, or nil if there are none or
// they are not kept apart.
func (r *leadership) apart() func(a, b anvilwork.QueueName) bool {
	lasting := r.tracker.Lasting
	if !r.bounds.KeepApart || !lasting.AnySlows() {
		return nil
	}
	return func(a, b anvilwork.QueueName) bool { return lasting.Slows(a, b) || lasting.Slows(b, a) }
}

// slowedBy returns a queue that slows a run down and has runs on the same target, or an empty name.
func (r *leadership) slowedBy(id anvilid.TargetID, task anvilwork.Task) (queue anvilwork.QueueName) {
	if !r.tracker.Lasting.AnySlows() {
		return ""
	}
	r.shared.With(func(s *shared) {
		job, ok := s.state.Job(task.Job)
		if !ok {
			return
		}
		for other := range s.state.Runs(id) {
			if neighbour, ok := s.state.Job(other.Job); ok && other != task && r.tracker.Lasting.Slows(job.Queue, neighbour.Queue) {
				queue = neighbour.Queue
				return
			}
		}
	})
	return queue
}

// logNeighbours logs how queues change each other's speeds if the pairs that slow each other down have changed, and
// otherwise every neighboursInterval.
func (r *leadership) logNeighbours(now anvilclock.Millis) {
	effects := r.tracker.Lasting.Effects()
	var found []anvilspeed.Effect
	for _, effect := range effects {
		if effect.Slows {
			found = append(found, effect)
		}
	}
	same := slices.EqualFunc(found, r.disturbed, func(a, b anvilspeed.Effect) bool { return a.Victim == b.Victim && a.Beside == b.Beside })
	r.disturbed = found
	if len(effects)+len(found) == 0 && same || same && now-r.neighboursLoggedAt < neighboursInterval {
		return
	}
	r.neighboursLoggedAt = now
	slices.SortStableFunc(effects, func(a, b anvilspeed.Effect) int { return cmp.Compare(a.Factor, b.Factor) })
	r.log.Write(anvillogs.NeighboursMeasured, neighbourFields(effects[:min(len(effects), maxLoggedPairs)])...)
}

func neighbourFields(effects []anvilspeed.Effect) []zap.Field {
	count := len(effects)
	victims, besides, slow := make([]string, count), make([]string, count), make([]bool, count)
	factors, errs, runs := make([]float64, count), make([]float64, count), make([]int, count)
	for i, effect := range effects {
		victims[i], besides[i], slow[i] = string(effect.Victim), string(effect.Beside), effect.Slows
		factors[i], errs[i], runs[i] = hundredths(float64(effect.Factor)), hundredths(effect.Error), effect.Runs
	}
	return []zap.Field{
		zap.Strings("victims", victims), zap.Strings("besides", besides), zap.Bools("slows", slow), zap.Float64s("factors", factors),
		zap.Float64s("errors", errs), zap.Ints("runs", runs),
	}
}
