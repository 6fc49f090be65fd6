package anvilstate

import (
	"fmt"

	"anvilshunt/core/anvilid"
)

func (m *Machine) register(target Target) error {
	if target.ID == "" || target.Service == "" || target.Accelerators < 0 {
		return fmt.Errorf("%w: target %q needs an id, a service and 0 or more accelerators to register",
			ErrInvalid, target.ID)
	}
	target.Owner, target.Epoch, target.NextOwner, target.Reserved, target.Ejected = "", 0, "", 0, false
	_, target.Evacuated = m.evacuations[zoneOf(&target)]
	known, ok := m.targets[target.ID]
	if ok && known.Incarnation > target.Incarnation {
		return fmt.Errorf("%w: target %q registered with incarnation %d, which is older than its current incarnation %d", ErrStale,
			target.ID, target.Incarnation, known.Incarnation)
	}
	if ok && known.Incarnation == target.Incarnation {
		return nil // a resent registration
	}
	if ok {
		m.stopJobsOnTarget(target.ID, fmt.Sprintf("target %q started anew", target.ID))
		m.owners.drop(known)
		m.capacity.add(known, -1)
		// If the owner is live, it keeps the target: another instance could use the target
		// only after this owner has released it.
		target.Owner, target.NextOwner, target.Epoch = known.Owner, known.NextOwner, known.Epoch
		if target.Owner != "" {
			target.Epoch = anvilid.Epoch(m.index)
		}
	}
	m.targets[target.ID] = &target
	m.pruneReservations(&target)
	m.owners.add(&target)
	m.capacity.add(&target, 1)
	if target.Owner == "" {
		m.assign(&target)
	}
	m.recordTargetChange(target.ID)
	return nil
}

func (m *Machine) targetIncarnation(id anvilid.TargetID, incarnation anvilid.Incarnation) (*Target, error) {
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
	target, err := m.targetIncarnation(id, incarnation)
	if err != nil {
		return err
	}
	if !target.Leaving {
		target.Leaving = true
		m.capacity.markLeaving(target)
		m.recordTargetChange(id)
	}
	return nil
}

func (m *Machine) remove(id anvilid.TargetID, incarnation anvilid.Incarnation) error {
	target, err := m.targetIncarnation(id, incarnation)
	if err != nil {
		return err
	}
	m.stopJobsOnTarget(id, fmt.Sprintf("target %q is gone", id))
	m.owners.drop(target)
	m.capacity.add(target, -1)
	delete(m.targets, id)
	m.recordTargetChange(id)
	return nil
}

// ownedTarget returns a target if the instance owns it since the epoch.
func (m *Machine) ownedTarget(id anvilid.TargetID, owner anvilid.InstanceID, epoch anvilid.Epoch) (*Target, error) {
	target, ok := m.targets[id]
	if !ok {
		return nil, fmt.Errorf("%w: target %q", ErrUnknown, id)
	}
	if owner == "" || target.Owner != owner || target.Epoch != epoch {
		return nil, fmt.Errorf("%w: target %q is owned by %q since epoch %d", ErrStale, id, target.Owner, target.Epoch)
	}
	return target, nil
}

func (m *Machine) eject(command EjectTarget) error {
	target, err := m.ownedTarget(command.ID, command.Owner, command.Epoch)
	if err != nil {
		return err
	}
	if target.Ejected != command.Ejected {
		target.Ejected = command.Ejected
		m.recordTargetChange(target.ID)
	}
	return nil
}

func (m *Machine) release(command ReleaseTarget) error {
	target, err := m.ownedTarget(command.ID, command.Owner, command.Epoch)
	if err != nil {
		return err
	}
	m.setOwner(target, "")
	m.assign(target)
	m.recordTargetChange(target.ID)
	return nil
}
