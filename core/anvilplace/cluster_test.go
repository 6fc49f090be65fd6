package anvilplace

import (
	"fmt"
	"slices"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
)

// testCluster has a replicated state and the other inputs of Plan. Its method plan applies the
// decisions of Plan to the state.
type testCluster struct {
	t        assert.TestingT
	state    *anvilwork.State
	now      anvilclock.Millis
	stopping map[anvilwork.Task]bool
	numbers  map[anvilid.TargetID]uint64
	slow     map[anvilid.TargetID]bool
	failed   map[anvilid.TargetID]int // how often each step has failed on targets
	claimed  map[anvilid.TargetID]anvilid.JobID
	reserve  anvilid.AcceleratorCount
	// starts and maxStarts are Input.StartsInFlight and Input.MaxStartsInFlight.
	starts, maxStarts int
	progress          map[anvilwork.Task]anvilspeed.Progress
	speeds            map[anvilid.TargetID]anvilspeed.Factor // none are known if it is nil
	// tickets has the ticket of each target, which is valid for all steps. An empty ticket means that
	// the advice service has denied the target.
	tickets map[anvilid.TargetID]anvilwork.Ticket
}

// testResources are the resources of each target.
var testResources = anvilwork.Resources{CPU: 32000, Memory: 64000, GPU: 8}

// newTestCluster returns a cluster with racks of size targets that have 8 accelerators each. Queue
// "urgent" has urgent jobs, queue "common" others, and jobs of queue "advised" need tickets. Account
// "a" has a guarantee of accelerators, account "b" has none.
func newTestCluster(t assert.TestingT, racks, size int, guaranteed anvilid.AcceleratorCount) *testCluster {
	w := &testCluster{
		t: t, state: anvilwork.New(), now: 1000, stopping: map[anvilwork.Task]bool{}, numbers: map[anvilid.TargetID]uint64{},
		slow: map[anvilid.TargetID]bool{}, progress: map[anvilwork.Task]anvilspeed.Progress{},
	}
	config := &anvilwork.Config{
		Version: 1, Services: []anvilwork.Service{{Name: "s"}},
		Queues: []anvilwork.Queue{
			{Name: "urgent", Host: "h", Prefix: "/u", Timeout: 1, Policy: anvilwork.QueuePolicy{Service: "s", DeadlineFactor: 1.5, DeadlineOffset: 300, Attempts: 3}},
			{Name: "common", Host: "h", Prefix: "/c", Timeout: 1, Policy: anvilwork.QueuePolicy{Service: "s", Priority: 1, DeadlineFactor: 3, DeadlineOffset: 3000, Attempts: 3}},
			{Name: "advised", Host: "h", Prefix: "/a", Timeout: 1, Policy: anvilwork.QueuePolicy{
				Service: "s", Priority: 1, DeadlineFactor: 3, DeadlineOffset: 3000, Attempts: 3, Advice: anvilwork.Advice{Validity: 3000},
			}},
		},
		Accounts: []anvilwork.Account{{Name: "a", Guaranteed: guaranteed}, {Name: "b"}},
	}
	w.apply(anvilwork.Command{Configure: config})
	for r := range racks {
		for i := range size {
			w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: anvilwork.Target{
				ID: anvilid.TargetID(fmt.Sprintf("r%d-%02d", r, i)), Incarnation: 1, Service: "s",
				Address: anvilid.Address(fmt.Sprintf("%d:%d", r, i)), Rack: anvilid.RackName(fmt.Sprintf("r%d", r)),
				Labels: []string{"x"}, Resources: testResources,
			}}})
		}
	}
	return w
}

func (w *testCluster) apply(command anvilwork.Command) {
	results := w.state.Apply(w.now, anvilwork.Batch{Commands: []anvilwork.Command{command}})
	assert.Equal(w.t, results[0], anvilwork.Applied)
}

// submit submits a job of one step.
func (w *testCluster) submit(id anvilid.JobID, queue anvilwork.QueueName, account anvilid.AccountID, step anvilwork.Step) {
	if step.Estimate == 0 {
		step.Estimate = 2000
	}
	w.apply(anvilwork.Command{Submit: &anvilwork.Submit{
		Job: id, Queue: queue, Account: account, Spec: anvilwork.Spec{Steps: []anvilwork.Step{step}},
	}})
}

