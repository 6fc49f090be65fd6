package anvilorder

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
)

// queueCount is the number of runs of a queue that a target has listed.
type queueCount struct {
	queue anvilwork.QueueName
	runs  int
}

// countQueues returns the queues of the runs that a target has listed, ordered by their names.
func countQueues(state *anvilwork.State, running []Running) []queueCount {
	var counts []queueCount
	for _, entry := range running {
		job, ok := state.Job(entry.Task.Job)
		if !ok {
			continue
		}
		at, found := slices.BinarySearchFunc(counts, job.Queue, func(c queueCount, queue anvilwork.QueueName) int {
			return cmp.Compare(c.queue, queue)
		})
		if !found {
			counts = slices.Insert(counts, at, queueCount{queue: job.Queue})
		}
		counts[at].runs++
	}
	return counts
}

// beside returns the queues of all listed runs but one.
func beside(queue anvilwork.QueueName, listed []queueCount) []anvilwork.QueueName {
	var others []anvilwork.QueueName
	for _, c := range listed {
		if c.queue != queue || c.runs > 1 {
			others = append(others, c.queue)
		}
	}
	return others
}

// ObserveProgress passes the progress of the assigned runs that a target has listed on to those that rate targets by it.
// The lock of the state must be held.
func (t *Tracker) ObserveProgress(state *anvilwork.State, answer PollAnswer) {
	target := t.targets[answer.Target]
	if target == nil || target.record.Incarnation != answer.Order.Target.Incarnation || !answer.Done || answer.FromOtherIncarnation {
		return
	}
	queues := countQueues(state, answer.Running)
	for _, entry := range answer.Running {
		if r := target.runs[entry.Task]; r != nil && r.number == entry.Run {
			t.observeRun(state, answer.Answer, target, entry, queues)
		}
	}
}

// observeRun passes on the progress of one run. listed has the queues of all runs that the target has listed.
func (t *Tracker) observeRun(state *anvilwork.State, answer Answer, target *target, entry Running, listed []queueCount) {
	t.Speeds.Observe(answer.Received, target.record.ID, entry.Task, entry.Run, entry.Percent)
	job, step, ok := stepOf(state, entry.Task)
	if !ok || step.LongRunning || step.BestEffort {
		// The first has no end to progress to, and the second goes at the pace that others leave it.
		return
	}
	at := answer.Received
	if answer.Clock > 0 {
		at = anvilclock.Millis(answer.Clock)
	}
	t.Lasting.Observe(answer.Received, anvilspeed.Sample{
		At: at, Queue: job.Queue, Beside: beside(job.Queue, listed), Machine: target.record.MachineOrSelf(), Task: entry.Task, Run: entry.Run, Percent: entry.Percent, Gang: step.Gang,
		Remote: step.PreferredRack != "" && step.PreferredRack != target.record.Rack,
	})
}

// forgetProgress records that a run has ended.
func (t *Tracker) forgetProgress(task anvilwork.Task) {
	t.Speeds.Forget(task)
	t.Lasting.Forget(task)
}

func stepOf(state *anvilwork.State, task anvilwork.Task) (*anvilwork.Job, anvilwork.Step, bool) {
	job, ok := state.Job(task.Job)
	if !ok || task.Step >= len(job.Spec.Steps) {
		return nil, anvilwork.Step{}, false
	}
	return job, job.Spec.Steps[task.Step], true
}

// SpeedOf returns the lasting speed of a target.
func (t *Tracker) SpeedOf(id anvilid.TargetID) anvilspeed.Factor {
	known := t.targets[id]
	if known == nil {
		return anvilspeed.Ordinary
	}
	return t.Lasting.Speed(known.record.MachineOrSelf())
}
