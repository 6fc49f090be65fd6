package anvilstate

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

// ErrVersion reports a snapshot of another format version.
var ErrVersion = errors.New("unknown snapshot version")

// snapshot is the encoded form of the state. All lists have a fixed order, so that equal
// states have equal bytes.
type snapshot struct {
	Version   int                    `cbor:"1,keyasint"`
	Index     anvilid.Index          `cbor:"2,keyasint"`
	At        anvilclock.Millis      `cbor:"3,keyasint"`
	Instances []Instance             `cbor:"4,keyasint,omitempty"`
	Targets   []Target               `cbor:"5,keyasint,omitempty"`
	Changes   []change               `cbor:"6,keyasint,omitempty"`
	Floor     anvilid.Index          `cbor:"7,keyasint,omitempty"`
	Revision  anvilid.Revision       `cbor:"8,keyasint,omitempty"`
	Objects   []anvilconfig.Object   `cbor:"9,keyasint,omitempty"`
	Outcomes  []*changeOutcome       `cbor:"10,keyasint,omitempty"`
	History   []Published            `cbor:"11,keyasint,omitempty"`
	Held      []claimRecord          `cbor:"12,keyasint,omitempty"`
	Ended     []claimRecord          `cbor:"13,keyasint,omitempty"`
	Jobs      []Job                  `cbor:"14,keyasint,omitempty"`
	EndedJobs []anvilid.JobID        `cbor:"15,keyasint,omitempty"`
	Reserved  []reservationsOfTarget `cbor:"16,keyasint,omitempty"`
	// Burn contains the encoded counts of requests and jobs for the service-level objectives
	// (anvilburn.History).
	Burn []byte `cbor:"17,keyasint,omitempty"`
	// Evacuations is ordered by region and zone.
	Evacuations []Evacuation `cbor:"18,keyasint,omitempty"`
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
	Recorded anvilid.Index     `cbor:"10,keyasint,omitempty"`
}

type reservationsOfTarget struct {
	Target anvilid.TargetID                           `cbor:"1,keyasint"`
	Jobs   map[anvilid.JobID]anvilid.AcceleratorCount `cbor:"2,keyasint"`
}

// Capture is a point-in-time copy of the state. Later commands don't affect it, so it can
// be encoded while the state machine continues.
type Capture struct {
	state snapshot
	burn  *anvilburn.Capture
}

// Capture copies the state. Values that records point to are replaced and never modified
// by commands, so it is enough to copy the records themselves.
func (m *Machine) Capture() *Capture {
	s := snapshot{
		Version: snapshotVersion, Index: m.index, At: m.at,
		Instances: copies(m.instances), Targets: copies(m.targets), Jobs: copies(m.jobs.byID),
		Changes: m.changes.items, Floor: m.changes.floor,
		Revision: m.Revision(), Objects: slices.Collect(maps.Values(m.config.current.Objects)),
		Outcomes: slices.Clone(m.config.order), History: slices.Clone(m.config.history),
		Held: m.claims.heldRecords(), Ended: m.claims.endedRecords(),
		Evacuations: slices.Collect(maps.Values(m.evacuations)),
	}
	for _, job := range m.jobs.ended {
		s.EndedJobs = append(s.EndedJobs, job.ID)
	}
	for id, of := range m.jobs.reserved {
		s.Reserved = append(s.Reserved, reservationsOfTarget{id, maps.Clone(of)})
	}
	return &Capture{s, m.burn.Capture()}
}

// Encode returns the encoded snapshot.
func (c *Capture) Encode() ([]byte, error) {
	s := &c.state
	slices.SortFunc(s.Instances, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(s.Objects, func(a, b anvilconfig.Object) int { return a.Compare(b.Key) })
	slices.SortFunc(s.Held, func(a, b claimRecord) int { return cmp.Compare(a.Token, b.Token) })
	slices.SortFunc(s.Jobs, func(a, b Job) int { return cmp.Compare(a.Submitted, b.Submitted) })
	slices.SortFunc(s.Reserved, func(a, b reservationsOfTarget) int { return cmp.Compare(a.Target, b.Target) })
	slices.SortFunc(s.Evacuations, func(a, b Evacuation) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
	})
	var err error
	if s.Burn, err = c.burn.Encode(); err != nil {
		return nil, fmt.Errorf("encode the history of service-level objectives: %w", err)
	}
	return Encode(s)
}

// Snapshot captures and encodes the state.
func (m *Machine) Snapshot() ([]byte, error) { return m.Capture().Encode() }

// Restore returns the state machine that was encoded as a snapshot. The options must be
// the same as those of the original.
func Restore(data []byte, opts ...Option) (*Machine, error) {
	var s snapshot
	if err := Decode(data, &s); err != nil {
		return nil, fmt.Errorf("restore a snapshot of the replicated state: %w", err)
	}
	if s.Version != snapshotVersion {
		return nil, fmt.Errorf("%w: the snapshot has version %d and this program reads version %d; use the program version that wrote it",
			ErrVersion, s.Version, snapshotVersion)
	}
	m := New(opts...)
	m.index, m.at = s.Index, s.At
	m.changes.items, m.changes.floor = s.Changes, s.Floor
	for _, instance := range s.Instances {
		m.instances[instance.ID] = &instance
		m.owners.addInstance(instance.ID)
	}
	for _, target := range s.Targets {
		m.targets[target.ID] = &target
		m.owners.add(&target)
		m.capacity.add(&target, 1)
	}
	for _, evacuation := range s.Evacuations {
		m.evacuations[zoneKey{evacuation.Region, evacuation.Zone}] = evacuation
	}
	m.config.restore(s)
	for i := range s.Ended {
		s.Ended[i].Key = m.intern(s.Ended[i].Key)
	}
	m.claims.restore(s)
	m.jobs.restore(s)
	var err error
	if m.burn, err = anvilburn.Decode(s.Burn, m.limits.Burn); err != nil {
		return nil, fmt.Errorf("restore the history of service-level objectives: %w", err)
	}
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
	for _, record := range s.Jobs {
		job := &record
		t.byID[job.ID] = job
		t.payloads += anvilid.ByteCount(len(job.Payload))
		if job.State == JobSubmitted {
			t.pending = append(t.pending, job)
		}
	}
	for _, id := range s.EndedJobs {
		t.ended = append(t.ended, t.byID[id])
	}
	for _, of := range s.Reserved {
		t.reserved[of.Target] = of.Jobs
	}
}

func copies[K comparable, V any](values map[K]*V) []V {
	list := make([]V, 0, len(values))
	for _, value := range values {
		list = append(list, *value)
	}
	return list
}
