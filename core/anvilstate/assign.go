package anvilstate

import (
	"anvilshunt/core/anvilid"
)

func (m *Machine) setOwner(target *Target, owner anvilid.InstanceID) {
	m.owners.drop(target)
	target.Owner = owner
	m.owners.add(target)
}

func (m *Machine) setNextOwner(target *Target, next anvilid.InstanceID) {
	m.owners.drop(target)
	target.NextOwner = next
	m.owners.add(target)
}

func (m *Machine) assignUnowned() {
	for _, target := range sortedTargets(m.owners.of[""]) {
		if m.assign(target) {
			m.recordTargetChange(target.ID)
		}
	}
}

// assign makes the NextOwner of an unowned target its owner, if there is one. Otherwise it
// chooses, among the nearest instances (in the same zone, else in the same region), the one
// that owns the fewest targets of the service. It reports whether the target has an owner.
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

// handOverDraining sets a next owner for each target of a draining instance, which asks the
// instance to release the target. If there is no other instance, the draining one keeps its
// targets until another joins.
func (m *Machine) handOverDraining() {
	for _, id := range m.owners.instanceIDs {
		if !m.instances[id].Draining {
			continue
		}
		for _, target := range sortedTargets(m.owners.of[id]) {
			if target.NextOwner != "" {
				continue
			}
			if next := m.leastLoaded(target, id); next != "" {
				m.setNextOwner(target, next)
				m.recordTargetChange(target.ID)
			}
		}
	}
}

// leastLoaded returns the instance that should own a target: among the nearest ones, the one
// that owns the fewest targets of the service and then the fewest in total. It ignores the
// instance except, and returns "" if no instance may own the target. Its cost depends on the
// number of instances and not on the number of targets.
func (m *Machine) leastLoaded(target *Target, except anvilid.InstanceID) anvilid.InstanceID {
	var best anvilid.InstanceID
	var least [3]int
	for _, id := range m.owners.instanceIDs {
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