// plan calls Plan, applies its decisions and checks that the runs on each target fit its resources.
func (w *testCluster) plan() Decision {
	decision := Plan(w.input())
	w.claimed = decision.Claims
	for i := range decision.Placements {
		w.apply(anvilwork.Command{Place: &decision.Placements[i]})
	}
	for _, e := range decision.Evictions {
		w.stopping[e.Task] = true
	}
	w.checkCapacity()
	return decision
}

// input returns the input that the leader would give to Plan.
func (w *testCluster) input() Input {
	return Input{
		State: w.state, Now: w.now, Wall: w.now, Claims: w.claimed, Reserve: w.reserve, StartsInFlight: w.starts, MaxStartsInFlight: w.maxStarts,
		Usable:   func(anvilid.TargetID) bool { return true },
		Stopping: func(_ anvilid.TargetID, task anvilwork.Task) bool { return w.stopping[task] },
		Avoid:    func(id anvilid.TargetID) bool { return w.slow[id] },
		Failures: func(anvilwork.StepKey) map[anvilid.TargetID]int { return w.failed },
		Speed:    func(target *anvilwork.Target) anvilspeed.Factor { return w.speeds[target.ID] },
		Progress: func(task anvilwork.Task) (anvilspeed.Progress, bool) {
			progress, ok := w.progress[task]
			return progress, ok
		},
		Ticket: func(_ anvilwork.StepKey, target *anvilwork.Target) (anvilwork.Ticket, bool) {
			ticket := w.tickets[target.ID]
			return ticket, ticket != ""
		},
		Allowed: func(_ anvilwork.StepKey, target *anvilwork.Target) bool {
			ticket, known := w.tickets[target.ID]
			return !known || ticket != ""
		},
	}
}

// checkCapacity fails if the runs on a target need more than its resources.
func (w *testCluster) checkCapacity() {
	for _, target := range w.state.Targets() {
		used := w.state.Load(target.ID)
		assert.Assert(w.t, target.Resources.Holds(used), "runs on target %s need %v, more than it has", target.ID, used)
	}
}

// end records the end of a task's present run in the replicated state.
func (w *testCluster) end(task anvilwork.Task, outcome anvilwork.Outcome) {
	job, ok := w.state.Job(task.Job)
	assert.Assert(w.t, ok)
	state := *job.State(task)
	w.numbers[state.Target]++
	w.apply(anvilwork.Command{RecordRunEnds: &anvilwork.RecordRunEnds{Target: state.Target, Incarnation: state.Incarnation, Ends: []anvilwork.RunEnd{
		{Number: w.numbers[state.Target], Task: task, Run: state.Run, Outcome: outcome},
	}}})
	delete(w.stopping, task)
}

// endStopping ends all runs that were asked to stop.
func (w *testCluster) endStopping() {
	var tasks []anvilwork.Task
	for task := range w.stopping {
		tasks = append(tasks, task)
	}
	slices.SortFunc(tasks, anvilwork.Task.Compare)
	for _, task := range tasks {
		w.end(task, anvilwork.RunStopped)
	}
}

// assigned returns the targets of a job's runs, ordered by task.
func (w *testCluster) assigned(id anvilid.JobID) []anvilid.TargetID {
	job, ok := w.state.Job(id)
	assert.Assert(w.t, ok)
	var targets []anvilid.TargetID
	for _, state := range job.Occurrences[0].Tasks[0] {
		if state.Phase == anvilwork.TaskAssigned {
			targets = append(targets, state.Target)
		}
	}
	return targets
}

// evicted returns the jobs whose runs a decision evicts, each job once.
func evicted(decision Decision) []anvilid.JobID {
	var jobs []anvilid.JobID
	for _, e := range decision.Evictions {
		jobs = append(jobs, e.Task.Job)
	}
	slices.Sort(jobs)
	return slices.Compact(jobs)
}

func gpus(count int) anvilwork.Resources {
	return anvilwork.Resources{CPU: 1000, GPU: anvilid.AcceleratorCount(count)}
}
