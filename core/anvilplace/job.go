package anvilplace

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

// jobInfo has what the planner derives from a job and the configuration. Except for atWork, it doesn't
// change during a call of Plan.
type jobInfo struct {
	job    *anvilwork.Job
	policy anvilwork.QueuePolicy
	// chains is the result of chainsFrom, and longest the longest of these chains.
	chains  []anvilclock.Millis
	longest anvilclock.Millis
	// evictable means that runs of the job may be stopped for urgent jobs: the job isn't urgent, or its
	// account has more urgent work than its guarantee covers.
	evictable bool
	// atWork means that the job has runs on usable targets or in evacuated zones, among them those that this call of
	// Plan has placed. A run on a target that can't be used may have been lost with it.
	atWork bool
}

// jobInfo returns the information about a job, or nil if there is no such job. sumUrgentDemand must have
// been called before.
func (p *planner) jobInfo(id anvilid.JobID) *jobInfo {
	if info, known := p.jobs[id]; known {
		return info
	}
	job, ok := p.State.Job(id)
	if !ok {
		return nil
	}
	info := newJobInfo(job, p.State.PolicyOf(job))
	account, ok := p.State.Account(job.Account)
	info.evictable = info.policy.Priority > 0 || !ok || p.urgentByAccount[job.Account] > account.Guaranteed
	p.jobs[id] = info
	return info
}

func newJobInfo(job *anvilwork.Job, policy anvilwork.QueuePolicy) *jobInfo {
	info := &jobInfo{job: job, policy: policy, chains: chainsFrom(job)}
	info.longest = longestOf(info.chains)
	return info
}

// window returns the scheduled start of an occurrence of the job and its deadline.
func (i *jobInfo) window(k int) (from, due anvilclock.Millis) {
	from = i.job.Accepted
	if i.job.Occurrences[k].Due > 0 {
		from = i.job.Occurrences[k].Due
	}
	return from, from + i.policy.DeadlineOffset + anvilclock.Millis(i.policy.DeadlineFactor*float64(i.longest))
}

// ScheduledWindow returns the scheduled start of an occurrence of a job and its deadline.
func ScheduledWindow(job *anvilwork.Job, policy anvilwork.QueuePolicy, k int) (from, due anvilclock.Millis) {
	return newJobInfo(job, policy).window(k)
}

// longestOf returns the longest of some chains of steps.
func longestOf(chains []anvilclock.Millis) anvilclock.Millis {
	var longest anvilclock.Millis
	for _, span := range chains {
		longest = max(longest, span)
	}
	return longest
}

// chainsFrom returns, for each step, the estimated run time of the longest chain of steps that begins
// with this step, where each step must wait for the one before.
func chainsFrom(job *anvilwork.Job) []anvilclock.Millis {
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
