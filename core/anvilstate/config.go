package anvilstate

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// maxListed bounds the problems, names and changes that one result lists, because results
// are stored so that resends get the same answer.
const maxListed = 64

// configuration is the published configuration and its recent changes.
type configuration struct {
	current anvilconfig.Snapshot
	// outcomes contains the first result of each recent change id. order lists them from the
	// oldest to the latest.
	outcomes map[anvilid.ChangeID]*changeOutcome
	order    []*changeOutcome
	history  []Published
}

type changeOutcome struct {
	ID     anvilid.ChangeID  `cbor:"1,keyasint"`
	Digest []byte            `cbor:"2,keyasint"`
	At     anvilclock.Millis `cbor:"3,keyasint"`
	Result Result            `cbor:"4,keyasint"`
}

// Config returns the published configuration. It is valid until the next Apply.
func (m *Machine) Config() anvilconfig.Snapshot { return m.config.current }

// Revision returns the revision of the published configuration.
func (m *Machine) Revision() anvilid.Revision { return m.config.current.Revision }

// History returns the most recent published changes, the oldest first. It is valid until
// the next Apply.
func (m *Machine) History() []Published { return m.config.history }

// CheckConfig validates a change set without publishing it and returns the placement of
// the guarantees and the problems found.
func (m *Machine) CheckConfig(change anvilconfig.Change) (anvilconfig.Placement, []anvilconfig.Problem) {
	reservedCounts := map[anvilid.ServiceName]int{}
	for _, object := range change.Set {
		if object.Service != nil {
			reservedCounts[anvilid.ServiceName(object.Name)] = object.Service.ShortOnlyTargets
		}
	}
	return anvilconfig.Check(m.config.current, change, func(service anvilid.ServiceName) []anvilconfig.Zone {
		count, changed := reservedCounts[service]
		if of := m.capacity[service]; changed && of != nil {
			return of.byRack(m.chooseShortRequestTargets(service, count))
		}
		return m.Inventory(service)
	})
}

// changeConfig publishes a change set, once per change id. Refusals are recorded as well:
// if both a request and its retry arrive, both get the same answer.
func (m *Machine) changeConfig(change anvilconfig.Change) Result {
	digest, err := digestOf(change)
	if err != nil {
		return m.refuse(fmt.Errorf("%w: change %q: %w", ErrInvalid, change.ID, err))
	}
	if first, ok := m.config.outcomes[change.ID]; ok {
		if !bytes.Equal(first.Digest, digest) {
			return m.refuse(fmt.Errorf("%w: change id %q; choose a new id", ErrReused, change.ID))
		}
		return first.Result
	}
	result := m.publish(change)
	if change.ID != "" {
		m.recordChange(&changeOutcome{ID: change.ID, Digest: digest, At: m.at, Result: result})
	}
	return result
}

func (m *Machine) publish(change anvilconfig.Change) Result {
	if change.BaseRevision != m.Revision() {
		result := m.refuse(fmt.Errorf("%w: change %q is based on revision %d, the current one is %d; look at the differences and send a new change",
			ErrRevision, change.ID, change.BaseRevision, m.Revision()))
		result.Conflict = m.conflict(change.BaseRevision)
		return result
	}
	if _, problems := m.CheckConfig(change); len(problems) > 0 {
		result := m.refuse(fmt.Errorf("%w: %d problems, the first one: %w", ErrChange, len(problems), problems[0]))
		result.Problems = problems[:min(len(problems), maxListed)]
		return result
	}
	published := Published{
		ChangeName: ChangeName{ID: change.ID, Operator: change.Operator, Revision: m.Revision() + 1},
		At:         m.at,
		Deleted:    change.Delete,
	}
	for _, object := range change.Set {
		if old, ok := m.config.current.Objects[object.Key]; ok && old.Equal(object) {
			continue
		}
		published.Set = append(published.Set, object.Key)
		m.recordObjectChange(object.Key)
	}
	for _, key := range change.Delete {
		m.recordObjectChange(key)
	}
	m.config.current.Apply(change, published.Revision)
	for _, of := range m.capacity {
		of.inventory = nil // the targets reserved for short requests may have changed
	}
	m.config.history = append(m.config.history, published)
	if extra := len(m.config.history) - m.limits.History; extra > 0 {
		m.config.history = slices.Delete(m.config.history, 0, extra)
	}
	return Result{Index: m.index, Revision: published.Revision}
}

func (m *Machine) recordChange(outcome *changeOutcome) {
	m.config.outcomes[outcome.ID] = outcome
	m.config.order = append(m.config.order, outcome)
	m.dropChanges(len(m.config.order) - m.limits.ChangeIDs)
}

// expireChanges deletes the change ids whose retention period (Limits.ChangeAge) has
// passed. An even later resend is refused because its base revision is stale.
func (m *Machine) expireChanges() {
	drop := 0
	for drop < len(m.config.order) && m.config.order[drop].At+m.limits.ChangeAge <= m.at {
		drop++
	}
	m.dropChanges(drop)
}

func (m *Machine) dropChanges(count int) {
	if count <= 0 {
		return
	}
	for i, outcome := range m.config.order[:count] {
		delete(m.config.outcomes, outcome.ID)
		m.config.order[i] = nil
	}
	m.config.order = m.config.order[count:]
}

// conflict describes what was published since revision base, for the refusal of a change
// that is based on it.
func (m *Machine) conflict(base anvilid.Revision) *Conflict {
	conflict := &Conflict{Revision: m.Revision()}
	if len(m.config.history) == 0 {
		return conflict
	}
	latest := m.config.history[len(m.config.history)-1]
	conflict.Change, conflict.Operator = latest.ID, latest.Operator
	differ := map[anvilconfig.Key]bool{}
	if m.config.history[0].Revision > base+1 {
		// The history does not reach back to the base: older deletions are unknown, but
		// existing objects carry the revision of their latest change.
		conflict.Truncated = true
		for key, object := range m.config.current.Objects {
			differ[key] = object.Revision > base
		}
	}
	for _, published := range slices.Backward(m.config.history) {
		if published.Revision <= base {
			break
		}
		if len(conflict.Changes) < maxListed {
			conflict.Changes = append(conflict.Changes, published.ChangeName)
		} else {
			conflict.Truncated = true
		}
		for _, key := range slices.Concat(published.Set, published.Deleted) {
			differ[key] = true
		}
	}
	for key, differs := range differ {
		if differs {
			conflict.ChangedObjects = append(conflict.ChangedObjects, key)
		}
	}
	slices.SortFunc(conflict.ChangedObjects, anvilconfig.Key.Compare)
	if len(conflict.ChangedObjects) > maxListed {
		conflict.ChangedObjects, conflict.Truncated = conflict.ChangedObjects[:maxListed], true
	}
	return conflict
}

func digestOf(value any) ([]byte, error) {
	data, err := Encode(value)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	return sum[:], nil
}

func newConfiguration() configuration {
	return configuration{outcomes: map[anvilid.ChangeID]*changeOutcome{}, current: anvilconfig.NewSnapshot(0)}
}
