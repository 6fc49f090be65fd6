package anvilgroup

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvildisk"
	"anvilshunt/io/anvilfault"
	"anvilshunt/io/anvillink"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilport"
	"anvilshunt/io/anvilrpc"
	"anvilshunt/io/anvilvoter"
)

// testNode is a voter with its server.
type testNode struct {
	*Group
	anvilrpc.Fleet // the calls that the tests don't make
	t              *testing.T
	cancel         context.CancelFunc
	server         *http.Server
	ended          chan struct{}
}

// testNodes starts voters, of which the first three are the seeds.
type testNodes struct {
	t      *testing.T
	port   int
	meant  int
	syncIn atomic.Int64 // how long a sync takes, in ms
	hold   func()       // called before each sync of the voters that are started from then on, unless it is nil
	log    *anvillogs.Logger
}

func newTestNodes(t *testing.T, meant int) *testNodes {
	ports, err := anvilport.Reserve(1)
	assert.NilError(t, err)
	return &testNodes{t: t, port: ports[0], meant: meant, log: anvillogs.Discard()}
}

func nodeName(n int) anvilid.InstanceID { return anvilid.InstanceID(fmt.Sprintf("127.0.0.%d", 61+n)) }

// start starts a voter with an empty data directory. If it joins, it asks for membership.
func (n *testNodes) start(number int, joins bool) *testNode {
	return n.open(number, joins, number < 3)
}

// startEmptied starts a voter that has lost its disk after the first start of the group.
func (n *testNodes) startEmptied(number int) *testNode { return n.open(number, true, false) }

func (n *testNodes) open(number int, joins, firstStart bool) *testNode {
	return n.openDir(number, joins, firstStart, n.t.TempDir())
}

// restart starts a voter that was stopped again, with the data directory that it had.
func (n *testNodes) restart(node *testNode, number int) *testNode {
	return n.openDir(number, true, false, node.settings.Dir)
}

func (n *testNodes) openDir(number int, joins, firstStart bool, dir string) *testNode {
	seeds := []anvilid.InstanceID{nodeName(0), nodeName(1), nodeName(2)}
	hold := n.hold
	slow := anvilfault.BeforeEverySync(func() error {
		if hold != nil {
			hold()
		}
		time.Sleep(time.Duration(n.syncIn.Load()) * time.Millisecond)
		return nil
	})
	links := anvillink.New("r", func(anvilid.Address) anvilid.RegionName { return "r" })
	g, err := Open(Settings{
		Instance: nodeName(number), Port: n.port, Dir: dir, Disk: []anvildisk.Option{anvildisk.WithFiles(slow)},
		FirstStart: firstStart, Voters: n.meant, Seeds: func() []anvilid.InstanceID { return seeds }, ElectionTimeout: 350, Heartbeat: 80,
	}, anvilclock.Monotonic(), anvilclock.Wall(), links, n.log, anvilvoter.StateMachine{
		Apply: func(anvilraft.Entry) any { return nil }, Restore: func(anvilraft.Snapshot) error { return nil },
		Snapshot: func() ([]byte, error) { return nil, nil },
	})
	assert.NilError(n.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	node := &testNode{Group: g, t: n.t, cancel: cancel, ended: make(chan struct{})}
	mux := http.NewServeMux()
	raft, fleet := anvilrpc.NewRaftServer(g), anvilrpc.NewFleetServer(node)
	mux.Handle(raft.PathPrefix(), raft)
	mux.Handle(fleet.PathPrefix(), fleet)
	node.server = &http.Server{Addr: string(Address(nodeName(number), n.port)), Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = node.server.ListenAndServe() }() // ends when the node is stopped
	go func() { _ = g.ManageMembers(ctx) }()
	go func() { _ = g.LogView(ctx) }()
	if joins {
		go func() { _ = g.Join(ctx) }()
	}
	go func() {
		assert.Check(n.t, g.Voter.Run(ctx))
		close(node.ended)
	}()
	n.t.Cleanup(node.stop)
	return node
}

// startGroup starts a number of voters, and waits until all of them know that all have a vote.
func (n *testNodes) startGroup(count int) []*testNode {
	running := []*testNode{n.start(0, true), n.start(1, true), n.start(2, true)}
	for number := 3; number < count; number++ {
		joining := n.start(number, true)
		eventually(n.t, "the voter has a vote", 10*time.Second, func() bool { return joining.hasVote(number + 1) })
		running = append(running, joining)
	}
	for _, node := range running {
		eventually(n.t, "the members are committed", 10*time.Second, func() bool {
			status := node.Voter.Status()
			return node.hasVote(count) && status.Commit == status.Last
		})
	}
	return running
}

// hasVote reports whether a node is one of a number of voters.
func (n *testNode) hasVote(voters int) bool {
	members := n.Voter.Status().Members
	return members.IsVoter(n.ID()) && len(members.Voters) == voters
}

func (n *testNode) stop() {
	n.cancel()
	_ = n.server.Close() // it may be closed already
	<-n.ended
}

// Join lets the node enroll and remove voters as the leader does.
func (n *testNode) Join(ctx context.Context, call *anvilrpc.JoinCall) (*anvilrpc.JoinReply, error) {
	id := anvilraft.VoterID{Instance: anvilid.InstanceID(call.Instance), Storage: anvilraft.StorageID(call.Storage)}
	if call.Leave {
		return &anvilrpc.JoinReply{Done: n.Release(ctx, id) == nil}, nil
	}
	if err := n.Enroll(ctx, id); err != nil {
		return nil, RefuseJoin(err)
	}
	return &anvilrpc.JoinReply{Done: true}, nil
}

// Locate tells who leads.
func (n *testNode) Locate(context.Context, *anvilrpc.LocateCall) (*anvilrpc.LocateReply, error) {
	status := n.Voter.Status()
	return &anvilrpc.LocateReply{Leading: status.HasQuorum, Redirection: &anvilrpc.Redirection{Leader: string(status.Leader.Instance)}}, nil
}

// leaderOf waits until one of the nodes leads, and returns it.
func leaderOf(t *testing.T, nodes ...*testNode) (found *testNode) {
	t.Helper()
	eventually(t, "a leader", 30*time.Second, func() bool {
		for _, n := range nodes {
			if n.Voter.Status().HasQuorum {
				found = n
			}
		}
		return found != nil
	})
	return found
}

func eventually(t *testing.T, what string, limit time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached: " + what)
		}
	}
}
