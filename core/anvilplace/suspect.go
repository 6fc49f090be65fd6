package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// In this package only a task under which targets have crashed repeatedly is a suspect, unlike in anvilwork,
// where one crash is enough. Suspects run on targets of their own at first: if the next target crashes too, no
// other job can be the cause and none loses its work.

const (
	// minIsolatedCrashes is the number of crashes from which on a task is a suspect. Most tasks that were hit
	// by one crash are innocent, and a target of their own costs others more than the second crash of the few
	// that aren't.
	minIsolatedCrashes = 2
	// maxAloneWait is how long suspects wait for an empty target before they may start beside runs that aren't
	// urgent.
	maxAloneWait = 1500 * anvilclock.Millisecond
	// maxSpareWait is how much longer they spare the targets with urgent runs and with other suspects. A job
	// that could run must not wait for long.
	maxSpareWait = 1 * anvilclock.Second
	// restartMemory is how long suspects avoid targets that have restarted. A machine that crashes by itself
	// often does so again soon, and its target is empty then, so that it would attract the next suspect.
	restartMemory = 30 * anvilclock.Second
	// startupSpread is the time within which the targets of a deployment are expected to register first.
	startupSpread = 5 * anvilclock.Second
	// maxClaimedTime is how long the runs on a target may take that is claimed for suspects. Its idle
	// resources are wasted if the suspects start elsewhere before it is empty.
	maxClaimedTime = maxAloneWait
	// maxSuspectClaimShare limits the share of the usable targets that is claimed for suspects. One target may
	// always be claimed.
	maxSuspectClaimShare = 0.25
	// maxProbation is how long nothing is placed beside the run of a suspect if its target doesn't list the
	// run. It covers a start that is carried out late.
	maxProbation = 15 * anvilclock.Second
)

// splitSuspects returns the waiting tasks of a step as one waiting step for those that aren't suspects and one
// for the suspects in each stage. A gang starts as a whole and is a suspect if one of its members is.
func (p *planner) splitSuspects(u *waitingStep) []*waitingStep {
	var parts [stageAnywhere + 1]*waitingStep
	if u.step.Gang {
		u.stage = p.gangStage(u)
		u.avoidsRestarted = u.suspect()
		parts[u.stage] = u
	} else {
		for _, task := range u.tasks {
			stage := p.suspectStage(u.info.job.State(task))
			if parts[stage] == nil {
				part := *u
				part.stage, part.tasks, part.avoidsRestarted = stage, nil, stage != stageNone
				parts[stage] = &part
			}
			parts[stage].tasks = append(parts[stage].tasks, task)
		}
	}
	return slices.DeleteFunc(parts[:], func(part *waitingStep) bool { return part == nil })
}

// suspectStage says beside which runs of other jobs a step with suspects may start. The longer it has waited,
// the more it may endanger.
type suspectStage int

const (
	stageNone      suspectStage = iota // the tasks aren't suspects
	stageAlone                         // beside no other job
	stageNotUrgent                     // beside jobs that aren't urgent
	stageAnywhere                      // beside all jobs, see fitSuspects
)

// isolated reports whether targets have crashed under a task repeatedly, so that it is placed apart from others.
func isolated(state *anvilwork.TaskState) bool { return state.Crashes >= minIsolatedCrashes }

// suspect reports whether the tasks of a step are suspects.
func (u *waitingStep) suspect() bool { return u.stage != stageNone }

// suspectStage returns the stage of a waiting task. Each task has its own wait: otherwise the release of one
// task would prolong the wait of all others of its step.
func (p *planner) suspectStage(state *anvilwork.TaskState) suspectStage {
	wait := p.Now - state.PhaseSince
	switch {
	case !isolated(state):
		return stageNone
	case wait < maxAloneWait:
		return stageAlone
	case wait < maxAloneWait+maxSpareWait:
		return stageNotUrgent
	}
	return stageAnywhere
}

// gangStage returns the stage of a gang, which can be placed since its last member was released.
func (p *planner) gangStage(u *waitingStep) suspectStage {
	latest := anvilwork.TaskState{}
	for _, task := range u.tasks {
		state := u.info.job.State(task)
		latest.PhaseSince = max(latest.PhaseSince, state.PhaseSince)
		latest.Crashes = max(latest.Crashes, state.Crashes)
	}
	return p.suspectStage(&latest)
}

