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

// State is the part of the replicated state that the planner uses.
type State struct {
	Targets []anvilstate.Target
	// ShortOnlyTargets contains the targets that the configuration sets aside for short requests.
	// Members of gangs are never placed on them.
	ShortOnlyTargets map[anvilid.TargetID]bool
	Config           anvilconfig.Snapshot
	Jobs             []anvilstate.Job
}

// Decision is the result of one planning step: what the Driver must do next.
type Decision struct {
	// Place contains the placements of jobs whose accelerators are free now.
	Place []anvilstate.PlaceJob
	// Preempt maps each job to stop to the job that needs its accelerators.
	Preempt map[anvilid.JobID]anvilid.JobID
	// Unmet contains the guaranteed gangs for which no accelerators can be reserved at present, for
	// example after the loss of targets.
	Unmet []anvilplan.Unmet
}

// Planner plans the placement of gangs from the replicated state. It keeps an anvilplan.Planner up
// to date. A new one is created when the leadership changes.
type Planner struct {
	plan    *anvilplan.Planner
	targets map[anvilid.TargetID]anvilstate.Target
	// cordoned contains the targets in the plan on which no further members are placed.
	cordoned map[anvilid.TargetID]bool
	// revision is the configuration revision from which the guarantees of the plan were taken.
	revision anvilid.Revision
	// planned contains the jobs in the plan. The value is true for jobs that are placed in the
	// replicated state, and false for those that wait until other jobs release the accelerators.
	planned map[anvilid.JobID]bool
	// preempting maps each job that has to stop, and doesn't do so yet, to the job that needs its accelerators.
	preempting map[anvilid.JobID]anvilid.JobID
	reasons    map[anvilid.JobID]string // why each waiting job could not be placed
	unmet      []anvilplan.Unmet        // see Decision.Unmet
}

// NewPlanner returns a Planner with an empty plan.
func NewPlanner() *Planner {
	return &Planner{
		plan: anvilplan.New(), targets: map[anvilid.TargetID]anvilstate.Target{}, cordoned: map[anvilid.TargetID]bool{},
		planned: map[anvilid.JobID]bool{}, preempting: map[anvilid.JobID]anvilid.JobID{}, reasons: map[anvilid.JobID]string{},
	}
}

// WaitReason returns why a job could not be placed yet, or an empty string if no reason is known.
func (p *Planner) WaitReason(id anvilid.JobID) string { return p.reasons[id] }

// Step updates the plan from the replicated state and returns the jobs to place and to preempt.
func (p *Planner) Step(now anvilclock.Millis, state State) Decision {
	decision := Decision{Preempt: map[anvilid.JobID]anvilid.JobID{}}
	p.syncTargets(state)
	p.syncGuarantees(state.Config)
	p.releaseEnded(state.Jobs)
	p.restorePlaced(now, state.Jobs)
	p.placeWaiting(now, state.Jobs)
	p.addVictims(state.Jobs, &decision)
	p.addReadyJobs(state, &decision)
	decision.Unmet = p.unmet
	return decision
}

