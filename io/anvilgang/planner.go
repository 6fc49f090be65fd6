package anvilgang

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilplan"
	"anvilshunt/core/anvilstate"
)

// State is what the planner reads of the replicated state.
type State struct {
	Targets []anvilstate.Target
	// ShortOnlyTargets holds the targets that gangs never use.
	ShortOnlyTargets  map[anvilid.TargetID]bool
	Config anvilconfig.Snapshot
	Jobs   []anvilstate.Job
}

// Decision is what the planner wants done.
type Decision struct {
	// Place lists jobs whose accelerators are free now.
	Place []anvilstate.PlaceJob
	// Preempt lists jobs to stop, by the job that needs their accelerators.
	Preempt map[anvilid.JobID]anvilid.JobID
	// Unmet lists the parts of guarantees that can't be placed any more.
	Unmet []anvilplan.Unmet
}

// Planner keeps an anvilplan.Planner in step with the replicated state. It
// belongs to the leader and is built anew when leadership changes.
type Planner struct {
	plan     *anvilplan.Planner
	targets  map[anvilid.TargetID]anvilstate.Target
	cordoned map[anvilid.TargetID]bool
	revision anvilid.Revision
	// held lists the jobs that the plan holds, placed or waiting for victims.
	held    map[anvilid.JobID]bool
	reasons map[anvilid.JobID]string
	unmet   []anvilplan.Unmet
}

// NewPlanner returns a planner that knows nothing yet.
func NewPlanner() *Planner {
	return &Planner{
		plan: anvilplan.New(), targets: map[anvilid.TargetID]anvilstate.Target{}, cordoned: map[anvilid.TargetID]bool{},
		held: map[anvilid.JobID]bool{}, reasons: map[anvilid.JobID]string{},
	}
}

// WaitReason says why a job waits.
func (p *Planner) WaitReason(id anvilid.JobID) string { return p.reasons[id] }

// Step brings the plan in step with the state and decides what to do.
func (p *Planner) Step(now anvilclock.Millis, state State) Decision {
	decision := Decision{Preempt: map[anvilid.JobID]anvilid.JobID{}}
	p.syncTargets(state)
	p.syncGuarantees(state.Config)
	p.releaseEnded(state.Jobs)
	p.restorePlaced(now, state.Jobs)
	p.placeWaiting(now, state.Jobs, &decision)
	p.readyToPlace(state, &decision)
	decision.Unmet = p.unmet
	return decision
}

