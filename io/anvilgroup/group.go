// Package anvilgroup forms and keeps the group of voters when nobody has a
// list of them: it founds the group from the seeds of the first start, gives
// votes to new data directories, and removes voters that were replaced.
//
// An instance is named by its IP address, because this is all that the others
// need to reach it: the port is the same on all instances.
package anvilgroup

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
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
	// sendTimeout bounds one delivery to a voter. It is shorter than an
	// election timeout, so that a connection that went silent is replaced
	// before the voters miss their leader.
	sendTimeout = 350 * time.Millisecond
	// silentAfter is how long a superfluous voter must be silent before it is
	// removed. A process restarts well within it.
	silentAfter = 3 * anvilclock.Second
	// joinInterval is the pause between requests for a vote.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds one request for a vote.
	joinTimeout = 2 * time.Second
)

// Settings describe one voter.
type Settings struct {
	Instance anvilid.InstanceID
	Port     int // of all instances, for calls between them
	Dir      string
	// Disk has further options of the data directory.
	Disk []anvildisk.Option
	// FirstStart tells that the whole system starts for the first time.
	FirstStart bool
	// Seeds returns some instances with a vote, as the settings name them now.
	Seeds func() []anvilid.InstanceID
	// ElectionTimeout is the shortest election timeout, Heartbeat the leader's interval.
	ElectionTimeout, Heartbeat anvilclock.Millis
}

// Group is one voter's view of the group.
type Group struct {
	settings Settings
	clock    anvilclock.Clock
	links    *anvillink.Links
	log      *anvillogs.Logger
	id       anvilraft.VoterID
	Voter    *anvilvoter.Voter

	mu    sync.Mutex
	heard map[anvilid.InstanceID]anvilclock.Millis
	peers map[anvilid.InstanceID]anvilrpc.Raft
}

// Address returns the address for calls to an instance.
func Address(instance anvilid.InstanceID, port int) anvilid.Address {
	return anvilid.Address(net.JoinHostPort(string(instance), strconv.Itoa(port)))
}

// Open reads or creates the data directory. A damaged directory is emptied:
// its vote is lost, and it gets a new one like a lost disk.
func Open(settings Settings, clock, wall anvilclock.Clock, links *anvillink.Links, log *anvillogs.Logger, machine anvilvoter.StateMachine) (*Group, error) {
	g := &Group{
		settings: settings, clock: clock, links: links, log: log,
		heard: map[anvilid.InstanceID]anvilclock.Millis{}, peers: map[anvilid.InstanceID]anvilrpc.Raft{},
	}
	id, empty, err := anvilvoter.Inspect(settings.Instance, settings.Dir, g.diskOptions()...)
	if errors.Is(err, anvildisk.ErrDamaged) {
		log.Write(anvillogs.DirectoryDamaged, zap.Error(err))
		if err := os.RemoveAll(settings.Dir); err != nil {
			return nil, eris.Wrap(err, "empty the damaged data directory")
		}
		settings.FirstStart = false
		g.settings.FirstStart = false
		id, empty, err = anvilvoter.Inspect(settings.Instance, settings.Dir, settings.Disk...)
	}
	if err != nil {
		return nil, eris.Wrap(err, "open the data directory")
	}
	g.id = id
	if empty && g.founder() {
		if err := g.found(); err != nil {
			return nil, eris.Wrap(err, "found the group")
		}
	}
	g.Voter = anvilvoter.New(settings.Instance,
		anvilvoter.WithDir(settings.Dir, settings.Disk...), anvilvoter.WithClocks(clock, wall),
		anvilvoter.WithTick(tick), anvilvoter.WithCompactAfter(compactAfter),
		anvilvoter.WithNode(
			anvilraft.WithElectionTimeout(settings.ElectionTimeout, 2*settings.ElectionTimeout),
			anvilraft.WithHeartbeat(settings.Heartbeat),
			anvilraft.WithSeed(uint64(wall.Now()))),
		anvilvoter.WithLog(log, settings.ElectionTimeout),
		anvilvoter.WithStateMachine(machine), anvilvoter.WithSend(g.send))
	return g, nil
}

const (
	// tick is the resolution of the voter's timeouts; each one costs a wake-up.
	tick = 25 * anvilclock.Millisecond
	// compactAfter bounds the log that a restart reads.
	compactAfter = 4000
)

func (g *Group) diskOptions() []anvildisk.Option {
	if !g.founder() {
		return g.settings.Disk
	}
	return append([]anvildisk.Option{anvildisk.WithNewID(founderID(g.firstSeeds()))}, g.settings.Disk...)
}

// founder tells whether this instance is one of those that found the group.
func (g *Group) founder() bool {
	return g.settings.FirstStart && slices.Contains(g.firstSeeds(), g.settings.Instance)
}

func (g *Group) firstSeeds() []anvilid.InstanceID {
	return slices.Sorted(slices.Values(g.settings.Seeds()))
}

// founderID is the storage id of the founders' first directories. It follows
// from the seeds, so that each founder knows those of the others.
func founderID(seeds []anvilid.InstanceID) anvilraft.StorageID {
	return anvilraft.StorageID("founder-" + strconv.FormatUint(digest(seeds), 16))
}

func digest(seeds []anvilid.InstanceID) uint64 {
	hash := xxh3.New()
	for _, seed := range seeds {
		_, _ = hash.WriteString(string(seed) + "\n") // never fails
	}
	return hash.Sum64()
}

