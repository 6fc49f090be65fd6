package anvilstate

import (
	"fmt"

	"anvilshunt/core/anvilid"
)

func (m *Machine) join(instance Instance) error {
	if instance.ID == "" || instance.Incarnation == 0 {
		return fmt.Errorf("%w: an instance joins with an id and an incarnation above 0", ErrInvalid)
	}
	known, ok := m.instances[instance.ID]
	if ok && known.Incarnation > instance.Incarnation {
		return fmt.Errorf("%w: instance %q joined with incarnation %d after %d", ErrStale,
			instance.ID, instance.Incarnation, known.Incarnation)
	}
	if ok && known.Incarnation == instance.Incarnation {
		return nil // a resent join
	}
	m.instances[instance.ID] = &instance
	m.owners.list(instance.ID)
	m.noteInstance(instance.ID)
	if ok {
		m.endRun(instance.ID)
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
	m.noteInstance(instance.ID)
	m.dropNext(instance.ID)
	m.handOverDraining()
	return nil
}

func (m *Machine) expire(id anvilid.InstanceID, incarnation anvilid.Incarnation) error {
	instance, ok := m.instances[id]
	if !ok || instance.Incarnation != incarnation {
		return fmt.Errorf("%w: instance %q with incarnation %d has left", ErrStale, id, incarnation)
	}
	delete(m.instances, id)
	m.owners.unlist(id)
	m.noteInstance(id)
	m.endRun(id)
	m.assignUnowned()
	m.handOverDraining()
	return nil
}

// endRun takes from a run that has ended what it owned and held.
func (m *Machine) endRun(id anvilid.InstanceID) {
	m.dropNext(id)
	for _, target := range sortedTargets(m.owners.of[id]) {
		m.setOwner(target, "")
		m.noteTarget(target.ID)
	}
	m.loseClaims(id)
}

// dropNext clears the hand-overs to an instance that can't take them.
func (m *Machine) dropNext(id anvilid.InstanceID) {
	for _, target := range sortedTargets(m.owners.next[id]) {
		m.setNext(target, "")
		m.noteTarget(target.ID)
	}
}
