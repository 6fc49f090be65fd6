package anvilplace

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// waitingStep is a step of one occurrence of a job, with its tasks that wait to be placed.
type waitingStep struct {
	info            *jobInfo
	step            anvilwork.Step
	need            anvilwork.Resources // of one task
	urgent          bool                // priority 0
	withinGuarantee bool                // urgent and within the guarantee of the account
	// from is the scheduled start of the job's occurrence, due its deadline.
	from, due anvilclock.Millis
	tasks     []anvilwork.Task
	// stage says whether these tasks are suspects, and beside which other runs they may start.
	stage suspectStage
	// urgentLimit and joinsProbation apply to suspects in stageAnywhere, see fitSuspects: the number of urgent
	// runs of other jobs beside which they may start, and whether they may start beside other suspects.
	urgentLimit    int
	joinsProbation bool
	// avoidsRestarted means that they don't start on nodes that have restarted, see node.restarted.
	avoidsRestarted bool
	// failures is how often the step has failed on each target, and tolerated how many failures don't keep it from
	// a target. usesSlow means that it may use slow nodes. The last two are set by tolerate.
	failures  map[anvilid.TargetID]int
	tolerated int
	usesSlow  bool
	// awaitedTier is the slowest tier that the step waits for although slower targets are free, or 0.
	awaitedTier int
	// run is the number of the run that starts next. All tasks that are placed get the same number, as
	// the members of a gang must have.
	run anvilwork.Run
}

// waitingInOrder returns the waiting steps of all jobs in the order in which to place them, see compare.
func (p *planner) waitingInOrder() []*waitingStep {
	var waitingSteps []*waitingStep
	for _, job := range p.State.Active() {
		info := p.jobInfo(job.ID)
		urgent := info.policy.Priority == 0
		withinGuarantee := false
		if account, ok := p.State.Account(job.Account); ok && urgent {
			withinGuarantee = p.urgentByAccount[job.Account] <= account.Guaranteed
		}
		for k := range job.Occurrences {
			for _, u := range p.waitingStepsOf(info, k) {
				u.urgent, u.withinGuarantee = urgent, withinGuarantee
				u.from, u.due = info.window(k)
				waitingSteps = append(waitingSteps, u)
			}
		}
	}
	slices.SortStableFunc(waitingSteps, p.compare)
	return waitingSteps
}

// waitingStepsOf returns the waiting steps of one occurrence (one scheduled execution) of a job: those
// whose earlier steps are done and that have tasks to place. It returns none before the scheduled
// start.
func (p *planner) waitingStepsOf(info *jobInfo, k int) []*waitingStep {
	job := info.job
	occurrence := &job.Occurrences[k]
	if occurrence.Due > p.Wall {
		return nil
	}
	var waitingSteps []*waitingStep
	for index, step := range job.Spec.Steps {
		if occurrence.Remaining[index] == 0 || !occurrence.Ready(step) {
			continue
		}
		u := &waitingStep{info: info, step: step, need: step.Occupies()}
		for i := range occurrence.Tasks[index] {
			state := &occurrence.Tasks[index][i]
			task := anvilwork.Task{Job: job.ID, Occurrence: k, Step: index, Index: i}
			if state.Phase == anvilwork.TaskWaiting {
				u.tasks = append(u.tasks, task)
				u.run = max(u.run, state.Run+1)
			}
		}
		// A gang starts with all of its members or not at all, so it isn't placed while some still run.
		if len(u.tasks) > 0 && (!step.Gang || len(u.tasks) == step.Count) {
			u.failures = p.Failures(u.tasks[0].StepKey())
			waitingSteps = append(waitingSteps, p.splitSuspects(u)...)
		}
	}
	return waitingSteps
}

// compare orders steps: urgent ones (priority 0) of accounts within their guarantee, other urgent ones,
// then all others. Within each of these classes it orders by deadline.
func (p *planner) compare(a, b *waitingStep) int {
	return cmp.Or(cmp.Compare(priorityClass(a), priorityClass(b)), cmp.Compare(a.due, b.due))
}

func priorityClass(u *waitingStep) int {
	switch {
	case u.withinGuarantee:
		return 0
	case u.urgent:
		return 1
	}
	return 2
}

// sumUrgentDemand computes urgentByAccount from the unfinished urgent jobs.
func (p *planner) sumUrgentDemand() {
	for _, job := range p.State.Active() {
		if p.State.PolicyOf(job).Priority == 0 {
			p.urgentByAccount[job.Account] += demand(job)
		}
	}
}

// demand returns the largest number of accelerators that a job needs at one time.
func demand(job *anvilwork.Job) anvilid.AcceleratorCount {
	var most anvilid.AcceleratorCount
	for _, step := range job.Spec.Steps {
		most = max(most, anvilid.AcceleratorCount(step.Count)*step.Need.GPU)
	}
	return most
}
