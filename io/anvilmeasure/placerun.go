package anvilmeasure

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilplace"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
)

const (
	placeStart    = anvilclock.Second            // when the first jobs arrive
	placeInterval = 100 * anvilclock.Millisecond // between two plans
	placeStop     = 400 * anvilclock.Millisecond // until a run that is asked to stop has ended
	placeRackSize = 12
	// placeUnevenness is the largest difference of the run time of a task from that of its job, as a share.
	placeUnevenness = 0.1
)

// placePolicy decides which tasks start and which runs are stopped.
type placePolicy struct {
	name string
	plan func(*placeRun) anvilplace.Decision
}

var (
	firstComeFirstServed = placePolicy{"first come first served", (*placeRun).planInOrder}
	withoutSpeeds        = placePolicy{"plan without speeds", func(r *placeRun) anvilplace.Decision {
		return anvilplace.Plan(r.input())
	}}
	withSpeeds = placePolicy{"plan with speeds", func(r *placeRun) anvilplace.Decision {
		input := r.input()
		input.Speed = func(target *anvilwork.Target) anvilspeed.Factor { return anvilspeed.Factor(r.speeds[target.ID]) }
		return anvilplace.Plan(input)
	}}
)

// placeRun plays one workload under one policy in simulated time.
type placeRun struct {
	policy  placePolicy
	result  *placeResult
	random  *rand.Rand
	load    float64
	span    anvilclock.Millis // until which jobs arrive
	kinds   []placeKind
	state   *anvilwork.State
	now     anvilclock.Millis
	speeds  map[anvilid.TargetID]float64
	numbers map[anvilid.TargetID]uint64
	claims  map[anvilid.TargetID]anvilid.JobID
	demand  anvilplace.Demand
	// ends has the time when each run ends, and stops when it ends because it was asked to stop.
	ends, stops map[anvilwork.Task]anvilclock.Millis
	jobs        []anvilid.JobID
	started     map[anvilid.JobID]anvilclock.Millis
	neighbours  *neighbourRuns // nil if the speed of runs doesn't depend on those beside them
}

func newPlaceRun(o PlaceOptions, load float64, policy placePolicy, seed uint64, result *placeResult) *placeRun {
	r := &placeRun{
		policy: policy, result: result, random: rand.New(rand.NewPCG(seed, 1)), load: load, span: anvilclock.Millis(o.Span.Milliseconds()),
		kinds: placeKinds(), state: anvilwork.New(), now: placeStart, speeds: map[anvilid.TargetID]float64{}, numbers: map[anvilid.TargetID]uint64{},
		ends: map[anvilwork.Task]anvilclock.Millis{}, stops: map[anvilwork.Task]anvilclock.Millis{}, started: map[anvilid.JobID]anvilclock.Millis{},
	}
	config := &anvilwork.Config{
		Version: 1, Services: []anvilwork.Service{{Name: "s"}},
		Accounts: []anvilwork.Account{{Name: "a", Guaranteed: anvilid.AcceleratorCount(4 * o.Targets)}},
	}
	for _, kind := range r.kinds {
		config.Queues = append(config.Queues, anvilwork.Queue{Name: kind.name, Host: "h", Prefix: "/" + string(kind.name), Timeout: 1, Policy: kind.policy})
	}
	r.apply(anvilwork.Command{Configure: config})
	for i := range o.Targets {
		id := anvilid.TargetID(fmt.Sprintf("t%04d", i))
		r.speeds[id] = placeSpeeds[i%len(placeSpeeds)]
		if o.EqualSpeeds {
			r.speeds[id] = 1
		}
		r.apply(anvilwork.Command{Announce: &anvilwork.Announce{Target: anvilwork.Target{
			ID: id, Incarnation: 1, Service: "s", Address: anvilid.Address(id), Rack: anvilid.RackName(fmt.Sprintf("r%03d", i/placeRackSize)),
			Resources: anvilwork.Resources{CPU: 64_000, Memory: 128_000, GPU: 8},
		}}})
	}
	return r
}

