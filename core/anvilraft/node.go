package anvilraft

import (
	"hash/fnv"
	"math/rand/v2"

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

	hard     HardState
	log      entryLog
	snapshot Snapshot
	members  membership
	commit   anvilid.Index

	role   Role
	leader VoterID
	// heardAt is when this node last heard from a leader of its term.
	heardAt anvilclock.Millis
	// electionAt is when the election timeout expires.
	electionAt anvilclock.Millis
	ballots    []ballot
	// campaigns counts the campaigns since this node last knew a leader.
	campaigns int

	follower  followerState
	incoming  *incomingSnapshot
	leading   leaderState
	persisted persistence
	out       Effects
}

// New returns a node that continues from the restored state. It panics if
// restored.Check fails, because a voter with a damaged log must not take part.
func New(id anvilid.InstanceID, restored PersistentState, opts ...Option) *Node {
	if err := restored.Check(); err != nil {
		panic(err)
	}
	settings := defaults()
	for _, opt := range opts {
		opt(&settings)
	}
	n := &Node{
		self:     VoterID{Instance: id, Storage: restored.Storage},
		options:  settings,
		hard:     restored.Hard,
		log:      newEntryLog(restored),
		snapshot: restored.Snapshot,
		commit:   restored.Snapshot.Index,
	}
	hash := fnv.New64a()
	hash.Write([]byte(n.self.String()))
	n.random = rand.New(rand.NewPCG(settings.seed, hash.Sum64()))
	n.members = newMembership(restored.Snapshot, n.log.entries)
	n.persisted.stable = n.log.last()
	n.follower.verified = n.commit
	return n
}

// Step advances the node by one event at the given time. A time before that
// of the previous step counts as the time of that step.
func (n *Node) Step(now anvilclock.Millis, event Event) Effects {
	n.setTime(now)
	switch event := event.(type) {
	case Tick:
		n.tick()
	case Receive:
		n.receive(event.Message)
	case Propose:
		n.propose(event)
	case Persisted:
		n.saved(event.Sequence)
	case Compact:
		n.compact(event)
	case ChangeVoters:
		n.changeVoters(event)
	case ReadBarrier:
		n.readBarrier(event.Key)
	}
	return n.finish()
}

func (n *Node) setTime(now anvilclock.Millis) {
	if n.started {
		n.now = max(n.now, now)
		return
	}
	// A restarted voter has forgotten when it last heard from a leader. It
	// assumes that this was just now; otherwise its vote could elect a second
	// leader while the first one still counts this voter in its quorum.
	n.started = true
	n.now, n.heardAt = now, now
	n.resetElection()
}

func (n *Node) tick() {
	if n.role == Leader {
		n.checkQuorum()
		if n.role == Leader {
			n.heartbeat()
		}
		return
	}
	// A node whose disk still holds back its vote would only add to the writes.
	if n.now >= n.electionAt && !n.persisted.holdsBack() && n.members.latest().IsVoter(n.self) {
		n.preCampaign()
	}
}

// receive dispatches a message after the checks common to all types.
func (n *Node) receive(m Message) {
	if m.To != n.self || m.From == n.self || !n.acceptGroup(m) {
		return
	}
	switch m.Type {
	case MessagePreVote, MessageVote:
		n.receiveVoteRequest(m)
		return
	case MessageAppend, MessageSnapshot:
	default:
		// A response of a former member must not raise the term.
		if !n.expectsResponseFrom(m.From) {
			return
		}
		if m.Type == MessagePreVoteResponse && !m.Reject {
			// A granted pre-vote carries the term that the candidate would
			// enter, not the term of the voter.
			n.receivePreVoteGrant(m)
			return
		}
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, VoterID{})
	}
	if m.Term < n.hard.Term {
		n.refuseOldLeader(m)
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
	case MessageSnapshotResponse:
		n.receiveSnapshotResponse(m)
	}
}

// acceptGroup drops messages of other groups. An empty node joins the group
// of the first leader that sends to it.
func (n *Node) acceptGroup(m Message) bool {
	if n.hard.Group == 0 && m.Group != 0 && (m.Type == MessageAppend || m.Type == MessageSnapshot) {
		n.hard.Group = m.Group
		n.changedHard()
	}
	return m.Group == n.hard.Group && m.Group != 0
}

func (n *Node) expectsResponseFrom(id VoterID) bool {
	return n.members.latest().Contains(id) || n.peer(id) != nil
}

// refuseOldLeader tells a leader of an earlier term that it is deposed. This
// also lets a member whose term is ahead of the group's rejoin.
func (n *Node) refuseOldLeader(m Message) {
	if m.Type == MessageAppend || m.Type == MessageSnapshot {
		n.send(Message{Type: MessageAppendResponse, To: m.From, Reject: true})
	}
}

// becomeFollower enters a term, or stays in the current one, as a follower.
func (n *Node) becomeFollower(term anvilid.Term, leader VoterID) {
	if term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, VoterID{}
		n.changedHard()
		n.follower = followerState{verified: n.commit}
		n.incoming = nil
	}
	if n.role == Leader {
		n.stopLeading()
		n.resetElection()
	}
	n.role, n.leader, n.ballots = Follower, leader, nil
}

// reject answers an event that had no effect.
func (n *Node) reject(key uint64, reason error) {
	n.out.Rejected = append(n.out.Rejected, Rejection{Key: key, Reason: reason, Leader: n.leader})
}

// Status describes a node for operators.
type Status struct {
	ID      VoterID
	Role    Role
	Term    anvilid.Term
	Leader  VoterID
	Commit  anvilid.Index
	Last    anvilid.Index
	Members Members
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	return Status{
		ID: n.self, Role: n.role, Term: n.hard.Term, Leader: n.leader,
		Commit: n.commit, Last: n.log.last(), Members: n.members.latest(),
	}
}
