package anvilserver

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilcontrol"
	"anvilshunt/io/anvilhttp"
	"anvilshunt/io/anvillogs"
)

// operatorTimeout limits one call of an operator, and one call that submits, reads or cancels a job.
// It leaves time for an election and for the lease of a lost instance to expire.
const operatorTimeout = 10 * time.Second

// api connects the HTTP API to the components of the instance.
func (s *Server) api() anvilhttp.API {
	return anvilhttp.API{
		Service: func(name anvilid.ServiceName) *anvilconfig.Service { return s.config().Service(name) },
		IssueID: s.dispatcher.IssueID,
		Run:     s.dispatcher.Run,
		Announce: func(ctx context.Context, report *anvilhttp.Report) (anvilid.Address, error) {
			owner, err := s.Announce(ctx, report)
			return owner, announceError(err)
		},
		IgnoreAnnouncement: func(body []byte, err error) { s.ignored.Add("announcements", "", body, err) },

		Ready:           s.Ready,
		Draining:        s.draining,
		Status:          s.status,
		Config:          s.currentConfig,
		CheckChange:     s.checkChange,
		PublishChange:   s.change,
		History:         s.history,
		ObjectiveReport: s.burn,
		SubmitJob:       s.submit,
		Job:             s.job,
		Jobs:            s.jobs,
		CancelJob:       s.cancelJob,
		DrainTarget:     s.drainTarget,
		Zones:           s.zones,
		EvacuateZone:    s.evacuateZone,
		Metrics:         s.metrics.write,
	}
}

func announceError(err error) error {
	switch {
	case errors.Is(err, ErrTryAgain):
		return fmt.Errorf("%w: %w", anvilhttp.ErrUnavailable, err)
	case errors.Is(err, ErrStaleIncarnation):
		return fmt.Errorf("%w: %w", anvilhttp.ErrStaleAnnouncement, err)
	}
	return err
}

// currentConfig returns the configuration in force. It fails while this instance has no valid lease,
// because a newer configuration may then be in force at all other instances.
func (s *Server) currentConfig() (anvilconfig.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lease.Valid(s.clock.Now()) {
		return anvilconfig.Snapshot{}, fmt.Errorf(
			"%w: this instance has no valid lease, so its configuration may be outdated; ask another instance", anvilhttp.ErrUnavailable)
	}
	return s.view.Config, nil
}

// status returns the status of this instance and its view of the replicated state.
func (s *Server) status() anvilhttp.Status {
	index, config, instances, targets := s.snapshot()
	status := anvilhttp.Status{
		Instance: s.settings.Instance, Incarnation: s.currentIncarnation(),
		Region: s.settings.Region, Zone: s.settings.Zone,
		Ready: s.Ready(), HasLease: s.isLeased(), Draining: s.draining(),
		AppliedIndex: index, Revision: config.Revision, Admitted: s.dispatcher.Admitted(),
		Instances: instances, Targets: targets,
	}
	for _, owned := range s.fleet.Statuses() {
		status.Owned = append(status.Owned, anvilhttp.OwnedTarget{
			Target: owned.Target, Epoch: owned.Epoch, State: string(owned.State), Health: string(owned.Health),
			OwnSlots: owned.Own, ForeignSlots: owned.Foreign, ReservedSlots: owned.Reserved, FreeSlots: owned.Free,
			MaxConnections: owned.MaxConnections,
		})
	}
	if s.voter != nil {
		status.Voter = s.voter.status()
	}
	return status
}

func (s *Server) checkChange(ctx context.Context, change anvilconfig.Change) ([]anvilconfig.Problem, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	data, err := anvilstate.Encode(&change)
	if err != nil {
		return nil, err
	}
	var problems []anvilconfig.Problem
	err = s.client.Query(ctx, anvilcontrol.QueryCheck, "", data, &problems)
	return problems, controlError(err)
}

func (s *Server) change(ctx context.Context, change anvilconfig.Change, everywhere bool) (anvilstate.Result, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	command := &anvilstate.Command{Config: &change}
	if everywhere {
		result, done, err := s.client.ProposeEverywhere(ctx, command)
		return result, done, controlError(err)
	}
	result, err := s.client.Propose(ctx, command)
	return result, false, controlError(err)
}

func (s *Server) history(ctx context.Context) ([]anvilstate.Published, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var published []anvilstate.Published
	err := s.client.Query(ctx, anvilcontrol.QueryHistory, "", nil, &published)
	return published, controlError(err)
}

func (s *Server) submit(ctx context.Context, job anvilstate.SubmitJob) (anvilstate.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if s.draining() {
		return anvilstate.Result{}, fmt.Errorf("%w: this instance is shutting down", anvilhttp.ErrUnavailable)
	}
	result, err := s.client.Propose(ctx, &anvilstate.Command{Submit: &job})
	return result, controlError(err)
}

func (s *Server) job(ctx context.Context, id anvilid.JobID) (anvilstate.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var job anvilstate.Job
	err := s.client.Query(ctx, anvilcontrol.QueryJob, string(id), nil, &job)
	return job, controlError(err)
}

func (s *Server) jobs(ctx context.Context) ([]anvilstate.Job, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var jobs []anvilstate.Job
	err := s.client.Query(ctx, anvilcontrol.QueryJobs, "", nil, &jobs)
	return jobs, controlError(err)
}

func (s *Server) cancelJob(ctx context.Context, id anvilid.JobID) (anvilstate.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	result, err := s.client.Propose(ctx, &anvilstate.Command{Cancel: &anvilstate.CancelJob{ID: id}})
	return result, controlError(err)
}

func (s *Server) drainTarget(ctx context.Context, id anvilid.TargetID) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	target, _, ok := s.target(id)
	if !ok {
		return fmt.Errorf("%w: target %q", anvilhttp.ErrNotFound, id)
	}
	_, err := s.client.Propose(ctx, &anvilstate.Command{
		Depart: &anvilstate.LeaveTarget{ID: id, Incarnation: target.Incarnation},
	})
	return controlError(err)
}

func (s *Server) zones(ctx context.Context) ([]anvilstate.ZoneStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var zones []anvilstate.ZoneStatus
	err := s.client.Query(ctx, anvilcontrol.QueryZones, "", nil, &zones)
	return zones, controlError(err)
}

func (s *Server) evacuateZone(ctx context.Context, command anvilstate.EvacuateZone) (anvilstate.Result, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	result, everywhere, err := s.client.ProposeEverywhere(ctx, &anvilstate.Command{Evacuate: &command})
	s.log.Write(anvillogs.ZoneEvacuated, zap.String("region", string(command.Region)), zap.String("zone", string(command.Zone)),
		zap.Bool("end", command.End), zap.String("refused", result.Code), zap.Bool("everywhere", everywhere), zap.Error(err))
	return result, everywhere, controlError(err)
}

func controlError(err error) error {
	switch {
	case errors.Is(err, anvilcontrol.ErrNotFound):
		return fmt.Errorf("%w: %w", anvilhttp.ErrNotFound, err)
	case errors.Is(err, anvilcontrol.ErrUnavailable):
		return fmt.Errorf("%w: %w", anvilhttp.ErrUnavailable, err)
	}
	return err
}
