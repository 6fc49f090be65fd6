// Package anvilgroup manages the membership of the group of voters, which replicate
// the log, without a fixed list of members. At the first start of the system it
// creates (bootstraps) the group from the seeds, the voters that the settings name.
// Later it adds voters with new data directories and removes voters that were
// replaced.
//
// The id of an instance is its IP address. Other instances need nothing else to
// reach it, because the port is the same on all instances.
package anvilgroup

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/zeebo/xxh3"
	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvildisk"
	"anvilshunt/io/anvillink"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
	"anvilshunt/io/anvilvoter"
)

const (
	// sendTimeout bounds one delivery of messages to a voter. It is shorter
	// than an election timeout, so that a connection that no longer responds is
	// replaced before the followers start an election.
	sendTimeout = 350 * time.Millisecond
	// silentTimeout is how long a surplus voter (see surplusVoter) must have
	// sent nothing before it is removed. A process restarts well within this time.
	silentTimeout = 3 * anvilclock.Second
	// replacedTimeout is the same for a group with more voters than it was meant to
	// have. The others have probably replaced the silent one, and as long as it
	// counts, the group tolerates fewer further losses than it is meant to.
	replacedTimeout = 1500 * anvilclock.Millisecond
	// incompleteTimeout is the same for a group with fewer voters than it was meant to have. The silent voter may still
	// have its disk, and the group needs its vote after the loss of others. It is removed only if nobody joins.
	incompleteTimeout = 30 * anvilclock.Second
	// minLargeGroup is the smallest number of voters that is taken for more than the
	// group was meant to have. A smaller group would not bear two losses.
	minLargeGroup = 6
	// joinInterval is the delay between attempts to join the group, and between
	// checks for surplus voters.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one request to join the group. The leader goes on when it ends, and a later request finds
	// out whether there is another leader.
	joinTimeout = time.Second
	// locateTimeout bounds one question who leads. An instance that takes longer isn't a leader that could enroll a
	// voter in time.
	locateTimeout = 500 * time.Millisecond
	// maxLocated bounds the instances that are asked at the same time who leads.
	maxLocated = 32
)

// Settings are the settings of one voter.
type Settings struct {
	Instance anvilid.InstanceID
	Port     int // for calls between instances, the same on all of them
	Dir      string
	// Disk contains further options of the data directory.
	Disk []anvildisk.Option
	// FirstStart means that the whole system starts for the first time, so that
	// the seeds bootstrap the group.
	FirstStart bool
	// Voters is the number of voters that the group is meant to have at least, or 0 if that
	// isn't known.
	Voters int
	// Seeds returns the voters that the settings file names at present. The group
	// may have other voters too.
	Seeds func() []anvilid.InstanceID
	// ElectionTimeout is the shortest election timeout, and Heartbeat is the
	// interval of the leader's heartbeats.
	ElectionTimeout, Heartbeat anvilclock.Millis
}

