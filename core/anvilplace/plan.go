package anvilplace

import (
	"math"

	"anvilshunt/core/anviladvice"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
)

// Input is the information on which Plan bases its decisions.
type Input struct {
	State *anvilwork.State
	// Now is the time of the replicated log's clock, which run times are measured with. Wall is the
	// time of the wall clock, which scheduled starts are compared with.
	Now, Wall anvilclock.Millis
	// Usable reports whether a target may be given new work.
	Usable func(anvilid.TargetID) bool
	// Stopping reports whether a run has already been asked to stop.
	Stopping func(anvilid.TargetID, anvilwork.Task) bool
	// Avoid reports whether a target works much slower than others at present, or fails the tasks
	// that it starts.
	Avoid func(anvilid.TargetID) bool
	// Failures returns how often tasks of a step have failed on each target where any of them has.
	Failures func(anvilwork.StepKey) map[anvilid.TargetID]int
	// Speed returns the lasting speed of a target. nil means that all targets are ordinary. If they differ by no more
	// than maxTierRatio, speeds change nothing.
	Speed func(*anvilwork.Target) anvilspeed.Factor
	// Apart reports whether runs of one of two queues slow down those of the other on the same target, so that they are kept
	// apart where another target is as good. nil means that no such queues are known,
	// or that they aren't kept apart.
	Apart func(a, b anvilwork.QueueName) bool
	// Progress returns the progress and speed of a run, if known.
	Progress func(anvilwork.Task) (anvilspeed.Progress, bool)
	// Reserve is the number of accelerators to keep free for urgent jobs, see Demand.
	Reserve anvilid.AcceleratorCount
	// Ticket returns a ticket, which is the permission of the advice service to run a step on a target,
	// if a valid one is known. It is called only for steps that need a ticket. Allowed reports whether
	// a ticket can still be obtained, which isn't the case once the service has denied it.
	Ticket  func(anvilwork.StepKey, *anvilwork.Target) (anvilwork.Ticket, bool)
	Allowed func(anvilwork.StepKey, *anvilwork.Target) bool
	// StartsInFlight is the number of runs whose start is not yet answered, and MaxStartsInFlight its limit,
	// or 0 if there is none. See startsLeft.
	StartsInFlight, MaxStartsInFlight int
	// Claims is Decision.Claims of the previous call of Plan: the targets that it claimed for waiting
	// jobs, which other jobs may not use.
	Claims map[anvilid.TargetID]anvilid.JobID
	// Explain has the steps for which Decision.Unplaced says why their waiting tasks were not placed.
	Explain map[anvilwork.StepKey]bool
	// WhyNotUsable returns why Usable excludes a target. It may be nil and is called only to explain steps.
	WhyNotUsable func(anvilid.TargetID) Reason
}

// Eviction is a run that must be stopped before it ends by itself.
type Eviction struct {
	Target anvilid.TargetID
	Task   anvilwork.Task
	// Preemptor is the job that needs the resources, or the job of the run itself if the run is moved
	// because it is slow.
	Preemptor anvilid.JobID
}

// Decision is the result of Plan: which tasks to start and which runs to stop, and what to claim and to
// request for jobs that wait.
type Decision struct {
	// Placements are sets of assignments of tasks to targets. Each set takes effect as a whole or not at
	// all.
	Placements []anvilwork.Place
	Evictions  []Eviction
	// Claims are the targets that are claimed for waiting jobs. They must be passed to the next
	// call of Plan, which would otherwise evict runs for the same job a second time.
	Claims map[anvilid.TargetID]anvilid.JobID
	// TicketCandidates are the steps that wait for tickets, each with the targets for which to
	// request them.
	TicketCandidates []anviladvice.Candidates
	// Unplaced has those of Input.Explain of which no task was placed. A step whose tasks are placed in several
	// parts, see splitSuspects, has one entry for each part.
	Unplaced []Unplaced
}

