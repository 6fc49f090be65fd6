package anvilstate

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilid"
)

// Instance returns a copy of the record of the instance with the given id, and false if there is none.
func (m *Machine) Instance(id anvilid.InstanceID) (Instance, bool) {
	instance, ok := m.instances[id]
	if !ok {
		return Instance{}, false
	}
	return *instance, true
}

// Instances returns all instances, ordered by id.
func (m *Machine) Instances() []Instance {
	list := make([]Instance, 0, len(m.instances))
	for _, id := range m.owners.instanceIDs {
		list = append(list, *m.instances[id])
	}
	return list
}

// Target returns a copy of the record of the target with the given id, and false if there is none.
func (m *Machine) Target(id anvilid.TargetID) (Target, bool) {
	target, ok := m.targets[id]
	if !ok {
		return Target{}, false
	}
	return *target, true
}

// Targets returns all targets, ordered by id.
func (m *Machine) Targets() []Target {
	list := make([]Target, 0, len(m.targets))
	for _, id := range sortedKeys(m.targets) {
		list = append(list, *m.targets[id])
	}
	return list
}

// LiveJobs returns the jobs that have not ended, in the order of submission.
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
