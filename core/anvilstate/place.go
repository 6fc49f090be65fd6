package anvilstate

import (
	"fmt"
	"slices"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// place reserves accelerators for all members of a job or for none.
func (m *Machine) place(command PlaceJob) (*Job, error) {
	job, ok := m.jobs.byID[command.ID]
	if !ok {
		return nil, fmt.Errorf("%w: job %q", ErrJob, command.ID)
	}
	if job.State == JobPlaced && slices.Equal(job.Members, command.Members) {
		return job.withoutPayload(), nil // a resent placement
	}
	if job.State != JobSubmitted {
		return job.withoutPayload(), fmt.Errorf("%w: job %q is in state %s and can't be placed", ErrTransition, job.ID, job.State)
	}
	if err := m.checkMembers(job, command.Members); err != nil {
		return job.withoutPayload(), err
	}
	m.jobs.unqueue(job)
	job.Members = slices.Clone(command.Members)
	job.Token = anvilid.Token(m.index)
	job.Placements++
	job.Guaranteed = command.Guaranteed
	m.setState(job, JobPlaced, "")
	for _, member := range job.Members {
		of := m.jobs.reserved[member.Target]
		if of == nil {
			of = map[anvilid.JobID]anvilid.AcceleratorCount{}
			m.jobs.reserved[member.Target] = of
		}
		of[job.ID] = member.Accelerators
		m.updateReserved(member.Target)
	}
	return job.withoutPayload(), nil
}

func (m *Machine) checkMembers(job *Job, members []Member) error {
	sum := anvilid.AcceleratorCount(0)
	seen := map[anvilid.TargetID]bool{}
	var first *Target
	for _, member := range members {
		if seen[member.Target] {
			return fmt.Errorf("%w: job %q has two members on target %q", ErrInvalid, job.ID, member.Target)
		}
		seen[member.Target] = true
		target, err := m.checkMember(job, member)
		if err != nil {
			return err
		}
		if first == nil {
			first = target
		}
		if !withinExtent(first, target, job.Within) {
			return fmt.Errorf("%w: job %q must run within one %s, and targets %q and %q are not in the same one",
				ErrInvalid, job.ID, job.Within, first.ID, target.ID)
		}
		sum += member.Accelerators
	}
	if sum != job.Accelerators {
		return fmt.Errorf("%w: the members of job %q have %d accelerators in total and the job needs %d",
			ErrInvalid, job.ID, sum, job.Accelerators)
	}
	return nil
}

func (m *Machine) checkMember(job *Job, member Member) (*Target, error) {
	target, err := m.targetIncarnation(member.Target, member.Incarnation)
	if err != nil {
		return nil, err
	}
	free := target.Accelerators - m.Reserved(target.ID)
	switch {
	case target.Leaving:
		return nil, fmt.Errorf("%w: target %q is leaving", ErrStale, target.ID)
	case target.Evacuated:
		return nil, fmt.Errorf("%w: the zone of target %q is evacuated", ErrStale, target.ID)
	case target.Service != job.Service:
		return nil, fmt.Errorf("%w: target %q serves service %q, and job %q needs service %q",
			ErrInvalid, target.ID, target.Service, job.ID, job.Service)
	case member.Accelerators < 1:
		return nil, fmt.Errorf("%w: job %q uses %d accelerators of target %q; use 1 or more",
			ErrInvalid, job.ID, member.Accelerators, target.ID)
	case member.Accelerators > free:
		return nil, fmt.Errorf("%w: job %q needs %d accelerators of target %q, and %d of %d are free", ErrCapacity,
			job.ID, member.Accelerators, target.ID, free, target.Accelerators)
	}
	return target, nil
}

func withinExtent(a, b *Target, within anvilconfig.Extent) bool {
	switch within {
	case anvilconfig.WithinWorker:
		return a.ID == b.ID
	case anvilconfig.WithinRack:
		return rackOf(a) == rackOf(b)
	}
	return zoneOf(a) == zoneOf(b)
}

// unreserve frees the accelerators that are reserved for a job.
func (m *Machine) unreserve(job *Job) {
	for _, member := range job.Members {
		of := m.jobs.reserved[member.Target]
		if _, ok := of[job.ID]; !ok {
			continue // the target was lost and its reservations dropped
		}
		delete(of, job.ID)
		if len(of) == 0 {
			delete(m.jobs.reserved, member.Target)
		}
		m.updateReserved(member.Target)
	}
}

// updateReserved updates the reserved slots in the target's record and marks the record as
// changed, so that deltas carry it to the views of the instances.
func (m *Machine) updateReserved(id anvilid.TargetID) {
	if target, ok := m.targets[id]; ok {
		target.Reserved = anvilid.SlotCount(m.Reserved(id))
		m.recordTargetChange(id)
	}
}
