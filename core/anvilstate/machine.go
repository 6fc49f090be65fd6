package anvilstate

import (
	"errors"
	"fmt"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Errors of commands that the state machine refuses.
var (
	ErrStale   = errors.New("the command speaks of an earlier state")
	ErrUnknown = errors.New("no such object")
)

// Result is the outcome of one command.
type Result struct {
	Index anvilid.Index `cbor:"1,keyasint"`
	// Code is the stable code of a refusal, empty on success.
	Code   string `cbor:"2,keyasint,omitempty"`
	Detail string `cbor:"3,keyasint,omitempty"`
}

// Machine holds the replicated state.
type Machine struct {
	index     anvilid.Index
	at        anvilclock.Millis
	instances map[anvilid.InstanceID]*Instance
	targets   map[anvilid.TargetID]*Target
	changes   changeRing
}

// New returns an empty state machine.
func New() *Machine {
	return &Machine{
		instances: map[anvilid.InstanceID]*Instance{},
		targets:   map[anvilid.TargetID]*Target{},
	}
}

// Index returns the index of the last applied entry.
func (m *Machine) Index() anvilid.Index { return m.index }

// Apply executes one committed command. The time at was stamped by the
// leader and never goes backwards.
func (m *Machine) Apply(index anvilid.Index, at anvilclock.Millis, command Command) Result {
	m.index = index
	m.at = max(m.at, at)
	err := m.dispatch(command)
	result := Result{Index: index}
	if err != nil {
		result.Code, result.Detail = codeOf(err), err.Error()
	}
	return result
}

func codeOf(err error) string {
	switch {
	case errors.Is(err, ErrStale):
		return "stale"
	case errors.Is(err, ErrUnknown):
		return "unknown"
	}
	return "refused"
}

func (m *Machine) dispatch(c Command) error {
	switch {
	case c.Join != nil:
		return m.join(c.Join.Instance)
	case c.Leave != nil:
		return m.leave(*c.Leave)
	case c.Expire != nil:
		return m.expire(c.Expire.ID, c.Expire.Incarnation)
	case c.Register != nil:
		return m.register(c.Register.Target)
	case c.Depart != nil:
		return m.depart(c.Depart.ID, c.Depart.Incarnation)
	case c.Remove != nil:
		return m.remove(c.Remove.ID, c.Remove.Incarnation)
	case c.Release != nil:
		return m.release(*c.Release)
	}
	return fmt.Errorf("%w: empty command", ErrUnknown)
}

// sortedKeys makes map order invisible to the rules of the state machine.
func sortedKeys[K ~string, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