// syncTargets updates the targets of the plan. It adds usable targets, cordons those that are not
// usable, so that no further members are placed on them, and removes those that are gone. A target
// without an owner is not usable, because no instance can run members on it. A new incarnation of a
// target counts as a new target.
func (p *Planner) syncTargets(state State) {
	present := map[anvilid.TargetID]bool{}
	for _, target := range state.Targets {
		present[target.ID] = true
		known, ok := p.targets[target.ID]
		if ok && known.Incarnation != target.Incarnation {
			p.removeTarget(target.ID)
			ok = false
		}
		usable := !target.Leaving && !target.Evacuated && target.Owner != "" && !state.ShortOnlyTargets[target.ID]
		switch {
		case usable && (!ok || p.cordoned[target.ID]):
			p.addTarget(target)
		case !usable && ok && !p.cordoned[target.ID]:
			p.unmet = p.plan.Cordon(target.ID)
			p.cordoned[target.ID] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		if !present[id] {
			p.removeTarget(id)
		}
	}
}

func (p *Planner) addTarget(target anvilstate.Target) {
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

// removeTarget removes a lost target from the plan. The state machine stops the jobs with members on
// the target; releaseEnded releases their accelerators when they have stopped. Jobs that were planned
// on the target but not placed yet are planned again.
func (p *Planner) removeTarget(id anvilid.TargetID) {
	loss := p.plan.RemoveTarget(id)
	p.unmet = loss.Unmet
	delete(p.targets, id)
	delete(p.cordoned, id)
	for _, job := range loss.Gangs {
		p.DiscardPlacement(job)
	}
}

// syncGuarantees passes the guarantees of the configuration to the plan if its revision has changed.
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

// holdsAccelerators reports whether a job occupies accelerators according to the replicated state:
// from its placement until all its members have stopped.
func holdsAccelerators(job anvilstate.Job) bool {
	return job.State != anvilstate.JobSubmitted && !job.State.Final()
}

// releaseEnded releases the accelerators of jobs that have ended or wait for a placement again.
func (p *Planner) releaseEnded(jobs []anvilstate.Job) {
	live := map[anvilid.JobID]anvilstate.Job{}
	for _, job := range jobs {
		live[job.ID] = job
	}
	for _, id := range slices.Sorted(maps.Keys(p.planned)) {
		job, ok := live[id]
		placedBefore := p.planned[id]
		if !ok || placedBefore && !holdsAccelerators(job) {
			if released, known := p.plan.Release(id); known {
				p.unmet = released.Unmet
			}
			delete(p.planned, id)
			delete(p.reasons, id)
		}
	}
}

// restorePlaced adds placed jobs to the plan that this planner did not place itself, because they
// were placed under an earlier leader.
func (p *Planner) restorePlaced(now anvilclock.Millis, jobs []anvilstate.Job) {
	restored := false
	for _, job := range jobs {
		if !holdsAccelerators(job) {
			continue
		}
		if _, known := p.planned[job.ID]; known {
			p.planned[job.ID] = true
			continue
		}
		err := p.plan.Restore(now, requestOf(job), membersOf(job), job.Guaranteed)
		if err == nil {
			p.planned[job.ID] = true
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

// refusalKey identifies waiting jobs that the plan treats alike: if one of them cannot be placed, the
// others cannot either.
type refusalKey struct {
	account anvilid.AccountID
	service anvilid.ServiceName
	shape   anvilconfig.Shape
}

// placeWaiting adds waiting jobs to the plan in the order of submission. After one job could not be
// placed, other jobs of the same account, service and shape are not tried in this step.
func (p *Planner) placeWaiting(now anvilclock.Millis, jobs []anvilstate.Job) {
	refused := map[refusalKey]string{}
	for _, job := range jobs {
		if _, known := p.planned[job.ID]; known || job.State != anvilstate.JobSubmitted {
			continue
		}
		request := requestOf(job)
		key := refusalKey{job.Account, job.Service, request.Shape}
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
		p.planned[job.ID] = false
		for _, victim := range placement.Victims {
			p.preempting[victim] = job.ID
		}
	}
}

// addVictims adds to the decision the jobs that have to stop for others. The plan names the victims of a placement
// once, but the command that stops one may be lost or refused, so each is added until the replicated state shows that
// it stops or has ended.
func (p *Planner) addVictims(jobs []anvilstate.Job, decision *Decision) {
	for _, job := range jobs {
		by, ok := p.preempting[job.ID]
		if ok && holdsAccelerators(job) && job.State != anvilstate.JobStopping {
			decision.Preempt[job.ID] = by
		}
	}
	p.preempting = maps.Clone(decision.Preempt)
}

// addReadyJobs adds to the decision the planned jobs whose accelerators no other job occupies.
func (p *Planner) addReadyJobs(state State, decision *Decision) {
	incarnations := map[anvilid.TargetID]anvilid.Incarnation{}
	for _, target := range state.Targets {
		incarnations[target.ID] = target.Incarnation
	}
	for _, id := range slices.Sorted(maps.Keys(p.planned)) {
		if p.planned[id] || !p.plan.Ready(id) {
			continue
		}
		placement, ok := p.plan.Placement(id)
		if !ok {
			delete(p.planned, id) // it lost a target before it was placed
			continue
		}
		command := anvilstate.PlaceJob{ID: id, Guaranteed: placement.Guaranteed}
		for _, member := range placement.Members {
			command.Members = append(command.Members, anvilstate.Member{
				Target: member.Target, Incarnation: incarnations[member.Target],
				Accelerators: anvilid.AcceleratorCount(member.Count), FirstAccelerator: member.First,
			})
		}
		decision.Place = append(decision.Place, command)
	}
	slices.SortFunc(decision.Place, func(a, b anvilstate.PlaceJob) int { return cmp.Compare(a.ID, b.ID) })
}

// DiscardPlacement removes a job from the plan if its planned placement is not in force, for example
// because the state machine did not accept it. The next step plans the job again.
func (p *Planner) DiscardPlacement(id anvilid.JobID) {
	if placed, known := p.planned[id]; known && !placed {
		p.plan.Release(id)
		delete(p.planned, id)
	}
}
