package anvilorder

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
)

// observeProgress passes the progress of a run that a target has listed on to those that rate targets by it.
func (t *Tracker) observeProgress(answer Answer, target *target, entry Running) {
	t.Speeds.Observe(answer.Received, target.record.ID, entry.Task, entry.Run, entry.Percent)
	step, ok := t.step(entry.Task)
	if !ok || step.LongRunning || step.BestEffort {
		// The first has no end to progress to, and the second goes at the pace that others leave it.
		return
	}
	at := answer.Received
	if answer.Clock > 0 {
		at = anvilclock.Millis(answer.Clock)
	}
	t.Lasting.Observe(answer.Received, anvilspeed.Sample{
		At: at, Machine: target.record.MachineOrSelf(), Task: entry.Task, Run: entry.Run, Percent: entry.Percent, Gang: step.Gang,
		Remote: step.PreferredRack != "" && step.PreferredRack != target.record.Rack,
	})
}

// forgetProgress records that a run has ended.
func (t *Tracker) forgetProgress(task anvilwork.Task) {
	t.Speeds.Forget(task)
	t.Lasting.Forget(task)
}

func (t *Tracker) step(task anvilwork.Task) (anvilwork.Step, bool) {
	if t.state == nil {
		return anvilwork.Step{}, false
	}
	job, ok := t.state.Job(task.Job)
	if !ok || task.Step >= len(job.Spec.Steps) {
		return anvilwork.Step{}, false
	}
	return job.Spec.Steps[task.Step], true
}

// SpeedOf returns the lasting speed of a target.
func (t *Tracker) SpeedOf(id anvilid.TargetID) anvilspeed.Factor {
	known := t.targets[id]
	if known == nil {
		return anvilspeed.Ordinary
	}
	return t.Lasting.Speed(known.record.MachineOrSelf())
}
