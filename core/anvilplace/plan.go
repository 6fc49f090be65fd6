package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anviladvice"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilspeed"
	"anvilshunt/core/anvilwork"
)

// Input is what a plan is made from.
type Input struct {
	State *anvilwork.State
	// Now is the clock of the log, Wall the wall clock.
	Now, Wall anvilclock.Millis
	// Usable tells whether a target may be given new work.
	Usable func(anvilid.TargetID) bool
	// Stopping tells whether the end of a run was asked for already.
	Stopping func(anvilid.TargetID, anvilwork.Task) bool
	// Avoid tells whether a target works much slower than others now, or fails
	// what it starts.
	Avoid func(anvilid.TargetID) bool
	// Failed tells whether a task of this step has failed on a target.
	Failed func(anvilwork.Task, anvilid.TargetID) bool
	// Progress tells how far a run is, if that is known.
	Progress func(anvilwork.Task) (anvilspeed.Progress, bool)
	// Reserve is how many accelerators are held back for urgent jobs.
	Reserve anvilid.AcceleratorCount
	// Ticket returns the ticket of a step for a target where one is needed, and
	// May tells whether one can be had.
	Ticket  func(anvilwork.StepKey, *anvilwork.Target) (anvilwork.Ticket, bool)
	Allowed func(anvilwork.StepKey, *anvilwork.Target) bool
	// Claims are the targets that the plan before kept for jobs that wait.
	Claims map[anvilid.TargetID]anvilid.JobID
}

// Eviction is a run that shall end before its time.
type Eviction struct {
	Target anvilid.TargetID
	Task   anvilwork.Task
	// Preemptor is the job that needs the room.
	Preemptor anvilid.JobID
}

// Decision is the outcome of a plan.
type Decision struct {
	// Placements are sets of assignments; each takes effect whole or not at all.
	Placements []anvilwork.Place
	Evictions  []Eviction
	// Claims are the targets that are kept for jobs that wait. The next plan
	// needs them, so that it doesn't stop runs a second time.
	Claims map[anvilid.TargetID]anvilid.JobID
	// TicketCandidates are steps that wait for tickets.
	TicketCandidates []anviladvice.Candidates
}

// planner holds one pass.
type planner struct {
	Input
	decision Decision
	nodes    []*node
	byID     map[anvilid.TargetID]*node
	racks    []*rack
	// capacity counts the accelerators of targets that may be given work.
	capacity anvilid.AcceleratorCount
	// used counts the accelerators of unfinished urgent jobs by account.
	used map[anvilid.AccountID]anvilid.AcceleratorCount
	// serving is the job that is being served, and urgent tells that it is.
	serving anvilid.JobID
	urgent  bool
	// runs lists the runs of each step.
	runs map[anvilwork.StepKey][]victim
	// keptBy lists the nodes that are kept for a job.
	keptBy map[anvilid.JobID][]*node
	// blockedAt is the smallest gang of each shape that found no room.
	blockedAt map[shape]int
	// gathers counts the gangs for which room was sought in this plan.
	gathers int
	// gathered counts the accelerators of targets that are kept for gangs that
	// aren't urgent.
	gathered anvilid.AcceleratorCount
	// waits tells that this job can wait, and gets nothing that is held back.
	waits bool
}

// Plan returns what to start and what to stop now.
func Plan(input Input) Decision {
	p := &planner{
		Input: input, byID: map[anvilid.TargetID]*node{}, used: map[anvilid.AccountID]anvilid.AcceleratorCount{},
		runs: map[anvilwork.StepKey][]victim{}, keptBy: map[anvilid.JobID][]*node{}, blockedAt: map[shape]int{},
	}
	p.survey()
	p.holdBack()
	p.account()
	units := p.queue()
	p.keepOn(units)
	for _, unit := range units {
		p.serving, p.urgent, p.waits = unit.job.ID, unit.urgent, p.canWait(unit)
		p.serve(unit)
	}
	p.serving, p.urgent, p.waits = "", false, true
	p.moveStragglers()
	p.decision.Claims = map[anvilid.TargetID]anvilid.JobID{}
	for _, n := range p.nodes {
		if n.keeper != "" {
			p.decision.Claims[n.target.ID] = n.keeper
		}
	}
	return p.decision
}

// keepOn keeps targets for the jobs that they were kept for before, if these
// still wait.
func (p *planner) keepOn(units []*unit) {
	waiting := map[anvilid.JobID]*unit{}
	for _, u := range units {
		waiting[u.job.ID] = u
	}
	for id, job := range p.Claims {
		if n, u := p.byID[id], waiting[job]; n != nil && u != nil {
			p.keepNode(n, u)
		}
	}
}

// unit is a step of a job with tasks that wait.
type unit struct {
	job     *anvilwork.Job
	terms   anvilwork.QueuePolicy
	step    anvilwork.Step
	urgent  bool // priority 0
	assured bool // urgent and within the guarantee
	// from and due are when the job was to begin and should have ended.
	from, due anvilclock.Millis
	tasks     []anvilwork.Task
	// run is the number of the next run of the whole gang.
	run anvilwork.Run
}

