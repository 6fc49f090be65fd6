package anvilstate

import (
	"fmt"
	"slices"

	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Machine is the replicated state machine: the state that every replica computes by applying the
// commands of the log. It is changed only by Apply.
type Machine struct {
	limits    Limits
	index     anvilid.Index
	at        anvilclock.Millis
	instances map[anvilid.InstanceID]*Instance
	targets   map[anvilid.TargetID]*Target
	owners    owners
	capacity  capacities
	config    configuration
	claims    claims
	jobs      jobs
	burn      *anvilburn.History
	// evacuations has the evacuated zones.
	evacuations map[zoneKey]Evacuation
	changes     changeRing
	// planningIndex is the result of PlanningIndex. It is not part of snapshots, because a new
	// leader computes its plan from scratch.
	planningIndex anvilid.Index
}

// New returns an empty state machine.
func New(opts ...Option) *Machine {
	m := &Machine{
		limits:    DefaultLimits(),
		instances: map[anvilid.InstanceID]*Instance{},
		targets:   map[anvilid.TargetID]*Target{},
		owners:    newOwners(),
		capacity:  capacities{},
		config:    newConfiguration(),
		claims:    newClaims(),
		jobs:      newJobs(),

		evacuations: map[zoneKey]Evacuation{},
	}
	for _, opt := range opts {
		opt(m)
	}
	m.changes.window = m.limits.Deltas
	m.burn = anvilburn.NewHistory(m.limits.Burn)
	return m
}

// Index returns the index of the last applied entry.
func (m *Machine) Index() anvilid.Index { return m.index }

// At returns the time of the last applied entry.
func (m *Machine) At() anvilclock.Millis { return m.at }

// Apply executes one committed command. index is the index of its log entry, and at the time
// that the leader stamped on the entry, which never goes backwards.
func (m *Machine) Apply(index anvilid.Index, at anvilclock.Millis, command Command) Result {
	m.index = index
	m.at = max(m.at, at)
	m.expireChanges()
	m.expireClaims()
	m.expireJobs()
	if command.affectsPlanning() {
		m.planningIndex = index
	}
	if command.Config != nil {
		return m.changeConfig(*command.Config)
	}
	result := Result{Index: index}
	if err := m.dispatch(command, &result); err != nil {
		refused := m.refuse(err)
		refused.Job = result.Job
		return refused
	}
	return result
}

// PlanningIndex returns the index of the latest entry that may affect the placement of
// jobs.
func (m *Machine) PlanningIndex() anvilid.Index { return m.planningIndex }

// affectsPlanning reports whether a command may change jobs, targets or guarantees.
func (c *Command) affectsPlanning() bool {
	return c.Claim == nil && c.Complete == nil && c.Abandon == nil && c.Burn == nil && c.Eject == nil
}

func (m *Machine) refuse(err error) Result {
	return Result{Index: m.index, Code: codeOf(err), Detail: err.Error()}
}

func (m *Machine) dispatch(c Command, result *Result) (err error) {
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
	case c.Eject != nil:
		return m.eject(*c.Eject)
	case c.Evacuate != nil:
		return m.evacuate(*c.Evacuate)
	case c.Rebalance != nil:
		result.Moved, err = m.rebalance(*c.Rebalance)
	case c.Claim != nil:
		result.Claim, err = m.claim(*c.Claim)
	case c.Complete != nil:
		result.Claim, err = m.complete(*c.Complete)
	case c.Abandon != nil:
		result.Claim, err = m.abandon(*c.Abandon)
	case c.Submit != nil:
		result.Job, err = m.submit(*c.Submit)
	case c.Cancel != nil:
		result.Job, err = m.cancel(*c.Cancel)
	case c.Place != nil:
		result.Job, err = m.place(*c.Place)
	case c.Advance != nil:
		result.Job, err = m.advance(*c.Advance)
	case c.EndMember != nil:
		result.Job, err = m.endMember(*c.EndMember)
	case c.Burn != nil:
		return m.burn.Add(m.at, c.Burn)
	default:
		return fmt.Errorf("%w: the command is empty or of an unknown kind", ErrUnknown)
	}
	return err
}

// sortedKeys returns the keys in order, so that the state machine does not depend on the
// random order of maps.
func sortedKeys[K ~string, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
