package anvilgroup

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvillink"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilport"
	"anvilshunt/io/anvilrpc"
	"anvilshunt/io/anvilvoter"
)

// fakeLeader answers the calls of a voter that joins.
type fakeLeader struct {
	anvilrpc.Fleet
	instance string
	joined   chan time.Time
}

func (f *fakeLeader) Locate(context.Context, *anvilrpc.LocateCall) (*anvilrpc.LocateReply, error) {
	return &anvilrpc.LocateReply{Leading: true, Redirection: &anvilrpc.Redirection{Leader: f.instance}}, nil
}

func (f *fakeLeader) Join(context.Context, *anvilrpc.JoinCall) (*anvilrpc.JoinReply, error) {
	f.joined <- time.Now()
	return &anvilrpc.JoinReply{Done: true}, nil
}

// fakeFollower knows the leader.
type fakeFollower struct {
	anvilrpc.Fleet
	leader string
}

func (f *fakeFollower) Locate(context.Context, *anvilrpc.LocateCall) (*anvilrpc.LocateReply, error) {
	return &anvilrpc.LocateReply{Redirection: &anvilrpc.Redirection{Leader: f.leader}}, nil
}

func (f *fakeFollower) Join(context.Context, *anvilrpc.JoinCall) (*anvilrpc.JoinReply, error) {
	return &anvilrpc.JoinReply{Redirection: &anvilrpc.Redirection{Leader: f.leader}}, nil
}

// TestSilentSeeds guards against a successor that spends its time to catch up on addresses that don't answer: two seeds
// that were lost delay its request to the leader, which another seed names.
func TestSilentSeeds(t *testing.T) {
	ports, err := anvilport.Reserve(1)
	assert.NilError(t, err)
	const silent, frozen, follower, leader = "127.0.0.71", "127.0.0.72", "127.0.0.73", "127.0.0.74"
	joined := make(chan time.Time, 8)
	listen := func(ip string) net.Listener {
		listener, err := net.Listen("tcp", string(Address(anvilid.InstanceID(ip), ports[0])))
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() }) // its server may have closed it
		return listener
	}
	serve := func(ip string, fleet anvilrpc.Fleet) {
		server := &http.Server{Handler: anvilrpc.NewFleetServer(fleet), ReadHeaderTimeout: time.Second}
		listener := listen(ip)
		go func() { _ = server.Serve(listener) }() // ends with the listener
	}
	listen(silent) // connections are accepted by the kernel, and nothing answers
	listen(frozen)
	serve(follower, &fakeFollower{leader: leader})
	serve(leader, &fakeLeader{instance: leader, joined: joined})

	log := anvillogs.Discard()
	g := &Group{
		settings: Settings{Instance: "127.0.0.75", Port: ports[0], Seeds: func() []anvilid.InstanceID {
			return []anvilid.InstanceID{silent, frozen, follower}
		}},
		clock: anvilclock.Monotonic(), log: log, Voter: anvilvoter.New("127.0.0.75"),
		links: anvillink.New("r", func(anvilid.Address) anvilid.RegionName { return "r" }),
	}
	began := time.Now()
	g.requestMembership(t.Context())
	select {
	case at := <-joined:
		assert.Assert(t, at.Sub(began) < 500*time.Millisecond, "the leader was asked after %s", at.Sub(began))
	default:
		t.Fatal("the leader was not asked")
	}
}
