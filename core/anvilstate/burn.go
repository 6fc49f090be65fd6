package anvilstate

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// countStart counts a job for the service-level objective on start times, once per job:
// when it first runs, or when it fails before that. Cancelled and infeasible jobs are not
// counted.
func (m *Machine) countStart(job *Job) {
	cause := anvilburn.CauseJobStarted
	switch {
	case job.Started:
		return
	case job.State == JobFailed:
		cause = anvilburn.CauseJobNotStarted
	case job.State != JobRunning && job.State != JobDone:
		return
	}
	job.Started = true
	service := m.config.current.Service(job.Service)
	if service == nil || service.Objectives == nil || service.Objectives.Starts == nil {
		return
	}
	m.burn.AddJob(m.at, anvilburn.Event{
		Key:       anvilburn.Key{Service: job.Service, Account: job.Account, Cause: cause},
		Limited:   true,
		OverLimit: cause == anvilburn.CauseJobNotStarted || m.at-job.SubmittedAt > service.Objectives.Starts.Limit,
	})
}

// BurnReport reports how much of their error budgets the services with objectives have
// spent. It covers all of them, or only one service if only is set. The report time is
// now, or the time of the last entry if that is later.
func (m *Machine) BurnReport(now anvilclock.Millis, only anvilid.ServiceName) anvilburn.Report {
	var services []anvilburn.Service
	for key, object := range m.config.current.Objects {
		name := anvilid.ServiceName(key.Name)
		if object.Service != nil && object.Service.Objectives != nil && (only == "" || only == name) {
			services = append(services, anvilburn.Service{Name: name, Objectives: *object.Service.Objectives})
		}
	}
	slices.SortFunc(services, func(a, b anvilburn.Service) int { return cmp.Compare(a.Name, b.Name) })
	return anvilburn.BuildReport(m.burn, max(now, m.at), services)
}