// account adds up what the unfinished urgent jobs of each account need.
func (p *planner) account() {
	for _, job := range p.State.Active() {
		if p.State.PolicyOf(job).Priority == 0 {
			p.used[job.Account] += demand(job)
		}
	}
}

// demand is the largest number of accelerators that a job needs at one time.
func demand(job *anvilwork.Job) anvilid.AcceleratorCount {
	var most anvilid.AcceleratorCount
	for _, step := range job.Spec.Steps {
		most = max(most, anvilid.AcceleratorCount(step.Count)*step.Need.GPU)
	}
	return most
}

// queue lists the waiting units, those to be served first at the front.
func (p *planner) queue() []*unit {
	var units []*unit
	for _, job := range p.State.Active() {
		terms := p.State.PolicyOf(job)
		urgent := terms.Priority == 0
		assured := false
		if account, ok := p.State.Account(job.Account); ok && urgent {
			assured = p.used[job.Account] <= account.Guaranteed
		}
		for k := range job.Occurrences {
			for _, u := range p.waiting(job, k) {
				u.terms, u.urgent, u.assured = terms, urgent, assured
				u.from, u.due = ScheduledWindow(job, terms, k)
				units = append(units, u)
			}
		}
	}
	slices.SortStableFunc(units, p.compare)
	return units
}

// waiting lists the units of one occurrence.
func (p *planner) waiting(job *anvilwork.Job, k int) []*unit {
	occurrence := &job.Occurrences[k]
	if occurrence.Due > p.Wall {
		return nil
	}
	var units []*unit
	for index, step := range job.Spec.Steps {
		if occurrence.Remaining[index] == 0 || !occurrence.Ready(step) {
			continue
		}
		u := &unit{job: job, step: step}
		for i := range occurrence.Tasks[index] {
			state := &occurrence.Tasks[index][i]
			task := anvilwork.Task{Job: job.ID, Occurrence: k, Step: index, Index: i}
			if state.Phase == anvilwork.TaskWaiting {
				u.tasks = append(u.tasks, task)
				u.run = max(u.run, state.Run+1)
			}
		}
		// A gang starts with all of its members or not at all.
		if len(u.tasks) > 0 && (!step.Gang || len(u.tasks) == step.Count) {
			units = append(units, u)
		}
	}
	return units
}

// ScheduledWindow returns when an occurrence of a job was to begin and when it should
// have ended.
func ScheduledWindow(job *anvilwork.Job, terms anvilwork.QueuePolicy, k int) (from, due anvilclock.Millis) {
	from = job.Accepted
	if job.Occurrences[k].Due > 0 {
		from = job.Occurrences[k].Due
	}
	return from, from + terms.DeadlineOffset + anvilclock.Millis(terms.DeadlineFactor*float64(chain(job)))
}

// chain is the estimate of the longest chain of steps.
func chain(job *anvilwork.Job) anvilclock.Millis {
	var longest anvilclock.Millis
	for _, span := range chains(job) {
		longest = max(longest, span)
	}
	return longest
}

// chains lists the estimates of the longest chains that begin with each step.
func chains(job *anvilwork.Job) []anvilclock.Millis {
	steps := job.Spec.Steps
	spans := make([]anvilclock.Millis, len(steps))
	for i, step := range slices.Backward(steps) {
		spans[i] += step.Estimate
		for _, earlier := range step.After {
			spans[earlier] = max(spans[earlier], spans[i])
		}
	}
	return spans
}

// compare orders units: assured ones, other urgent ones, then by due time.
func (p *planner) compare(a, b *unit) int {
	return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(a.due, b.due))
}

func class(u *unit) int {
	switch {
	case u.assured:
		return 0
	case u.urgent:
		return 1
	}
	return 2
}

// serve places what it can of a unit.
func (p *planner) serve(u *unit) {
	if u.terms.Advice.Needed() {
		p.want(u)
	}
	if u.step.Gang {
		p.serveGang(u)
		return
	}
	p.serveSingles(u)
}

func (p *planner) serveGang(u *unit) {
	if !p.blocked(u) {
		if spots := p.fit(u, len(u.tasks), (*node).available); spots != nil {
			p.release(u)
			p.assign(u, u.tasks, spots)
			return
		}
		p.noteBlocked(u)
	}
	if u.urgent {
		p.clear(u, len(u.tasks))
		return
	}
	p.gather(u)
}

func (p *planner) serveSingles(u *unit) {
	spots := p.fitMost(u, len(u.tasks), (*node).available)
	p.assign(u, u.tasks[:total(spots)], spots)
	rest := len(u.tasks) - total(spots)
	switch {
	case rest == 0:
		p.release(u)
	case u.urgent:
		p.clear(u, rest)
	}
}

// assign turns spots into assignments: one set for a gang, single ones else.
func (p *planner) assign(u *unit, tasks []anvilwork.Task, spots []spot) {
	var gang []anvilwork.Assignment
	for _, s := range spots {
		for range s.count {
			task := tasks[0]
			tasks = tasks[1:]
			a := anvilwork.Assignment{Task: task, Run: u.run, Target: s.node.target.ID, Incarnation: s.node.target.Incarnation}
			if u.terms.Advice.Needed() {
				a.Ticket, _ = p.Ticket(task.StepKey(), s.node.target) // fit has seen one
			}
			s.node.take(u, task)
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