// onProbation reports whether a run is that of a suspect and hasn't worked for long enough yet.
func (p *planner) onProbation(t *placedRun) bool {
	state := t.info.job.State(t.task)
	if !isolated(state) || t.info.job.Phase.Ended() {
		return false
	}
	age := p.Now - state.PhaseSince
	_, listed := p.Progress(t.task)
	return age < anvilwork.ProvenAfter || !listed && age < maxProbation
}

// setProbation excludes all other work from a node while suspects of a job are on probation there.
func (p *planner) setProbation(n *node, job anvilid.JobID) {
	n.probation = job
	if !slices.Contains(p.probationNodes[job], n) {
		p.probationNodes[job] = append(p.probationNodes[job], n)
	}
}

// excluded reports whether the current step must not run on a node because of suspects: it has suspects on
// probation, or the current step consists of suspects and the node has runs that they must not endanger.
func (n *node) excluded() bool {
	u := n.planner.currentSuspects
	switch {
	case u == nil:
		return n.probation != ""
	case n.probation != "" && n.probation != u.info.job.ID && !u.joinsProbation:
		return true
	case n.restarted && u.avoidsRestarted:
		return true
	case u.stage != stageAlone:
		return n.urgentRunsOfOthers(u.info) > u.urgentLimit
	case !u.step.Gang && len(n.planner.probationNodes[u.info.job.ID]) > 0 && n.probation == "":
		return true // one target at a time, so that a job with many such tasks doesn't crash many targets
	}
	return n.hasOtherJobs(u.info)
}

// fitSuspects returns the result of fit, which is fitAll or fitMost, for count tasks of a step on the
// resources that are available now. Suspects that don't need a target of their own avoid targets that have
// restarted. Those that may start anywhere start beside the fewest urgent runs that let any of them fit, and
// beside other suspects only if they fit nowhere else.
func (p *planner) fitSuspects(u *waitingStep, count int, fit func(*waitingStep, int, view) []allotment) []allotment {
	allotments := fit(u, count, availableNow)
	if u.stage <= stageAlone || count <= 0 || len(allotments) > 0 {
		return allotments
	}
	if u.stage == stageAnywhere {
		for _, u.urgentLimit = range p.urgentLoads(u) {
			if allotments = fit(u, count, availableNow); len(allotments) > 0 {
				return allotments
			}
		}
	}
	u.avoidsRestarted = false
	allotments = fit(u, count, availableNow)
	if u.stage == stageNotUrgent || len(allotments) > 0 {
		return allotments
	}
	u.joinsProbation = true
	return fit(u, count, availableNow)
}

// markRestarted sets node.restarted. The replicated state has no time of the latest crash of an address or a
// machine, so that a target counts as restarted if it has registered within restartMemory, unless the whole
// deployment has just started.
func (p *planner) markRestarted() {
	var earliest anvilclock.Millis
	for i, n := range p.all.nodes {
		if i == 0 || n.target.RegisteredAt < earliest {
			earliest = n.target.RegisteredAt
		}
	}
	machines := map[anvilid.MachineID]bool{}
	for _, n := range p.all.nodes {
		n.restarted = n.target.RegisteredAt > max(earliest+startupSpread, p.Now-restartMemory)
		if n.restarted && n.target.Machine != "" {
			machines[n.target.Machine] = true
		}
	}
	for _, n := range p.all.nodes {
		n.restarted = n.restarted || machines[n.target.Machine]
	}
}

// urgentLoads returns the different numbers of urgent runs of other jobs on the nodes, the smallest first.
func (p *planner) urgentLoads(u *waitingStep) []int {
	var loads []int
	for _, n := range p.all.nodes {
		if load := n.urgentRunsOfOthers(u.info); n.usable && load > 0 {
			loads = append(loads, load)
		}
	}
	slices.Sort(loads)
	return slices.Compact(loads)
}

