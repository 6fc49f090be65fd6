package anvillead

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilplace"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
)

// idleTest is a leader without targets' answers, whose plans are made by plan.
type idleTest struct {
	leadership
	state  *anvilwork.State
	now    anvilclock.Millis
	out    bytes.Buffer
	writer *anvillogs.AsyncWriter
}

func newIdleTest(t testing.TB, targets int) *idleTest {
	w := &idleTest{state: anvilwork.New(), now: 1000}
	w.writer = anvillogs.NewAsyncWriter(&w.out)
	log, err := anvillogs.NewAsync(w.writer, "info")
	assert.NilError(t, err)
	w.leadership = leadership{Leader: &Leader{log: log}, tracker: anvilorder.New(1, w.now, anvilorder.Timing{MaxLease: 6000, PollWait: 1000, RetryInterval: 200})}
	w.tracker.Sync(w.now, w.state) // the targets announce themselves to this leader
	for n := range targets {
		w.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: anvilwork.Target{
			ID: anvilid.TargetID(fmt.Sprint("t", n)), Incarnation: 1, Service: "s", Address: anvilid.Address(fmt.Sprint("a", n)), Resources: anvilwork.Resources{GPU: 2},
		}}})
	}
	return w
}

func (w *idleTest) apply(command anvilwork.Command) {
	w.state.Apply(w.now, anvilwork.Batch{Commands: []anvilwork.Command{command}})
	w.tracker.Sync(w.now, w.state)
}

func (w *idleTest) submit(id anvilid.JobID, tasks, gpus int) {
	w.apply(anvilwork.Command{Submit: &anvilwork.Submit{
		Job: id, Policy: anvilwork.QueuePolicy{Service: "s", Priority: 1},
		Spec: anvilwork.Spec{Steps: []anvilwork.Step{{Count: tasks, Need: anvilwork.Resources{GPU: anvilid.AcceleratorCount(gpus)}, Estimate: 2000}}},
	}})
}

// plan does what decide does for idle steps, and applies the placements.
func (w *idleTest) plan() {
	input := anvilplace.Input{
		State: w.state, Now: w.now, Wall: w.now,
		Usable:       func(id anvilid.TargetID) bool { return w.tracker.Usable(w.now, id, 60_000) },
		WhyNotUsable: func(id anvilid.TargetID) anvilplace.Reason { return w.whyNotUsable(w.now, id, 60_000) },
		Stopping:     w.tracker.Stopping,
		Avoid:        func(anvilid.TargetID) bool { return false },
		Failures:     func(anvilwork.StepKey) map[anvilid.TargetID]int { return nil },
		Progress:     func(anvilwork.Task) (anvilspeed.Progress, bool) { return anvilspeed.Progress{}, false },
	}
	due, omitted := w.findIdleSteps(w.now, &input)
	decision := anvilplace.Plan(input)
	w.logIdleSteps(w.now, input, due, omitted, decision.Unplaced)
	for i := range decision.Placements {
		w.apply(anvilwork.Command{Place: &decision.Placements[i]})
		w.tracker.AddPlacements(decision.Placements[i].Assignments)
	}
}

// lines plans every 100 ms for some time and returns the lines that were written.
func (w *idleTest) lines(span anvilclock.Millis) []string {
	w.out.Reset()
	for end := w.now + span; w.now < end; w.now += 100 {
		w.plan()
		w.writer.Flush()
	}
	return strings.Split(strings.TrimSuffix(w.out.String(), "\n"), "\n")
}

// TestIdleStepsAreLogged guards against a job of which nothing runs, although a task could, without any line that says
// why: neither for tasks that wait nor for those whose targets don't answer.
func TestIdleStepsAreLogged(t *testing.T) {
	w := newIdleTest(t, 1)
	w.submit("assigned", 2, 1)
	w.submit("waiting", 3, 1)
	assert.DeepEqual(t, w.lines(idleAfter), []string{""})
	lines := w.lines(idleRepeat)
	assert.Equal(t, len(lines), 2, "one for each step in %d ms", idleRepeat)
	var assigned struct {
		Event, Idle, Assigned int
		Step                  string
		Runs                  []struct{ Stage, Target, Task string }
	}
	assert.NilError(t, json.Unmarshal([]byte(lines[0]), &assigned))
	assert.Equal(t, assigned.Event, anvillogs.StepIdle.Number)
	assert.Equal(t, assigned.Step, "assigned.0.0")
	assert.Equal(t, assigned.Assigned, 2)
	assert.Equal(t, len(assigned.Runs), 2)
	assert.Equal(t, assigned.Runs[0].Stage, "starting")
	assert.Equal(t, assigned.Runs[0].Target, "t0")
	assert.Equal(t, assigned.Runs[0].Task, "assigned.0.0.0")
	var waiting struct {
		Idle, Waiting int
		Step          string
		Unplaced      []map[string]any
	}
	assert.NilError(t, json.Unmarshal([]byte(lines[1]), &waiting))
	assert.Equal(t, waiting.Step, "waiting.0.0")
	assert.Equal(t, waiting.Waiting, 3)
	assert.Equal(t, len(waiting.Unplaced), 1)
	assert.Equal(t, waiting.Unplaced[0]["full"], 1.0)
	assert.Equal(t, waiting.Unplaced[0]["targets"], 1.0)
	assert.Assert(t, waiting.Idle >= int(idleAfter))
	assert.Equal(t, len(w.lines(2*idleRepeat)), 4, "again as long as it lasts")

	placed := w.state.Active()[0].Occurrences[0].Tasks[0][0]
	w.tracker.HandleStartAnswer(w.now, anvilorder.StartAnswer{
		Answer: anvilorder.Answer{Target: "t0", Incarnation: 1, Sent: w.now, Received: w.now}, Verdict: anvilorder.StartAccepted,
		Order: anvilorder.Start{Target: anvilwork.Target{ID: "t0", Incarnation: 1}, Task: anvilwork.Task{Job: "assigned"}, Run: placed.Run},
	})
	for _, line := range w.lines(idleAfter) {
		assert.Assert(t, !strings.Contains(line, "assigned.0.0"), "it has a task at work")
	}
}

