package anvilstate

import (
	"fmt"
	"slices"

	"anvilshunt/core/anvilid"
)

// transitions lists the states that AdvanceJob may set from each state. A job may be queued
// again (JobSubmitted) only if none of its members was prepared or if all of them were
// stopped.
var transitions = map[JobState][]JobState{
	JobSubmitted: {JobInfeasible},
	JobPlaced:    {JobPreparing, JobStopping, JobSubmitted},
	JobPreparing: {JobRunning, JobStopping},
	JobRunning:   {JobDone, JobFailed, JobStopping},
	// A job is done if all its members completed before they could be stopped.
	JobStopping: {JobSubmitted, JobDone, JobFailed, JobCancelled},
}

// advance executes AdvanceJob: it moves a job to the state in the command, if the table of
// transitions allows that.
func (m *Machine) advance(command AdvanceJob) (*Job, error) {
	job, ok := m.jobs.byID[command.ID]
	if !ok {
		return nil, fmt.Errorf("%w: job %q", ErrJob, command.ID)
	}
	if job.Token != command.Token {
		return job.withoutPayload(), fmt.Errorf("%w: job %q has placement token %d, and the command is for token %d",
			ErrStale, job.ID, job.Token, command.Token)
	}
	if job.State == command.State {
		return job.withoutPayload(), nil // a resent command
	}
	cancelled := command.State == JobCancelled && !job.Cancelled
	if cancelled || !slices.Contains(transitions[job.State], command.State) {
		return job.withoutPayload(), fmt.Errorf("%w: job %q can't change from state %s to %s",
			ErrTransition, job.ID, job.State, command.State)
	}
	switch {
	case command.State == JobSubmitted && job.Cancelled:
		m.endJob(job, JobCancelled, command.Detail)
	case command.State == JobSubmitted:
		m.requeue(job, command.Detail)
	case command.State.Final():
		m.endJob(job, command.State, command.Detail)
	default:
		m.setState(job, command.State, command.Detail)
	}
	return job.withoutPayload(), nil
}

// cancel ends a job that waits for placement, and moves a job that was placed to
// JobStopping.
func (m *Machine) cancel(command CancelJob) (*Job, error) {
	job, ok := m.jobs.byID[command.ID]
	if !ok {
		return nil, fmt.Errorf("%w: job %q", ErrJob, command.ID)
	}
	if job.State.Final() {
		return job.withoutPayload(), nil
	}
	job.Cancelled = true
	switch job.State {
	case JobSubmitted:
		m.endJob(job, JobCancelled, "cancelled before it was placed")
	case JobStopping:
	default:
		m.setState(job, JobStopping, "cancelled")
	}
	return job.withoutPayload(), nil
}

func (m *Machine) setState(job *Job, state JobState, detail string) {
	job.State, job.Detail, job.Changed = state, detail[:min(len(detail), maxDetail)], m.at
	m.countStart(job)
}

func (m *Machine) requeue(job *Job, detail string) {
	m.unreserve(job)
	job.Members, job.Token, job.Ended, job.HasFailedMember, job.Guaranteed = nil, 0, nil, false, false
	m.setState(job, JobSubmitted, detail)
	m.jobs.queue(job)
}

// endJob moves a job to a final state. It keeps the members and the token, so that a resent
// command that set the final state is recognized.
func (m *Machine) endJob(job *Job, state JobState, detail string) {
	m.unreserve(job)
	m.jobs.unqueue(job)
	m.jobs.payloads -= anvilid.ByteCount(len(job.Payload))
	job.Payload = nil
	m.setState(job, state, detail)
	m.jobs.ended = append(m.jobs.ended, job)
	m.expireJobs()
}

// expireJobs deletes ended jobs that are older than EndedAge and, if there are more than
// EndedJobs, the oldest ones.
func (m *Machine) expireJobs() {
	for len(m.jobs.ended) > 0 {
		oldest := m.jobs.ended[0]
		if len(m.jobs.ended) <= m.limits.EndedJobs && oldest.Changed+m.limits.EndedAge > m.at {
			return
		}
		delete(m.jobs.byID, oldest.ID)
		m.jobs.ended[0] = nil
		m.jobs.ended = m.jobs.ended[1:]
	}
}

// stopJobsOnTarget moves the jobs that have a member on a lost target to JobStopping. They
// keep their reservations until they have stopped, because a removed target may register
// again in the same incarnation with its tasks still running.
func (m *Machine) stopJobsOnTarget(id anvilid.TargetID, detail string) {
	for _, name := range sortedKeys(m.jobs.reserved[id]) {
		if job := m.jobs.byID[name]; job.State != JobStopping {
			m.setState(job, JobStopping, detail)
		}
	}
}

// pruneReservations is called when a new incarnation of a target registers. It drops the
// reservations of jobs that have no member on this incarnation, and all reservations if the
// rest exceeds the accelerators of the target.
func (m *Machine) pruneReservations(target *Target) {
	for name := range m.jobs.reserved[target.ID] {
		if !slices.ContainsFunc(m.jobs.byID[name].Members, func(member Member) bool {
			return member.Target == target.ID && member.Incarnation == target.Incarnation
		}) {
			delete(m.jobs.reserved[target.ID], name)
		}
	}
	if len(m.jobs.reserved[target.ID]) == 0 || m.Reserved(target.ID) > target.Accelerators {
		delete(m.jobs.reserved, target.ID)
	}
	target.Reserved = anvilid.SlotCount(m.Reserved(target.ID))
}