// addRun counts a run of a job on the node.
func (n *node) addRun(info *jobInfo) {
	if info.policy.Priority == 0 {
		if n.urgentByJob == nil {
			n.urgentByJob = map[anvilid.JobID]int{}
		}
		n.urgentByJob[info.job.ID]++
		n.urgentRuns++
	}
	switch {
	case n.mixed || n.soleJob == info:
		return
	case n.soleJob == nil:
		n.soleJob = info
		if n.usable {
			n.planner.emptyNodes--
			n.planner.ownNodes[info.job.ID]++
		}
		return
	}
	n.mixed = true
	if n.usable {
		n.planner.ownNodes[n.soleJob.job.ID]--
	}
}

// hasOtherJobs reports whether jobs other than the given one have runs on the node.
func (n *node) hasOtherJobs(info *jobInfo) bool {
	return n.mixed || n.soleJob != nil && n.soleJob != info
}

// urgentRunsOfOthers returns the number of urgent runs on the node that don't belong to the given job.
func (n *node) urgentRunsOfOthers(info *jobInfo) int {
	return n.urgentRuns - n.urgentByJob[info.job.ID]
}

// placeSuspects places as many tasks of a step as fit on one target without other jobs. If there is none, it
// claims the target that will be empty soonest.
func (p *planner) placeSuspects(u *waitingStep) {
	var allotments []allotment
	if p.emptyNodes > 0 || p.ownNodes[u.info.job.ID] > 0 {
		allotments = p.fitMost(u, min(len(u.tasks), p.startsLeft(u.urgent)), availableNow)
	}
	if len(allotments) > 0 {
		p.releaseClaims(u)
		p.assign(u, u.tasks[:allotments[0].count], allotments[:1])
		return
	}
	p.claimForSuspects(u)
}

// claimForSuspects claims the target that will be empty soonest for suspects that found none, see
// maxSuspectClaimShare. The claims also count towards the limit of those for gangs.
func (p *planner) claimForSuspects(u *waitingStep) {
	job := u.info.job.ID
	limit := max(1, int(maxSuspectClaimShare*float64(p.usableTargets)))
	if p.suspectClaims >= limit || len(p.probationNodes[job]) > 0 || len(p.nodesClaimedBy[job]) > 0 {
		return
	}
	best := p.firstClaimable(u)
	if best == nil || p.gangClaimed > 0 && p.gangClaimed+best.target.Resources.GPU > p.gangClaimLimit() {
		return
	}
	p.claimNode(best, u)
	p.countSuspectClaim(best)
}

// countSuspectClaim counts a target that is claimed for suspects.
func (p *planner) countSuspectClaim(n *node) {
	p.suspectClaims++
	p.gangClaimed += n.target.Resources.GPU
}

// firstClaimable returns the node that will be empty soonest of those that may be claimed for suspects, or nil.
func (p *planner) firstClaimable(u *waitingStep) *node {
	for _, n := range p.emptyingNodes() {
		free := n.probation == "" && n.claimedBy == "" && !n.keptForUrgent()
		if free && u.taskCapacity(n, 1, n.target.Resources) > 0 {
			return n
		}
	}
	return nil
}

// emptyingNodes returns the nodes for suspects on which all runs are expected to end within maxClaimedTime, the
// one that is empty soonest first. The result is computed once: it would cost too much for each suspect.
func (p *planner) emptyingNodes() []*node {
	if p.emptyingKnown {
		return p.emptying
	}
	p.emptyingKnown = true
	times := map[*node]anvilclock.Millis{}
	for _, n := range p.all.nodes {
		if !n.usable || n.slow || n.restarted {
			continue
		}
		if times[n] = p.emptyIn(n); times[n] < maxClaimedTime {
			p.emptying = append(p.emptying, n)
		}
	}
	slices.SortStableFunc(p.emptying, func(a, b *node) int { return cmp.Compare(times[a], times[b]) })
	return p.emptying
}

// emptyIn returns the time until all runs on a node are expected to have ended.
func (p *planner) emptyIn(n *node) anvilclock.Millis {
	var longest anvilclock.Millis
	for _, t := range n.placedRuns {
		longest = max(longest, p.remainingTime(t))
	}
	return longest
}
