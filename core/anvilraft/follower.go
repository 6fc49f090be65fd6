package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// followerState is what a follower knows about the leader of its term and has reported to it.
type followerState struct {
	// verified is the highest index up to which the log is known to equal the leader's.
	verified anvilid.Index
	// acknowledged is the highest index that was reported to the leader as synced (Message.Match).
	acknowledged anvilid.Index
	// leaderSentAt and barrierRound are the highest Message.Sent and Message.Round received from
	// the leader. Answers repeat them.
	leaderSentAt anvilclock.Millis
	barrierRound uint64
}

// recordLeaderContact records that the leader of the current term sent m, and restarts the
// election timeout.
func (n *Node) recordLeaderContact(m Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.leaderContactAt, n.campaignsSinceLeader, n.deferredForTerm = n.now, 0, 0
	n.resetElectionTimeout()
	n.follower.leaderSentAt = max(n.follower.leaderSentAt, m.Sent)
	n.follower.barrierRound = max(n.follower.barrierRound, m.Round)
}

// receiveAppend handles entries and heartbeats of the current term's leader.
func (n *Node) receiveAppend(m Message) {
	if !wellFormed(m) {
		return
	}
	n.recordLeaderContact(m)
	last := m.Index + anvilid.Index(len(m.Entries))
	if last > n.commit {
		if m.Index > n.commit && !n.log.matches(m.Index, m.LogTerm) {
			n.rejectAppend(m)
			return
		}
		n.mergeEntries(m.Entries)
	}
	n.follower.verified = max(n.follower.verified, last)
	n.commitTo(min(m.Commit, last))
	// New entries are acknowledged by acknowledgeSynced once they are synced to disk. Heartbeats,
	// and entries that are synced already, are answered at once.
	if len(m.Entries) == 0 || n.persisted.stableIndex >= last && n.persisted.changedFrom == 0 {
		n.acknowledge(m.Index)
	}
}

// wellFormed reports whether the indices of the entries are consecutive and their member
// lists can be decoded. The transport already checks integrity; this protects the log
// against bugs.
func wellFormed(m Message) bool {
	next := m.Index + 1
	for _, entry := range m.Entries {
		if entry.Index != next {
			return false
		}
		if entry.Kind == KindMembers {
			if _, err := decodeMembers(entry.Data); err != nil {
				return false
			}
		}
		next++
	}
	return true
}

// mergeEntries appends the entries that are missing and replaces conflicting ones. It skips
// entries that are committed here, because every leader's log contains the same ones.
func (n *Node) mergeEntries(entries []Entry) {
	for i, entry := range entries {
		if entry.Index <= n.commit || n.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= n.log.last() {
			n.truncateLog(entry.Index)
		}
		n.appendToLog(entries[i:]...)
		return
	}
}

// rejectAppend tells the leader that this log lacks the entry that precedes m.Entries, or has
// another one at its index. The hint is the highest entry up to which the logs may be equal.
func (n *Node) rejectAppend(m Message) {
	hint, hintTerm := n.log.lastAtOrBelow(m.Index, m.LogTerm)
	response := n.appendResponse(m.Index)
	response.Reject, response.Hint, response.HintTerm = true, hint, hintTerm
	n.send(response)
}

// acknowledge reports to the leader up to which index this log is synced to disk and equals
// the leader's. index is the Index of the message that is answered, or 0.
func (n *Node) acknowledge(index anvilid.Index) {
	response := n.appendResponse(index)
	n.follower.acknowledged = response.Match
	n.send(response)
}

// acknowledgeSynced tells the leader that further entries were synced to disk since the last
// acknowledgement.
func (n *Node) acknowledgeSynced() {
	if !n.leader.IsZero() && n.matchIndex() > n.follower.acknowledged {
		n.acknowledge(0)
	}
}

// matchIndex returns the highest index up to which this log is synced to disk and known to
// equal the leader's.
func (n *Node) matchIndex() anvilid.Index {
	return min(n.follower.verified, n.persisted.stableIndex)
}

func (n *Node) appendResponse(index anvilid.Index) Message {
	return Message{
		Type: MessageAppendResponse, To: n.leader, Index: index, Match: n.matchIndex(),
		Sent: n.follower.leaderSentAt, Round: n.follower.barrierRound,
	}
}
