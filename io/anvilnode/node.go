// Package anvilnode runs an instance of the replicated scheduler in one of its two roles: an entry instance, which
// accepts the callers' calls and forwards them to the leader, or a voter, which stores the replicated log and, as the
// leader, schedules. What the platform speaks is passed in as HTTP handlers and as functions that make calls.
package anvilnode

import (
	"context"
	"io"
	"net/http"
	"path/filepath"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilbudget"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilorder"
	"anvilshunt/io/anvilconn"
	"anvilshunt/io/anvildaemon"
	"anvilshunt/io/anvildisk"
	"anvilshunt/io/anvilgate"
	"anvilshunt/io/anvilgroup"
	"anvilshunt/io/anvillead"
	"anvilshunt/io/anvillink"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrelay"
	"anvilshunt/io/anvilrpc"
)

const (
	// electionTimeout is the minimum election timeout of the voters. It tolerates delays
	// from a busy processor and a disk sync, and is short enough that a failed leader is
	// replaced within a second.
	electionTimeout = 350 * anvilclock.Millisecond
	// heartbeatInterval is the interval of the leader's heartbeats.
	heartbeatInterval = 80 * anvilclock.Millisecond
	// pollWait is how long a target delays its answer to a poll (a call that lists its
	// runs) if no run ends in that time. Every answer also contains the progress of the
	// runs, from which slow targets are detected.
	pollWait = anvilclock.Second
	// grantedLease limits the lease of the runs on a target, however long a lease the platform allows. What ran on a
	// target that has died is placed again with the end of its lease, and a new leader waits for a whole lease of its
	// predecessor, so that with a longer lease a job would have no run for longer than its
	// caller has to bear.
	grantedLease = 6 * anvilclock.Second
	// orderRetryInterval is the pause before an unanswered order is sent again.
	orderRetryInterval = 200 * anvilclock.Millisecond
	// drainDuration is how long an entry instance still accepts requests after it
	// was told to stop: the platform needs two readiness checks to notice it.
	drainDuration = 3 * time.Second
	// softMemoryLimitFraction is the fraction of the memory limit in the settings that is
	// set as Go's soft memory limit, near which the garbage collector runs more often.
	softMemoryLimitFraction = 0.6
)

// Node is a running instance.
type Node struct {
	*anvildaemon.Daemon
	// Clock counts from the boot of the machine, and WallClock shows the time of day.
	Clock, WallClock anvilclock.Clock
	// Connections limits the connections of the process by purpose.
	Connections anvilconn.Budget
	// Disk contains options of the data directory. Tests use them to inject disk faults.
	Disk []anvildisk.Option
	// KeepApart lets a voter that leads keep queues apart that slow each other down.
	KeepApart bool

	settings atomic.Pointer[Settings]
	links    *anvillink.Links
}

// Clients describes the calls of the clients of an instance.
type Clients struct {
	// LargestBody is the size of the largest body that the handlers read.
	LargestBody anvilid.ByteCount
	// Account returns the name of the account of a call, or "" for a stranger.
	Account func(*http.Request) string
}

// limits returns what the clients may make the process hold. It fails if the memory limit leaves no room for one
// largest body.
func (c Clients) limits(settings Settings, connections anvilconn.Budget) (anvilbudget.Limits, error) {
	bytes, err := anvilbudget.BytesFor(settings.MemoryLimit, c.LargestBody)
	return anvilbudget.Limits{
		Connections: connections.Inbound + connections.Internal, Peers: connections.Internal, Bytes: bytes,
		PeerBytes: max(bytes, anvilbudget.LargestCall),
	}, err
}

// New returns an instance with the given settings, which writes its log to out. The function load reads the settings
// again when the process is told that they have changed. Only a change of the seeds takes effect without a restart.
func New(settings Settings, clients Clients, signals anvildaemon.Signals, out io.Writer, load func() (Settings, error)) (*Node, error) {
	n := &Node{Clock: anvilclock.Boot(), WallClock: anvilclock.Wall(), Connections: anvilconn.Divide(settings.DescriptorLimit)}
	n.settings.Store(&settings)
	n.links = anvillink.New(settings.Region, func(anvilid.Address) anvilid.RegionName { return settings.Region })
	limits, err := clients.limits(settings, n.Connections)
	if err != nil {
		return nil, err
	}
	n.Daemon, err = anvildaemon.New(settings.Instance, signals, out, func() error {
		reloaded, err := load()
		if err == nil {
			n.updateSeeds(reloaded.Seeds)
		}
		return err
	}, anvildaemon.WithGuard(limits, clients.Account))
	if err != nil {
		return nil, err
	}
	n.Log.Write(anvillogs.InstanceStarted, zap.Bool("first", settings.FirstStart))
	return n, nil
}

// LimitMemory sets Go's soft memory limit from the memory limit in the settings, if there is one.
func LimitMemory(settings Settings) {
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * softMemoryLimitFraction))
	}
}

// Settings returns the current settings.
func (n *Node) Settings() *Settings { return n.settings.Load() }

