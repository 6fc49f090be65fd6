package anvilstate

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

// ErrVersion reports a snapshot of another format version.
var ErrVersion = errors.New("unknown snapshot version")

// snapshot is the encoded form of the state. All lists have a fixed order, so
// that equal states have equal bytes.
type snapshot struct {
	Version   int                    `cbor:"1,keyasint"`
	Index     anvilid.Index          `cbor:"2,keyasint"`
	At        anvilclock.Millis      `cbor:"3,keyasint"`
	Instances []*Instance            `cbor:"4,keyasint,omitempty"`
	Targets   []*Target              `cbor:"5,keyasint,omitempty"`
	Changes   []change               `cbor:"6,keyasint,omitempty"`
	Floor     anvilid.Index          `cbor:"7,keyasint,omitempty"`
	Revision  anvilid.Revision       `cbor:"8,keyasint,omitempty"`
	Objects   []anvilconfig.Object   `cbor:"9,keyasint,omitempty"`
	Outcomes  []*changeOutcome       `cbor:"10,keyasint,omitempty"`
	History   []Published            `cbor:"11,keyasint,omitempty"`
	Held      []claimRecord          `cbor:"12,keyasint,omitempty"`
	Ended     []claimRecord          `cbor:"13,keyasint,omitempty"`
	Jobs      []*Job                 `cbor:"14,keyasint,omitempty"`
	EndedJobs []anvilid.JobID        `cbor:"15,keyasint,omitempty"`
	Reserved  []reservationsOfTarget `cbor:"16,keyasint,omitempty"`
}

type claimRecord struct {
	Key      RequestKey        `cbor:"1,keyasint"`
	Digest   []byte            `cbor:"2,keyasint,omitempty"`
	State    ClaimState        `cbor:"3,keyasint"`
	Holder   *Holder           `cbor:"4,keyasint,omitempty"`
	Token    anvilid.Token     `cbor:"5,keyasint,omitempty"`
	At       anvilclock.Millis `cbor:"6,keyasint,omitempty"`
	Answer   *Answer           `cbor:"7,keyasint,omitempty"`
	Declared bool              `cbor:"8,keyasint,omitempty"`
	Barred   []Holder          `cbor:"9,keyasint,omitempty"`
}

type reservationsOfTarget struct {
	Target anvilid.TargetID                           `cbor:"1,keyasint"`
	Jobs   map[anvilid.JobID]anvilid.AcceleratorCount `cbor:"2,keyasint"`
}

// Snapshot encodes the state.
func (m *Machine) Snapshot() ([]byte, error) {
	s := snapshot{
		Version: snapshotVersion, Index: m.index, At: m.at,
		Instances: sortedValues(m.instances), Targets: sortedValues(m.targets),
		Changes: m.changes.items, Floor: m.changes.floor,
		Revision: m.Revision(), Objects: m.config.current.List(),
		Outcomes: m.config.order, History: m.config.history,
		Held: m.claims.heldRecords(), Ended: m.claims.endedRecords(),
		Jobs: sortedValues(m.jobs.byID),
	}
	for _, job := range m.jobs.ended {
		s.EndedJobs = append(s.EndedJobs, job.ID)
	}
	for _, id := range sortedKeys(m.jobs.reserved) {
		s.Reserved = append(s.Reserved, reservationsOfTarget{id, m.jobs.reserved[id]})
	}
	return Encode(s)
}

// Restore returns the state machine that wrote a snapshot. The options must be
// the same.
func Restore(data []byte, opts ...Option) (*Machine, error) {
	var s snapshot
	if err := Decode(data, &s); err != nil {
		return nil, fmt.Errorf("restore a snapshot of the replicated state: %w", err)
	}
	if s.Version != snapshotVersion {
		return nil, fmt.Errorf("%w: it is %d and this program reads %d; use the program that wrote it", ErrVersion, s.Version, snapshotVersion)
	}
	m := New(opts...)
	m.index, m.at = s.Index, s.At
	m.changes.items, m.changes.floor = s.Changes, s.Floor
	for _, instance := range s.Instances {
		m.instances[instance.ID] = instance
		m.owners.list(instance.ID)
	}
	for _, target := range s.Targets {
		m.targets[target.ID] = target
		m.owners.add(target)
		m.capacity.add(target, 1)
	}
	m.config.restore(s)
	m.claims.restore(s)
	m.jobs.restore(s)
	return m, nil
}

func (c *configuration) restore(s snapshot) {
	c.current = anvilconfig.NewSnapshot(s.Revision, s.Objects...)
	c.history = s.History
	c.order = s.Outcomes
	for _, outcome := range s.Outcomes {
		c.outcomes[outcome.ID] = outcome
	}
}

func (t *jobs) restore(s snapshot) {
	for _, job := range s.Jobs {
		t.byID[job.ID] = job
		t.payloads += anvilid.ByteCount(len(job.Payload))
		if job.State == JobSubmitted {
			t.pending = append(t.pending, job)
		}
	}
	slices.SortFunc(t.pending, func(a, b *Job) int { return cmp.Compare(a.Submitted, b.Submitted) })
	for _, id := range s.EndedJobs {
		t.ended = append(t.ended, t.byID[id])
	}
	for _, of := range s.Reserved {
		t.reserved[of.Target] = of.Jobs
	}
}

func sortedValues[K ~string, V any](values map[K]V) []V {
	list := make([]V, 0, len(values))
	for _, key := range sortedKeys(values) {
		list = append(list, values[key])
	}
	return list
}
