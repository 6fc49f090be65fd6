package anvillead

import (
	"context"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilpace"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
)

// observeRuns passes a target's list of running runs on to those that rate targets by
// the progress of runs, and to the governor.
func (r *leadership) observeRuns(now anvilclock.Millis, answer anvilorder.PollAnswer) {
	if !answer.Done || answer.FromOtherIncarnation {
		return
	}
	var reports []anvilpace.RunReport
	r.shared.With(func(s *shared) {
		r.tracker.ObserveProgress(s.state, answer)
		reports = runReports(s.state, answer.Running)
	})
	r.throttleRuns(now, answer.Order.Target, reports)
}

// throttleRuns passes the runs of a target to the governor, which decides which
// best-effort runs must be slowed down or may speed up, and sends the resulting
// throttle orders.
func (r *leadership) throttleRuns(now anvilclock.Millis, target anvilwork.Target, reports []anvilpace.RunReport) {
	for _, order := range r.governor.Observe(now, target, reports) {
		go func() {
			done := r.calls.Throttle(context.Background(), order)
			r.log.Write(anvillogs.RunThrottled, zap.Stringer("task", order.Task), zap.String("target", string(order.Target.ID)),
				zap.Int("percent", order.Percent), zap.Bool("done", done))
			if done {
				return
			}
			r.enqueueResult(func(anvilclock.Millis) anvilorder.Effects {
				r.governor.Failed(order)
				return anvilorder.Effects{}
			})
		}()
	}
}

// runReports returns the governor's input for the runs that a target lists. It
// combines each run with two settings of its step in the job: the limit of its
// tail latency, and whether it is a best-effort run.
func runReports(state *anvilwork.State, running []anvilorder.Running) []anvilpace.RunReport {
	var reports []anvilpace.RunReport
	for _, entry := range running {
		job, ok := state.Job(entry.Task.Job)
		if !ok || job.State(entry.Task) == nil {
			continue
		}
		step := job.Spec.Steps[entry.Task.Step]
		reports = append(reports, anvilpace.RunReport{
			Task: entry.Task, Run: entry.Run, LatencyBound: step.TailLatencyLimit, TailLatency: entry.TailLatency, BestEffort: step.BestEffort,
		})
	}
	return reports
}
