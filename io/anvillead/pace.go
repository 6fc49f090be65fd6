package anvillead

import (
	"context"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilpace"
	"anvilshunt/io/anvillogs"
)

// pace passes a target's list to the governor and gives its orders.
func (r *leadership) pace(now anvilclock.Millis, answer anvilorder.PollAnswer) {
	if !answer.Done || answer.Other {
		return
	}
	for _, order := range r.governor.Observe(now, answer.Order.Target, r.paceRows(answer.Running)) {
		go func() {
			done := r.orders.Throttle(context.Background(), order)
			r.log.Write(anvillogs.RunPaced, zap.Stringer("task", order.Task), zap.String("target", string(order.Target.ID)),
				zap.Int("percent", order.Percent), zap.Bool("done", done))
			if done {
				return
			}
			r.answer(func(anvilclock.Millis) anvilorder.Effects {
				r.governor.Failed(order)
				return anvilorder.Effects{}
			})
		}()
	}
}

// paceRows adds to what a target lists what the jobs say of their steps.
func (r *leadership) paceRows(running []anvilorder.Running) []anvilpace.RunReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []anvilpace.RunReport
	for _, entry := range running {
		job, ok := r.state.Job(entry.Task.Job)
		if !ok || job.State(entry.Task) == nil {
			continue
		}
		step := job.Spec.Steps[entry.Task.Step]
		rows = append(rows, anvilpace.RunReport{
			Task: entry.Task, Run: entry.Run, LatencyBound: step.TailLatencyLimit, TailLatency: entry.TailLatency, BestEffort: step.Fills,
		})
	}
	return rows
}
