package anvilraft

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Node is one member of the group.
type Node struct {
	self    VoterID
	options options
	random  *rand.Rand

	now     anvilclock.Millis
	started bool

	hardState HardState
	log       entryLog
	snapshot  Snapshot
	members   membership
	commit    anvilid.Index

	role   Role
	leader VoterID
	// leaderContactAt is when this node last received a message from a leader of its term.
	leaderContactAt anvilclock.Millis
	// electionDeadline is when the election timeout expires.
	electionDeadline anvilclock.Millis
	// electionTimerSetAt is when electionDeadline was set, and electionExtension how far late
	// ticks have moved it since.
	electionTimerSetAt, electionExtension anvilclock.Millis
	// campaignTerm is the term in which this node is or was a candidate, or 0 if it has known a
	// leader or another term since. grantedVotes are the votes for that campaign.
	campaignTerm    anvilid.Term
	grantedVotes    []votingMember
	grantedPreVotes []votingMember
	// campaignStartedAt is when that campaign began.
	campaignStartedAt anvilclock.Millis
	// votesRequestedAt is when the votes of that campaign were last asked for.
	votesRequestedAt anvilclock.Millis
	// campaignsSinceLeader counts the campaigns of this node since it last knew a leader.
	campaignsSinceLeader int
	// deferredForTerm is the highest term for whose candidate this node has put off its own
	// campaign since it last heard from a leader.
	deferredForTerm anvilid.Term

	lost      lostStorages
	follower  followerState
	incoming  *incomingTransfer
	leading   leaderState
	persisted persistence
	effects   Effects
}

// New returns a node that continues from the restored state. It panics if restored.Check
// fails, because a voter with a damaged log must not take part in the group.
func New(id anvilid.InstanceID, restored PersistentState, opts ...Option) *Node {
	if err := restored.Check(); err != nil {
		panic(err)
	}
	settings := defaultOptions()
	for _, opt := range opts {
		opt(&settings)
	}
	n := &Node{
		self:      VoterID{Instance: id, Storage: restored.Storage},
		options:   settings,
		hardState: restored.Hard,
		log:       newEntryLog(restored),
		snapshot:  restored.Snapshot,
		commit:    restored.Snapshot.Index,
		lost:      lostStorages{},
	}
	hash := fnv.New64a()
	hash.Write([]byte(n.self.String()))
	n.random = rand.New(rand.NewPCG(settings.seed, hash.Sum64()))
	n.members = newMembership(restored.Snapshot, n.log.entries)
	n.persisted.stableIndex = n.log.last()
	n.follower.verified = n.commit
	return n
}

// Step advances the node by one event at the given time. If now is before the time of the
// previous step, that time is used instead.
func (n *Node) Step(now anvilclock.Millis, event Event) Effects {
	n.setTime(now)
	switch event := event.(type) {
	case Tick:
		n.tick(event.Late)
	case Receive:
		n.receive(event.Message)
	case Propose:
		n.propose(event)
	case Persisted:
		n.handlePersisted(event.Sequence)
	case Compact:
		n.compact(event)
	case ChangeVoters:
		n.changeVoters(event)
	case SendLog:
		n.sendLog(event)
	case StorageLost:
		n.noteLostStorage(event)
	case ReadBarrier:
		n.readBarrier(event.Key)
	}
	return n.takeEffects()
}

func (n *Node) setTime(now anvilclock.Millis) {
	if n.started {
		n.now = max(n.now, now)
		return
	}
	// A restarted voter does not know when it last heard from a leader, and assumes that it was
	// just now. Otherwise its vote could elect a second leader while the first one still counts
	// this voter in its quorum.
	n.started = true
	n.now, n.leaderContactAt = now, now
	n.resetElectionTimeout()
}

func (n *Node) tick(late anvilclock.Millis) {
	n.storeCommittedMembers()
	if n.role == Leader {
		n.checkQuorum(late)
		if n.role == Leader {
			n.releaseDueCommands()
			n.sendDueHeartbeats()
		}
		return
	}
	n.extendElectionTimeout(late)
	n.repeatVoteRequests()
	n.forgetSilentLeader()
	// A node whose disk has not yet synced the latest hard state does not campaign: another
	// election would only add writes for the slow disk.
	if n.now >= n.electionDeadline && !n.persisted.hardStateUnsynced() && n.members.latest().IsVoter(n.self) {
		n.preCampaign()
	}
}

