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

// Joining is tried again after this pause.
const joinPause = 50 * time.Millisecond

// How often the lease is watched for its lapse.
const watchPeriod = 10 * time.Millisecond

const joinTimeout = 2 * time.Second

// renew keeps the lease: it joins the control group and renews by long polls
// that bring the view up to date.
func (s *Server) renew(ctx context.Context) error {
	joined := false
	for ctx.Err() == nil {
		if !joined {
			if joined = s.join(ctx); !joined {
				pause(ctx, joinPause)
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
		// It may have been accepted all the same, and its session would expire
		// before another join is answered.
		known, _ := s.poll(ctx)
		return known
	}
	if result.Code != "" {
		// An earlier run had a later clock. Incarnations only have to grow.
		s.rejoin()
		return false
	}
	s.log.Write(anvillogs.InstanceJoined, zap.Uint64("incarnation", s.incarnation.Load()))
	return true
}

// rejoin prepares to join under a new incarnation, because the control group
// has ended the session. Everything that the lease permitted ends with it.
func (s *Server) rejoin() {
	s.mu.Lock()
	s.lease.Revoke()
	s.mu.Unlock()
	s.fleet.ForgetAllTargets()
	next := max(s.incarnation.Load()+1, uint64(s.wall.Now()))
	s.incarnation.Store(next)
	s.desk.SetIncarnation(anvilid.Incarnation(next))
}

// renewOnce makes one long poll. It returns false if the session has ended.
func (s *Server) renewOnce(ctx context.Context) bool {
	known, answered := s.poll(ctx)
	if answered && !known {
		s.rejoin()
	}
	return known || !answered
}

// poll makes one long poll, which renews the lease if the session is known.
func (s *Server) poll(ctx context.Context) (known, answered bool) {
	s.mu.Lock()
	applied := s.view.Index
	s.mu.Unlock()
	sent := s.clock.Now()
	reply, err := s.client.Renew(ctx, &anvilrpc.RenewRequest{
		Instance: string(s.settings.Instance), Incarnation: s.incarnation.Load(),
		Applied: uint64(applied), Load: s.load(),
	}, s.settings.Timing.Hold)
	if err != nil {
		s.log.Write(anvillogs.RenewalFailed, zap.Error(err))
		return false, false
	}
	var delta anvilstate.Delta
	if err := anvilstate.Decode(reply.Delta, &delta); err != nil {
		s.log.Write(anvillogs.RenewalFailed, zap.Error(err))
		return false, false
	}
	s.apply(&delta)
	if !reply.Known {
		return false, true
	}
	s.extend(sent, anvilclock.Millis(reply.Lease))
	s.desk.UpdatePeerLoads(reply.Loads)
	return true, true
}

func (s *Server) extend(sent, span anvilclock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lease.Granted(sent, span)
}

// load tells the free slots and waiting requests of each service.
func (s *Server) load() []*anvilrpc.ServiceLoad {
	queued := s.desk.Queued()
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

// watch notes when the lease is gained and when it lapses.
func (s *Server) watch(ctx context.Context) error {
	held := false
	return anvilduty.Every(ctx, watchPeriod, func(context.Context) {
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
		s.desk.Resume()
		return
	}
	s.metrics.lapses.Add(1)
	s.log.Write(anvillogs.LeaseLost)
}

func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
