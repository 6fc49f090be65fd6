package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// leaderState is the part of a node's state that only a leader uses.
type leaderState struct {
	peers []*peer
	// joining has when SendLog was last passed for each instance that isn't a member.
	joining         map[VoterID]anvilclock.Millis
	nextHeartbeatAt anvilclock.Millis
	// uncommittedBytes is the total size of the entries after the commit index.
	uncommittedBytes anvilid.ByteCount
	// lost are the voters whose storage was known to be lost when this term of the leader began, see lostStorages.
	// Only such losses count: all entries of the term are newer than the last vote and acknowledgement of these storages.
	lost []VoterID
	// removedAt is when the removal of this leader was committed, or 0.
	removedAt anvilclock.Millis
	// membersUnannounced means that the latest members are committed, and that no entry was appended since.
	membersUnannounced bool
	// barrierRound is the number of the latest round of read barriers.
	barrierRound    uint64
	pendingBarriers []pendingBarrier
	// deferredBarriers are the keys of barriers that wait for the first commit of the term.
	deferredBarriers []uint64
	held             heldCommands
}

// becomeLeader makes this node the leader and appends an empty entry, because entries of
// earlier terms are committed only when a later entry of this term is committed. The voters whose storages are known
// to be lost are marked at the same time: a mark that came later would wait on each disk for the sync of that entry. So
// are the seats of successors without whose votes it wouldn't lead.
func (n *Node) becomeLeader() {
	granted := n.grantedVotes
	n.role, n.leader, n.campaignsSinceLeader = Leader, n.self, 0
	n.campaignTerm, n.grantedVotes, n.grantedPreVotes = 0, nil, nil
	n.leading = leaderState{nextHeartbeatAt: n.now + n.options.heartbeatInterval, lost: n.lost.at(n.now), joining: map[VoterID]anvilclock.Millis{}}
	for _, entry := range n.log.between(n.commit+1, n.log.last()) {
		n.leading.uncommittedBytes += entry.size()
	}
	n.updatePeers()
	first := []Entry{{Kind: KindEmpty}}
	if members, ok := n.membersAtElection(granted); ok {
		first = append(first, Entry{Kind: KindMembers, Data: encodeMembers(members)})
	}
	n.appendAsLeader(0, first...)
}

// stopLeading discards the leader's state and rejects the barriers that are still pending.
func (n *Node) stopLeading() {
	leading := n.leading
	n.leading = leaderState{}
	n.leader = VoterID{}
	for _, barrier := range leading.pendingBarriers {
		n.reject(barrier.key, ErrNotLeader)
	}
	for _, key := range leading.deferredBarriers {
		n.reject(key, ErrNotLeader)
	}
	for _, proposal := range leading.held.proposals {
		n.reject(proposal.key, ErrNotLeader)
	}
}

// propose handles a Propose event: the leader appends the commands to its log and accepts the event, or holds them
// back (holdsCommands). It rejects the event with ErrBackPressure if too many bytes are uncommitted. Any other node rejects
// it with ErrNotLeader.
func (n *Node) propose(event Propose) {
	if n.role != Leader {
		n.reject(event.Key, ErrNotLeader)
		return
	}
	held := newHeldProposal(event)
	pendingBytes := n.leading.uncommittedBytes + n.leading.held.size
	if pendingBytes > 0 && pendingBytes+held.size > n.options.maxUncommittedBytes {
		n.reject(event.Key, ErrBackPressure)
		return
	}
	n.hold(held)
	n.releaseDueCommands()
}

// appendAsLeader sets index, term and timestamp of the entries, appends them to the log and
// sends them to the members.
func (n *Node) appendAsLeader(at anvilclock.Millis, entries ...Entry) {
	at = max(at, n.log.lastTimestamp())
	for i := range entries {
		entries[i].Index = n.log.last() + 1 + anvilid.Index(i)
		entries[i].Term = n.hardState.Term
		entries[i].At = at
		n.leading.uncommittedBytes += entries[i].size()
	}
	n.appendToLog(entries...)
	for _, p := range n.leading.peers {
		n.replicate(p)
	}
}

// sendDueHeartbeats sends a message without entries to every member, once per heartbeat
// interval. It does so even when entries are in flight, because those are answered only
// after they are synced.
func (n *Node) sendDueHeartbeats() {
	if n.now < n.leading.nextHeartbeatAt {
		return
	}
	n.leading.nextHeartbeatAt = n.now + n.options.heartbeatInterval
	n.dropJoining()
	n.announceMembers()
	n.broadcastHeartbeat()
	for _, p := range n.leading.peers {
		if p.transfer != nil {
			n.resumeTransfer(p)
		}
	}
}

func (n *Node) broadcastHeartbeat() {
	for _, p := range n.leading.peers {
		n.sendAppend(p, nil)
	}
}

// advanceCommit commits the entries that a quorum of voters has synced to disk. The leader's
// own copy counts only once it is synced, like those of the other voters, and that of a new voter
// only from its seat on: without that it votes for shorter logs (awaitsSeat).
func (n *Node) advanceCommit() {
	index := quorumValue(n, n.persisted.stableIndex, 0, func(p *peer) anvilid.Index {
		if p.match < n.members.seatedAt(p.id) {
			return 0
		}
		return p.match
	})
	// Another leader may still replace entries of earlier terms, even if a quorum has them, so
	// only entries of this term are counted.
	if index > n.commit && n.log.matches(index, n.hardState.Term) {
		n.commitTo(index)
	}
}

// commitTo raises the commit index to index and lists the entries in the effects.
func (n *Node) commitTo(index anvilid.Index) {
	if index <= n.commit {
		return
	}
	firstOfTerm := n.role == Leader && !n.hasCommittedInTerm()
	entries := n.log.between(n.commit+1, index)
	n.commit = index
	n.effects.Committed = append(n.effects.Committed, entries...)
	n.noteCommittedMembers()
	if n.role != Leader {
		return
	}
	membersChanged := false
	for _, entry := range entries {
		n.leading.uncommittedBytes -= entry.size()
		membersChanged = membersChanged || entry.Kind == KindMembers
	}
	n.startDeferredBarriers()
	if firstOfTerm || membersChanged {
		n.extendHold()
	}
	if membersChanged {
		n.finishMembershipChange()
	}
}