// Group connects the local voter with the other voters of its group.
type Group struct {
	settings Settings
	clock    anvilclock.Clock
	links    *anvillink.Links
	log      *anvillogs.Logger
	id       anvilraft.VoterID
	Voter    *anvilvoter.Voter

	mu        sync.Mutex
	lastHeard map[anvilid.InstanceID]anvilclock.Millis
	// lastReached is when the process of each instance last answered a delivery.
	lastReached map[anvilid.InstanceID]anvilclock.Millis
	// report is the latest report of this leader, or nil. inherited is the report of the last leader.
	report    *silenceReport
	inherited silenceReport
	// term is the term in which this voter was last seen.
	term anvilid.Term
	// leadingSince is when this voter was first seen as the leader of its term, or -1.
	leadingSince anvilclock.Millis
	// joiningSince is when this leader was first asked to add each voter that isn't one yet.
	joiningSince map[anvilraft.VoterID]anvilclock.Millis
	// introduced are those of them that were asked for their storage; the value is true if it was found to be the present
	// one of the instance.
	introduced map[anvilraft.VoterID]bool
	// replaced are voters whose instance has shown another storage to introduce or isPresent, and that storage.
	replaced map[anvilraft.VoterID]anvilraft.VoterID
	// enrollments are the steps of the voters that join which trackEnrollments has seen.
	enrollments map[anvilraft.VoterID]*enrollment
	// joinErrors is why the last change for each of them was not made.
	joinErrors map[anvilraft.VoterID]error
	// changing are the voters of changes for voters that join which aren't known to be committed yet.
	changing map[anvilraft.VoterID]bool
	// releases are the voters that have asked this leader to remove them.
	releases map[anvilraft.VoterID]bool
	// requested has a value when ManageMembers has a voter to add or remove.
	requested chan struct{}
	peers     map[anvilid.InstanceID]anvilrpc.Raft
	// leaving means that the process ends, so that Join asks no more.
	leaving atomic.Bool

	joinLog joinLog // used only by Join
	// successors are the storages that Join has found in place of lost ones, and when, until this voter leads.
	successors map[anvilraft.VoterID]anvilclock.Millis
	// lostStorages are the voters whose storage Join has found to be lost, and the one that their instance has shown last.
	lostStorages map[anvilraft.VoterID]anvilraft.VoterID
}

// Address returns the network address of a port of an instance. The id of an
// instance is its IP address.
func Address(instance anvilid.InstanceID, port int) anvilid.Address {
	return anvilid.Address(net.JoinHostPort(string(instance), strconv.Itoa(port)))
}

// Open reads or creates the data directory of a voter. A damaged directory is
// removed. The instance then joins the group as a new voter, as after the loss of
// its disk.
func Open(settings Settings, clock, wall anvilclock.Clock, links *anvillink.Links, log *anvillogs.Logger, machine anvilvoter.StateMachine) (*Group, error) {
	g := newGroup(settings, clock, links, log)
	storage, restored, err := g.openStorage()
	if err != nil {
		return nil, eris.Wrap(err, "open the data directory")
	}
	g.id = anvilraft.VoterID{Instance: settings.Instance, Storage: restored.Storage}
	if restored.IsEmpty() && g.isFounder() {
		save := g.bootstrap()
		if err := storage.Save(save); err != nil {
			return nil, errors.Join(eris.Wrap(err, "bootstrap the voter group"), storage.Close())
		}
		restored.Apply(save)
	}
	g.Voter = anvilvoter.New(settings.Instance,
		anvilvoter.WithStorage(storage, restored), anvilvoter.WithClocks(clock, wall),
		anvilvoter.WithTick(tickInterval), anvilvoter.WithCompactAfter(compactAfter),
		anvilvoter.WithNode(
			anvilraft.WithElectionTimeout(settings.ElectionTimeout, 2*settings.ElectionTimeout),
			anvilraft.WithHeartbeat(settings.Heartbeat),
			anvilraft.WithLostStorages(),
			anvilraft.WithSeed(uint64(wall.Now()))),
		anvilvoter.WithLog(log, settings.ElectionTimeout),
		anvilvoter.WithStateMachine(machine), anvilvoter.WithSend(g.send))
	return g, nil
}

// newGroup returns a group without a data directory and a voter.
func newGroup(settings Settings, clock anvilclock.Clock, links *anvillink.Links, log *anvillogs.Logger) *Group {
	return &Group{
		settings: settings, clock: clock, links: links, log: log, leadingSince: -1, requested: make(chan struct{}, 1),
		lastHeard: map[anvilid.InstanceID]anvilclock.Millis{}, lastReached: map[anvilid.InstanceID]anvilclock.Millis{},
		joiningSince: map[anvilraft.VoterID]anvilclock.Millis{}, introduced: map[anvilraft.VoterID]bool{},
		replaced: map[anvilraft.VoterID]anvilraft.VoterID{}, joinErrors: map[anvilraft.VoterID]error{}, enrollments: map[anvilraft.VoterID]*enrollment{},
		changing: map[anvilraft.VoterID]bool{}, releases: map[anvilraft.VoterID]bool{},
		peers: map[anvilid.InstanceID]anvilrpc.Raft{}, lostStorages: map[anvilraft.VoterID]anvilraft.VoterID{},
		successors: map[anvilraft.VoterID]anvilclock.Millis{},
	}
}

