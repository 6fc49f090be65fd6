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

// Metadata keys of twirp errors.
const (
	metaLeader = "leader"
	metaReason = "reason"
)

// Reasons for a refused proposal, the values of metaReason.
const (
	reasonNotLeader  = "not_leader"
	reasonOverloaded = "overloaded"
	reasonLeased     = "leased"
	reasonLost       = "lost"
)

// Intervals of the leader's periodic work and of the check whether a change is in force.
const (
	leaderInterval  = 25 * time.Millisecond
	inForceInterval = 5 * time.Millisecond
	// rebalancePeriod is the time between two commands that move targets to other instances. It is
	// longer than the other intervals because each hand-over of a target takes a few round trips.
	rebalancePeriod = 500 * anvilclock.Millisecond
)

// Errors of Group.Propose.
var (
	ErrNotLeader      = errors.New("this voter is not the leader")
	ErrOverloaded     = errors.New("the replicated log is overloaded")
	ErrOutcomeUnknown = errors.New("the command may or may not have been committed")
)

// Status is what a voter knows about the control group.
type Status struct {
	Leading   bool
	HasQuorum bool
	Term      anvilid.Term
	Leader    anvilid.InstanceID
}

// Group gives a Service access to the replicated log.
type Group struct {
	Propose func(ctx context.Context, data []byte) (anvilstate.Result, error)
	Status  func() Status
	// Barrier returns when every log entry that was committed before the call has been applied.
	Barrier func(ctx context.Context) error
	// Address returns the peer address of a voter.
	Address func(anvilid.InstanceID) anvilid.Address
	// Dial returns a client of another voter, to which calls are relayed.
	Dial func(anvilid.Address) anvilrpc.Control
	// HasInitialMajority reports whether a majority of the voters named in the settings is enrolled.
	// Before that, a change could be accepted by a single voter and be lost with its disk.
	HasInitialMajority func() bool
	// WaitReason returns the reason why a job waits. It may be nil.
	WaitReason func(anvilid.JobID) string
	// Enroll makes the instance with a data directory, which id identifies, a voter. It calls stepped
	// after each change of the members that this takes.
	Enroll func(ctx context.Context, id anvilraft.VoterID, stepped func(anvilraft.ChangeVoters)) error
}

// Service is the Control service of one voter.
type Service struct {
	replica     *Replica
	group       Group
	clock       anvilclock.Clock
	log         *anvillogs.Logger
	renewalHold anvilclock.Millis

	nextRebalance anvilclock.Millis // used only by the goroutine of Run

	// enrolling is locked while a voter is being enrolled, so that only one is enrolled at a time.
	enrolling sync.Mutex
}

// NewService returns the Control service of a voter. Lease renewals are long polls: if the replicated
// state does not change, they are answered after the duration hold.
func NewService(replica *Replica, group Group, hold anvilclock.Millis) *Service {
	return &Service{replica: replica, group: group, clock: replica.clock, log: replica.log, renewalHold: hold}
}

// checkLeading returns nil if this voter can act as the leader: it has a quorum, has started its term,
// and a majority of the initial voters is enrolled. Otherwise it returns an error that names the
// leader, if another voter is known to be the leader.
func (s *Service) checkLeading() error {
	status := s.group.Status()
	s.replica.mu.Lock()
	ready := s.replica.term == status.Term
	s.replica.mu.Unlock()
	if status.Leading && status.HasQuorum && ready && s.group.HasInitialMajority() {
		return nil
	}
	return s.notLeaderError(status)
}

// notLeaderError returns the error with which a voter that is not the leader answers calls. It contains
// the leader's address, if this voter knows the leader.
func (s *Service) notLeaderError(status Status) error {
	failure := twirp.NewError(twirp.Unavailable, "not the leader").WithMeta(metaReason, reasonNotLeader)
	if status.Leader != "" && !status.Leading {
		failure = failure.WithMeta(metaLeader, string(s.group.Address(status.Leader)))
	}
	return failure
}

// Leading reports whether this voter can act as the leader, see checkLeading.
func (s *Service) Leading() bool { return s.checkLeading() == nil }

// leaderForRelay returns a client for relaying a call to the leader. relay says whether the sender
// asked for that, because it cannot reach the leader itself. The result is nil if the sender did not
// ask, or if no other voter is known to be the leader. A call is relayed at most once.
func (s *Service) leaderForRelay(relay bool) anvilrpc.Control {
	status := s.group.Status()
	if !relay || status.Leading || status.Leader == "" {
		return nil
	}
	return s.group.Dial(s.group.Address(status.Leader))
}

