package anvilserver

import (
	"context"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilduty"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// joinRetryInterval is the pause before the instance tries again to join the control group, to create
// (bootstrap) it as the first voter, or to be enrolled as a voter.
const joinRetryInterval = 50 * time.Millisecond

// leaseCheckInterval is how often the instance checks whether its lease has expired.
const leaseCheckInterval = 10 * time.Millisecond

const joinTimeout = 2 * time.Second

// maintainLease is the background task that keeps the lease of the instance valid. It joins the control
// group and then renews the lease by long polls. The replies also update the view, which is the
// instance's copy of a part of the replicated state. It ends when the instance leaves the group at the
// end of its drain: an instance that joined again would be given targets and then be lost with them.
func (s *Server) maintainLease(ctx context.Context) error {
	joined := false
	for ctx.Err() == nil && !s.left() {
		if !joined {
			if joined = s.join(ctx); !joined {
				sleep(ctx, joinRetryInterval)
				continue
			}
		}
		joined = s.renewOnce(ctx)
	}
	return nil
}

func (s *Server) join(ctx context.Context) bool {
	attempt, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	result, err := s.client.Propose(attempt, &anvilstate.Command{Join: &anvilstate.JoinInstance{Instance: s.self()}})
	if err != nil {
		s.log.Write(anvillogs.ProposalFailed, zap.String("command", "join"), zap.Error(err))
		// The join may have been committed although no answer arrived. The control group then has a
		// session for this instance, which would expire before a second join is answered. So the
		// lease is renewed at once.
		known, _ := s.poll(ctx)
		return known
	}
	if result.Code != "" {
		// The join was refused, because an earlier run of this instance used a higher incarnation:
		// its wall clock, from which the first incarnation is taken, was ahead. Incarnations only
		// have to increase, so the next attempt uses a higher one.
		s.rejoin()
		return false
	}
	s.log.Write(anvillogs.InstanceJoined, zap.Uint64("incarnation", s.incarnation.Load()))
	return true
}

// rejoin prepares the instance to join the control group under a higher incarnation, after the group
// has ended its session or refused its join. It revokes the lease and forgets the owned targets.
func (s *Server) rejoin() {
	s.mu.Lock()
	s.lease.Revoke()
	s.mu.Unlock()
	s.fleet.ForgetAllTargets()
	next := max(s.incarnation.Load()+1, uint64(s.wall.Now()))
	s.incarnation.Store(next)
	s.dispatcher.SetIncarnation(anvilid.Incarnation(next))
}

// renewOnce renews the lease by one long poll. It returns false if the control group has ended the
// session of this instance, so that the instance must join again.
func (s *Server) renewOnce(ctx context.Context) bool {
	known, answered := s.poll(ctx)
	if answered && !known && !s.left() {
		s.rejoin()
	}
	return known || !answered
}

// poll makes one long poll to the control group, which also updates the view. answered is set if a
// valid reply arrived. known is set if the control group still has the session of this instance; the
// lease is then renewed.
func (s *Server) poll(ctx context.Context) (known, answered bool) {
	s.mu.Lock()
	applied := s.view.Index
	s.mu.Unlock()
	sent := s.clock.Now()
	reply, err := s.client.Renew(ctx, &anvilrpc.RenewRequest{
		Instance: string(s.settings.Instance), Incarnation: s.incarnation.Load(),
		Applied: uint64(applied), Load: s.load(),
	}, s.settings.Timing.RenewalHold)
	if err != nil {
		s.log.Write(anvillogs.RenewalFailed, zap.Error(err))
		return false, false
	}
	var delta anvilstate.Delta
	if err := anvilstate.Decode(reply.Delta, &delta); err != nil {
		s.log.Write(anvillogs.RenewalFailed, zap.Error(err))
		return false, false
	}
	s.applyDelta(&delta)
	if !reply.Known {
		return false, true
	}
	s.extend(sent, anvilclock.Millis(reply.Lease))
	s.dispatcher.UpdatePeerLoads(reply.Loads)
	return true, true
}

func (s *Server) extend(sent, span anvilclock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease.Granted(sent, span)
}

// load returns the load that this instance reports to the control group: for each service, the numbers
// of free slots and waiting requests. A draining instance reports no free slots, so that peers forward
// no requests to it.
func (s *Server) load() []*anvilrpc.ServiceLoad {
	queued := s.dispatcher.Queued()
	var loads []*anvilrpc.ServiceLoad
	draining := s.draining()
	for _, load := range s.fleet.Loads() {
		free := int32(load.Free)
		if draining {
			free = 0
		}
		loads = append(loads, &anvilrpc.ServiceLoad{
			Service: string(load.Service), Free: free, Queued: int32(queued[load.Service]),
		})
	}
	return loads
}

// watchLease is the background task that checks, every leaseCheckInterval, whether the lease of the
// instance has become valid or has expired, and calls leaseChanged.
func (s *Server) watchLease(ctx context.Context) error {
	held := false
	return anvilduty.Every(ctx, leaseCheckInterval, func(context.Context) {
		if now := s.isLeased(); now != held {
			held = now
			s.leaseChanged(held)
		}
	})
}

func (s *Server) leaseChanged(held bool) {
	s.mu.Lock()
	if held {
		close(s.leased)
	} else {
		s.leased = make(chan struct{})
	}
	s.mu.Unlock()
	if held {
		s.log.Write(anvillogs.LeaseGained)
		s.dispatcher.Resume()
		return
	}
	s.metrics.leaseLapses.Add(1)
	s.log.Write(anvillogs.LeaseLost)
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
