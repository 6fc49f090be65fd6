package anvilstate

import (
	"fmt"
	"slices"

	"anvilshunt/core/anvilid"
)

// MaxPlacements is the number of placements after which a job fails if the work of one of
// its members has failed (MemberFailed). One target on which everything fails must not make
// a job fail, and a job that always fails must come to an end.
const MaxPlacements = 3

// MemberEnd describes how a member of a running gang ended.
type MemberEnd string

// Ways in which a member can end.
const (
	// MemberDone means that the member has completed its work.
	MemberDone MemberEnd = "done"
	// MemberFailed means that the member's own work failed.
	MemberFailed MemberEnd = "failed"
	// MemberLost means that the member was stopped or that its target was lost.
	MemberLost MemberEnd = "lost"
)

// EndMember reports the end of one gang member. The job is done when all members are done.
// If one fails or is lost, the others are stopped.
type EndMember struct {
	ID     anvilid.JobID `cbor:"1,keyasint"`
	Token  anvilid.Token `cbor:"2,keyasint"`
	Member int           `cbor:"3,keyasint"`
	End    MemberEnd     `cbor:"4,keyasint"`
	Detail string        `cbor:"5,keyasint,omitempty"`
}

func (m *Machine) endMember(command EndMember) (*Job, error) {
	job, ok := m.jobs.byID[command.ID]
	if !ok {
		return nil, fmt.Errorf("%w: job %q", ErrJob, command.ID)
	}
	if job.Token != command.Token || command.Member < 0 || command.Member >= len(job.Members) {
		return job.withoutPayload(), fmt.Errorf("%w: job %q has placement token %d and %d members, and the report is for another placement or member",
			ErrStale, job.ID, job.Token, len(job.Members))
	}
	if job.State.Final() || slices.Contains(job.Ended, command.Member) {
		return job.withoutPayload(), nil // a resent report
	}
	switch {
	case command.End == MemberDone:
		m.memberDone(job, command.Member)
	case job.State != JobStopping:
		job.HasFailedMember = job.HasFailedMember || command.End == MemberFailed
		m.setState(job, JobStopping, fmt.Sprintf("member %d is %s: %s", command.Member, command.End, command.Detail))
	}
	return job.withoutPayload(), nil
}

func (m *Machine) memberDone(job *Job, member int) {
	job.Ended = append(slices.Clone(job.Ended), member)
	if len(job.Ended) == len(job.Members) && (job.State == JobRunning || job.State == JobPreparing) {
		m.endJob(job, JobDone, "")
	}
}

// AfterStop returns the state that a stopping job enters once all its members have
// stopped.
func (j *Job) AfterStop() JobState {
	switch {
	case j.Cancelled:
		return JobCancelled
	case len(j.Members) > 0 && len(j.Ended) == len(j.Members):
		return JobDone
	case j.HasFailedMember && j.Placements >= MaxPlacements:
		return JobFailed
	}
	return JobSubmitted
}