// openStorage opens the data directory. A damaged one is cleared, and the instance is no longer taken for a founder then.
func (g *Group) openStorage() (*anvildisk.Storage, anvildisk.Restored, error) {
	storage, restored, err := anvildisk.Open(g.settings.Dir, g.diskOptions()...)
	if !errors.Is(err, anvildisk.ErrDamaged) {
		return storage, restored, err
	}
	g.log.Write(anvillogs.DataDirectoryCorrupt, zap.Error(err))
	if err := anvildisk.Clear(g.settings.Dir, g.settings.Disk...); err != nil {
		return nil, anvildisk.Restored{}, eris.Wrap(err, "clear the damaged data directory")
	}
	g.settings.FirstStart = false
	return anvildisk.Open(g.settings.Dir, g.diskOptions()...)
}

const (
	// tickInterval is the resolution of the voter's timeouts. A shorter interval
	// would wake up the process more often.
	tickInterval = 25 * anvilclock.Millisecond
	// compactAfter is the number of log entries after which the log is
	// compacted. It bounds the number of entries that a restart reads.
	compactAfter = 4000
)

func (g *Group) diskOptions() []anvildisk.Option {
	options := []anvildisk.Option{anvildisk.WithDeferredCreation()}
	if g.isFounder() {
		options = append(options, anvildisk.WithNewID(founderStorageID(g.firstSeeds())))
	}
	return append(options, g.settings.Disk...)
}

// isFounder reports whether this instance is one of the founding voters, which
// bootstrap the group.
func (g *Group) isFounder() bool {
	return g.settings.FirstStart && slices.Contains(g.firstSeeds(), g.settings.Instance)
}

func (g *Group) firstSeeds() []anvilid.InstanceID {
	return slices.Sorted(slices.Values(g.settings.Seeds()))
}

// founderStorageID returns the storage id (the id of a data directory) that all
// founding voters use at the first start. It is derived from the seeds, so that
// each founding voter knows the ids of the others.
func founderStorageID(seeds []anvilid.InstanceID) anvilraft.StorageID {
	return anvilraft.StorageID("founder-" + strconv.FormatUint(seedsHash(seeds), 16))
}

func seedsHash(seeds []anvilid.InstanceID) uint64 {
	hash := xxh3.New()
	for _, seed := range seeds {
		_, _ = hash.WriteString(string(seed) + "\n") // never fails
	}
	return hash.Sum64()
}

// bootstrap returns the first log entry of a new group, which names the founding
// voters. All founding voters write the same entry.
func (g *Group) bootstrap() anvilraft.Save {
	seeds := g.firstSeeds()
	var voters []anvilraft.VoterID
	for _, seed := range seeds {
		voters = append(voters, anvilraft.VoterID{Instance: seed, Storage: founderStorageID(seeds)})
	}
	g.log.Write(anvillogs.GroupCreated)
	return anvilraft.Bootstrap(anvilraft.GroupID(seedsHash(seeds)|1), voters...) // a group id is never zero
}

// ID returns the voter's id.
func (g *Group) ID() anvilraft.VoterID { return g.id }

// Deliver passes messages of another voter to the local voter.
func (g *Group) Deliver(_ context.Context, request *anvilrpc.DeliverRequest) (*anvilrpc.DeliverReply, error) {
	g.mu.Lock()
	g.lastHeard[anvilid.InstanceID(request.From)] = g.clock.Now()
	g.receiveReport(request)
	g.mu.Unlock()
	g.Voter.Deliver(request.Messages)
	return &anvilrpc.DeliverReply{}, nil
}

