package anvillead

import (
	"slices"

	"go.uber.org/zap"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
)

// apart returns the function that tells the planner which queues to keep apart, or nil if there are none.
func (r *leadership) apart() func(a, b anvilwork.QueueName) bool {
	lasting := r.tracker.Lasting
	if !lasting.AnySlows() {
		return nil
	}
	return func(a, b anvilwork.QueueName) bool { return lasting.Slows(a, b) || lasting.Slows(b, a) }
}

// slowedBy returns a queue that slows a run down and has runs on the same target, or an empty name.
func (r *leadership) slowedBy(id anvilid.TargetID, task anvilwork.Task) anvilwork.QueueName {
	if !r.tracker.Lasting.AnySlows() {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	job, ok := r.state.Job(task.Job)
	if !ok {
		return ""
	}
	for other := range r.state.Runs(id) {
		if neighbour, ok := r.state.Job(other.Job); ok && other != task && r.tracker.Lasting.Slows(job.Queue, neighbour.Queue) {
			return neighbour.Queue
		}
	}
	return ""
}

// logDisturbed logs the pairs of queues that slow each other down, if they have changed.
func (r *leadership) logDisturbed() {
	var found []anvilspeed.Effect
	for _, effect := range r.tracker.Lasting.Effects() {
		if effect.Slows {
			found = append(found, effect)
		}
	}
	same := slices.EqualFunc(found, r.disturbed, func(a, b anvilspeed.Effect) bool { return a.Victim == b.Victim && a.Beside == b.Beside })
	r.disturbed = found
	if same {
		return
	}
	victims, besides := make([]string, len(found)), make([]string, len(found))
	factors, errs, machines := make([]float64, len(found)), make([]float64, len(found)), make([]int, len(found))
	for i, effect := range found {
		victims[i], besides[i] = string(effect.Victim), string(effect.Beside)
		factors[i], errs[i], machines[i] = hundredths(float64(effect.Factor)), hundredths(effect.Error), effect.Machines
	}
	r.log.Write(anvillogs.NeighboursFound, zap.Strings("victims", victims), zap.Strings("besides", besides),
		zap.Float64s("factors", factors), zap.Float64s("errors", errs), zap.Ints("machines", machines))
}
