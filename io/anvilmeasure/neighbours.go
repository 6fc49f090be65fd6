package anvilmeasure

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/peterbourgon/ff/v4"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilplace"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
)

const (
	// victimQueue is the queue whose runs go at disturbedSpeed beside runs of disturberQueue.
	victimQueue, disturberQueue = "sweep", "large"
	disturbedSpeed              = 0.6
	// reportInterval is the time between two progress reports of a run.
	reportInterval = anvilclock.Second
	// unknownEnd is the end of a run whose progress decides when it ends.
	unknownEnd = anvilclock.Millis(math.MaxInt64)
)

// neighbourPolicies are the plan that knows no pairs, the one that learns them and the one that knows them from the start.
// All of them know the speeds of the targets.
var neighbourPolicies = []placePolicy{
	withSpeeds,
	{"learnt pairs", planApart(func(r *placeRun) func(a, b anvilwork.QueueName) bool {
		lasting := r.neighbours.estimator
		if !lasting.AnySlows() {
			return nil
		}
		return func(a, b anvilwork.QueueName) bool { return lasting.Slows(a, b) || lasting.Slows(b, a) }
	})},
	{"true pairs", planApart(func(*placeRun) func(a, b anvilwork.QueueName) bool {
		return func(a, b anvilwork.QueueName) bool {
			return a == victimQueue && b == disturberQueue || a == disturberQueue && b == victimQueue
		}
	})},
}

func planApart(apart func(*placeRun) func(a, b anvilwork.QueueName) bool) func(*placeRun) anvilplace.Decision {
	return func(r *placeRun) anvilplace.Decision {
		input := r.input()
		input.Speed = func(target *anvilwork.Target) anvilspeed.Factor { return anvilspeed.Factor(r.speeds[target.ID]) }
		input.Apart = apart(r)
		return anvilplace.Plan(input)
	}
}

// Neighbours compares plans that keep queues apart with one that doesn't, with a queue that slows another one down and without.
func Neighbours(ctx context.Context, o PlaceOptions) (*Table, error) {
	t := &Table{Name: "neighbours: jobs in time if runs of sweep are slowed down beside runs of large", Columns: []string{
		"load", "factor", "policy", "tight in time", "large in time", "sweep in time", "sweep run p50", "p99", "beside large",
		"pair found", "first after", "false pairs", "idle",
	}}
	for _, load := range []float64{0.5, 0.8, 1.1} {
		for _, factor := range []float64{disturbedSpeed, 1} {
			for i, policy := range neighbourPolicies {
				if factor == 1 && i == len(neighbourPolicies)-1 {
					continue // No pair is true.
				}
				total := &placeResult{asked: map[anvilwork.QueueName]int{}, inTime: map[anvilwork.QueueName]int{}}
				var found neighbourResult
				for seed := range o.Seeds {
					if ctx.Err() != nil {
						return nil, ctx.Err()
					}
					run := newPlaceRun(o, load, policy, uint64(seed), total)
					run.neighbours = newNeighbourRuns(factor, &found)
					run.play()
				}
				t.addRow(load, factor, policy.name, total.share("tight"), total.share("large"), total.share("sweep"),
					found.runTimes.quantile(0.5), found.runTimes.quantile(0.99), percent(float64(found.disturbed), float64(found.observed)),
					fmt.Sprintf("%d of %d", len(found.foundAfter), o.Seeds), found.firstFound(), found.falsePairs,
					percent(total.idle, total.capacity))
			}
		}
	}
	speeds := "the speeds 0.6, 1 and 1.6"
	if o.EqualSpeeds {
		speeds = "equal speed"
	}
	t.addNote("%d targets of 8 accelerators and %s, jobs arrive for %s of simulated time, %d workloads", o.Targets, speeds, o.Span, o.Seeds)
	return t, nil
}

func neighboursFlags(fs *ff.FlagSet) func(context.Context) (*Table, error) {
	targets := fs.IntLong("targets", 60, "number of targets")
	span := fs.DurationLong("span", time.Minute, "how long jobs arrive, in simulated time")
	seeds := fs.IntLong("seeds", 10, "number of workloads")
	equal := fs.BoolLong("equal", "give all targets the same speed")
	return func(ctx context.Context) (*Table, error) {
		return Neighbours(ctx, PlaceOptions{Targets: *targets, Span: *span, Seeds: *seeds, EqualSpeeds: *equal})
	}
}

// neighbourResult sums up what runs show about neighbours.
type neighbourResult struct {
	runTimes            sample // of the completed runs of victimQueue
	foundAfter          sample // from the start of each workload in which the true pair was found
	falsePairs          int    // other pairs that were found at any time, counted once in each workload
	disturbed, observed int    // reports of runs of victimQueue beside disturberQueue, and all of them
}

// firstFound returns the median of foundAfter.
func (r *neighbourResult) firstFound() string {
	if len(r.foundAfter) == 0 {
		return "-"
	}
	return r.foundAfter.quantile(0.5).String()
}

// neighbourGroup is runs that progress together: a gang, or a single task.
type neighbourGroup struct {
	members      []anvilwork.Assignment
	queue        anvilwork.QueueName
	gang         bool
	started      anvilclock.Millis
	work, worked float64 // in milliseconds at ordinary speed
}