func (n *Node) updateSeeds(seeds []anvilid.InstanceID) {
	updated := *n.Settings()
	if !slices.Equal(updated.Seeds, seeds) {
		updated.Seeds = seeds
		n.settings.Store(&updated)
	}
}

func (n *Node) seeds() []anvilid.InstanceID { return n.Settings().Seeds }

// Dial returns a client for the calls of another instance.
func (n *Node) Dial(instance anvilid.InstanceID) anvilrpc.Fleet {
	return n.links.FleetAt(anvilgroup.Address(instance, n.Settings().InternalPort))
}

// listenInternal serves the calls from other instances. The argument raft is nil on instances that are not voters.
func (n *Node) listenInternal(fleet anvilrpc.Fleet, raft anvilrpc.Raft) error {
	mux := http.NewServeMux()
	calls := anvilrpc.NewFleetServer(fleet)
	mux.Handle(calls.PathPrefix(), calls)
	if raft != nil {
		messages := anvilrpc.NewRaftServer(raft)
		mux.Handle(messages.PathPrefix(), messages)
	}
	return n.ListenPeers(anvilgroup.Address(n.Settings().Instance, n.Settings().InternalPort), mux)
}

// EntryHandlers are the HTTP handlers of an entry instance.
type EntryHandlers struct {
	Callers   http.Handler
	Readiness http.Handler
}

// RunEntry runs an entry instance until it is told to stop. Its handlers forward calls with the given forwarder.
func (n *Node) RunEntry(handlers func(*anvilgate.Forwarder) EntryHandlers) error {
	settings := n.Settings()
	forwarder := anvilgate.New(n.Clock, n.Log, n.seeds, n.Dial, anvilgate.WithRelays(settings.Instance))
	served := handlers(forwarder)
	if err := n.listenInternal(anvilgate.NewRelay(forwarder), nil); err != nil {
		return err
	}
	if err := n.Listen(settings.CallerAddress, served.Callers); err != nil {
		return err
	}
	if err := n.Listen(settings.ReadinessAddress, served.Readiness); err != nil {
		return err
	}
	return n.Serve(drainDuration, settings.GracePeriod.Duration(), forwarder.Monitor)
}

// RunVoter runs a voter until it is told to stop. The handler for operators and targets forwards calls with the given
// forwarder and relay, and the leader makes the given calls.
func (n *Node) RunVoter(calls anvillead.OutboundCalls, control func(*anvilgate.Forwarder, *anvilrelay.Relay) http.Handler) error {
	settings := n.Settings()
	go n.watchCrashes(settings.DataDir) // a disk that hangs must not delay the start
	supervisor := anvillead.NewVoterSupervisor(n.Log)
	if err := n.listenInternal(supervisor, supervisor); err != nil {
		return err
	}
	dial := func(instance anvilid.InstanceID) anvilrpc.Fleet {
		if instance == settings.Instance {
			return supervisor
		}
		return n.Dial(instance)
	}
	knownVoters := func() []anvilid.InstanceID { return append(supervisor.Members(), n.seeds()...) }
	forwarder := anvilgate.New(n.Clock, n.Log, knownVoters, dial)
	relay := anvilrelay.New(n.Clock, n.Log, settings.Instance, forwarder.Leader, forwarder.Announce)
	if err := n.Listen(settings.ControlAddress, control(forwarder, relay)); err != nil {
		return err
	}
	n.BeforeShutdown(supervisor.Leave)
	return n.Serve(0, settings.GracePeriod.Duration(), relay.Run, func(ctx context.Context) error {
		return supervisor.Run(ctx, func() (*anvillead.Leader, error) { return n.openVoter(calls) })
	})
}

// openVoter opens the data directory and returns a voter that is not running yet.
func (n *Node) openVoter(calls anvillead.OutboundCalls) (*anvillead.Leader, error) {
	settings := n.Settings()
	leader := anvillead.New(n.Clock, n.WallClock, n.Log, calls, anvillead.Bounds{
		Orders: anvilorder.Timing{
			MaxLease: settings.MaxLease, GrantedLease: grantedLease, PollWait: pollWait, RetryInterval: orderRetryInterval,
			MaxAnnouncementAge: settings.maxAnnouncementAge(),
		},
		AnnounceInterval: settings.AnnounceInterval, UpkeepDuration: settings.UpkeepDuration,
		InitialVoters: 2*settings.MaxLostVoters + 1, Connections: n.Connections, KeepApart: n.KeepApart,
	})
	group, err := anvilgroup.Open(anvilgroup.Settings{
		Instance: settings.Instance, Port: settings.InternalPort, Dir: filepath.Join(settings.DataDir, "log"),
		Disk:       n.Disk,
		FirstStart: settings.FirstStart, Voters: 2*settings.MaxLostVoters + 1, Seeds: n.seeds, ElectionTimeout: electionTimeout, Heartbeat: heartbeatInterval,
	}, n.Clock, n.WallClock, n.links, n.Log, leader.StateMachine())
	if err != nil {
		return nil, err
	}
	leader.Attach(group)
	return leader, nil
}
