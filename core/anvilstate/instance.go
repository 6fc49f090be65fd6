package anvilstate

import (
	"fmt"

	"anvilshunt/core/anvilid"
)

func (m *Machine) join(instance Instance) error {
	if instance.ID == "" || instance.Incarnation == 0 {
		return fmt.Errorf("%w: an instance needs a non-empty id and an incarnation above 0 to join", ErrInvalid)
	}
	known, ok := m.instances[instance.ID]
	if ok && known.Incarnation > instance.Incarnation {
		return fmt.Errorf("%w: instance %q joined with incarnation %d, which is older than its current incarnation %d", ErrStale,
			instance.ID, instance.Incarnation, known.Incarnation)
	}
	if ok && known.Incarnation == instance.Incarnation {
		return nil // a resent join
	}
	m.instances[instance.ID] = &instance
	m.owners.addInstance(instance.ID)
	m.recordInstanceChange(instance.ID)
	if ok {
		m.endIncarnation(instance.ID)
	}
	m.assignUnowned()
	m.handOverDraining()
	return nil
}

func (m *Machine) leave(command LeaveInstance) error {
	if !command.Drain {
		return m.expire(command.ID, command.Incarnation)
	}
	instance, ok := m.instances[command.ID]
	if !ok || instance.Incarnation != command.Incarnation {
		return fmt.Errorf("%w: instance %q with incarnation %d has left", ErrStale, command.ID, command.Incarnation)
	}
	if instance.Draining {
		return nil // a resent leave
	}
	instance.Draining = true
	m.recordInstanceChange(instance.ID)
	m.cancelHandOversTo(instance.ID)
	m.handOverDraining()
	return nil
}

func (m *Machine) expire(id anvilid.InstanceID, incarnation anvilid.Incarnation) error {
	instance, ok := m.instances[id]
	if !ok || instance.Incarnation != incarnation {
		return fmt.Errorf("%w: instance %q with incarnation %d has left", ErrStale, id, incarnation)
	}
	delete(m.instances, id)
	m.owners.removeInstance(id)
	m.recordInstanceChange(id)
	m.endIncarnation(id)
	m.assignUnowned()
	m.handOverDraining()
	return nil
}

// endIncarnation takes the targets from an incarnation that has ended, and marks the
// requests that it still held as lost.
func (m *Machine) endIncarnation(id anvilid.InstanceID) {
	m.cancelHandOversTo(id)
	for _, target := range sortedTargets(m.owners.of[id]) {
		m.setOwner(target, "")
		m.recordTargetChange(target.ID)
	}
	m.markClaimsLost(id)
}

// cancelHandOversTo clears the planned hand-overs to an instance that can no longer take targets.
func (m *Machine) cancelHandOversTo(id anvilid.InstanceID) {
	for _, target := range sortedTargets(m.owners.next[id]) {
		m.setNextOwner(target, "")
		m.recordTargetChange(target.ID)
	}
}