// TestSummaryOfIdleSteps guards against steps without any task at work that nobody sees unless a line about each of them
// is read, and against a summary that still shows the longest time of an earlier one.
func TestSummaryOfIdleSteps(t *testing.T) {
	w := newIdleTest(t, 1)
	w.summary = newSummary(w.now, 0)
	w.calls.Ignored = func() uint64 { return 0 }
	w.ignored = anvillogs.NewIgnored(anvilclock.Clock{}, w.leadership.log, anvillogs.EntryIgnored)
	w.submit("a", 1, 2)
	w.submit("b", 1, 2)
	w.lines(5 * anvilclock.Second)
	for _, c := range []struct{ idle, longest int }{{2, 4000}, {2, 14_000}, {0, 0}} {
		w.out.Reset()
		w.now = w.summary.since + summaryInterval
		w.logSummary(w.now)
		w.writer.Flush()
		var line struct{ Idle, LongestIdle int }
		assert.NilError(t, json.Unmarshal(w.out.Bytes(), &line))
		assert.Equal(t, line.Idle, c.idle)
		assert.Equal(t, line.LongestIdle, c.longest)
		if c.longest > 4000 {
			w.apply(anvilwork.Command{Cancel: &anvilwork.Cancel{Job: "a"}})
			w.apply(anvilwork.Command{Cancel: &anvilwork.Cancel{Job: "b"}})
		}
		w.lines(5 * anvilclock.Second)
	}
}

// TestPartsOfIdleStep guards against a line that shows the reasons of only one of the parts in which the tasks of a step
// are placed.
func TestPartsOfIdleStep(t *testing.T) {
	w := newIdleTest(t, 1)
	w.submit("j", 2, 1)
	due := []idleStep{{IdleStep: anvilplace.IdleStep{Step: anvilwork.StepKey{Job: "j"}, Waiting: 2}}}
	w.idle.check(w.state, w.now, w.now, func(anvilwork.Task, *anvilwork.TaskState) bool { return false })
	w.logIdleSteps(w.now, anvilplace.Input{State: w.state, Now: w.now}, due, 0, []anvilplace.Unplaced{
		{Step: due[0].Step, Waiting: 1, Throttled: true}, {Step: due[0].Step, Waiting: 1, Considered: 1},
	})
	w.writer.Flush()
	var line struct {
		Unplaced []struct {
			Targets   int
			Throttled bool
		}
	}
	assert.NilError(t, json.Unmarshal(w.out.Bytes(), &line))
	assert.Equal(t, len(line.Unplaced), 2)
	assert.Assert(t, line.Unplaced[0].Throttled)
	assert.Equal(t, line.Unplaced[1].Targets, 1)
}

// TestIdleLinesAreBounded guards against a log that is full of these lines while thousands of jobs wait, and against
// a job that never gets a line because others do each time.
func TestIdleLinesAreBounded(t *testing.T) {
	w := newIdleTest(t, 1)
	const jobs = 300
	for n := range jobs {
		w.submit(anvilid.JobID(fmt.Sprintf("j%03d", n)), 1, 2)
	}
	w.lines(idleAfter)
	const checks = jobs/maxIdleLines + 1
	lines := w.lines(checks * idleCheckInterval)
	assert.Assert(t, len(lines) <= checks*maxIdleLines)
	assert.Assert(t, strings.Contains(lines[0], fmt.Sprintf(`"omitted":%d`, jobs-maxIdleLines)), lines[0])
	seen := map[string]bool{}
	for _, line := range lines {
		var fields struct{ Step string }
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		seen[fields.Step] = true
	}
	assert.Equal(t, len(seen), jobs)
}

// BenchmarkIdleCheck measures one search for idle steps under overload, without the explanation by the plan.
func BenchmarkIdleCheck(b *testing.B) {
	w := newIdleTest(b, 1100)
	for n := range 1000 {
		w.submit(anvilid.JobID(fmt.Sprint("running-", n)), 2, 1)
	}
	w.plan()
	for n := range 3000 {
		w.submit(anvilid.JobID(fmt.Sprint("waiting-", n)), 4, 1)
	}
	w.now += idleAfter
	b.ReportAllocs()
	for b.Loop() {
		w.now += idleCheckInterval
		input := anvilplace.Input{State: w.state, Now: w.now, Wall: w.now}
		due, _ := w.findIdleSteps(w.now, &input)
		for _, step := range due {
			w.idle.written(step.Step)
		}
	}
}
