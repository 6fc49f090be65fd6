package anvilstate

import (
	"fmt"
	"slices"

	"anvilshunt/core/anvilid"
)

// transitions lists the states that AdvanceJob may set. Only a job of which
// nothing was prepared, or whose members were stopped, may be queued again.
var transitions = map[JobState][]JobState{
	JobSubmitted: {JobInfeasible},
	JobPlaced:    {JobPreparing, JobStopping, JobSubmitted},
	JobPreparing: {JobRunning, JobStopping},
	JobRunning:   {JobDone, JobFailed, JobStopping},
	// A job whose members all ended before they could be stopped is done.
	JobStopping: {JobSubmitted, JobDone, JobFailed, JobCancelled},
}

// advance moves a job on.
func (m *Machine) advance(command AdvanceJob) (*Job, error) {
	job, ok := m.jobs.byID[command.ID]
	if !ok {
		return nil, fmt.Errorf("%w: job %q", ErrJob, command.ID)
	}
	if job.Token != command.Token {
		return job.brief(), fmt.Errorf("%w: job %q has the token %d, not %d", ErrStale, job.ID, job.Token, command.Token)
	}
	if job.State == command.State {
		return job.brief(), nil // a resent step
	}
	cancelled := command.State == JobCancelled && !job.Cancelled
	if cancelled || !slices.Contains(transitions[job.State], command.State) {
		return job.brief(), fmt.Errorf("%w: job %q is %s, so it can't become %s", ErrTransition, job.ID, job.State, command.State)
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
	return job.brief(), nil
}

// cancel ends a job that waits and stops one that was placed.
func (m *Machine) cancel(command CancelJob) (*Job, error) {
	job, ok := m.jobs.byID[command.ID]
	if !ok {
		return nil, fmt.Errorf("%w: job %q", ErrJob, command.ID)
	}
	if job.State.Final() {
		return job.brief(), nil
	}
	job.Cancelled = true
	switch job.State {
	case JobSubmitted:
		m.endJob(job, JobCancelled, "cancelled before it was placed")
	case JobStopping:
	default:
		m.setState(job, JobStopping, "cancelled")
	}
	return job.brief(), nil
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

// endJob keeps the members and the token of the job, so that a resent last
// step is recognised.
func (m *Machine) endJob(job *Job, state JobState, detail string) {
	m.unreserve(job)
	m.jobs.unqueue(job)
	m.jobs.payloads -= anvilid.ByteCount(len(job.Payload))
	job.Payload = nil
	m.setState(job, state, detail)
	m.jobs.ended = append(m.jobs.ended, job)
	m.expireJobs()
}

// expireJobs forgets jobs that ended long ago, and the oldest of too many.
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

// loseMembers stops the jobs with a member on a target that is lost. They keep
// their reservation until they have stopped, because a target that was removed
// may come back in the same run with its tasks.
func (m *Machine) loseMembers(id anvilid.TargetID, detail string) {
	for _, name := range sortedKeys(m.jobs.reserved[id]) {
		if job := m.jobs.byID[name]; job.State != JobStopping {
			m.setState(job, JobStopping, detail)
		}
	}
}

// keepReservations drops the reservations that a newly registered run of a
// target doesn't have.
func (m *Machine) keepReservations(target *Target) {
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
