package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// leaderState is what only a leader keeps.
type leaderState struct {
	voter       bool // this leader itself is a voter
	peers       []*peer
	heartbeatAt anvilclock.Millis
	// uncommitted is the size of the entries after the commit index.
	uncommitted anvilid.ByteCount
	// round numbers the read barriers.
	round    uint64
	barriers []pendingBarrier
	// early holds barriers that wait for the first commit of the term.
	early []uint64
}

// becomeLeader starts leading with an empty entry. Entries of earlier terms
// can only be counted as committed together with an entry of this term.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.ballots, n.campaigns = Leader, n.self, nil, 0
	n.leading = leaderState{heartbeatAt: n.now + n.options.heartbeat}
	for _, entry := range n.log.between(n.commit+1, n.log.last()) {
		n.leading.uncommitted += entry.size()
	}
	n.syncPeers()
	n.appendOwn(0, Entry{Kind: KindEmpty})
}

// stopLeading answers the events that wait for a leader.
func (n *Node) stopLeading() {
	leading := n.leading
	n.leading = leaderState{}
	n.leader = VoterID{}
	for _, barrier := range leading.barriers {
		n.reject(barrier.key, ErrNotLeader)
	}
	for _, key := range leading.early {
		n.reject(key, ErrNotLeader)
	}
}

// propose handles Propose.
func (n *Node) propose(event Propose) {
	if n.role != Leader {
		n.reject(event.Key, ErrNotLeader)
		return
	}
	entries := make([]Entry, len(event.Commands))
	var size anvilid.ByteCount
	for i, command := range event.Commands {
		entries[i] = Entry{Kind: KindCommand, Data: command}
		size += entries[i].size()
	}
	waiting := n.leading.uncommitted
	if waiting > 0 && waiting+size > n.options.uncommitted {
		n.reject(event.Key, ErrBackPressure)
		return
	}
	first := n.log.last() + 1
	n.appendOwn(event.At, entries...)
	n.accept(event.Key, first)
}

func (n *Node) accept(key uint64, first anvilid.Index) {
	n.out.Accepted = append(n.out.Accepted, Acceptance{
		Key: key, First: first, Last: n.log.last(), Term: n.hard.Term,
	})
}

// appendOwn stamps entries, appends them to the leader's log and sends them.
func (n *Node) appendOwn(at anvilclock.Millis, entries ...Entry) {
	at = max(at, n.log.lastAt())
	for i := range entries {
		entries[i].Index = n.log.last() + 1 + anvilid.Index(i)
		entries[i].Term = n.hard.Term
		entries[i].At = at
		n.leading.uncommitted += entries[i].size()
	}
	n.appendToLog(entries...)
	for _, p := range n.leading.peers {
		n.replicate(p)
	}
}

// heartbeat sends a message without entries to every member. It is sent even
// when entries are on the way, because those are answered only once synced.
func (n *Node) heartbeat() {
	if n.now < n.leading.heartbeatAt {
		return
	}
	n.leading.heartbeatAt = n.now + n.options.heartbeat
	n.broadcast()
	for _, p := range n.leading.peers {
		if p.transfer != nil {
			n.resumeTransfer(p)
		}
	}
}

func (n *Node) broadcast() {
	for _, p := range n.leading.peers {
		n.sendAppend(p, nil)
	}
}

// advanceCommit commits what a quorum of voters has synced. The leader's own
// entries count only once they are synced, like those of the others.
func (n *Node) advanceCommit() {
	index := quorumValue(n, n.persisted.stable, func(p *peer) anvilid.Index { return p.match })
	// Entries of earlier terms may still be replaced by another leader even
	// if a quorum has them, so only entries of this term are counted.
	if index > n.commit && n.log.matches(index, n.hard.Term) {
		n.commitTo(index)
	}
}

// commitTo raises the commit index to index and emits the entries.
func (n *Node) commitTo(index anvilid.Index) {
	if index <= n.commit {
		return
	}
	entries := n.log.between(n.commit+1, index)
	n.commit = index
	n.out.Committed = append(n.out.Committed, entries...)
	if n.role != Leader {
		return
	}
	changed := false
	for _, entry := range entries {
		n.leading.uncommitted -= entry.size()
		changed = changed || entry.Kind == KindMembers
	}
	n.startBarriers()
	if changed {
		n.changeCommitted()
	}
}
