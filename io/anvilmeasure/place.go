package anvilmeasure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// PlaceOptions are the options of Place, which compares policies of placement on targets of unequal speed.
type PlaceOptions struct {
	Targets int
	Span    time.Duration // how long jobs arrive, in simulated time
	Seeds   int           // number of workloads; the jobs of all of them are counted together
	// EqualSpeeds gives all targets the ordinary speed.
	EqualSpeeds bool
}

// placeKind is a kind of job of the workload. Its tasks take the same time, within placeUnevenness.
type placeKind struct {
	name   anvilwork.QueueName
	policy anvilwork.QueuePolicy
	step   anvilwork.Step
	width  int // the mean number of tasks
	gpus   []anvilid.AcceleratorCount
	// share is the share of all accelerators that jobs of the kind need on average at ordinary speed, at load 1.
	share float64
}

// placeKinds are tight gangs, wide gangs that have time, and wide sets of small tasks.
func placeKinds() []placeKind {
	policy := func(priority int, factor float64, offset anvilclock.Millis) anvilwork.QueuePolicy {
		return anvilwork.QueuePolicy{Service: "s", Priority: priority, DeadlineFactor: factor, DeadlineOffset: offset, Attempts: 5}
	}
	return []placeKind{
		{
			"tight", policy(0, 1.5, 400),
			anvilwork.Step{Need: anvilwork.Resources{CPU: 7500, Memory: 15_000}, Gang: true, PreferOneRack: true, Estimate: 2000},
			5,
			[]anvilid.AcceleratorCount{1, 2, 4, 8},
			0.3,
		},
		{
			"large", policy(1, 3, 1200),
			anvilwork.Step{Need: anvilwork.Resources{CPU: 26_000, Memory: 53_000}, Gang: true, Estimate: 9000},
			12,
			[]anvilid.AcceleratorCount{2, 4, 8},
			0.4,
		},
		{
			"sweep", policy(2, 3, 3000),
			anvilwork.Step{Need: anvilwork.Resources{CPU: 5600, Memory: 11_000}, Checkpoints: true, Estimate: 7000},
			40,
			[]anvilid.AcceleratorCount{1},
			0.3,
		},
	}
}

// placeSpeeds are the speeds of the targets, in turn.
var placeSpeeds = []float64{0.6, 1, 1.6}

// Place compares policies of placement on targets of unequal speed, in simulated time and without instances.
func Place(ctx context.Context, o PlaceOptions) (*Table, error) {
	t := &Table{Name: "place: jobs in time by policy, on targets of the speeds 0.6, 1 and 1.6", Columns: []string{
		"load", "policy", "tight in time", "large in time", "sweep in time", "first start p50", "p99", "idle", "stopped runs",
	}}
	for _, load := range []float64{0.5, 0.8, 1.1} {
		for _, policy := range []placePolicy{firstComeFirstServed, withoutSpeeds, withSpeeds} {
			total := &placeResult{asked: map[anvilwork.QueueName]int{}, inTime: map[anvilwork.QueueName]int{}}
			for seed := range o.Seeds {
				if ctx.Err() != nil {
					return nil, ctx.Err()
				}
				newPlaceRun(o, load, policy, uint64(seed), total).play()
			}
			t.addRow(load, policy.name, total.share("tight"), total.share("large"), total.share("sweep"),
				total.waits.quantile(0.5), total.waits.quantile(0.99), percent(total.idle, total.capacity), total.stopped)
		}
	}
	t.addNote("%d targets of 8 accelerators, jobs arrive for %s of simulated time, %d workloads", o.Targets, o.Span, o.Seeds)
	return t, nil
}

func placeFlags(fs *ff.FlagSet) func(context.Context) (*Table, error) {
	targets := fs.IntLong("targets", 120, "number of targets")
	span := fs.DurationLong("span", time.Minute, "how long jobs arrive, in simulated time")
	seeds := fs.IntLong("seeds", 3, "number of workloads")
	return func(ctx context.Context) (*Table, error) {
		return Place(ctx, PlaceOptions{Targets: *targets, Span: *span, Seeds: *seeds})
	}
}

// placeResult sums up runs.
type placeResult struct {
	asked, inTime  map[anvilwork.QueueName]int
	waits          sample // from the acceptance of a job to its first start; to the end of the run if it has none
	idle, capacity float64
	stopped        int
}

func (r *placeResult) share(kind anvilwork.QueueName) string {
	return percent(float64(r.inTime[kind]), float64(r.asked[kind]))
}

func percent(part, whole float64) string { return fmt.Sprintf("%.0f%%", 100*part/max(1, whole)) }

// drawJob draws a job of the kind.
func (k *placeKind) drawJob(random *rand.Rand) anvilwork.Step {
	step := k.step
	step.Count = 1 + random.IntN(2*k.width-1)
	step.Need.GPU = k.gpus[random.IntN(len(k.gpus))]
	step.Estimate = anvilclock.Millis(float64(step.Estimate) * (0.5 + random.Float64()))
	return step
}

// arrivals returns the mean number of jobs that arrive in a millisecond.
func (k *placeKind) arrivals(load float64, accelerators int) float64 {
	gpus := 0.0
	for _, count := range k.gpus {
		gpus += float64(count) / float64(len(k.gpus))
	}
	return load * k.share * float64(accelerators) / (gpus * float64(k.width) * float64(k.step.Estimate))
}
