package anvilplace

import (
	"fmt"
	"testing"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// BenchmarkPlan measures one call of Plan for a busy system. Four tasks run on each target, so that no
// accelerator is free, and for every ten targets there is a waiting gang that needs all accelerators
// of one to five targets.
func BenchmarkPlan(b *testing.B) {
	for _, targets := range []int{48, 350, 2900} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			w := newTestCluster(b, targets/8, 8, 0)
			for n := range targets / 8 {
				w.submit(anvilid.JobID(fmt.Sprint("running-", n)), "common", "b",
					anvilwork.Step{Count: 32, Need: gpus(2), Estimate: 20_000})
			}
			w.plan()
			for n := range targets / 10 {
				w.submit(anvilid.JobID(fmt.Sprint("waiting-", n)), "common", "b",
					anvilwork.Step{Count: 1 + n%5, Need: gpus(8), Gang: true, PreferOneRack: true, Estimate: 4000})
			}
			input := w.input()
			b.ReportAllocs()
			for b.Loop() {
				Plan(input)
			}
		})
	}
}
