package anvilserver

import (
	"context"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvildispatch"
	"anvilshunt/io/anvillink"
	"anvilshunt/io/anvilrpc"
)

// directory gives the dispatcher of short requests access to the view, which is the instance's copy of
// a part of the replicated state.
func (s *Server) directory() anvildispatch.Directory {
	return anvildispatch.Directory{
		Account: func(id anvilid.AccountID) *anvilconfig.Account { return s.config().Account(id) },
		Service: func(name anvilid.ServiceName) *anvilconfig.Service { return s.config().Service(name) },
		Instances: func() []anvilstate.Instance {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.view.Instances()
		},
		HasLocalTarget: func(name anvilid.ServiceName) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.view.HasLocalTargets(name, s.settings.Region)
		},
		HasTarget: func(name anvilid.ServiceName) bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.view.HasTargets(name)
		},
		Leased:     s.isLeased,
		AwaitLease: s.awaitLease,
	}
}

func (s *Server) config() anvilconfig.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Config
}

// isLeased reports whether the lease of the instance is valid now.
func (s *Server) isLeased() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease.Valid(s.clock.Now())
}

// awaitLease waits until the instance has a valid lease. It returns false if ctx ends first.
func (s *Server) awaitLease(ctx context.Context) bool {
	for !s.isLeased() {
		s.mu.Lock()
		leased := s.leased
		s.mu.Unlock()
		select {
		case <-leased:
			if !s.isLeased() {
				// The lease has expired, but watchLease has not noticed it yet.
				sleep(ctx, leaseCheckInterval)
			}
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// applyDelta applies changes of the replicated state to the view. The caller must extend the lease only
// after applyDelta has returned. Otherwise the instance could admit requests, because its lease is
// valid, under a configuration that is no longer in force.
func (s *Server) applyDelta(delta *anvilstate.Delta) {
	s.mu.Lock()
	changes := s.view.Apply(delta)
	s.mu.Unlock()
	for _, target := range changes.Targets {
		s.fleet.UpdateTarget(target)
	}
	for _, id := range changes.RemovedTargets {
		s.fleet.ForgetTarget(id)
	}
	for _, instance := range changes.RemovedInstances {
		s.dispatcher.HandleInstanceEnded(instance.ID, instance.Incarnation)
	}
}

// regionOf returns the region of a peer address, or an empty name if the address is unknown.
func (s *Server) regionOf(address anvilid.Address) anvilid.RegionName {
	for _, peer := range s.settings.Peers {
		if peer.Address == address {
			return peer.Region
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, instance := range s.view.Instances() {
		if instance.Peer == address {
			return instance.Region
		}
	}
	return ""
}

// target returns a target and the instance that owns it.
func (s *Server) target(id anvilid.TargetID) (anvilstate.Target, anvilstate.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	target, ok := s.view.Target(id)
	if !ok {
		return target, anvilstate.Instance{}, false
	}
	owner, _ := s.view.Instance(target.Owner)
	return target, owner, true
}

func (s *Server) snapshot() (anvilid.Index, anvilconfig.Snapshot, []anvilstate.Instance, []anvilstate.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.Index, s.view.Config, s.view.Instances(), s.view.Targets()
}

// peers returns a function that returns a client for calls to the instance with a peer address. The
// bytes of these calls are counted as traffic of the given type.
func (s *Server) peers(cause anvillink.TrafficType) func(anvilid.Address) anvilrpc.Peer {
	return func(address anvilid.Address) anvilrpc.Peer { return s.links.Peer(cause, address) }
}
