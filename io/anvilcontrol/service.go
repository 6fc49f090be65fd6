package anvilcontrol

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvillease"
	"anvilshunt/core/anvilraft"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilduty"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// Metadata of twirp errors.
const (
	metaLeader = "leader"
	metaReason = "reason"
)

// Reasons for a refused proposal.
const (
	reasonNotLeader  = "not_leader"
	reasonOverloaded = "overloaded"
	reasonLeased     = "leased"
	reasonLost       = "lost"
)

// How often the leader looks for expired sessions and waiters look whether a
// change is in force.
const (
	expiryPeriod  = 25 * time.Millisecond
	inForcePeriod = 5 * time.Millisecond
	// A hand-over takes a few round trips, so the next one waits longer.
	rebalancePeriod = 500 * anvilclock.Millisecond
)

// Errors of the replicated log, as far as callers tell them apart.
var (
	ErrNotLeader  = errors.New("this voter isn't the leader")
	ErrOverloaded = errors.New("the replicated log is overloaded")
	ErrOutcomeUnknown       = errors.New("the command may or may not be committed")
)

// Status tells what a voter knows of the group.
type Status struct {
	Leading   bool
	HasQuorum bool
	Term      anvilid.Term
	Leader    anvilid.InstanceID
}

// Group is the replicated log.
type Group struct {
	Propose func(ctx context.Context, data []byte) (anvilstate.Result, error)
	Status  func() Status
	// Barrier returns when everything committed before the call was applied.
	Barrier func(ctx context.Context) error
	// Address finds the peer address of a voter.
	Address func(anvilid.InstanceID) anvilid.Address
	// Dial returns a client of another voter, to pass calls on.
	Dial func(anvilid.Address) anvilrpc.Control
	// HasInitialMajority tells whether enough of the initial voters are enrolled. Until
	// then the loss of one disk could lose an accepted change.
	HasInitialMajority func() bool
	// WaitReason says why a job waits. It may be nil.
	WaitReason func(anvilid.JobID) string
	// Enroll gives a data directory a vote and tells of each change.
	Enroll func(ctx context.Context, id anvilraft.VoterID, stepped func(anvilraft.ChangeVoters)) error
}

// Service is the Control service of one voter.
type Service struct {
	replica *Replica
	group   Group
	clock   anvilclock.Clock
	log     *anvillogs.Logger
	hold    anvilclock.Millis

	balanceAt anvilclock.Millis // owned by Run

	// enrolling is held during a change of the voters.
	enrolling sync.Mutex
}

// NewService returns the Control service of a voter. Renewals are held for up
// to hold while nothing changes.
func NewService(replica *Replica, group Group, hold anvilclock.Millis) *Service {
	return &Service{replica: replica, group: group, clock: replica.clock, log: replica.log, hold: hold}
}

// leading returns an error that names the leader unless this voter leads and
// has taken up its term.
func (s *Service) leading() error {
	status := s.group.Status()
	s.replica.mu.Lock()
	ready := s.replica.term == status.Term
	s.replica.mu.Unlock()
	if status.Leading && status.HasQuorum && ready && s.group.HasInitialMajority() {
		return nil
	}
	return s.notLeading(status)
}

func (s *Service) notLeading(status Status) error {
	failure := twirp.NewError(twirp.Unavailable, "not the leader").WithMeta(metaReason, reasonNotLeader)
	if status.Leader != "" && !status.Leading {
		failure = failure.WithMeta(metaLeader, string(s.group.Address(status.Leader)))
	}
	return failure
}

// Leading tells whether this voter leads and has taken up its term.
func (s *Service) Leading() bool { return s.leading() == nil }

// relayTo returns the leader for a call that its sender can't bring there
// itself. A call is passed on once at most.
func (s *Service) relayTo(relay bool) anvilrpc.Control {
	status := s.group.Status()
	if !relay || status.Leading || status.Leader == "" {
		return nil
	}
	return s.group.Dial(s.group.Address(status.Leader))
}

// Renew extends the lease of an instance and tells it what has changed.
func (s *Service) Renew(ctx context.Context, request *anvilrpc.RenewRequest) (*anvilrpc.RenewReply, error) {
	if err := s.leading(); err != nil {
		if leader := s.relayTo(request.Relay); leader != nil {
			request.Relay = false
			return leader.Renew(ctx, request)
		}
		return nil, err
	}
	session := anvillease.Session{
		Instance:    anvilid.InstanceID(request.Instance),
		Incarnation: anvilid.Incarnation(request.Incarnation),
	}
	applied := anvilid.Index(request.Applied)
	s.note(session, applied, request.Load)
	s.awaitChange(ctx, applied)
	// Leadership may have been lost during the wait.
	if err := s.leading(); err != nil {
		return nil, err
	}
	return s.grant(session, applied)
}

// note keeps what an instance reports of itself.
func (s *Service) note(session anvillease.Session, applied anvilid.Index, load []*anvilrpc.ServiceLoad) {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	s.replica.granter.RecordApplied(session, applied)
	s.replica.loads[session.Instance] = &anvilrpc.InstanceLoad{Instance: string(session.Instance), Load: load}
}

