package anvilstate

import (
	"anvilshunt/core/anvilid"
)

func (m *Machine) setOwner(target *Target, owner anvilid.InstanceID) {
	m.owners.drop(target)
	target.Owner = owner
	m.owners.add(target)
}

func (m *Machine) setNext(target *Target, next anvilid.InstanceID) {
	m.owners.drop(target)
	target.NextOwner = next
	m.owners.add(target)
}

func (m *Machine) assignUnowned() {
	for _, target := range sortedTargets(m.owners.of[""]) {
		if m.assign(target) {
			m.noteTarget(target.ID)
		}
	}
}

// assign gives an unowned target to the instance that it was to be handed to,
// else to the one that owns the fewest targets of the service: one of the
// same zone if there is one, else of the same region, else of any.
func (m *Machine) assign(target *Target) bool {
	owner := target.NextOwner
	if !m.mayOwn(owner) {
		owner = m.leastLoaded(target, "")
	}
	m.owners.drop(target)
	target.NextOwner = ""
	if owner != "" {
		target.Owner, target.Epoch = owner, anvilid.Epoch(m.index)
	}
	m.owners.add(target)
	return owner != ""
}

func (m *Machine) mayOwn(id anvilid.InstanceID) bool {
	instance, ok := m.instances[id]
	return ok && !instance.Draining
}

// handOverDraining asks draining owners to release their targets. Without
// another instance they keep them until one joins.
func (m *Machine) handOverDraining() {
	for _, id := range m.owners.names {
		if !m.instances[id].Draining {
			continue
		}
		for _, target := range sortedTargets(m.owners.of[id]) {
			if target.NextOwner != "" {
				continue
			}
			if next := m.leastLoaded(target, id); next != "" {
				m.setNext(target, next)
				m.noteTarget(target.ID)
			}
		}
	}
}

// leastLoaded looks at the counts of each instance and not at the targets.
func (m *Machine) leastLoaded(target *Target, except anvilid.InstanceID) anvilid.InstanceID {
	var best anvilid.InstanceID
	var least [3]int
	for _, id := range m.owners.names {
		if !m.mayOwn(id) || id == except {
			continue
		}
		ofService, all := m.owners.loadOf(id, target.Service)
		load := [3]int{distanceBetween(m.instances[id], target), ofService, all}
		if best == "" || lessLoad(load, least) {
			best, least = id, load
		}
	}
	return best
}

func lessLoad(a, b [3]int) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

func distanceBetween(instance *Instance, target *Target) int {
	switch {
	case instance.Region != target.Region:
		return 2
	case instance.Zone != target.Zone:
		return 1
	}
	return 0
}
