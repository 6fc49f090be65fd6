package anvilstate

import (
	"fmt"

	"anvilshunt/core/anvilid"
)

func (m *Machine) join(instance Instance) error {
	known, ok := m.instances[instance.ID]
	if ok && known.Incarnation > instance.Incarnation {
		return fmt.Errorf("%w: instance %q joined with incarnation %d after %d", ErrStale,
			instance.ID, instance.Incarnation, known.Incarnation)
	}
	if ok && known.Incarnation == instance.Incarnation {
		return nil // a resent join
	}
	m.instances[instance.ID] = &instance
	m.noteInstance(&instance)
	m.disownAll(instance.ID)
	m.assignUnowned()
	return nil
}

func (m *Machine) leave(command LeaveInstance) error {
	instance, ok := m.instances[command.ID]
	if !ok || instance.Incarnation != command.Incarnation {
		return fmt.Errorf("%w: instance %q with incarnation %d has left", ErrStale, command.ID, command.Incarnation)
	}
	if !command.Drain {
		return m.expire(command.ID, command.Incarnation)
	}
	instance.Draining = true
	m.noteInstance(instance)
	for _, id := range sortedKeys(m.targets) {
		if target := m.targets[id]; target.Owner == command.ID {
			m.handOver(target)
		}
	}
	return nil
}

func (m *Machine) expire(id anvilid.InstanceID, incarnation anvilid.Incarnation) error {
	instance, ok := m.instances[id]
	if !ok || instance.Incarnation != incarnation {
		return fmt.Errorf("%w: instance %q with incarnation %d has left", ErrStale, id, incarnation)
	}
	delete(m.instances, id)
	m.noteInstanceGone(id)
	m.disownAll(id)
	m.assignUnowned()
	return nil
}
