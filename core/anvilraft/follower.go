package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// followerState is what a follower knows about the leader of its term.
type followerState struct {
	// verified is the highest index up to which the log equals the leader's.
	verified anvilid.Index
	// acknowledged is the highest match sent to the leader.
	acknowledged anvilid.Index
	// sent and round are from the latest message of the leader.
	sent  anvilclock.Millis
	round uint64
}

// hear notes that the leader of the current term sent m.
func (n *Node) hear(m Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.heardAt, n.campaigns = n.now, 0
	n.resetElection()
	n.follower.sent = max(n.follower.sent, m.Sent)
	n.follower.round = max(n.follower.round, m.Round)
}

// receiveAppend handles entries and heartbeats of the current term's leader.
func (n *Node) receiveAppend(m Message) {
	if !wellFormed(m) {
		return
	}
	n.hear(m)
	last := m.Index + anvilid.Index(len(m.Entries))
	if last > n.commit {
		if m.Index > n.commit && !n.log.matches(m.Index, m.LogTerm) {
			n.rejectAppend(m)
			return
		}
		n.merge(m.Entries)
	}
	n.follower.verified = max(n.follower.verified, last)
	n.commitTo(min(m.Commit, last))
	// Entries are acknowledged when they are synced. Heartbeats, and entries
	// that are synced already, are answered at once.
	if len(m.Entries) == 0 || n.persisted.stable >= last && n.persisted.from == 0 {
		n.acknowledge(m.Index)
	}
}

// wellFormed reports whether the entries follow each other and members can be
// decoded. The transport checks integrity; this guards the log against bugs.
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

// merge appends the entries that are missing and replaces conflicting ones.
// Entries that are committed here are the same in every leader's log.
func (n *Node) merge(entries []Entry) {
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

func (n *Node) rejectAppend(m Message) {
	hint, hintTerm := n.log.lastAtOrBelow(m.Index, m.LogTerm)
	response := n.appendResponse(m.Index)
	response.Reject, response.Hint, response.HintTerm = true, hint, hintTerm
	n.send(response)
}

// acknowledge reports the synced part of the log that equals the leader's.
// index repeats the index of the message that is answered.
func (n *Node) acknowledge(index anvilid.Index) {
	response := n.appendResponse(index)
	n.follower.acknowledged = response.Match
	n.send(response)
}

// acknowledgeSynced reports progress after a sync.
func (n *Node) acknowledgeSynced() {
	if !n.leader.IsZero() && n.match() > n.follower.acknowledged {
		n.acknowledge(0)
	}
}

func (n *Node) match() anvilid.Index { return min(n.follower.verified, n.persisted.stable) }

func (n *Node) appendResponse(index anvilid.Index) Message {
	return Message{
		Type: MessageAppendResponse, To: n.leader, Index: index, Match: n.match(),
		Sent: n.follower.sent, Round: n.follower.round,
	}
}