// neighbourRuns plays runs whose speed depends on those beside them, and reports their progress to an estimator.
type neighbourRuns struct {
	factor     float64 // the speed of runs of victimQueue beside disturberQueue
	result     *neighbourResult
	estimator  *anvilspeed.Estimator
	groups     []*neighbourGroup
	reportedAt anvilclock.Millis
	found      map[[2]anvilwork.QueueName]bool
}

func newNeighbourRuns(factor float64, result *neighbourResult) *neighbourRuns {
	estimator := anvilspeed.NewEstimator()
	estimator.CorrectNeighbours()
	return &neighbourRuns{factor: factor, result: result, estimator: estimator, found: map[[2]anvilwork.QueueName]bool{}}
}

// start adds runs that start together. work is that of the longest of them at ordinary speed, in milliseconds.
func (n *neighbourRuns) start(r *placeRun, assignments []anvilwork.Assignment, work float64) {
	job, _ := r.state.Job(assignments[0].Task.Job)
	n.groups = append(n.groups, &neighbourGroup{
		members: assignments, queue: job.Queue, gang: job.Spec.Steps[0].Gang, started: r.now, work: work,
	})
	for _, a := range assignments {
		r.ends[a.Task] = unknownEnd
	}
}

// advance lets the runs progress for an interval, and sets the ends of those that are complete.
func (n *neighbourRuns) advance(r *placeRun) {
	queues := n.queuesByTarget(r)
	n.groups = slices.DeleteFunc(n.groups, func(g *neighbourGroup) bool {
		g.members = slices.DeleteFunc(g.members, func(a anvilwork.Assignment) bool { _, runs := r.ends[a.Task]; return !runs })
		if len(g.members) == 0 {
			return true
		}
		g.worked += n.speed(r, g, queues) * float64(placeInterval)
		if g.worked < g.work {
			return false
		}
		for _, a := range g.members {
			r.ends[a.Task] = r.now
			if g.queue == victimQueue {
				n.result.runTimes = append(n.result.runTimes, time.Duration(r.now-g.started)*time.Millisecond)
			}
		}
		return true
	})
	if r.now-n.reportedAt >= reportInterval {
		n.reportedAt = r.now
		n.report(r, queues)
	}
}

// queuesByTarget returns the number of runs of each queue on each target.
func (n *neighbourRuns) queuesByTarget(r *placeRun) map[anvilid.TargetID]map[anvilwork.QueueName]int {
	counts := map[anvilid.TargetID]map[anvilwork.QueueName]int{}
	for _, g := range n.groups {
		for _, a := range g.members {
			if _, runs := r.ends[a.Task]; !runs {
				continue
			}
			if counts[a.Target] == nil {
				counts[a.Target] = map[anvilwork.QueueName]int{}
			}
			counts[a.Target][g.queue]++
		}
	}
	return counts
}

// speed returns that of the slowest member.
func (n *neighbourRuns) speed(r *placeRun, g *neighbourGroup, queues map[anvilid.TargetID]map[anvilwork.QueueName]int) float64 {
	slowest := math.Inf(1)
	for _, a := range g.members {
		speed := r.speeds[a.Target]
		if g.queue == victimQueue && queues[a.Target][disturberQueue] > 0 {
			speed *= n.factor
		}
		slowest = min(slowest, speed)
	}
	return slowest
}

// report passes the progress of all runs on to the estimator.
func (n *neighbourRuns) report(r *placeRun, queues map[anvilid.TargetID]map[anvilwork.QueueName]int) {
	for _, g := range n.groups {
		for _, a := range g.members {
			var beside []anvilwork.QueueName
			for queue, runs := range queues[a.Target] {
				if queue != g.queue || runs > 1 {
					beside = append(beside, queue)
				}
			}
			slices.SortFunc(beside, func(a, b anvilwork.QueueName) int { return cmp.Compare(a, b) })
			n.estimator.Observe(r.now, anvilspeed.Sample{
				At: r.now, Queue: g.queue, Beside: beside, Machine: anvilid.MachineID(a.Target), Task: a.Task, Run: a.Run,
				Percent: int(100 * g.worked / g.work), Gang: g.gang,
			})
			if g.queue == victimQueue {
				n.result.observed++
				n.result.disturbed += min(1, queues[a.Target][disturberQueue])
			}
		}
	}
	n.estimator.Fit(r.now)
	n.countFound(r.now)
}

// countFound counts the pairs that are found for the first time.
func (n *neighbourRuns) countFound(now anvilclock.Millis) {
	for _, e := range n.estimator.Effects() {
		pair := [2]anvilwork.QueueName{e.Victim, e.Beside}
		switch {
		case !e.Slows || n.found[pair]:
			continue
		case n.factor < 1 && e.Victim == victimQueue && e.Beside == disturberQueue:
			n.result.foundAfter = append(n.result.foundAfter, time.Duration(now-placeStart)*time.Millisecond)
		default:
			n.result.falsePairs++
		}
		n.found[pair] = true
	}
}