// Renew extends the lease of an instance and returns the changes of the replicated state since the
// index that the instance has applied.
func (s *Service) Renew(ctx context.Context, request *anvilrpc.RenewRequest) (*anvilrpc.RenewReply, error) {
	if err := s.checkLeading(); err != nil {
		if leader := s.leaderForRelay(request.Relay); leader != nil {
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
	s.recordReport(session, applied, request.Load)
	s.awaitChange(ctx, applied)
	// This voter may have lost the leadership during the wait.
	if err := s.checkLeading(); err != nil {
		return nil, err
	}
	return s.renewLease(session, applied)
}

// recordReport records what an instance reported with its lease renewal: its load, and the log index
// up to which its view is up to date.
func (s *Service) recordReport(session anvillease.Session, applied anvilid.Index, load []*anvilrpc.ServiceLoad) {
	s.replica.mu.Lock()
	defer s.replica.mu.Unlock()
	s.replica.granter.RecordApplied(session, applied)
	s.replica.loads[session.Instance] = &anvilrpc.InstanceLoad{Instance: string(session.Instance), Load: load}
}

// awaitChange waits until there is a change of the replicated state that the view of an instance,
// which is up to date as of the index applied, lacks. It waits for at most renewalHold.
func (s *Service) awaitChange(ctx context.Context, applied anvilid.Index) {
	timer := time.NewTimer(s.renewalHold.Duration())
	defer timer.Stop()
	for {
		s.replica.mu.Lock()
		hasChange := applied == 0 || s.replica.machine.LastChangeIndex() > applied
		changed := s.replica.changed
		s.replica.mu.Unlock()
		if hasChange {
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

// renewLease extends the lease of a session and builds the reply. The reply contains the changes of
// the replicated state after the index applied, and the loads of all other instances.
func (s *Service) renewLease(session anvillease.Session, applied anvilid.Index) (*anvilrpc.RenewReply, error) {
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

// Propose commits one command to the replicated log. If the sender asks for it, Propose also waits until
// the change is in force on all instances.
func (s *Service) Propose(ctx context.Context, request *anvilrpc.ProposeRequest) (*anvilrpc.ProposeReply, error) {
	if err := s.checkLeading(); err != nil {
		if leader := s.leaderForRelay(request.Relay); leader != nil {
			request.Relay = false
			return leader.Propose(ctx, request)
		}
		return nil, err
	}
	if err := s.checkJoin(request.Command); err != nil {
		return nil, err
	}
	result, err := s.group.Propose(ctx, request.Command)
	if err != nil {
		return nil, s.proposalError(err)
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

// checkJoin checks a command before it is proposed. It refuses the join of an instance while an
// earlier run of the same instance may still have a valid lease, and from then on that run cannot
// renew the lease. It accepts all other commands.
func (s *Service) checkJoin(data []byte) error {
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
		return twirp.NewError(twirp.FailedPrecondition,
			"an earlier run of this instance may still hold a lease; retry after it expires").
			WithMeta(metaReason, reasonLeased)
	}
	return nil
}

// proposalError converts an error of the replicated log to an error of the Control service.
func (s *Service) proposalError(err error) error {
	switch {
	case errors.Is(err, ErrNotLeader):
		if failure := s.checkLeading(); failure != nil {
			return failure
		}
		return twirp.NewError(twirp.Unavailable, err.Error()).WithMeta(metaReason, reasonNotLeader)
	case errors.Is(err, ErrOverloaded):
		return twirp.NewError(twirp.ResourceExhausted, err.Error()).WithMeta(metaReason, reasonOverloaded)
	}
	return twirp.NewError(twirp.Unavailable, err.Error()).WithMeta(metaReason, reasonLost)
}

// awaitInForce waits until the change at a log index is in force: each instance has either applied it
// to its view or has no valid lease any more and so admits no requests. It returns false if ctx ends
// earlier or the leadership is lost.
func (s *Service) awaitInForce(ctx context.Context, index anvilid.Index) bool {
	ticker := time.NewTicker(inForceInterval)
	defer ticker.Stop()
	for {
		s.replica.mu.Lock()
		inForce := s.replica.granter.InForce(s.clock.Now(), index)
		s.replica.mu.Unlock()
		if inForce {
			return s.checkLeading() == nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

// Run does the periodic work of the leader while this voter is the leader: it starts the term after an
// election, ends the sessions of instances whose leases have expired, and rebalances targets.
func (s *Service) Run(ctx context.Context) error {
	return anvilduty.Every(ctx, leaderInterval, s.leaderStep)
}

func (s *Service) leaderStep(ctx context.Context) {
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
	s.expireSessions(ctx)
	s.rebalance(ctx)
}

// rebalance distributes targets evenly over the instances after instances or targets were added or
// removed. Each command moves a limited number of targets.
func (s *Service) rebalance(ctx context.Context) {
	now := s.clock.Now()
	s.replica.mu.Lock()
	due := s.replica.unbalanced && now >= s.nextRebalance
	s.replica.mu.Unlock()
	if !due {
		return
	}
	s.nextRebalance = now + rebalancePeriod
	data, err := anvilstate.Encode(&anvilstate.Command{Rebalance: &anvilstate.Rebalance{}})
	if err == nil {
		_, err = s.group.Propose(ctx, data)
	}
	if err != nil {
		s.log.Write(anvillogs.ProposalFailed, zap.String("command", "rebalance"), zap.Error(err))
	}
}

// expireSessions ends the sessions of instances whose leases have certainly expired.
func (s *Service) expireSessions(ctx context.Context) {
	s.replica.mu.Lock()
	expired := s.replica.granter.Expired(s.clock.Now())
	for _, session := range expired {
		s.replica.granter.RefuseRenewals(session.Instance)
	}
	s.replica.mu.Unlock()
	for _, session := range expired {
		s.log.Write(anvillogs.InstanceLeaseExpired, zap.String("expired", string(session.Instance)))
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
