package anvilplace

import (
	"fmt"
	"testing"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// BenchmarkPlanOverdue measures one call of Plan for a full system in which all that waits is overdue.
func BenchmarkPlanOverdue(b *testing.B) {
	for _, c := range []struct {
		name                        string
		targets, jobs, steps, cores int
	}{
		{"tasks", 1104, 3000, 1, 1},
		{"many steps", 1104, 100, 200, 1},
		{"one rack gangs", 1104, 300, 1, 0},
	} {
		b.Run(c.name, func(b *testing.B) {
			w := newTestCluster(b, c.targets/8, 8, 0)
			for n := range c.targets / 8 {
				w.submit(anvilid.JobID(fmt.Sprint("running-", n)), "common", "b",
					anvilwork.Step{Count: 32, Need: gpus(2), Estimate: 600_000})
			}
			w.plan()
			for n := range c.jobs {
				step := anvilwork.Step{Count: 1, Need: gpus(1), Estimate: 4000}
				if c.cores == 0 {
					step = anvilwork.Step{Count: 8, Need: gpus(8), Gang: true, PreferOneRack: true, Estimate: 4000}
				} else {
					step.Need = anvilwork.Resources{CPU: testResources.CPU, Memory: 1}
				}
				steps := make([]anvilwork.Step, c.steps)
				for i := range steps {
					steps[i] = step
				}
				w.apply(anvilwork.Command{Submit: &anvilwork.Submit{
					Job: anvilid.JobID(fmt.Sprint("waiting-", n)), Queue: "common", Account: "b", Spec: anvilwork.Spec{Steps: steps},
				}})
			}
			w.now += 10_000
			input := w.input()
			b.ReportAllocs()
			for b.Loop() {
				Plan(input)
			}
		})
	}
}
