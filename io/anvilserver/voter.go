package anvilserver

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilcontrol"
	"anvilshunt/io/anvilgang"
	"anvilshunt/io/anvilhttp"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
	"anvilshunt/io/anvilvoter"
)

// voter contains the components that only voters have: the replicated log and state, and the services
// of the leader.
type voter struct {
	server  *Server
	id      anvilraft.VoterID
	empty   bool // the data directory has never contained a log
	node    *anvilvoter.Voter
	replica *anvilcontrol.Replica
	service *anvilcontrol.Service
	driver  *anvilgang.Driver
}

// openVoter opens the data directory and returns a voter that is not running yet. It returns an error,
// so that the instance does not start, if the directory is damaged, has an unsupported format version
// or is in use by another process.
func openVoter(s *Server) (*voter, error) {
	id, empty, err := anvilvoter.Inspect(s.settings.Instance, s.settings.DataDir, s.disk...)
	if err != nil {
		return nil, eris.Wrap(err, "open the data directory")
	}
	v := &voter{server: s, id: id, empty: empty}
	v.replica = anvilcontrol.NewReplica(s.clock, s.log, s.settings.Timing.Lease)
	v.node = anvilvoter.New(s.settings.Instance,
		anvilvoter.WithDir(s.settings.DataDir, s.disk...),
		anvilvoter.WithClocks(s.clock, s.wall),
		anvilvoter.WithNode(
			anvilraft.WithElectionTimeout(s.settings.Timing.Election, 2*s.settings.Timing.Election),
			anvilraft.WithHeartbeat(s.settings.Timing.Heartbeat),
			anvilraft.WithSeed(s.incarnation.Load())),
		anvilvoter.WithStateMachine(anvilvoter.StateMachine{
			Apply: func(entry anvilraft.Entry) any {
				return v.replica.Apply(entry.Index, entry.At, entry.Data)
			},
			Restore:  func(snapshot anvilraft.Snapshot) error { return v.replica.Restore(snapshot.Data) },
			Snapshot: v.replica.Snapshot,
		}),
		anvilvoter.WithLog(s.log, s.settings.Timing.Election),
		anvilvoter.WithSend(v.send))
	v.service = anvilcontrol.NewService(v.replica, v.group(), s.settings.Timing.RenewalHold)
	v.driver = s.newDriver(v)
	return v, nil
}

// group connects the Control service to the replicated log.
func (v *voter) group() anvilcontrol.Group {
	return anvilcontrol.Group{
		Propose: v.propose,
		Status: func() anvilcontrol.Status {
			status := v.node.Status()
			return anvilcontrol.Status{
				Leading: status.Role == anvilraft.Leader, HasQuorum: status.HasQuorum,
				Term: status.Term, Leader: status.Leader.Instance,
			}
		},
		Barrier:            v.node.Barrier,
		Address:            v.server.voterAddress,
		HasInitialMajority: v.hasInitialMajority,
		Dial:               v.server.links.ControlAt,
		WaitReason:         func(id anvilid.JobID) string { return v.driver.WaitReason(id) },
		Enroll:             v.node.Enroll,
	}
}

// hasInitialMajority reports whether a majority of the voters named in the settings is enrolled in the
// control group.
func (v *voter) hasInitialMajority() bool {
	return len(v.node.Status().Members.Voters) > len(voterAddresses(v.server.settings))/2
}

func (v *voter) propose(ctx context.Context, data []byte) (anvilstate.Result, error) {
	_, result, err := v.node.Propose(ctx, data)
	switch {
	case err == nil:
		applied, _ := result.(anvilstate.Result)
		return applied, nil
	case errors.Is(err, anvilvoter.ErrNotLeader), errors.Is(err, anvilvoter.ErrStopped):
		return anvilstate.Result{}, fmt.Errorf("%w: %w", anvilcontrol.ErrNotLeader, err)
	case errors.Is(err, anvilvoter.ErrOverloaded):
		return anvilstate.Result{}, fmt.Errorf("%w: %w", anvilcontrol.ErrOverloaded, err)
	}
	return anvilstate.Result{}, fmt.Errorf("%w: %w", anvilcontrol.ErrOutcomeUnknown, err)
}

func (v *voter) send(ctx context.Context, to anvilraft.VoterID, messages [][]byte) error {
	address := v.server.voterAddress(to.Instance)
	if address == "" {
		return fmt.Errorf("no address is known for voter %s", to)
	}
	_, err := v.server.links.RaftAt(address).Deliver(ctx, &anvilrpc.DeliverRequest{
		From: string(v.id.Instance), Messages: messages,
	})
	return err
}

