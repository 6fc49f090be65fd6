package anvilserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvillink"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// Errors of announcements.
var (
	// ErrTryAgain means that an announcement has not taken effect yet, for example because the target
	// has no owner at present or the owner cannot be reached. The target must send it again.
	ErrTryAgain = errors.New("the announcement has not taken effect yet; send it again")
	// ErrStaleIncarnation means that an announcement is from an earlier incarnation (run) of a target
	// than the registered one.
	ErrStaleIncarnation = errors.New("a later incarnation of the target is already registered")
)

// reportTimeout limits the call that passes a report to the owner of its target.
const reportTimeout = time.Second

const registerTimeout = 2 * time.Second

// Announce processes a report with which a target announces itself. It registers a new target or a new
// incarnation of one, and otherwise forwards the report to the instance that owns the target. It
// returns the address of the owner, to which the target may send its further reports directly, or an
// empty address if the target has no owner yet.
func (s *Server) Announce(ctx context.Context, report *anvilreport.Report) (anvilid.Address, error) {
	if err := report.Check(); err != nil {
		return "", err
	}
	target, owner, known := s.target(report.Target)
	switch {
	case known && target.Incarnation > report.Incarnation:
		return "", fmt.Errorf("%w: target %q has incarnation %d, the announcement %d",
			ErrStaleIncarnation, report.Target, target.Incarnation, report.Incarnation)
	case !known || target.Incarnation < report.Incarnation:
		if report.Leaving {
			return "", nil // the target leaves before it was registered, so there is nothing to do
		}
		return "", s.register(ctx, report)
	}
	if report.Leaving && !target.Leaving {
		go s.proposeLeaving(target)
	}
	if owner.ID == "" {
		return "", fmt.Errorf("%w: target %q has no owner", ErrTryAgain, report.Target)
	}
	return owner.Public, s.forwardReport(ctx, report, owner)
}

// forwardReport passes a report to the owner of its target.
func (s *Server) forwardReport(ctx context.Context, report *anvilreport.Report, owner anvilstate.Instance) error {
	if owner.ID == s.settings.Instance {
		return s.handleReport(report)
	}
	data, err := json.Marshal(report)
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := s.links.Peer(anvillink.Report, owner.Peer).Report(ctx, &anvilrpc.ReportRequest{Report: data})
	if err != nil {
		return fmt.Errorf("%w: owner %q: %w", ErrTryAgain, owner.ID, err)
	}
	if !reply.Accepted {
		return fmt.Errorf("%w: owner %q: %s", ErrTryAgain, owner.ID, reply.Detail)
	}
	return nil
}

// handleReport passes the report of an owned target to the fleet, which updates its slots, and to the
// owner of gang members, which handles the reported tasks.
func (s *Server) handleReport(report *anvilreport.Report) error {
	if err := s.fleet.Report(report); err != nil {
		return fmt.Errorf("%w: %w", ErrTryAgain, err)
	}
	s.owner.HandleReport(context.Background(), report)
	return nil
}

// register registers a new target, or a new run of one, in the replicated state.
func (s *Server) register(ctx context.Context, report *anvilreport.Report) error {
	s.mu.Lock()
	busy := s.registering[report.Target]
	s.registering[report.Target] = true
	s.mu.Unlock()
	if busy {
		return fmt.Errorf("%w: the registration of target %q is in progress", ErrTryAgain, report.Target)
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.registering, report.Target)
	}()
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	result, err := s.client.Propose(ctx, &anvilstate.Command{Register: &anvilstate.RegisterTarget{Target: anvilstate.Target{
		ID: report.Target, Incarnation: report.Incarnation, Address: report.Address, Service: report.Service,
		Region: report.Region, Zone: report.Zone, Rack: report.Rack,
		Slots: report.Slots, Connections: report.Connections, Accelerators: report.Accelerators,
	}}})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTryAgain, err)
	}
	if result.Code != "" {
		return fmt.Errorf("%w: %s", ErrStaleIncarnation, result.Detail)
	}
	s.log.Write(anvillogs.TargetRegistered, zap.String("target", string(report.Target)))
	return nil
}

// proposeLeaving records in the replicated state that a target is leaving. The owner of the target
// already knows it from the target's report. The record informs all other instances, and it remains
// when the target gets another owner.
func (s *Server) proposeLeaving(target anvilstate.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	_, err := s.client.Propose(ctx, &anvilstate.Command{
		Depart: &anvilstate.LeaveTarget{ID: target.ID, Incarnation: target.Incarnation},
	})
	if err != nil {
		s.log.Write(anvillogs.ProposalFailed, zap.String("target", string(target.ID)), zap.Error(err))
		return
	}
	s.log.Write(anvillogs.TargetLeaving, zap.String("target", string(target.ID)))
}
