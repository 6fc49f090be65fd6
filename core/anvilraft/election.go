package anvilraft

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// maxBackoffDoublings limits the wait between two campaigns to 16 minimum election
// timeouts.
const maxBackoffDoublings = 4

// maxLateExtension limits the time by which late ticks extend an election timeout or the quorum
// check of a leader: a starved leader and a starved follower may each miss 1 s in a row at a minimum
// election timeout of 350 ms.
func (o options) maxLateExtension() anvilclock.Millis { return 6 * o.minElectionTimeout }

// votingMember is the id of a voter that has granted its vote or pre-vote to this node.
type votingMember = VoterID

// resetElectionTimeout starts a new random election timeout.
func (n *Node) resetElectionTimeout() {
	n.setElectionTimer(n.randomBetween(n.options.minElectionTimeout, n.options.maxElectionTimeout))
}

func (n *Node) setElectionTimer(span anvilclock.Millis) {
	n.electionDeadline = n.now + span
	n.electionTimerSetAt, n.electionExtension = n.now, 0
}

// extendElectionTimeout adds the time in which this process did not run to the election timeout,
// because it can't judge the silence of the leader by it. Only the decision to campaign depends on
// this: hasRecentLeader and HasQuorum count that time.
func (n *Node) extendElectionTimeout(late anvilclock.Millis) {
	missed := min(late, n.now-n.electionTimerSetAt, n.options.maxLateExtension()-n.electionExtension)
	n.electionExtension += missed
	n.electionDeadline += missed
}

// scheduleElectionRetry sets when this node asks for votes again if the current attempt
// fails, as after a split vote. The wait is shorter than an election timeout, because there
// is no leader that an early attempt could disturb. It does not depend on the duration of syncs:
// asking for pre-votes again invalidates no vote, and a voter that is still syncing its vote answers
// none. The wait doubles with each failed campaign.
func (n *Node) scheduleElectionRetry() {
	span := n.randomBetween(n.options.minElectionTimeout/2, n.options.minElectionTimeout)
	n.setElectionTimer(span << min(n.campaignsSinceLeader, maxBackoffDoublings))
}

// rescheduleElectionAfterSync restarts the election timer when the term or the vote of this
// node was synced to disk, because messages that depend on them were withheld until now.
func (n *Node) rescheduleElectionAfterSync() {
	if n.role == Candidate {
		n.scheduleElectionRetry()
	} else {
		n.resetElectionTimeout()
	}
}

func (n *Node) randomBetween(minimum, maximum anvilclock.Millis) anvilclock.Millis {
	if minimum >= maximum {
		return minimum
	}
	return minimum + anvilclock.Millis(n.random.Int64N(int64(maximum-minimum)))
}

// hasRecentLeader reports whether this node is the leader, or heard from one within the
// minimum election timeout. Such a node ignores vote requests (leader stickiness). HasQuorum
// relies on that, and it prevents members that were removed or cut off from disturbing the
// group.
func (n *Node) hasRecentLeader() bool {
	return n.role == Leader || n.now-n.leaderContactAt < n.options.minElectionTimeout
}

// preCampaign asks the voters whether an election could succeed, without raising the term.
func (n *Node) preCampaign() {
	n.role, n.leader = PreCandidate, VoterID{}
	n.grantedPreVotes = []votingMember{n.self}
	n.scheduleElectionRetry()
	n.requestVotes(MessagePreVote, n.hardState.Term+1)
	n.countPreVotes()
}

// campaign enters a new term as a candidate.
func (n *Node) campaign() {
	n.becomeFollower(n.hardState.Term+1, VoterID{})
	n.role, n.campaignTerm, n.campaignStartedAt = Candidate, n.hardState.Term, n.now
	n.hardState.Vote = n.self
	n.scheduleElectionRetry()
	n.campaignsSinceLeader++
	n.requestVotes(MessageVote, n.hardState.Term)
}

// repeatVoteRequests asks those voters again that have not granted their vote in the present campaign. A request or its answer may
// be lost, and a new campaign would take another sync of each voter.
func (n *Node) repeatVoteRequests() {
	isOpen := n.campaignTerm > 0 && n.campaignTerm == n.hardState.Term && n.leader.IsZero()
	if isOpen && n.now-n.votesRequestedAt >= n.options.heartbeatInterval {
		n.requestVotes(MessageVote, n.campaignTerm)
	}
}