// planner is the working state of one call of Plan.
type planner struct {
	Input
	decision Decision
	all      *group // all nodes
	byID     map[anvilid.TargetID]*node
	racks    []*group // ordered by name
	// rackByName has the same groups as racks.
	rackByName map[anvilid.RackName]*group
	// jobs has what is known about the jobs that have been looked at, see jobInfo.
	jobs map[anvilid.JobID]*jobInfo
	// emptyRacks has the results of largestRack that depend on no particular job.
	emptyRacks map[emptyRackKey]int
	// placed is the number of tasks that have been placed.
	placed int
	// usableTargets is the number of targets that may be given new runs.
	usableTargets int
	// usableAccelerators is the number of accelerators of all targets that may be given new runs.
	usableAccelerators anvilid.AcceleratorCount
	// urgentByAccount is the number of accelerators that the unfinished urgent jobs of each account
	// need.
	urgentByAccount map[anvilid.AccountID]anvilid.AcceleratorCount
	// currentJob is the job that is being placed, and currentUrgent tells whether it is urgent.
	currentJob    anvilid.JobID
	currentUrgent bool
	// currentUsesSlow tells whether the step that is being placed may use slow nodes, see tolerate.
	currentUsesSlow bool
	// slowNodes is the number of slow nodes.
	slowNodes int
	// currentSuspects is the step that is being placed if it consists of suspects, or nil.
	currentSuspects *waitingStep
	// probationNodes has the nodes on which suspects of each job are on probation.
	probationNodes map[anvilid.JobID][]*node
	// emptyNodes is the number of usable nodes without runs, and ownNodes, for each job, that of usable nodes
	// with runs of this job only. Suspects that wait for a target of their own fit on no other node.
	emptyNodes int
	ownNodes   map[anvilid.JobID]int
	// emptying is the result of emptyingNodes, which is valid if emptyingKnown is set.
	emptying      []*node
	emptyingKnown bool
	// runsByStep has the assigned runs of all tasks of each step; if the step is a gang, these are the
	// runs of its members.
	runsByStep map[anvilwork.StepKey][]runOnNode
	// nodesClaimedBy has the nodes that were claimed for each job. A node that was claimed for another
	// job later may still be in the list of the first job; node.claimedBy is the job that has it now.
	nodesClaimedBy map[anvilid.JobID][]*node
	// smallestBlocked is, for each shape, the number of tasks of the smallest gang that didn't fit.
	smallestBlocked map[gangShape]int
	// gangClaimAttempts counts the gangs for which this call of Plan has searched for targets to claim.
	gangClaimAttempts int
	// gangClaimed is the number of accelerators of all targets that are claimed for gangs that aren't
	// urgent.
	gangClaimed anvilid.AcceleratorCount
	// suspectClaims is the number of targets that are claimed for suspects.
	suspectClaims int
	// tierSpeeds has the speed of each tier, the slowest first, and tiers those that the current search may use.
	tierSpeeds []float64
	tiers      tierRange
	// deferrableFrom is the slowest tier on which the current job would still end by its deadline if it started
	// later. It may not use nodes from this tier on that are reserved for urgent jobs.
	deferrableFrom int
	// lifted is the last precaution that is lifted for the current step, see placeOverdue.
	lifted precaution
	// busy has the results of isBusy.
	busy map[anvilid.ServiceName]bool
}

// Plan returns which tasks to start and which runs to stop now.
func Plan(input Input) Decision {
	p := &planner{
		Input: input, byID: map[anvilid.TargetID]*node{}, urgentByAccount: map[anvilid.AccountID]anvilid.AcceleratorCount{},
		runsByStep: map[anvilwork.StepKey][]runOnNode{}, nodesClaimedBy: map[anvilid.JobID][]*node{}, smallestBlocked: map[gangShape]int{},
		rackByName: map[anvilid.RackName]*group{}, jobs: map[anvilid.JobID]*jobInfo{}, emptyRacks: map[emptyRackKey]int{},
		probationNodes: map[anvilid.JobID][]*node{}, ownNodes: map[anvilid.JobID]int{}, busy: map[anvilid.ServiceName]bool{},
	}
	p.sumUrgentDemand()
	p.addNodes()
	p.reserveRacks()
	waitingSteps := p.waitingInOrder()
	p.restoreClaims(waitingSteps)
	for _, waitingStep := range waitingSteps {
		if p.startsLeft(waitingStep.urgent) <= 0 {
			p.explain(waitingStep, true)
			continue
		}
		p.currentJob, p.currentUrgent, p.deferrableFrom = waitingStep.info.job.ID, waitingStep.urgent, p.deferrableTier(waitingStep)
		p.currentSuspects = nil
		if waitingStep.suspect() {
			p.currentSuspects = waitingStep
		}
		p.tolerate(waitingStep)
		p.currentUsesSlow = waitingStep.usesSlow
		placedBefore := p.placed
		p.placeStep(waitingStep)
		p.placeOverdue(waitingStep, p.placed-placedBefore)
		if p.placed == placedBefore {
			p.explain(waitingStep, false)
		}
	}
	p.currentJob, p.currentUrgent, p.currentUsesSlow, p.deferrableFrom, p.currentSuspects = "", false, false, 0, nil
	p.vacateLeavingTargets()
	p.moveStragglers()
	p.decision.Claims = map[anvilid.TargetID]anvilid.JobID{}
	for _, n := range p.all.nodes {
		if n.claimedBy != "" {
			p.decision.Claims[n.target.ID] = n.claimedBy
		}
	}
	return p.decision
}

