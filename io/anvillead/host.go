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

// reopenPause is the time before a voter whose disk failed is tried again. A
// full disk may have room again at any moment.
const reopenPause = time.Second

// VoterSupervisor runs the voter of a process. A voter whose disk fails ends;
// the process goes on, passes calls to the others, and opens the voter again.
type VoterSupervisor struct {
	log     *anvillogs.Logger
	current atomic.Pointer[Leader]
}

// NewVoterSupervisor returns a host without a voter.
func NewVoterSupervisor(log *anvillogs.Logger) *VoterSupervisor { return &VoterSupervisor{log: log} }

// Run keeps a voter running until ctx is done. Open reads the data directory
// and returns a leader that is attached to its group.
func (h *VoterSupervisor) Run(ctx context.Context, open func() (*Leader, error)) error {
	for ctx.Err() == nil {
		leader, err := open()
		if err == nil {
			err = h.runVoter(ctx, leader)
		}
		if err != nil {
			h.log.Write(anvillogs.VoterFailed, zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(reopenPause):
		}
	}
	return nil
}

// runVoter runs the duties of one voter until it fails or ctx is done.
func (h *VoterSupervisor) runVoter(parent context.Context, leader *Leader) error {
	ctx, cancel := context.WithCancel(parent)
	h.current.Store(leader)
	defer h.current.Store(nil)
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context) error{leader.group.Join, leader.group.RemoveSilentVoters, leader.Run} {
		duties.Go(func() { _ = duty(ctx) }) // they end with ctx only
	}
	err := leader.group.Voter.Run(ctx)
	cancel()
	duties.Wait()
	return err
}

// Members returns the instances with a vote, as far as the voter knows.
func (h *VoterSupervisor) Members() []anvilid.InstanceID {
	if leader := h.current.Load(); leader != nil {
		return leader.group.Members()
	}
	return nil
}

// group returns the group of the present voter, or nil.
func (h *VoterSupervisor) group() *anvilgroup.Group {
	if leader := h.current.Load(); leader != nil {
		return leader.group
	}
	return nil
}

// fleet returns the present voter, or one that knows nothing.
func (h *VoterSupervisor) fleet() anvilrpc.Fleet {
	if leader := h.current.Load(); leader != nil {
		return leader
	}
	return anvilgate.NoLeader{}
}

// Locate passes the call to the present voter.
func (h *VoterSupervisor) Locate(ctx context.Context, call *anvilrpc.LocateCall) (*anvilrpc.LocateReply, error) {
	return h.fleet().Locate(ctx, call)
}

// Join passes the call to the present voter.
func (h *VoterSupervisor) Join(ctx context.Context, call *anvilrpc.JoinCall) (*anvilrpc.JoinReply, error) {
	return h.fleet().Join(ctx, call)
}

// Job passes the call to the present voter.
func (h *VoterSupervisor) Job(ctx context.Context, call *anvilrpc.JobCall) (*anvilrpc.JobReply, error) {
	return h.fleet().Job(ctx, call)
}

// Configure passes the call to the present voter.
func (h *VoterSupervisor) Configure(ctx context.Context, call *anvilrpc.ConfigureCall) (*anvilrpc.ConfigureReply, error) {
	return h.fleet().Configure(ctx, call)
}

// Wave passes the call to the present voter.
func (h *VoterSupervisor) Wave(ctx context.Context, call *anvilrpc.WaveCall) (*anvilrpc.WaveReply, error) {
	return h.fleet().Wave(ctx, call)
}

// Announce passes the call to the present voter.
func (h *VoterSupervisor) Announce(ctx context.Context, call *anvilrpc.AnnounceCall) (*anvilrpc.AnnounceReply, error) {
	return h.fleet().Announce(ctx, call)
}

// Deliver passes log messages to the present voter. Without one they are lost,
// as on a broken link.
func (h *VoterSupervisor) Deliver(ctx context.Context, request *anvilrpc.DeliverRequest) (*anvilrpc.DeliverReply, error) {
	if group := h.group(); group != nil {
		return group.Deliver(ctx, request)
	}
	return &anvilrpc.DeliverReply{}, nil
}

// Introduce tells whether the present voter belongs to a group.
func (h *VoterSupervisor) Introduce(ctx context.Context, request *anvilrpc.IntroduceRequest) (*anvilrpc.IntroduceReply, error) {
	if group := h.group(); group != nil {
		return group.Introduce(ctx, request)
	}
	return &anvilrpc.IntroduceReply{}, nil
}