func (r *placeRun) apply(command anvilwork.Command) {
	r.state.Apply(r.now, anvilwork.Batch{Commands: []anvilwork.Command{command}})
}

// play plays the workload until the jobs that arrived have had as much time again to end.
func (r *placeRun) play() {
	for ; r.now < 2*r.span; r.now += placeInterval {
		if r.neighbours != nil {
			r.neighbours.advance(r)
		}
		r.endRuns()
		if r.now < r.span {
			r.submit()
		}
		r.carryOut(r.policy.plan(r))
		if r.now < r.span {
			r.countIdle()
		}
	}
	r.countJobs()
}

// submit submits the jobs that arrive in an interval.
func (r *placeRun) submit() {
	for i := range r.kinds {
		kind := &r.kinds[i]
		expected := kind.arrivals(r.load, 8*len(r.speeds)) * float64(placeInterval)
		for expected > 0 {
			if r.random.Float64() < min(1, expected) {
				id := anvilid.JobID(fmt.Sprint("j", len(r.jobs)))
				r.jobs = append(r.jobs, id)
				spec := anvilwork.Spec{Steps: []anvilwork.Step{kind.drawJob(r.random)}}
				r.apply(anvilwork.Command{Submit: &anvilwork.Submit{Job: id, Queue: kind.name, Account: "a", Spec: spec}})
			}
			expected--
		}
	}
}

// carryOut applies a decision.
func (r *placeRun) carryOut(decision anvilplace.Decision) {
	r.claims = decision.Claims
	for i := range decision.Placements {
		r.apply(anvilwork.Command{Place: &decision.Placements[i]})
		r.start(decision.Placements[i].Assignments)
	}
	for _, e := range decision.Evictions {
		if _, stops := r.stops[e.Task]; !stops {
			r.stops[e.Task] = r.now + placeStop
			r.result.stopped++
		}
	}
}

// start sets when runs that start together end: the members of a gang end when the slowest does.
func (r *placeRun) start(assignments []anvilwork.Assignment) {
	var longest anvilclock.Millis
	var work float64
	for _, a := range assignments {
		job, _ := r.state.Job(a.Task.Job)
		uneven := 1 + placeUnevenness*(2*rand.New(rand.NewPCG(uint64(job.Spec.Steps[0].Estimate), uint64(a.Task.Index))).Float64()-1)
		taskWork := uneven * float64(job.Spec.Steps[0].Estimate)
		work = max(work, taskWork)
		longest = max(longest, anvilclock.Millis(taskWork/r.speeds[a.Target]))
		if _, known := r.started[a.Task.Job]; !known {
			r.started[a.Task.Job] = r.now
			r.result.waits = append(r.result.waits, time.Duration(r.now-job.Accepted)*time.Millisecond)
		}
	}
	if r.neighbours != nil {
		r.neighbours.start(r, assignments, work)
		return
	}
	for _, a := range assignments {
		r.ends[a.Task] = r.now + longest
	}
}

// endRuns records the runs that have ended.
func (r *placeRun) endRuns() {
	var ended []anvilwork.Task
	for task, at := range r.ends {
		stop, stops := r.stops[task]
		if at <= r.now || stops && stop <= r.now {
			ended = append(ended, task)
		}
	}
	slices.SortFunc(ended, anvilwork.Task.Compare)
	for _, task := range ended {
		outcome := anvilwork.RunDone
		if r.ends[task] > r.now {
			outcome = anvilwork.RunStopped
		}
		delete(r.ends, task)
		delete(r.stops, task)
		if r.neighbours != nil {
			r.neighbours.estimator.Forget(task)
		}
		job, _ := r.state.Job(task.Job)
		state := *job.State(task)
		r.numbers[state.Target]++
		r.apply(anvilwork.Command{RecordRunEnds: &anvilwork.RecordRunEnds{Target: state.Target, Incarnation: state.Incarnation, Ends: []anvilwork.RunEnd{
			{Number: r.numbers[state.Target], Task: task, Run: state.Run, Outcome: outcome},
		}}})
	}
}

