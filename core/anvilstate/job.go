package anvilstate

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// Job is the record of a long job, whose members run on accelerators of one or more targets.
type Job struct {
	ID           anvilid.JobID            `cbor:"1,keyasint" json:"id"`
	Account      anvilid.AccountID        `cbor:"2,keyasint" json:"account"`
	Service      anvilid.ServiceName      `cbor:"3,keyasint" json:"service"`
	Shape        anvilid.ShapeName        `cbor:"4,keyasint,omitempty" json:"shape,omitempty"`
	Accelerators anvilid.AcceleratorCount `cbor:"5,keyasint" json:"accelerators"`
	// Within says whether the members must share a worker, a rack or a zone. It is taken
	// from the shape when the job is submitted.
	Within   anvilconfig.Extent `cbor:"6,keyasint" json:"within"`
	Estimate anvilclock.Millis  `cbor:"7,keyasint,omitempty" json:"estimate,omitempty"`
	// Payload is removed when the job ends.
	Payload []byte   `cbor:"8,keyasint,omitempty" json:"-"`
	State   JobState `cbor:"9,keyasint" json:"state"`
	Detail  string   `cbor:"10,keyasint,omitempty" json:"detail,omitempty"`
	// Token is the index of the log entry that placed the job. It is zero while the job
	// waits for placement.
	Token   anvilid.Token `cbor:"11,keyasint,omitempty" json:"token,omitempty"`
	Members []Member      `cbor:"12,keyasint,omitempty" json:"members,omitempty"`
	// Submitted is the index of the log entry that submitted the job. Jobs that wait for
	// placement are ordered by it, so a job that has to be placed again keeps its position.
	Submitted   anvilid.Index     `cbor:"13,keyasint" json:"submitted"`
	SubmittedAt anvilclock.Millis `cbor:"14,keyasint" json:"at"`
	// Changed is when the job was submitted or last entered another State.
	Changed anvilclock.Millis `cbor:"15,keyasint" json:"changed"`
	// Cancelled is set once the caller has cancelled the job.
	Cancelled bool `cbor:"16,keyasint,omitempty" json:"cancelled,omitempty"`
	// Placements counts how often the job was placed.
	Placements int `cbor:"17,keyasint,omitempty" json:"placements,omitempty"`
	// Digest identifies the content of the submission, to recognize resends.
	Digest []byte `cbor:"18,keyasint" json:"-"`
	// Ended lists the indexes of the members that have completed their work.
	Ended []int `cbor:"19,keyasint,omitempty" json:"ended,omitempty"`
	// Guaranteed is set while the job uses accelerators that are guaranteed to its account.
	Guaranteed bool `cbor:"21,keyasint,omitempty" json:"guaranteed,omitempty"`
	// HasFailedMember is set if the work of a member failed, as opposed to its target
	// being lost.
	HasFailedMember bool `cbor:"20,keyasint,omitempty" json:"broken,omitempty"`
	// Started is set once the job has run, so that a job that is placed again is counted
	// once for the objective on start times.
	Started bool `cbor:"22,keyasint,omitempty" json:"-"`
}

// jobs is the table of long jobs.
type jobs struct {
	byID map[anvilid.JobID]*Job
	// pending lists the submitted jobs in the order of submission. ended lists the ended
	// jobs in the order in which they ended.
	pending, ended []*Job
	// reserved is the number of accelerators of each target that are reserved for each job.
	reserved map[anvilid.TargetID]map[anvilid.JobID]anvilid.AcceleratorCount
	// payloads is the total size of the payloads that all jobs store.
	payloads anvilid.ByteCount
}

func newJobs() jobs {
	return jobs{
		byID:     map[anvilid.JobID]*Job{},
		reserved: map[anvilid.TargetID]map[anvilid.JobID]anvilid.AcceleratorCount{},
	}
}

// Job returns a copy of the record of the job with the given id, and false if there is none.
func (m *Machine) Job(id anvilid.JobID) (Job, bool) {
	job, ok := m.jobs.byID[id]
	if !ok {
		return Job{}, false
	}
	return *job, true
}

// Jobs returns copies of the records of all jobs, including those that have ended, in the order of
// submission.
func (m *Machine) Jobs() []Job {
	list := make([]Job, 0, len(m.jobs.byID))
	for _, job := range m.jobs.byID {
		list = append(list, *job)
	}
	slices.SortFunc(list, func(a, b Job) int { return cmp.Compare(a.Submitted, b.Submitted) })
	return list
}

// PendingJobs returns the jobs that wait for placement, in the order of submission.
func (m *Machine) PendingJobs() []Job {
	list := make([]Job, 0, len(m.jobs.pending))
	for _, job := range m.jobs.pending {
		list = append(list, *job)
	}
	return list
}

// Reserved returns the number of accelerators of a target that are reserved for jobs.
func (m *Machine) Reserved(target anvilid.TargetID) anvilid.AcceleratorCount {
	sum := anvilid.AcceleratorCount(0)
	for _, n := range m.jobs.reserved[target] {
		sum += n
	}
	return sum
}

// queue adds a job to the jobs that wait for placement, at its position in the order of submission.
func (t *jobs) queue(job *Job) {
	at, _ := t.position(job)
	t.pending = slices.Insert(t.pending, at, job)
}

func (t *jobs) unqueue(job *Job) {
	if at, found := t.position(job); found {
		t.pending = slices.Delete(t.pending, at, at+1)
	}
}

func (t *jobs) position(job *Job) (int, bool) {
	return slices.BinarySearchFunc(t.pending, job, func(a, b *Job) int { return cmp.Compare(a.Submitted, b.Submitted) })
}

// withoutPayload returns a copy of the job without its payload, for Result.Job.
func (j *Job) withoutPayload() *Job {
	job := *j
	job.Payload = nil
	return &job
}
