package anvilstate

import (
	"cmp"
	"slices"
)

// LiveJobs returns the jobs that haven't ended in the order of submission.
func (m *Machine) LiveJobs() []Job {
	var live []Job
	for _, job := range m.jobs.byID {
		if !job.State.Final() {
			live = append(live, *job)
		}
	}
	slices.SortFunc(live, func(a, b Job) int { return cmp.Compare(a.Submitted, b.Submitted) })
	return live
}
