package anvilstate

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilid"
)

// Instance returns an instance.
func (m *Machine) Instance(id anvilid.InstanceID) (Instance, bool) {
	instance, ok := m.instances[id]
	if !ok {
		return Instance{}, false
	}
	return *instance, true
}

// Instances returns all instances in the order of their ids.
func (m *Machine) Instances() []Instance {
	list := make([]Instance, 0, len(m.instances))
	for _, id := range m.owners.names {
		list = append(list, *m.instances[id])
	}
	return list
}

// Target returns a target.
func (m *Machine) Target(id anvilid.TargetID) (Target, bool) {
	target, ok := m.targets[id]
	if !ok {
		return Target{}, false
	}
	return *target, true
}

// Targets returns all targets in the order of their ids.
func (m *Machine) Targets() []Target {
	list := make([]Target, 0, len(m.targets))
	for _, id := range sortedKeys(m.targets) {
		list = append(list, *m.targets[id])
	}
	return list
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
