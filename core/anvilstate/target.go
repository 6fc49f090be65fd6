package anvilstate

import (
	"fmt"

	"anvilshunt/core/anvilid"
)

func (m *Machine) register(target Target) error {
	known, ok := m.targets[target.ID]
	if ok && known.Incarnation > target.Incarnation {
		return fmt.Errorf("%w: target %q registered with incarnation %d after %d", ErrStale,
			target.ID, target.Incarnation, known.Incarnation)
	}
	if ok && known.Incarnation == target.Incarnation {
		return nil // a resent registration
	}
	target.Owner, target.Epoch, target.Next = "", 0, ""
	m.targets[target.ID] = &target
	m.assign(&target)
	m.noteTarget(&target)
	return nil
}

func (m *Machine) targetRun(id anvilid.TargetID, incarnation anvilid.Incarnation) (*Target, error) {
	target, ok := m.targets[id]
	if !ok {
		return nil, fmt.Errorf("%w: target %q", ErrUnknown, id)
	}
	if target.Incarnation != incarnation {
		return nil, fmt.Errorf("%w: target %q has incarnation %d, not %d", ErrStale, id, target.Incarnation, incarnation)
	}
	return target, nil
}

func (m *Machine) depart(id anvilid.TargetID, incarnation anvilid.Incarnation) error {
	target, err := m.targetRun(id, incarnation)
	if err != nil {
		return err
	}
	target.Leaving = true
	m.noteTarget(target)
	return nil
}

func (m *Machine) remove(id anvilid.TargetID, incarnation anvilid.Incarnation) error {
	if _, err := m.targetRun(id, incarnation); err != nil {
		return err
	}
	delete(m.targets, id)
	m.noteTargetGone(id)
	return nil
}

func (m *Machine) release(command ReleaseTarget) error {
	target, ok := m.targets[command.ID]
	if !ok {
		return fmt.Errorf("%w: target %q", ErrUnknown, command.ID)
	}
	if target.Owner != command.Owner || target.Epoch != command.Epoch {
		return fmt.Errorf("%w: target %q is owned by %q since epoch %d", ErrStale, command.ID, target.Owner, target.Epoch)
	}
	target.Owner, target.Next = "", ""
	m.assign(target)
	m.noteTarget(target)
	return nil
}

// disownAll takes all targets from an instance whose run has ended.
func (m *Machine) disownAll(id anvilid.InstanceID) {
	for _, name := range sortedKeys(m.targets) {
		target := m.targets[name]
		if target.Next == id {
			target.Next = ""
			m.noteTarget(target)
		}
		if target.Owner == id {
			target.Owner = ""
			m.noteTarget(target)
		}
	}
}

func (m *Machine) assignUnowned() {
	for _, name := range sortedKeys(m.targets) {
		if target := m.targets[name]; target.Owner == "" {
			m.assign(target)
			m.noteTarget(target)
		}
	}
}

// assign gives an unowned target to the instance that owns the fewest
// targets: one of the same zone if there is one, else of the same region,
// else of any.
func (m *Machine) assign(target *Target) {
	owner := m.leastLoaded(target, "")
	if owner == "" {
		return
	}
	target.Owner = owner
	target.Epoch = anvilid.Epoch(m.index)
}

// handOver asks the owner to release a target to another instance.
func (m *Machine) handOver(target *Target) {
	target.Next = m.leastLoaded(target, target.Owner)
	m.noteTarget(target)
}

func (m *Machine) leastLoaded(target *Target, except anvilid.InstanceID) anvilid.InstanceID {
	owned := map[anvilid.InstanceID]int{}
	for _, other := range m.targets {
		owned[other.Owner]++
		if other.Next != "" {
			owned[other.Next]++
		}
	}
	var best anvilid.InstanceID
	bestDistance, bestOwned := 0, 0
	for _, id := range sortedKeys(m.instances) {
		instance := m.instances[id]
		if instance.Draining || id == except {
			continue
		}
		distance := distanceBetween(instance, target)
		if best == "" || distance < bestDistance || distance == bestDistance && owned[id] < bestOwned {
			best, bestDistance, bestOwned = id, distance, owned[id]
		}
	}
	return best
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