// syncTargets adds, cordons and removes targets. A target that isn't owned
// can't run anything yet.
func (p *Planner) syncTargets(state State) {
	present := map[anvilid.TargetID]bool{}
	for _, target := range state.Targets {
		present[target.ID] = true
		known, ok := p.targets[target.ID]
		if ok && known.Incarnation != target.Incarnation {
			p.remove(target.ID)
			ok = false
		}
		usable := !target.Leaving && target.Owner != "" && !state.ShortOnlyTargets[target.ID]
		switch {
		case usable && (!ok || p.cordoned[target.ID]):
			p.add(target)
		case !usable && ok && !p.cordoned[target.ID]:
			p.unmet = p.plan.Cordon(target.ID)
			p.cordoned[target.ID] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		if !present[id] {
			p.remove(id)
		}
	}
}

func (p *Planner) add(target anvilstate.Target) {
	unmet, err := p.plan.AddTarget(anvilplan.Target{
		ID: target.ID, Service: target.Service, Region: target.Region, Zone: target.Zone,
		Rack: target.Rack, Accelerators: target.Accelerators,
	})
	if err == nil {
		p.unmet = unmet
		p.targets[target.ID] = target
		delete(p.cordoned, target.ID)
	}
}

// remove takes a lost target out. Its jobs are being stopped by the state
// machine and are released when they have.
func (p *Planner) remove(id anvilid.TargetID) {
	loss := p.plan.RemoveTarget(id)
	p.unmet = loss.Unmet
	delete(p.targets, id)
	delete(p.cordoned, id)
	for _, job := range loss.Gangs {
		p.DiscardPlacement(job)
	}
}

func (p *Planner) syncGuarantees(config anvilconfig.Snapshot) {
	if config.Revision == p.revision {
		return
	}
	var guarantees []anvilplan.Guarantee
	for _, object := range config.List() {
		spec := object.Guarantee
		if spec == nil {
			continue
		}
		if shape := config.Shape(spec.Shape); shape != nil {
			guarantees = append(guarantees, anvilplan.Guarantee{
				Account: spec.Account, Service: spec.Service, Shape: *shape, Count: spec.Count,
			})
		}
	}
	if unmet, err := p.plan.SetGuarantees(guarantees); err == nil {
		p.unmet = unmet
		p.revision = config.Revision
	}
}

// holds tells whether a job has accelerators in the replicated state.
func holds(job anvilstate.Job) bool {
	return job.State != anvilstate.JobSubmitted && !job.State.Final()
}

// releaseEnded frees what jobs held that have ended or wait again.
func (p *Planner) releaseEnded(jobs []anvilstate.Job) {
	live := map[anvilid.JobID]anvilstate.Job{}
	for _, job := range jobs {
		live[job.ID] = job
	}
	for _, id := range slices.Sorted(maps.Keys(p.held)) {
		job, ok := live[id]
		placedBefore := p.held[id]
		if !ok || placedBefore && !holds(job) {
			if released, known := p.plan.Release(id); known {
				p.unmet = released.Unmet
			}
			delete(p.held, id)
			delete(p.reasons, id)
		}
	}
}

// restorePlaced enters jobs that a former leader placed.
func (p *Planner) restorePlaced(now anvilclock.Millis, jobs []anvilstate.Job) {
	restored := false
	for _, job := range jobs {
		if !holds(job) {
			continue
		}
		if _, known := p.held[job.ID]; known {
			p.held[job.ID] = true
			continue
		}
		err := p.plan.Restore(now, requestOf(job), membersOf(job), job.Guaranteed)
		if err == nil {
			p.held[job.ID] = true
			restored = true
		}
	}
	if restored {
		p.unmet = p.plan.Repair()
	}
}

func requestOf(job anvilstate.Job) anvilplan.Request {
	return anvilplan.Request{
		Job: job.ID, Account: job.Account, Service: job.Service, Preemptible: true,
		Shape: anvilconfig.Shape{Accelerators: job.Accelerators, Within: job.Within},
	}
}

func membersOf(job anvilstate.Job) []anvilplan.Member {
	members := make([]anvilplan.Member, len(job.Members))
	for i, member := range job.Members {
		members[i] = anvilplan.Member{Target: member.Target, First: member.FirstAccelerator, Count: int(member.Accelerators)}
	}
	return members
}

// waitKey groups jobs that would be refused for the same reason.
type waitKey struct {
	account anvilid.AccountID
	service anvilid.ServiceName
	shape   anvilconfig.Shape
}

// placeWaiting plans waiting jobs in the order of submission. Once a job was
// refused, others of the same account and shape aren't tried in this step.
func (p *Planner) placeWaiting(now anvilclock.Millis, jobs []anvilstate.Job, decision *Decision) {
	refused := map[waitKey]string{}
	for _, job := range jobs {
		if _, known := p.held[job.ID]; known || job.State != anvilstate.JobSubmitted {
			continue
		}
		request := requestOf(job)
		key := waitKey{job.Account, job.Service, request.Shape}
		if reason, ok := refused[key]; ok {
			p.reasons[job.ID] = reason
			continue
		}
		placement, err := p.plan.Place(now, request)
		if err != nil {
			var refusal *anvilplan.Refusal
			if !errors.As(err, &refusal) {
				refusal = &anvilplan.Refusal{Reason: err}
			}
			refused[key] = refusal.Error()
			p.reasons[job.ID] = refusal.Error()
			continue
		}
		p.held[job.ID] = false
		for _, victim := range placement.Victims {
			decision.Preempt[victim] = job.ID
		}
	}
}

// readyToPlace lists planned jobs whose accelerators no other job holds.
func (p *Planner) readyToPlace(state State, decision *Decision) {
	runs := map[anvilid.TargetID]anvilid.Incarnation{}
	for _, target := range state.Targets {
		runs[target.ID] = target.Incarnation
	}
	for _, id := range slices.Sorted(maps.Keys(p.held)) {
		if p.held[id] || !p.plan.Ready(id) {
			continue
		}
		placement, ok := p.plan.Placement(id)
		if !ok {
			delete(p.held, id) // it lost a target before it was placed
			continue
		}
		command := anvilstate.PlaceJob{ID: id, Guaranteed: placement.Guaranteed}
		for _, member := range placement.Members {
			command.Members = append(command.Members, anvilstate.Member{
				Target: member.Target, Incarnation: runs[member.Target],
				Accelerators: anvilid.AcceleratorCount(member.Count), FirstAccelerator: member.First,
			})
		}
		decision.Place = append(decision.Place, command)
	}
	slices.SortFunc(decision.Place, func(a, b anvilstate.PlaceJob) int { return cmp.Compare(a.ID, b.ID) })
}

// DiscardPlacement notes that the state machine did not accept a placement. The job is
// planned anew.
func (p *Planner) DiscardPlacement(id anvilid.JobID) {
	if placed, known := p.held[id]; known && !placed {
		p.plan.Release(id)
		delete(p.held, id)
	}
}