// countIdle adds the accelerators that are idle for an interval.
func (r *placeRun) countIdle() {
	for _, target := range r.state.Targets() {
		r.result.capacity += float64(target.Resources.GPU)
		r.result.idle += float64(target.Resources.Minus(r.state.Load(target.ID)).GPU)
	}
}

// countJobs counts the jobs that ended by their deadline.
func (r *placeRun) countJobs() {
	for _, id := range r.jobs {
		job, _ := r.state.Job(id)
		_, due := anvilplace.ScheduledWindow(job, r.state.PolicyOf(job), 0)
		r.result.asked[job.Queue]++
		if job.Phase == anvilwork.JobDone && job.Ended <= due {
			r.result.inTime[job.Queue]++
		}
		if _, known := r.started[id]; !known {
			r.result.waits = append(r.result.waits, time.Duration(r.now-job.Accepted)*time.Millisecond)
		}
	}
}

// input returns the input of Plan without speeds.
func (r *placeRun) input() anvilplace.Input {
	input := anvilplace.Input{
		State: r.state, Now: r.now, Wall: r.now, Claims: r.claims,
		Usable: func(anvilid.TargetID) bool { return true },
		Avoid:  func(anvilid.TargetID) bool { return false },
		Stopping: func(_ anvilid.TargetID, task anvilwork.Task) bool {
			_, stops := r.stops[task]
			return stops
		},
		Failures: func(anvilwork.StepKey) map[anvilid.TargetID]int { return nil },
		Progress: func(anvilwork.Task) (anvilspeed.Progress, bool) { return anvilspeed.Progress{}, false },
	}
	r.demand.Observe(r.now, anvilplace.UrgentDemand(input))
	input.Reserve = r.demand.Reserve()
	return input
}

// planInOrder starts the jobs in the order of their acceptance, on the first targets that have room, and none before
// those that were accepted earlier.
func (r *placeRun) planInOrder() anvilplace.Decision {
	var decision anvilplace.Decision
	free := map[anvilid.TargetID]anvilwork.Resources{}
	for _, target := range r.state.Targets() {
		free[target.ID] = target.Resources.Minus(r.state.Load(target.ID))
	}
	for _, id := range r.jobs {
		job, ok := r.state.Job(id)
		if !ok || job.Phase.Ended() || job.Occurrences[0].Remaining[0] == 0 {
			continue
		}
		placed, all := r.placeInOrder(job, free)
		decision.Placements = append(decision.Placements, placed...)
		if !all {
			break
		}
	}
	return decision
}

// placeInOrder places the waiting tasks of a job and reports whether all of them fit. A gang is placed as a whole.
func (r *placeRun) placeInOrder(job *anvilwork.Job, free map[anvilid.TargetID]anvilwork.Resources) (placed []anvilwork.Place, all bool) {
	step := job.Spec.Steps[0]
	targets := r.state.Targets()
	var found []anvilwork.Assignment
	all = true
	for i := range job.Occurrences[0].Tasks[0] {
		state := &job.Occurrences[0].Tasks[0][i]
		if state.Phase != anvilwork.TaskWaiting {
			continue
		}
		at := slices.IndexFunc(targets, func(target *anvilwork.Target) bool { return free[target.ID].FitCount(step.Need, 1) > 0 })
		if at < 0 {
			all = false
			break
		}
		free[targets[at].ID] = free[targets[at].ID].Minus(step.Need)
		found = append(found, anvilwork.Assignment{
			Task: anvilwork.Task{Job: job.ID, Index: i}, Run: state.Run + 1, Target: targets[at].ID, Incarnation: targets[at].Incarnation,
		})
	}
	switch {
	case len(found) == 0 || step.Gang && !all:
		return nil, all
	case step.Gang:
		return []anvilwork.Place{{Assignments: found}}, all
	}
	for _, a := range found {
		placed = append(placed, anvilwork.Place{Assignments: []anvilwork.Assignment{a}})
	}
	return placed, all
}
