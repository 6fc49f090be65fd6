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
	// ErrTryAgain reports an announcement that had no effect yet.
	ErrTryAgain = errors.New("the announcement has had no effect yet; send it again")
	// ErrStaleIncarnation reports an announcement of an earlier run of a target.
	ErrStaleIncarnation = errors.New("a later run of the target has announced itself")
)

// A report is passed on to the owner within this time.
const reportTimeout = time.Second

const registerTimeout = 2 * time.Second

// Announce takes in a target's announcement, whichever instance owns it, and
// returns the address that the target may report to directly.
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
			return "", nil // it was never in use
		}
		return "", s.register(ctx, report)
	}
	if report.Leaving && !target.Leaving {
		go s.depart(target)
	}
	if owner.ID == "" {
		return "", fmt.Errorf("%w: target %q has no owner", ErrTryAgain, report.Target)
	}
	return owner.Public, s.deliver(ctx, report, owner)
}

// deliver brings a report to the owner of its target.
func (s *Server) deliver(ctx context.Context, report *anvilreport.Report, owner anvilstate.Instance) error {
	if owner.ID == s.settings.Instance {
		return s.takeReport(report)
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

// takeReport takes in the report of an owned target.
func (s *Server) takeReport(report *anvilreport.Report) error {
	if err := s.fleet.Report(report); err != nil {
		return fmt.Errorf("%w: %w", ErrTryAgain, err)
	}
	s.owner.HandleReport(context.Background(), report)
	return nil
}

// register makes a new target, or a new run of one, known to all.
func (s *Server) register(ctx context.Context, report *anvilreport.Report) error {
	s.mu.Lock()
	busy := s.registering[report.Target]
	s.registering[report.Target] = true
	s.mu.Unlock()
	if busy {
		return fmt.Errorf("%w: target %q is being registered", ErrTryAgain, report.Target)
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

// depart tells all instances that a target leaves. The owner hears of it from
// the report at once; this makes it last.
func (s *Server) depart(target anvilstate.Target) {
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