// forgetSilentLeader lets a node without a vote, which never campaigns, no longer name a leader that it hears nothing of.
func (n *Node) forgetSilentLeader() {
	if n.now >= n.electionDeadline && !n.members.latest().IsVoter(n.self) {
		n.leader = VoterID{}
	}
}

// receive performs the checks of group, sender and term, and passes m to the handler for its
// type.
func (n *Node) receive(m Message) {
	if m.To != n.self || m.From == n.self || !n.acceptGroup(m) {
		return
	}
	switch m.Type {
	case MessagePreVote, MessageVote:
		n.receiveVoteRequest(m)
		return
	case MessageAppend, MessageSnapshot, MessageEntryPart: // of a leader
	default:
		// A response of a node that is no longer a member must not raise the term.
		if !n.expectsResponseFrom(m.From) {
			return
		}
		if m.Type == MessagePreVoteResponse && !m.Reject {
			// A granted pre-vote carries the term that the candidate would enter, not the voter's
			// own term.
			n.receivePreVoteGrant(m)
			return
		}
	}
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, VoterID{})
	}
	if m.Term < n.hardState.Term {
		n.rejectStaleLeader(m)
		return
	}
	switch m.Type {
	case MessagePreVoteResponse, MessageVoteResponse:
		n.receiveVoteResponse(m)
	case MessageAppend:
		n.receiveAppend(m)
	case MessageAppendResponse:
		n.receiveAppendResponse(m)
	case MessageSnapshot:
		n.receiveSnapshot(m)
	case MessageEntryPart:
		n.receiveEntryPart(m)
	case MessageSnapshotResponse, MessageEntryPartResponse:
		n.receivePartResponse(m)
	}
}

// acceptGroup reports whether m belongs to the group of this node. A node with an empty disk joins the group of the first leader that
// sends to it, or of the first candidate: a successor can be named and needed for an election before it gets anything from a leader.
func (n *Node) acceptGroup(m Message) bool {
	isRequest := m.fromLeader() || m.Type == MessagePreVote || m.Type == MessageVote
	if n.hardState.Group == 0 && m.Group != 0 && isRequest {
		n.hardState.Group = m.Group
		n.scheduleHardStateSave()
	}
	return m.Group == n.hardState.Group && m.Group != 0
}

func (n *Node) expectsResponseFrom(id VoterID) bool {
	return n.members.latest().Contains(id) || slices.Contains(n.Electors(), id) || n.peer(id) != nil
}

// rejectStaleLeader tells the leader of an earlier term about the current term, so that it
// steps down. If the term of this node is ahead of the group's, this also lets it rejoin: the
// leader adopts the higher term, and the next election takes place in a term that this node
// accepts.
func (n *Node) rejectStaleLeader(m Message) {
	if m.fromLeader() {
		n.send(Message{Type: MessageAppendResponse, To: m.From, Reject: true})
	}
}

// becomeFollower makes this node a follower in the current term, or in a higher one if term
// is higher. leader is the zero value if unknown.
func (n *Node) becomeFollower(term anvilid.Term, leader VoterID) {
	if term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = term, VoterID{}
		n.scheduleHardStateSave()
		n.follower = followerState{verified: n.commit}
		n.incoming = nil
	}
	if n.role == Leader {
		n.stopLeading()
		n.resetElectionTimeout()
	}
	n.role, n.leader = Follower, leader
	n.campaignTerm, n.grantedVotes, n.grantedPreVotes = 0, nil, nil
}

// reject adds the Rejection of the event with this key to the effects.
func (n *Node) reject(key uint64, reason error) {
	n.effects.Rejected = append(n.effects.Rejected, Rejection{Key: key, Reason: reason, Leader: n.leader})
}

// Status is the state of a node as shown to operators.
type Status struct {
	ID     VoterID
	Role   Role
	Term   anvilid.Term
	Leader VoterID
	Commit anvilid.Index
	// Base is the index after which the log in memory begins, and Last that of its last entry.
	Base, Last anvilid.Index
	// Members are those of the latest change, which MembersAt is the index of, and Committed those of the latest change that is
	// known to be committed.
	Members, Committed Members
	MembersAt          anvilid.Index
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	return Status{
		ID: n.self, Role: n.role, Term: n.hardState.Term, Leader: n.leader,
		Commit: n.commit, Base: n.log.base, Last: n.log.last(),
		Members: n.members.latest(), Committed: n.CommittedMembers(), MembersAt: n.members.lastChangeIndex(),
	}
}
