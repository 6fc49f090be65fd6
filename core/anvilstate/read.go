package anvilstate

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilid"
)

// Instances returns all instances in order of their ids.
func (m *Machine) Instances() []Instance {
	instances := make([]Instance, 0, len(m.instances))
	for _, id := range sortedKeys(m.instances) {
		instances = append(instances, *m.instances[id])
	}
	return instances
}

// Targets returns all targets in order of their ids.
func (m *Machine) Targets() []Target {
	targets := make([]Target, 0, len(m.targets))
	for _, id := range sortedKeys(m.targets) {
		targets = append(targets, *m.targets[id])
	}
	return targets
}

// Target returns one target.
func (m *Machine) Target(id anvilid.TargetID) (Target, bool) {
	target, ok := m.targets[id]
	if !ok {
		return Target{}, false
	}
	return *target, true
}

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