func (n *Node) requestVotes(kind MessageType, term anvilid.Term) {
	if kind == MessageVote {
		n.votesRequestedAt = n.now
	}
	for _, voter := range n.Electors() {
		isGranted := kind == MessageVote && slices.Contains(n.grantedVotes, voter)
		if voter != n.self && !isGranted {
			n.send(Message{Type: kind, To: voter, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
		}
	}
}

// mayPrecedeSync reports whether m is sent before the hard state is synced. A vote request is, so
// that the candidate and the voters sync at the same time, also while the disk of the candidate still
// syncs entries. If a crash shortens its log and it campaigns again in the same term, a delayed grant doesn't
// count any more (receiveVoteResponse).
func (n *Node) mayPrecedeSync(m Message) bool { return m.Type == MessageVote }

// receiveVoteRequest answers MessagePreVote and MessageVote. It also answers nodes that are
// not known as members, because this node may lack the entry that added them.
func (n *Node) receiveVoteRequest(m Message) {
	if n.hasRecentLeader() {
		return
	}
	// A node that is still syncing its vote supports no other candidate: with that vote, the first
	// one may become leader.
	if m.Type == MessagePreVote && n.persisted.hardStateUnsynced() {
		return
	}
	var canVote bool
	response := Message{Type: MessagePreVoteResponse, To: m.From}
	if m.Type == MessagePreVote {
		canVote = m.Term > n.hardState.Term
	} else {
		if m.Term > n.hardState.Term {
			n.becomeFollower(m.Term, VoterID{})
		}
		response.Type, response.Index, response.LogTerm = MessageVoteResponse, m.Index, m.LogTerm
		canVote = m.Term == n.hardState.Term && (n.hardState.Vote.IsZero() || n.hardState.Vote == m.From)
	}
	granted := canVote && (n.log.upToDate(m.Index, m.LogTerm) || n.awaitsSeat())
	response.Reject = !granted
	if granted && m.Type == MessagePreVote {
		response.Term = m.Term
		n.deferElection(m)
	}
	if granted && m.Type == MessageVote {
		if n.hardState.Vote.IsZero() { // repeated requests of a candidate that can't win must not hold up others
			n.resetElectionTimeout()
			n.hardState.Vote = m.From
			n.scheduleHardStateSave()
		}
	}
	n.send(response)
}

// deferElection puts the election timeout off when this node has granted a pre-vote, so that the
// voters don't campaign in parallel and split their votes. Of two nodes that ask for pre-votes at
// the same time, the one with the lower id gives up its attempt. It does so once per term, because
// a node that hears no answers would otherwise keep all others from campaigning.
func (n *Node) deferElection(m Message) {
	if n.deferredForTerm >= m.Term || n.role == PreCandidate && n.self.Compare(m.From) > 0 {
		return
	}
	n.deferredForTerm = m.Term
	if n.role == PreCandidate {
		n.role, n.grantedPreVotes = Follower, nil
	}
	n.electionDeadline = max(n.electionDeadline, n.now) + n.options.minElectionTimeout
}

// receivePreVoteGrant counts a granted pre-vote for the term after the current one, and starts the
// campaign once a quorum has granted it.
func (n *Node) receivePreVoteGrant(m Message) {
	if n.role == PreCandidate && m.Term == n.hardState.Term+1 {
		n.grantedPreVotes = withVote(n.grantedPreVotes, m.From)
		n.countPreVotes()
	}
}

func (n *Node) countPreVotes() {
	if n.isQuorum(n.grantedPreVotes) {
		n.campaign()
	}
}

// receiveVoteResponse counts a vote of the current term. It counts as well while this node asks for
// pre-votes again, because a slow disk may delay a vote for longer than that. The log must still contain the entry
// with which the request described it: a vote that was granted to a longer log, before a crash, could elect a leader
// that lacks committed entries. Voters of a build before this rule name no entry, so that their votes don't count.
func (n *Node) receiveVoteResponse(m Message) {
	if m.Type == MessageVoteResponse && !m.Reject && m.Index > 0 && n.log.matches(m.Index, m.LogTerm) {
		n.addGrantedVote(m.From)
	}
}

// countOwnVote counts the candidate's vote for itself if that vote is synced to disk.
func (n *Node) countOwnVote() {
	if !n.persisted.hardStateUnsynced() {
		n.addGrantedVote(n.self)
	}
}

// addGrantedVote counts a vote for the campaign of the current term, if this node has one, and
// makes it the leader once a quorum has voted for it. It leads only once its own term and vote
// are synced, because after a crash it could vote for another candidate of that term.
func (n *Node) addGrantedVote(from VoterID) {
	if n.campaignTerm != n.hardState.Term || n.campaignExpired() {
		return
	}
	n.grantedVotes = withVote(n.grantedVotes, from)
	if n.isQuorum(n.grantedVotes) && !n.persisted.hardStateUnsynced() {
		n.becomeLeader()
	}
}

func withVote(votes []votingMember, from VoterID) []votingMember {
	if slices.Contains(votes, from) {
		return votes
	}
	return append(votes, from)
}

// isQuorum reports whether a quorum of the voters of each list that counts is among the members.
func (n *Node) isQuorum(granted []votingMember) bool {
	latest, before := n.electorates(n.lost.at(n.now))
	return latest.elects(granted) && (len(before.voters) == 0 || before.elects(granted))
}

// Electors returns the voters of all lists that count for an election: those of the latest list and, while a change isn't
// known to be committed, of the list before, and the successors of marked ones.
func (n *Node) Electors() []VoterID {
	latest, before := n.electorates(nil)
	voters := slices.Concat(latest.voters, latest.successors, before.voters, before.successors)
	slices.SortFunc(voters, VoterID.Compare)
	return slices.Compact(voters)
}

// campaignExpired reports whether the votes of the present campaign no longer count, see lostStorages. That matters only
// where an even number of voters decides.
func (n *Node) campaignExpired() bool {
	latest, before := n.electorates(nil)
	even := len(latest.voters)%2 == 0 || len(before.voters) > 0
	return even && n.options.useLostStorages && n.now-n.campaignStartedAt >= n.options.voteLifetime()
}
