package anvilraft

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// maximumDoublings bounds the wait between two campaigns to 16 minimum
// election timeouts, which lets syncs take several of them.
const maximumDoublings = 4

// ballot is a granted vote or pre-vote.
type ballot = VoterID

// resetElection chooses a new random election timeout.
func (n *Node) resetElection() {
	n.electionAt = n.now + n.between(n.options.electionMin, n.options.electionMax)
}

// retryElection chooses when to ask again after a split vote. No leader is
// disturbed by an early attempt, so it comes sooner than an election timeout.
// Votes are synced before they are sent, and a new attempt voids those that a
// slow disk still holds back. The time therefore covers two syncs that take as
// long as the last one here, and doubles with each failed campaign.
func (n *Node) retryElection() {
	span := n.between(n.options.electionMin/2, n.options.electionMin)
	n.electionAt = n.now + span<<min(n.campaigns, maximumDoublings) + 2*n.persisted.hardSpan
}

// waitAfterSync chooses when to ask after the term or the vote of this node
// was synced. What depends on it is only sent now.
func (n *Node) waitAfterSync() {
	if n.role == Candidate {
		n.retryElection()
	} else {
		n.resetElection()
	}
}

func (n *Node) between(minimum, maximum anvilclock.Millis) anvilclock.Millis {
	if minimum >= maximum {
		return minimum
	}
	return minimum + anvilclock.Millis(n.random.Int64N(int64(maximum-minimum)))
}

// sticky reports whether this node heard from a leader within the minimum
// election timeout and therefore takes part in no election. HasQuorum relies
// on it, and members that were removed or cut off cannot disturb the group.
func (n *Node) sticky() bool {
	return n.role == Leader || n.now-n.heardAt < n.options.electionMin
}

// preCampaign asks the voters whether an election could succeed.
func (n *Node) preCampaign() {
	n.role, n.leader = PreCandidate, VoterID{}
	n.ballots = []ballot{n.self}
	n.retryElection()
	n.requestVotes(MessagePreVote, n.hard.Term+1)
	n.countVotes()
}

// campaign enters a new term as a candidate.
func (n *Node) campaign() {
	n.becomeFollower(n.hard.Term+1, VoterID{})
	n.role = Candidate
	n.hard.Vote = n.self
	n.retryElection()
	n.campaigns++
	n.requestVotes(MessageVote, n.hard.Term)
}

func (n *Node) requestVotes(kind MessageType, term anvilid.Term) {
	for _, voter := range n.members.latest().Voters {
		if voter != n.self {
			n.send(Message{Type: kind, To: voter, Term: term, Index: n.log.last(), LogTerm: n.log.lastTerm()})
		}
	}
}

// receiveVoteRequest answers MessagePreVote and MessageVote. Requests from
// nodes outside the known membership are answered too, because this node may
// lack the entry that added them.
func (n *Node) receiveVoteRequest(m Message) {
	if n.sticky() {
		return
	}
	var free bool
	response := Message{Type: MessagePreVoteResponse, To: m.From}
	if m.Type == MessagePreVote {
		free = m.Term > n.hard.Term
	} else {
		if m.Term > n.hard.Term {
			n.becomeFollower(m.Term, VoterID{})
		}
		response.Type = MessageVoteResponse
		free = m.Term == n.hard.Term && (n.hard.Vote.IsZero() || n.hard.Vote == m.From)
	}
	granted := free && n.log.upToDate(m.Index, m.LogTerm)
	response.Reject = !granted
	if granted && m.Type == MessagePreVote {
		response.Term = m.Term
	}
	if granted && m.Type == MessageVote {
		n.resetElection()
		if n.hard.Vote.IsZero() {
			n.hard.Vote = m.From
			n.changedHard()
		}
	}
	n.send(response)
}

// receivePreVoteGrant counts a pre-vote for the term after the current one.
func (n *Node) receivePreVoteGrant(m Message) {
	if n.role == PreCandidate && m.Term == n.hard.Term+1 {
		n.addBallot(m.From)
	}
}

func (n *Node) receiveVoteResponse(m Message) {
	if n.role == Candidate && m.Type == MessageVoteResponse && !m.Reject {
		n.addBallot(m.From)
	}
}

// countOwnVote counts a candidate's vote for itself once it is synced.
func (n *Node) countOwnVote() {
	if !n.persisted.holdsBack() {
		n.addBallot(n.self)
	}
}

func (n *Node) addBallot(from VoterID) {
	if !slices.Contains(n.ballots, from) {
		n.ballots = append(n.ballots, from)
	}
	n.countVotes()
}

func (n *Node) countVotes() {
	members := n.members.latest()
	votes := 0
	for _, voter := range members.Voters {
		if slices.Contains(n.ballots, voter) {
			votes++
		}
	}
	if votes < members.Quorum() {
		return
	}
	if n.role == PreCandidate {
		n.campaign()
	} else {
		n.becomeLeader()
	}
}