// Introduce returns the id of this voter and whether it belongs to a group.
func (g *Group) Introduce(context.Context, *anvilrpc.IntroduceRequest) (*anvilrpc.IntroduceReply, error) {
	return &anvilrpc.IntroduceReply{
		Instance: string(g.id.Instance), Storage: string(g.id.Storage), Grouped: g.Voter.Status().Term > 0,
	}, nil
}

func (g *Group) send(ctx context.Context, to anvilraft.VoterID, messages [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	request := &anvilrpc.DeliverRequest{From: string(g.id.Instance), Messages: messages}
	g.addReport(request)
	_, err := g.peer(to.Instance).Deliver(ctx, request)
	if err == nil {
		g.noteReached(to.Instance)
	}
	return err
}

func (g *Group) peer(instance anvilid.InstanceID) anvilrpc.Raft {
	g.mu.Lock()
	defer g.mu.Unlock()
	peer := g.peers[instance]
	if peer == nil {
		peer = g.links.RaftAt(Address(instance, g.settings.Port))
		g.peers[instance] = peer
	}
	return peer
}

// Members returns the instances of all voters of the group that this voter knows.
func (g *Group) Members() []anvilid.InstanceID {
	var members []anvilid.InstanceID
	for _, voter := range g.Voter.Status().Members.Voters {
		members = append(members, voter.Instance)
	}
	return members
}

// Reached returns the other voters that this leader has had a sign of within the given time.
func (g *Group) Reached(within anvilclock.Millis) []anvilid.InstanceID {
	members := g.Members()
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(members, func(instance anvilid.InstanceID) bool {
		return instance == g.id.Instance || g.unreachableFor(instance) > within
	})
}

// Join requests membership in the group whenever this voter has no vote or knows no
// leader, until ctx is done. A voter that was removed while it was down gets no
// messages from the leader, so it knows no leader and joins again in this way.
func (g *Group) Join(ctx context.Context) error {
	select {
	case <-g.Voter.Ready():
	case <-ctx.Done():
		return nil
	}
	for ctx.Err() == nil {
		status := g.Voter.Status()
		if !g.leaving.Load() && (!status.Members.IsVoter(g.id) || status.Leader.IsZero()) {
			g.askStorages(ctx, g.Voter.Electors())
			g.requestMembership(ctx)
		} else {
			g.joinLog.succeeded()
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinInterval):
		}
	}
	return nil
}

// requestMembership finds the leader and asks it for membership.
func (g *Group) requestMembership(ctx context.Context) {
	round := &joinRound{}
	g.joinLog.begin(g.clock.Now())
	if leader := g.locateLeader(ctx, round); leader != "" {
		reply, err := g.requestMembershipFrom(ctx, leader)
		if reply.GetDone() {
			g.joinLog.succeeded()
			return
		}
		round.add(leader, reply.GetRedirection(), err)
	}
	g.logJoin(round)
}

// senders returns the instances that have sent this one messages.
func (g *Group) senders() []anvilid.InstanceID {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Sorted(maps.Keys(g.lastHeard))
}

func (g *Group) requestMembershipFrom(ctx context.Context, instance anvilid.InstanceID) (*anvilrpc.JoinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return g.callJoin(ctx, instance, false)
}

// callJoin asks an instance to add this voter to the group, or to remove it if it leaves.
func (g *Group) callJoin(ctx context.Context, instance anvilid.InstanceID, leaves bool) (*anvilrpc.JoinReply, error) {
	fleet := g.links.FleetAt(Address(instance, g.settings.Port))
	return fleet.Join(ctx, &anvilrpc.JoinCall{Instance: string(g.id.Instance), Storage: string(g.id.Storage), Leave: leaves})
}
