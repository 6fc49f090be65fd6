package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// transfer is a snapshot on its way to a member.
type transfer struct {
	snapshot Snapshot
	acked    anvilid.ByteCount // received by the member
	next     anvilid.ByteCount // the next byte to send
	started  bool              // at least one chunk was sent; an empty snapshot has one
	movedAt  anvilclock.Millis // when acked last grew, or chunks were sent again
}

// incomingSnapshot collects the chunks of a snapshot.
type incomingSnapshot struct {
	index anvilid.Index
	term  anvilid.Term
	size  anvilid.ByteCount
	data  []byte
}

// compact handles Compact.
func (n *Node) compact(event Compact) {
	if event.Index > n.commit || event.Index <= n.snapshot.Index {
		n.reject(uint64(event.Index), ErrInvalidCompact)
		return
	}
	entry := n.log.at(event.Index)
	n.snapshot = Snapshot{
		Index: entry.Index, Term: entry.Term, At: entry.At,
		Members: n.members.at(entry.Index), Data: event.Snapshot,
	}
	n.persisted.snapshot = true
	n.members.compacted(entry.Index)
	if trailing := anvilid.Index(n.options.trailing); entry.Index > trailing {
		n.log.compact(entry.Index - trailing)
	}
}

// startTransfer begins to send the latest snapshot to a member that needs
// entries that are no longer in memory.
func (n *Node) startTransfer(p *peer) {
	p.probing = false
	p.inflight, p.inflightBytes, p.inflightEntries = nil, 0, 0
	p.transfer = &transfer{snapshot: n.snapshot, movedAt: n.now}
}

// sendChunks sends chunks while less than window is in flight.
func (n *Node) sendChunks(p *peer, window anvilid.ByteCount) {
	t := p.transfer
	size := anvilid.ByteCount(len(t.snapshot.Data))
	for (t.next < size || !t.started) && t.next-t.acked < window {
		end := min(size, t.next+n.options.messageBytes)
		n.send(Message{
			Type: MessageSnapshot, To: p.id, Index: t.snapshot.Index, LogTerm: t.snapshot.Term,
			Sent: n.now, Round: n.leading.round, Offset: t.next,
			Chunk: &Chunk{
				At: t.snapshot.At, Members: t.snapshot.Members, Size: size, Data: t.snapshot.Data[t.next:end:end],
			},
		})
		t.next, t.started = end, true
	}
}

// resumeTransfer sends one chunk again when none was acknowledged for a minimum
// election timeout. When all were, it repeats the last one, to which the
// member answers whether it has installed the snapshot or lost it. One chunk
// is enough to learn that the member is back, and costs a dead one's link little.
func (n *Node) resumeTransfer(p *peer) {
	t := p.transfer
	if n.now-t.movedAt < n.options.electionMin {
		return
	}
	size := anvilid.ByteCount(len(t.snapshot.Data))
	t.next, t.started, t.movedAt = t.acked, false, n.now
	if t.acked == size {
		t.next = max(0, size-n.options.messageBytes)
	}
	n.sendChunks(p, t.next-t.acked+1)
}

// receiveSnapshotResponse handles the answer to a chunk.
func (n *Node) receiveSnapshotResponse(m Message) {
	p := n.peer(m.From)
	if p == nil || n.role != Leader {
		return
	}
	n.heardFrom(p, m)
	n.confirmBarriers()
	t := p.transfer
	if t == nil || m.Index != t.snapshot.Index || m.Offset > anvilid.ByteCount(len(t.snapshot.Data)) {
		return
	}
	switch {
	case m.Reject && m.Offset != t.next:
		t.acked, t.next, t.movedAt = m.Offset, m.Offset, n.now
	case m.Offset > t.acked:
		t.acked, t.next, t.movedAt = m.Offset, max(t.next, m.Offset), n.now
	}
	n.sendChunks(p, n.options.inflightBytes)
}

// receiveSnapshot handles a chunk from the leader.
func (n *Node) receiveSnapshot(m Message) {
	if m.Chunk == nil {
		return
	}
	n.hear(m)
	if m.Index > n.commit && n.log.matches(m.Index, m.LogTerm) {
		// The log already holds what the snapshot replaces.
		n.follower.verified = max(n.follower.verified, m.Index)
		n.commitTo(m.Index)
	}
	if m.Index <= n.commit {
		n.incoming = nil
		n.acknowledge(0)
		return
	}
	complete := n.collect(m)
	if complete {
		n.install(m)
	}
}

// collect adds a chunk, answers it, and reports whether all are there.
func (n *Node) collect(m Message) bool {
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
		Sent: n.follower.sent, Round: n.follower.round,
	})
	return anvilid.ByteCount(len(in.data)) >= in.size
}

// install replaces the log by a complete snapshot.
func (n *Node) install(m Message) {
	n.snapshot = Snapshot{
		Index: m.Index, Term: m.LogTerm, At: m.Chunk.At, Members: m.Chunk.Members, Data: n.incoming.data,
	}
	n.incoming = nil
	n.log.reset(n.snapshot)
	n.members = newMembership(n.snapshot, nil)
	n.persisted.forget(1)
	n.persisted.snapshot = true
	n.persisted.from = m.Index + 1
	n.commit = m.Index
	n.follower.verified = m.Index
	restore := n.snapshot
	n.out.Restore = &restore
}
