package anvilorder

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// TestProgressTellsSpeeds guards against speeds that are learnt from tasks whose progress doesn't show them, and from
// answers by the time at which a leader that was paused has received them.
func TestProgressTellsSpeeds(t *testing.T) {
	for name, test := range map[string]struct {
		step    anvilwork.Step
		compare int
	}{
		"plain":       {anvilwork.Step{}, 4},
		"gang":        {anvilwork.Step{Gang: true}, 4},
		"lasting":     {anvilwork.Step{LongRunning: true}, 0},
		"best effort": {anvilwork.Step{BestEffort: true}, 0},
		"rack":        {anvilwork.Step{PreferredRack: "r0"}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			test.step.Count = 4
			w.apply(anvilwork.Command{Submit: &anvilwork.Submit{Job: "s", Spec: anvilwork.Spec{Steps: []anvilwork.Step{test.step}}}})
			for second := range anvilclock.Millis(10) {
				for i := range 4 {
					id := anvilid.TargetID(fmt.Sprint("t", i))
					record := anvilwork.Target{ID: id, Machine: anvilid.MachineID(fmt.Sprint("m", i)), Rack: anvilid.RackName(fmt.Sprint("r", min(i, 1)))}
					answer := Answer{Target: id, Received: 10_000 + 1500*(second/2)*2, Clock: TargetClock(1 + 1000*second)}
					entry := Running{Task: anvilwork.Task{Job: "s", Index: i}, Run: 1, Percent: int(8 * second)}
					w.tracker.observeRun(w.state, answer, &target{record: record}, entry, nil)
				}
				w.tracker.Lasting.Fit(20_000 + 2000*second)
			}
			counts := w.tracker.Lasting.Counts()
			assert.Equal(t, counts.Compared, test.compare)
			assert.Equal(t, counts.Unequal, 0)
		})
	}
}

// TestProgressOfOddLists guards against entries of a poll answer that end the leader, or that rate a target by runs that
// aren't assigned to it: those of unknown jobs, of steps that the job doesn't have, and of other runs and incarnations.
func TestProgressOfOddLists(t *testing.T) {
	w := newWorld(t)
	w.place(taskA, 2)
	odd := []Running{
		{Task: anvilwork.Task{Job: "unknown"}, Run: 1},
		{Task: anvilwork.Task{Job: "j", Step: 7}, Run: 2},
		{Task: anvilwork.Task{Job: "j", Step: -1}, Run: 2},
		{Task: taskA, Run: 1},
		{Task: taskB, Run: 1},
		{Task: anvilwork.Task{Job: "j", Occurrence: 9}, Run: 1},
	}
	answer := PollAnswer{Answer: w.answer(w.now, w.now), Order: Poll{Target: anvilwork.Target{ID: "t", Incarnation: 1}}, Done: true}
	for _, test := range []struct {
		incarnation anvilwork.Incarnation
		entries     []Running
		known       bool
	}{{1, odd, false}, {2, []Running{{Task: taskA, Run: 2}}, false}, {1, append(odd, Running{Task: taskA, Run: 2}), true}} {
		answer.Order.Target.Incarnation, answer.Running = test.incarnation, test.entries
		for range 2 {
			answer.Received += 1000
			w.tracker.ObserveProgress(w.state, answer)
		}
		_, known := w.tracker.Speeds.Progress(answer.Received, taskA)
		assert.Equal(t, known, test.known)
		_, known = w.tracker.Speeds.Progress(answer.Received, taskB)
		assert.Assert(t, !known)
	}
}