// voterAddress returns the peer address of an instance.
func (s *Server) voterAddress(id anvilid.InstanceID) anvilid.Address {
	for _, peer := range s.settings.Peers {
		if peer.Instance == id {
			return peer.Address
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	instance, _ := s.view.Instance(id)
	return instance.Peer
}

func (v *voter) backgroundTasks() []backgroundTask {
	return []backgroundTask{{"voter", v.run}, {"enroll", v.enroll}, {"control", v.service.Run}, {"gangs", v.driver.Run}}
}

// run is the background task of the replicated log. If the data directory is new and this voter may
// bootstrap the control group, it does so first. If the disk fails, the instance loses its vote but
// continues to run.
func (v *voter) run(ctx context.Context) error {
	if v.empty && v.mayBootstrap() {
		if err := v.bootstrapGroup(ctx); err != nil {
			return err
		}
	}
	if err := v.node.Run(ctx); err != nil {
		v.server.log.Write(anvillogs.VoterFailed, zap.Error(err))
	}
	return nil
}

// mayBootstrap reports whether this instance is the first voter in the settings. Only the first voter
// may create (bootstrap) the control group; the leader then enrolls the others.
func (v *voter) mayBootstrap() bool {
	for _, peer := range v.server.settings.Peers {
		if peer.Voter {
			return peer.Instance == v.id.Instance
		}
	}
	return false
}

// bootstrapGroup creates a new control group in which this voter is the only one. It first waits until
// every other voter of the settings has confirmed that it belongs to no group. Otherwise this voter
// would create a second group when it restarts after losing its disk.
func (v *voter) bootstrapGroup(ctx context.Context) error {
	for ctx.Err() == nil {
		grouped, missing := v.queryInitialVoters(ctx)
		switch {
		case grouped:
			return nil
		case missing == "":
			var group [8]byte
			_, _ = rand.Read(group[:])
			id := anvilraft.GroupID(binary.LittleEndian.Uint64(group[:]) | 1) // never zero
			v.server.log.Write(anvillogs.GroupCreated)
			return anvilvoter.WriteBootstrap(v.server.settings.DataDir, anvilraft.Bootstrap(id, v.id), v.server.disk...)
		}
		v.server.log.Write(anvillogs.InitialVotersAwaited, zap.String("missing", string(missing)))
		sleep(ctx, joinRetryInterval)
	}
	return nil
}

// queryInitialVoters asks the other voters of the settings whether they belong to a control group.
// grouped is set if one of them does. Otherwise missing is a voter that did not answer, or empty if all
// answered.
func (v *voter) queryInitialVoters(ctx context.Context) (grouped bool, missing anvilid.InstanceID) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for _, peer := range v.server.settings.Peers {
		if !peer.Voter || peer.Instance == v.id.Instance {
			continue
		}
		reply, err := v.server.links.RaftAt(peer.Address).Introduce(ctx, &anvilrpc.IntroduceRequest{})
		switch {
		case err != nil:
			missing = peer.Instance
		case reply.Grouped:
			return true, ""
		}
	}
	return false, missing
}

// enroll is the background task that asks the leader to make this instance, with its present data
// directory, a voter. It ends once the instance is a voter.
func (v *voter) enroll(ctx context.Context) error {
	select {
	case <-v.node.Ready():
	case <-ctx.Done():
		return nil
	}
	for ctx.Err() == nil && !v.node.Status().Members.IsVoter(v.id) {
		if err := v.server.client.Enroll(ctx, v.id); err != nil {
			v.server.log.Write(anvillogs.EnrollFailed, zap.Error(err))
			sleep(ctx, joinRetryInterval)
		}
	}
	return nil
}

func (v *voter) register(mux *http.ServeMux) {
	control := anvilrpc.NewControlServer(v.service)
	mux.Handle(control.PathPrefix(), control)
	raft := anvilrpc.NewRaftServer(raftService{voter: v})
	mux.Handle(raft.PathPrefix(), raft)
}

func (v *voter) status() *anvilhttp.Voter {
	status := v.node.Status()
	voter := &anvilhttp.Voter{
		IsLeader: status.Role == anvilraft.Leader, HasQuorum: status.HasQuorum, Term: status.Term,
		Leader: status.Leader.Instance, CommitIndex: status.Commit, AppliedIndex: status.Applied,
		IsVoter: status.Members.IsVoter(v.id),
	}
	for _, id := range status.Members.Voters {
		voter.Voters = append(voter.Voters, id.Instance)
	}
	return voter
}

// raftService is the Raft service, which other voters call.
type raftService struct {
	voter *voter
}

// Deliver receives messages of the replicated log.
func (r raftService) Deliver(_ context.Context, request *anvilrpc.DeliverRequest) (*anvilrpc.DeliverReply, error) {
	r.voter.node.Deliver(request.Messages)
	return &anvilrpc.DeliverReply{}, nil
}

// Introduce reports whether this voter belongs to a control group.
func (r raftService) Introduce(context.Context, *anvilrpc.IntroduceRequest) (*anvilrpc.IntroduceReply, error) {
	return &anvilrpc.IntroduceReply{
		Instance: string(r.voter.id.Instance), Storage: string(r.voter.id.Storage),
		Grouped: !r.voter.empty || r.voter.node.Status().Term > 0,
	}, nil
}
