package anvilplace

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// explained plans a step of a queue after the input was changed, and returns why it wasn't placed.
func explained(w *testCluster, queue anvilwork.QueueName, step anvilwork.Step, change func(*Input)) []Unplaced {
	w.submit("explained", queue, "b", step)
	input := w.input()
	input.Explain = map[anvilwork.StepKey]bool{{Job: "explained"}: true}
	if change != nil {
		change(&input)
	}
	return Plan(input).Unplaced
}

// counts returns the reasons that apply to any target, by name.
func counts(unplaced Unplaced) map[string]int {
	byName := map[string]int{}
	unplaced.Counts.Each(func(reason Reason, count int) { byName[reason.String()] = count })
	return byName
}

// TestReasons guards against a step that could run and waits while nothing says which targets were left out and why:
// each target has to count for exactly one reason, and for the one that applies.
func TestReasons(t *testing.T) {
	single := anvilwork.Step{Count: 2, Need: gpus(1)}
	for _, c := range []struct {
		name    string
		queue   anvilwork.QueueName
		step    anvilwork.Step
		prepare func(*testCluster)
		change  func(*Input)
		want    map[string]int
	}{
		{name: "label", step: anvilwork.Step{Count: 1, Need: gpus(1), Label: "y"}, want: map[string]int{"label": 4}},
		{name: "too small", step: anvilwork.Step{Count: 1, Need: gpus(9)}, want: map[string]int{"small": 4}},
		{
			name: "not usable", step: single, want: map[string]int{"silent": 2, "refused": 1, "unanswered": 1},
			change: func(input *Input) {
				input.Usable = func(anvilid.TargetID) bool { return false }
				input.WhyNotUsable = func(id anvilid.TargetID) Reason {
					switch id {
					case "r0-00":
						return StartRefused
					case "r0-01":
						return CallUnanswered
					}
					return NotAnnounced
				}
			},
		},
		{
			name: "cause not told", step: single, want: map[string]int{"unusable": 4},
			change: func(input *Input) { input.Usable = func(anvilid.TargetID) bool { return false } },
		},
		{
			name: "full, leaving and slow", step: anvilwork.Step{Count: 1, Need: gpus(8)}, want: map[string]int{"full": 2, "leaving": 1, "avoided": 1},
			prepare: func(w *testCluster) {
				w.submit("other", "common", "b", anvilwork.Step{Count: 4, Need: gpus(1), MaxPerTarget: 1})
				w.plan()
				w.submit("third", "common", "b", anvilwork.Step{Count: 3, Need: gpus(7), MaxPerTarget: 1})
				w.slow = map[anvilid.TargetID]bool{"r0-03": true}
				w.plan()
				w.apply(anvilwork.Command{Leave: &anvilwork.Leave{Target: "r0-02", Incarnation: 1, Final: true}})
			},
		},
		{
			name: "claimed", step: anvilwork.Step{Count: 1, Need: gpus(1)}, want: map[string]int{"claimed": 4},
			prepare: func(w *testCluster) {
				w.submit("gang", "urgent", "a", anvilwork.Step{Count: 5, Need: gpus(8), Gang: true})
				w.claimed = map[anvilid.TargetID]anvilid.JobID{"r0-00": "gang", "r0-01": "gang", "r0-02": "gang", "r0-03": "gang"}
			},
		},
		{
			name: "reserved", step: single, want: map[string]int{"reserved": 1, "unusable": 3},
			change: func(input *Input) {
				input.Reserve = 8
				input.Usable = func(id anvilid.TargetID) bool { return id == "r0-00" }
			},
		},
		{
			name: "ticket", queue: "advised", step: single, want: map[string]int{"ticket": 4},
		},
		{
			name: "gang that fits in part", step: anvilwork.Step{Count: 5, Need: gpus(8), Gang: true}, want: map[string]int{"fits": 4},
		},
		{
			name: "starts in flight", step: single, want: map[string]int{},
			change: func(input *Input) { input.StartsInFlight, input.MaxStartsInFlight = 5, 5 },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newTestCluster(t, 1, 4, 0)
			if c.prepare != nil {
				c.prepare(w)
			}
			queue := c.queue
			if queue == "" {
				queue = "common"
			}
			unplaced := explained(w, queue, c.step, c.change)
			assert.Equal(t, len(unplaced), 1)
			assert.DeepEqual(t, counts(unplaced[0]), c.want)
			sum := 0
			for _, count := range unplaced[0].Counts {
				sum += count
			}
			assert.Equal(t, sum, unplaced[0].Considered)
			assert.Equal(t, unplaced[0].Throttled, sum == 0)
		})
	}
}

// TestPlacedStepIsNotExplained guards against lines about steps that are placed, and about steps that nobody asked
// for.
func TestPlacedStepIsNotExplained(t *testing.T) {
	w := newTestCluster(t, 1, 4, 0)
	assert.Equal(t, len(explained(w, "common", anvilwork.Step{Count: 40, Need: gpus(1)}, nil)), 0, "32 of 40 are placed")
	w.plan()
	assert.Equal(t, len(Plan(w.input()).Unplaced), 0)
}

// BenchmarkExplain measures what the explanation of 20 waiting steps adds to a call of Plan.
func BenchmarkExplain(b *testing.B) {
	for _, explain := range []int{0, 20} {
		b.Run(fmt.Sprint(explain, " of 3000 steps on 1104 targets"), func(b *testing.B) {
			w := newTestCluster(b, 138, 8, 0)
			w.submit("running", "common", "b", anvilwork.Step{Count: 1104, Need: gpus(8), Estimate: 600_000})
			w.plan()
			for n := range 3000 {
				w.submit(anvilid.JobID(fmt.Sprint("waiting-", n)), "common", "b", anvilwork.Step{Count: 4, Need: gpus(1)})
			}
			input := w.input()
			input.Explain = map[anvilwork.StepKey]bool{}
			for n := range explain {
				input.Explain[anvilwork.StepKey{Job: anvilid.JobID(fmt.Sprint("waiting-", n))}] = true
			}
			b.ReportAllocs()
			for b.Loop() {
				Plan(input)
			}
		})
	}
}