// found writes the first entry of a new group. All founders write the same.
func (g *Group) found() error {
	seeds := g.firstSeeds()
	var voters []anvilraft.VoterID
	for _, seed := range seeds {
		voters = append(voters, anvilraft.VoterID{Instance: seed, Storage: founderID(seeds)})
	}
	g.log.Write(anvillogs.GroupFounded)
	save := anvilraft.Bootstrap(anvilraft.GroupID(digest(seeds)|1), voters...) // a group id is never zero
	return anvilvoter.WriteBootstrap(g.settings.Dir, save, g.settings.Disk...)
}

// ID returns the voter's id.
func (g *Group) ID() anvilraft.VoterID { return g.id }

// Deliver takes messages of another voter.
func (g *Group) Deliver(_ context.Context, request *anvilrpc.DeliverRequest) (*anvilrpc.DeliverReply, error) {
	g.mu.Lock()
	g.heard[anvilid.InstanceID(request.From)] = g.clock.Now()
	g.mu.Unlock()
	g.Voter.Deliver(request.Messages)
	return &anvilrpc.DeliverReply{}, nil
}

// Introduce tells whether this voter belongs to a group.
func (g *Group) Introduce(context.Context, *anvilrpc.IntroduceRequest) (*anvilrpc.IntroduceReply, error) {
	return &anvilrpc.IntroduceReply{
		Instance: string(g.id.Instance), Storage: string(g.id.Storage), Grouped: g.Voter.Status().Term > 0,
	}, nil
}

func (g *Group) send(ctx context.Context, to anvilraft.VoterID, messages [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := g.peer(to.Instance).Deliver(ctx, &anvilrpc.DeliverRequest{
		From: string(g.id.Instance), Messages: messages,
	})
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

// Members returns the instances with a vote, as far as this voter knows.
func (g *Group) Members() []anvilid.InstanceID {
	var members []anvilid.InstanceID
	for _, voter := range g.Voter.Status().Members.Voters {
		members = append(members, voter.Instance)
	}
	return members
}

// Join asks for a vote whenever this voter has none or hears no leader. A
// voter that was removed while it was away learns of it this way.
func (g *Group) Join(ctx context.Context) error {
	select {
	case <-g.Voter.Ready():
	case <-ctx.Done():
		return nil
	}
	for ctx.Err() == nil {
		status := g.Voter.Status()
		if !status.Members.IsVoter(g.id) || status.Leader.IsZero() {
			g.askAll(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinInterval):
		}
	}
	return nil
}

// askAll asks the known instances for a vote until one of them leads.
func (g *Group) askAll(ctx context.Context) {
	asked := map[anvilid.InstanceID]bool{g.settings.Instance: true}
	next := slices.Concat(g.settings.Seeds(), g.Members())
	for len(next) > 0 && ctx.Err() == nil {
		instance := next[0]
		next = next[1:]
		if asked[instance] {
			continue
		}
		asked[instance] = true
		reply, err := g.ask(ctx, instance)
		switch {
		case err != nil:
			g.log.Write(anvillogs.EnrollFailed, zap.String("voter", string(instance)), zap.Error(err))
		case reply.Done:
			return
		case reply.Redirection != nil:
			for _, voter := range reply.Redirection.Voters {
				next = append(next, anvilid.InstanceID(voter))
			}
			if leader := reply.Redirection.Leader; leader != "" {
				next = append([]anvilid.InstanceID{anvilid.InstanceID(leader)}, next...)
			}
		}
	}
}

func (g *Group) ask(ctx context.Context, instance anvilid.InstanceID) (*anvilrpc.JoinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	fleet := g.links.FleetAt(Address(instance, g.settings.Port))
	return fleet.Join(ctx, &anvilrpc.JoinCall{Instance: string(g.id.Instance), Storage: string(g.id.Storage)})
}

// Enroll gives a data directory a vote. Only the leader can.
func (g *Group) Enroll(ctx context.Context, id anvilraft.VoterID) error {
	err := g.Voter.Enroll(ctx, id, func(change anvilraft.ChangeVoters) {
		g.log.Write(anvillogs.MembersChanged, zap.String("learn", change.AddLearner.String()),
			zap.String("add", change.AddVoter.String()), zap.String("remove", change.Remove.String()))
	})
	return err
}

// RemoveSilentVoters removes superfluous voters while this voter leads. With an even number
// of voters one of them makes the group no safer; if one has been silent, it
// is the one whose machine was replaced, or it joins again when it returns.
func (g *Group) RemoveSilentVoters(ctx context.Context) error {
	led := anvilclock.Millis(-1) // when this voter was first seen leading
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(joinInterval):
		}
		status := g.Voter.Status()
		if status.Role != anvilraft.Leader || !status.HasQuorum {
			led = -1
			continue
		}
		if led < 0 {
			led = g.clock.Now()
		}
		if silent, ok := g.superfluous(status.Members, led); ok {
			g.remove(ctx, silent)
		}
	}
	return nil
}

// superfluous finds the voter that has been silent longest, if the number of
// voters is even.
func (g *Group) superfluous(members anvilraft.Members, led anvilclock.Millis) (anvilraft.VoterID, bool) {
	if len(members.Voters) < 4 || len(members.Voters)%2 == 1 {
		return anvilraft.VoterID{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var silent anvilraft.VoterID
	oldest := g.clock.Now() - silentAfter
	for _, voter := range members.Voters {
		heard := max(g.heard[voter.Instance], led)
		if voter != g.id && heard <= oldest {
			silent, oldest = voter, heard
		}
	}
	return silent, !silent.IsZero()
}

func (g *Group) remove(ctx context.Context, silent anvilraft.VoterID) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	err := g.Voter.ChangeVoters(ctx, anvilraft.ChangeVoters{Remove: silent})
	g.log.Write(anvillogs.MembersChanged, zap.String("remove", silent.String()), zap.Error(err))
}
