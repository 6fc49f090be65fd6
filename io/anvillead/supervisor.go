package anvillead

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilgate"
	"anvilshunt/io/anvilgroup"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// reopenPause is the delay before a voter is restarted after its disk failed. It
// is short because a full disk can have free space again at any time.
const reopenPause = time.Second

// VoterSupervisor runs the voter of a process and restarts it after a failure.
// When the voter's disk fails, the voter stops, but the process keeps running,
// redirects calls to other voters and reopens the voter.
type VoterSupervisor struct {
	log     *anvillogs.Logger
	current atomic.Pointer[Leader]
}

// NewVoterSupervisor returns a supervisor that runs no voter yet.
func NewVoterSupervisor(log *anvillogs.Logger) *VoterSupervisor { return &VoterSupervisor{log: log} }

// Run keeps a voter running until ctx is done. Before each start it calls open,
// which reads the data directory and returns a Leader that is attached to its
// voter group.
func (s *VoterSupervisor) Run(ctx context.Context, open func() (*Leader, error)) error {
	for ctx.Err() == nil {
		leader, err := open()
		if err == nil {
			err = s.runVoter(ctx, leader)
		}
		if err != nil {
			s.log.Write(anvillogs.VoterFailed, zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(reopenPause):
		}
	}
	return nil
}

// runVoter runs the background loops of one voter until it fails or ctx is
// done.
func (s *VoterSupervisor) runVoter(parent context.Context, leader *Leader) error {
	ctx, cancel := context.WithCancel(parent)
	s.current.Store(leader)
	defer s.current.Store(nil)
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context) error{leader.group.Join, leader.group.ManageMembers, leader.group.LogView, leader.Run} {
		loops.Go(func() { _ = loop(ctx) }) // they return only when ctx ends
	}
	err := leader.group.Voter.Run(ctx)
	cancel()
	loops.Wait()
	return err
}

// Members returns the instances of all voters of the group that the local voter
// knows, or none if the local voter is not running.
func (s *VoterSupervisor) Members() []anvilid.InstanceID {
	if leader := s.current.Load(); leader != nil {
		return leader.group.Members()
	}
	return nil
}

// Leave removes the running voter from a group that is larger than it is meant to be (see anvilgroup.Group.Leave).
func (s *VoterSupervisor) Leave(ctx context.Context) {
	if group := s.group(); group != nil {
		group.Leave(ctx)
	}
}

// group returns the group of the running voter, or nil if none is running.
func (s *VoterSupervisor) group() *anvilgroup.Group {
	if leader := s.current.Load(); leader != nil {
		return leader.group
	}
	return nil
}

// fleet returns the Fleet service of the running voter. If no voter is running, it
// returns a service that answers that no leader is known.
func (s *VoterSupervisor) fleet() anvilrpc.Fleet {
	if leader := s.current.Load(); leader != nil {
		return leader
	}
	return anvilgate.NoLeader{}
}

// Locate forwards the call to the running voter.
func (s *VoterSupervisor) Locate(ctx context.Context, call *anvilrpc.LocateCall) (*anvilrpc.LocateReply, error) {
	return s.fleet().Locate(ctx, call)
}

// Join forwards the call to the running voter.
func (s *VoterSupervisor) Join(ctx context.Context, call *anvilrpc.JoinCall) (*anvilrpc.JoinReply, error) {
	return s.fleet().Join(ctx, call)
}

// Job forwards the call to the running voter.
func (s *VoterSupervisor) Job(ctx context.Context, call *anvilrpc.JobCall) (*anvilrpc.JobReply, error) {
	return s.fleet().Job(ctx, call)
}

// Configure forwards the call to the running voter.
func (s *VoterSupervisor) Configure(ctx context.Context, call *anvilrpc.ConfigureCall) (*anvilrpc.ConfigureReply, error) {
	return s.fleet().Configure(ctx, call)
}

// Wave forwards the call to the running voter.
func (s *VoterSupervisor) Wave(ctx context.Context, call *anvilrpc.WaveCall) (*anvilrpc.WaveReply, error) {
	return s.fleet().Wave(ctx, call)
}

// Evacuate forwards the call to the running voter.
func (s *VoterSupervisor) Evacuate(ctx context.Context, call *anvilrpc.EvacuateCall) (*anvilrpc.EvacuateReply, error) {
	return s.fleet().Evacuate(ctx, call)
}

// Announce forwards the call to the running voter.
func (s *VoterSupervisor) Announce(ctx context.Context, call *anvilrpc.AnnounceCall) (*anvilrpc.AnnounceReply, error) {
	return s.fleet().Announce(ctx, call)
}

// Deliver passes messages of the replicated log to the running voter. If no voter
// is running, the messages are dropped, as they would be on a broken link.
func (s *VoterSupervisor) Deliver(ctx context.Context, request *anvilrpc.DeliverRequest) (*anvilrpc.DeliverReply, error) {
	if group := s.group(); group != nil {
		return group.Deliver(ctx, request)
	}
	return &anvilrpc.DeliverReply{}, nil
}

// Introduce reports whether the running voter belongs to a group.
func (s *VoterSupervisor) Introduce(ctx context.Context, request *anvilrpc.IntroduceRequest) (*anvilrpc.IntroduceReply, error) {
	if group := s.group(); group != nil {
		return group.Introduce(ctx, request)
	}
	return &anvilrpc.IntroduceReply{}, nil
}