func (s *Service) awaitChange(ctx context.Context, applied anvilid.Index) {
	timer := time.NewTimer(s.hold.Duration())
	defer timer.Stop()
	for {
		s.replica.mu.Lock()
		news := applied == 0 || s.replica.machine.LastChangeIndex() > applied
		changed := s.replica.changed
		s.replica.mu.Unlock()
		if news {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) grant(session anvillease.Session, applied anvilid.Index) (*anvilrpc.RenewReply, error) {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	delta := s.replica.machine.DeltaSince(applied)
	data, err := anvilstate.Encode(&delta)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	span, known := s.replica.granter.Renew(s.clock.Now(), session, applied)
	reply := &anvilrpc.RenewReply{Known: known, Lease: int64(span), Index: uint64(delta.Index), Delta: data}
	for _, instance := range s.replica.machine.Instances() {
		if load, ok := s.replica.loads[instance.ID]; ok && instance.ID != session.Instance {
			reply.Loads = append(reply.Loads, load)
		}
	}
	return reply, nil
}

// Propose commits one command.
func (s *Service) Propose(ctx context.Context, request *anvilrpc.ProposeRequest) (*anvilrpc.ProposeReply, error) {
	if err := s.leading(); err != nil {
		if leader := s.relayTo(request.Relay); leader != nil {
			request.Relay = false
			return leader.Propose(ctx, request)
		}
		return nil, err
	}
	if err := s.admit(request.Command); err != nil {
		return nil, err
	}
	result, err := s.group.Propose(ctx, request.Command)
	if err != nil {
		return nil, s.refusal(err)
	}
	data, err := anvilstate.Encode(&result)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	reply := &anvilrpc.ProposeReply{Result: data, Index: uint64(result.Index)}
	if request.Everywhere && result.Code == "" {
		reply.Everywhere = s.awaitInForce(ctx, result.Index)
	}
	return reply, nil
}

// admit refuses a join while an earlier run of the same instance may hold a
// lease, and stops that run from renewing it.
func (s *Service) admit(data []byte) error {
	var command anvilstate.Command
	if err := anvilstate.Decode(data, &command); err != nil {
		return twirp.InvalidArgumentError("command", err.Error())
	}
	if command.Join == nil {
		return nil
	}
	session := sessionOf(command.Join.Instance)
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	if s.replica.granter.Supersede(s.clock.Now(), session) {
		return twirp.NewError(twirp.FailedPrecondition, "an earlier run of this instance may hold a lease").
			WithMeta(metaReason, reasonLeased)
	}
	return nil
}

func (s *Service) refusal(err error) error {
	switch {
	case errors.Is(err, ErrNotLeader):
		if failure := s.leading(); failure != nil {
			return failure
		}
		return twirp.NewError(twirp.Unavailable, err.Error()).WithMeta(metaReason, reasonNotLeader)
	case errors.Is(err, ErrOverloaded):
		return twirp.NewError(twirp.ResourceExhausted, err.Error()).WithMeta(metaReason, reasonOverloaded)
	}
	return twirp.NewError(twirp.Unavailable, err.Error()).WithMeta(metaReason, reasonLost)
}

// awaitInForce waits until no instance can admit requests under a view older
// than index.
func (s *Service) awaitInForce(ctx context.Context, index anvilid.Index) bool {
	ticker := time.NewTicker(inForcePeriod)
	defer ticker.Stop()
	for {
		s.replica.mu.Lock()
		inForce := s.replica.granter.InForce(s.clock.Now(), index)
		s.replica.mu.Unlock()
		if inForce {
			return s.leading() == nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

// Run takes up leadership when this voter is elected, and expires sessions
// while it leads.
func (s *Service) Run(ctx context.Context) error {
	return anvilduty.Every(ctx, expiryPeriod, s.lead)
}

func (s *Service) lead(ctx context.Context) {
	status := s.group.Status()
	if !status.Leading || !status.HasQuorum {
		return
	}
	s.replica.mu.Lock()
	ready := s.replica.term == status.Term
	s.replica.mu.Unlock()
	if !ready {
		if err := s.group.Barrier(ctx); err != nil {
			return
		}
		s.replica.StartTerm(status.Term)
		s.log.Write(anvillogs.LeaderChanged, zap.Uint64("term", uint64(status.Term)))
		return
	}
	s.expire(ctx)
	s.rebalance(ctx)
}

// rebalance spreads targets over the instances, a bounded number at a time,
// after instances or targets have come.
func (s *Service) rebalance(ctx context.Context) {
	now := s.clock.Now()
	s.replica.mu.Lock()
	due := s.replica.unbalanced && now >= s.balanceAt
	s.replica.mu.Unlock()
	if !due {
		return
	}
	s.balanceAt = now + rebalancePeriod
	data, err := anvilstate.Encode(&anvilstate.Command{Rebalance: &anvilstate.Rebalance{}})
	if err == nil {
		_, err = s.group.Propose(ctx, data)
	}
	if err != nil {
		s.log.Write(anvillogs.ProposalFailed, zap.String("command", "rebalance"), zap.Error(err))
	}
}

func (s *Service) expire(ctx context.Context) {
	s.replica.mu.Lock()
	expired := s.replica.granter.Expired(s.clock.Now())
	for _, session := range expired {
		s.replica.granter.RefuseRenewals(session.Instance)
	}
	s.replica.mu.Unlock()
	for _, session := range expired {
		s.log.Write(anvillogs.SessionExpired, zap.String("expired", string(session.Instance)))
		data, err := anvilstate.Encode(&anvilstate.Command{
			Expire: &anvilstate.ExpireInstance{ID: session.Instance, Incarnation: session.Incarnation},
		})
		if err == nil {
			_, err = s.group.Propose(ctx, data)
		}
		if err != nil {
			s.log.Write(anvillogs.ProposalFailed, zap.Error(err))
			return
		}
	}
}
