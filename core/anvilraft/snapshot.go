package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// snapshotTransfer is the state of sending a snapshot to one member.
type snapshotTransfer struct {
	snapshot       Snapshot
	ackedBytes     anvilid.ByteCount // bytes received by the member
	nextOffset     anvilid.ByteCount // offset of the next byte to send
	chunkSent      bool              // at least one chunk was sent; an empty snapshot has one
	lastProgressAt anvilclock.Millis // when ackedBytes last changed, or chunks were sent again
}

// incomingSnapshot collects the chunks of a snapshot that this node receives.
type incomingSnapshot struct {
	index anvilid.Index
	term  anvilid.Term
	size  anvilid.ByteCount
	data  []byte
}

// compact handles a Compact event: it replaces the snapshot, and drops the entries that the
// new one covers from memory, except for the trailing ones (WithTrailingEntries).
func (n *Node) compact(event Compact) {
	if event.Index > n.commit || event.Index <= n.snapshot.Index {
		n.reject(uint64(event.Index), ErrInvalidCompact)
		return
	}
	entry := n.log.entryAt(event.Index)
	n.snapshot = Snapshot{
		Index: entry.Index, Term: entry.Term, At: entry.At,
		Members: n.members.at(entry.Index), Data: event.Snapshot,
	}
	n.persisted.snapshotChanged = true
	n.members.discardBefore(entry.Index)
	if trailing := anvilid.Index(n.options.trailingEntries); entry.Index > trailing {
		n.log.compact(entry.Index - trailing)
	}
}

// startSnapshotTransfer prepares to send the latest snapshot to a member that needs entries
// that are no longer in memory.
func (n *Node) startSnapshotTransfer(p *peer) {
	p.probing = false
	p.inflight, p.inflightBytes, p.inflightEntries = nil, 0, 0
	p.transfer = &snapshotTransfer{snapshot: n.snapshot, lastProgressAt: n.now}
}

// sendChunks sends chunks of a snapshot while fewer than window bytes are unacknowledged.
func (n *Node) sendChunks(p *peer, window anvilid.ByteCount) {
	t := p.transfer
	size := anvilid.ByteCount(len(t.snapshot.Data))
	for (t.nextOffset < size || !t.chunkSent) && t.nextOffset-t.ackedBytes < window {
		end := min(size, t.nextOffset+n.options.maxMessageBytes)
		n.send(Message{
			Type: MessageSnapshot, To: p.id, Index: t.snapshot.Index, LogTerm: t.snapshot.Term,
			Sent: n.now, Round: n.leading.barrierRound, Offset: t.nextOffset,
			Chunk: &Chunk{
				At: t.snapshot.At, Members: t.snapshot.Members, Size: size, Data: t.snapshot.Data[t.nextOffset:end:end],
			},
		})
		t.nextOffset, t.chunkSent = end, true
	}
}

// resumeSnapshotTransfer sends one chunk again when the member has acknowledged nothing for
// the minimum election timeout. If all chunks were acknowledged, it repeats the last one; the
// member's answer shows whether it has installed the snapshot or lost it. One chunk is enough
// to learn that the member is reachable again, and puts little load on the link while it is
// not.
func (n *Node) resumeSnapshotTransfer(p *peer) {
	t := p.transfer
	if n.now-t.lastProgressAt < n.options.minElectionTimeout {
		return
	}
	size := anvilid.ByteCount(len(t.snapshot.Data))
	t.nextOffset, t.chunkSent, t.lastProgressAt = t.ackedBytes, false, n.now
	if t.ackedBytes == size {
		t.nextOffset = max(0, size-n.options.maxMessageBytes)
	}
	n.sendChunks(p, t.nextOffset-t.ackedBytes+1)
}

// receiveSnapshotResponse handles a member's answer to a chunk: it records how many bytes the member
// has received and sends further chunks, after a rejection from the offset in the answer on.
func (n *Node) receiveSnapshotResponse(m Message) {
	p := n.peer(m.From)
	if p == nil || n.role != Leader {
		return
	}
	n.recordResponse(p, m)
	n.confirmBarriers()
	t := p.transfer
	if t == nil || m.Index != t.snapshot.Index || m.Offset > anvilid.ByteCount(len(t.snapshot.Data)) {
		return
	}
	switch {
	case m.Reject && m.Offset != t.nextOffset:
		t.ackedBytes, t.nextOffset, t.lastProgressAt = m.Offset, m.Offset, n.now
	case m.Offset > t.ackedBytes:
		t.ackedBytes, t.nextOffset, t.lastProgressAt = m.Offset, max(t.nextOffset, m.Offset), n.now
	}
	n.sendChunks(p, n.options.maxInflightBytes)
}

// receiveSnapshot handles a snapshot chunk from the leader. It installs the snapshot once all chunks
// have arrived, unless the log already contains all entries that the snapshot covers.
func (n *Node) receiveSnapshot(m Message) {
	if m.Chunk == nil {
		return
	}
	n.recordLeaderContact(m)
	if m.Index > n.commit && n.log.matches(m.Index, m.LogTerm) {
		// The log already contains all entries that the snapshot covers.
		n.follower.verified = max(n.follower.verified, m.Index)
		n.commitTo(m.Index)
	}
	if m.Index <= n.commit {
		n.incoming = nil
		n.acknowledge(0)
		return
	}
	complete := n.addChunk(m)
	if complete {
		n.installSnapshot(m)
	}
}

// addChunk adds a chunk to the incoming snapshot, answers the leader, and reports whether
// the snapshot is complete. It ignores a chunk that doesn't start where the received part
// ends; the Offset of the answer tells the leader where to continue.
func (n *Node) addChunk(m Message) bool {
	in := n.incoming
	if in == nil || in.index != m.Index || in.term != m.LogTerm || in.size != m.Chunk.Size {
		in = &incomingSnapshot{index: m.Index, term: m.LogTerm, size: m.Chunk.Size}
		n.incoming = in
	}
	received := anvilid.ByteCount(len(in.data))
	if m.Offset == received {
		in.data = append(in.data, m.Chunk.Data...)
	}
	n.send(Message{
		Type: MessageSnapshotResponse, To: m.From, Index: m.Index,
		Offset: anvilid.ByteCount(len(in.data)), Reject: m.Offset > received,
		Sent: n.follower.leaderSentAt, Round: n.follower.barrierRound,
	})
	return anvilid.ByteCount(len(in.data)) >= in.size
}

// installSnapshot replaces the log by the complete incoming snapshot.
func (n *Node) installSnapshot(m Message) {
	n.snapshot = Snapshot{
		Index: m.Index, Term: m.LogTerm, At: m.Chunk.At, Members: m.Chunk.Members, Data: n.incoming.data,
	}
	n.incoming = nil
	n.log.reset(n.snapshot)
	n.members = newMembership(n.snapshot, nil)
	n.persisted.markUnsyncedFrom(1)
	n.persisted.snapshotChanged = true
	n.persisted.changedFrom = m.Index + 1
	n.commit = m.Index
	n.follower.verified = m.Index
	restore := n.snapshot
	n.effects.Restore = &restore
}