// startsLeft returns how many further tasks may be placed. When everything waits at once, as after all voters
// were down, the starts would otherwise delay each other until gangs miss some of their members, and the
// leader would be too busy to remain the leader. A gang is placed as a whole if any start is left for it.
// Urgent jobs may use twice the limit, so that they don't wait for the starts of others.
func (p *planner) startsLeft(urgent bool) int {
	if p.MaxStartsInFlight == 0 {
		return math.MaxInt
	}
	limit := p.MaxStartsInFlight
	if urgent {
		limit *= 2
	}
	return limit - p.StartsInFlight - p.placed
}

// restoreClaims claims the same targets as the previous call of Plan for those jobs that still wait.
func (p *planner) restoreClaims(waitingSteps []*waitingStep) {
	waiting := map[anvilid.JobID]*waitingStep{}
	for _, u := range waitingSteps {
		if u.mayClaim() {
			waiting[u.info.job.ID] = u
		}
	}
	for id, job := range p.Claims {
		if n, u := p.byID[id], waiting[job]; n != nil && u != nil {
			p.claimNode(n, u)
			if u.stage == stageAlone && !u.step.Gang {
				p.countSuspectClaim(n)
			}
		}
	}
}

// mayClaim reports whether targets may stay claimed for a step. Suspects drop their claims at the end of their
// wait for a target of their own.
func (u *waitingStep) mayClaim() bool { return u.urgent || u.step.Gang || u.stage == stageAlone }

// placeStep places as many tasks of a step as fit, or a gang if all of its tasks fit.
func (p *planner) placeStep(u *waitingStep) {
	if u.info.policy.Advice.Needed() {
		p.requestTickets(u)
	}
	if u.step.Gang {
		p.placeGang(u)
		return
	}
	if u.stage == stageAlone {
		p.placeSuspects(u)
		return
	}
	p.placeSingles(u)
}

func (p *planner) placeGang(u *waitingStep) {
	if u.suspect() || !p.blocked(u) {
		if allotments := p.fitSuspects(u, len(u.tasks), p.fitAll); len(allotments) > 0 {
			p.placeGangAt(u, allotments, p.fitAll)
			return
		}
		if !u.suspect() { // suspects fit on fewer targets than other gangs of the same shape
			p.recordBlocked(u)
		}
	}
	if allotments := p.fitSuspects(u, len(u.tasks), p.fitSpread); len(allotments) > 0 {
		p.placeGangAt(u, allotments, p.fitSpread)
		return
	}
	if u.urgent {
		p.freeResources(u, len(u.tasks))
		return
	}
	p.claimForGang(u)
}

func (p *planner) placeSingles(u *waitingStep) {
	count := min(len(u.tasks), p.startsLeft(u.urgent))
	allotments := p.fitSuspects(u, count, p.fitMostByTier)
	p.assign(u, u.tasks[:taskCount(allotments)], allotments)
	rest := count - taskCount(allotments)
	switch {
	case rest == 0:
		p.releaseClaims(u)
	case u.urgent:
		p.freeResources(u, rest)
	}
}

// assign adds the assignments of tasks to Decision.Placements: one set for all tasks of a gang, or one
// set for each single task.
func (p *planner) assign(u *waitingStep, tasks []anvilwork.Task, allotments []allotment) {
	var gang []anvilwork.Assignment
	for _, s := range allotments {
		p.placed += s.count
		u.info.atWork = true
		s.node.allocate(u, s.count)
		for range s.count {
			task := tasks[0]
			tasks = tasks[1:]
			a := anvilwork.Assignment{Task: task, Run: u.run, Target: s.node.target.ID, Incarnation: s.node.target.Incarnation}
			if u.info.policy.Advice.Needed() {
				a.Ticket, _ = p.Ticket(task.StepKey(), s.node.target) // taskCapacity is 0 on nodes without a ticket
			}
			if u.step.Gang {
				gang = append(gang, a)
				continue
			}
			p.decision.Placements = append(p.decision.Placements, anvilwork.Place{Assignments: []anvilwork.Assignment{a}})
		}
	}
	if len(gang) > 0 {
		p.decision.Placements = append(p.decision.Placements, anvilwork.Place{Assignments: gang})
	}
}
