package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// transfer is the state of sending data in parts to one member: a snapshot, or one entry that is too large for a
// single message. On a slow link a large message would arrive too late each time, and would keep heartbeats back
// for as long as it takes.
type transfer struct {
	// part returns a message without the fields that are about the part: Offset and the data.
	part func() Message
	// position is Message.Index of the parts, and completeAt the index up to which the log of the member
	// matches once it has the data.
	position, completeAt anvilid.Index
	// entry means that the data is an encoded entry, not a snapshot.
	entry          bool
	data           []byte
	ackedBytes     anvilid.ByteCount // bytes received by the member
	nextOffset     anvilid.ByteCount // offset of the next byte to send
	partSent       bool              // at least one part was sent; an empty snapshot has one
	allSent        bool              // each part was sent at least once
	lastProgressAt anvilclock.Millis // when ackedBytes last changed, or parts were sent again
	resentAt       anvilclock.Millis // when parts were last sent again after a rejection
}

// incomingTransfer collects the parts of a transfer that this node receives.
type incomingTransfer struct {
	kind MessageType
	// leaderTerm is the term of the sender: leaders of two terms may have different entries after the same one.
	leaderTerm anvilid.Term
	index      anvilid.Index
	term       anvilid.Term
	size       anvilid.ByteCount
	data       []byte
}

// startTransfer begins to send data in parts to a member.
func (n *Node) startTransfer(p *peer, t *transfer) {
	t.lastProgressAt, t.resentAt = n.now, distantPast
	p.transfer = t
}

// startSnapshotTransfer prepares to send the latest snapshot to a member that needs entries
// that are no longer in memory. The entries after it follow its last part, so that the member stores both by the same sync.
func (n *Node) startSnapshotTransfer(p *peer) {
	snapshot := n.snapshot
	p.next, p.probing = snapshot.Index+1, false
	p.clearInflight()
	n.startTransfer(p, &transfer{
		data: snapshot.Data, position: snapshot.Index, completeAt: snapshot.Index,
		part: func() Message {
			return Message{
				Type: MessageSnapshot, Index: snapshot.Index, LogTerm: snapshot.Term,
				Chunk: &Chunk{At: snapshot.At, Members: snapshot.Members},
			}
		},
	})
}

// needsTransfer reports whether the next entry for a member is sent in parts. Nothing is sent beside it, except to an
// instance that joins (sendLargeEntry).
func (n *Node) needsTransfer(p *peer) bool {
	return n.log.entryAt(p.next).size() > n.options.maxEntryBytes
}

// startEntryTransfer prepares to send the next entry to a member in parts.
func (n *Node) startEntryTransfer(p *peer) {
	n.startTransfer(p, n.entryTransfer(p))
	p.next++
}

// entryTransfer returns the transfer of the next entry for a member. The parts name the entry before it, as
// MessageAppend does.
func (n *Node) entryTransfer(p *peer) *transfer {
	before := p.next - 1
	term, _ := n.log.term(before) // in memory, or the last entry that is not, because p.next is in memory
	return &transfer{
		entry: true, data: encodeEntry(n.log.entryAt(p.next)), position: before, completeAt: p.next,
		part: func() Message {
			return Message{Type: MessageEntryPart, Index: before, LogTerm: term, Chunk: &Chunk{}}
		},
	}
}

// sendLargeEntry sends all parts of the next entry to an instance that joins, if they fit into the window, and reports whether it did.
// Such an instance gets the entries before and after it without a wait: each wait is for a sync, and a log may have many large entries.
// If a part is lost, it rejects what follows, and gets the entry again.
func (n *Node) sendLargeEntry(p *peer, window anvilid.ByteCount) bool {
	if !n.sendsAllAtOnce(p) || n.log.entryAt(p.next).size() > window {
		return false
	}
	t := n.entryTransfer(p)
	n.sendParts(p, t, t.unacknowledged())
	p.next++
	p.addInflight(t.inflight())
	return true
}

// sendsAllAtOnce reports whether large entries are sent to an instance without a wait. After two rejections in a short time they aren't for
// as long: messages that overtake each other would otherwise have the whole log sent again with each round trip.
func (n *Node) sendsAllAtOnce(p *peer) bool {
	return n.joins(p) && (!p.backedOffAgain || n.now-p.backedOffAt >= n.options.minElectionTimeout)
}

// precedesEntries reports whether entries may be sent behind the transfer before it is acknowledged.
func (t *transfer) precedesEntries() bool { return !t.entry && t.allSent }

// unacknowledged returns how many bytes the member has not acknowledged. t may be nil.
func (t *transfer) unacknowledged() anvilid.ByteCount {
	if t == nil {
		return 0
	}
	return anvilid.ByteCount(len(t.data)) - t.ackedBytes
}

// inflight returns the record of a large entry that was sent and isn't acknowledged.
func (t *transfer) inflight() inflightAppend {
	return inflightAppend{t.completeAt, anvilid.ByteCount(len(t.data)), 1}
}

// lost reports whether a rejection shows that the member has the whole entry and lacks one before it, which it
// lost when it was restarted.
func (t *transfer) lost(m Message) bool { return t.entry && m.Index == t.position }

// sendParts sends parts of a transfer to a member while fewer than window bytes are unacknowledged.
func (n *Node) sendParts(p *peer, t *transfer, window anvilid.ByteCount) {
	size := anvilid.ByteCount(len(t.data))
	for (t.nextOffset < size || !t.partSent) && t.nextOffset-t.ackedBytes < window {
		end := min(size, t.nextOffset+n.options.maxMessageBytes)
		m := t.part()
		m.To, m.Sent, m.Round, m.Offset = p.id, n.now, n.leading.barrierRound, t.nextOffset
		m.Chunk.Size, m.Chunk.Data = size, t.data[t.nextOffset:end:end]
		n.send(m)
		t.nextOffset, t.partSent = end, true
		t.allSent = t.allSent || end == size
	}
}

// resumeTransfer sends one part again when the member has acknowledged nothing for the minimum
// election timeout. If all parts were acknowledged, it repeats the last one; the member's answer
// shows whether it has used the data or lost it. One part is enough to learn that the member is
// reachable again, and puts little load on the link while it is not.
func (n *Node) resumeTransfer(p *peer) {
	t := p.transfer
	if n.now-t.lastProgressAt < n.options.minElectionTimeout {
		return
	}
	size := anvilid.ByteCount(len(t.data))
	t.nextOffset, t.partSent, t.lastProgressAt = t.ackedBytes, false, n.now
	if t.ackedBytes == size {
		t.nextOffset = max(0, size-n.options.maxMessageBytes)
	}
	n.sendParts(p, t, t.nextOffset-t.ackedBytes+1)
}

// receivePartResponse handles a member's answer to a part: it records how many bytes the member
// has received and sends further parts, after a rejection from the offset in the answer on.
func (n *Node) receivePartResponse(m Message) {
	p := n.peer(m.From)
	if p == nil || n.role != Leader {
		return
	}
	n.recordResponse(p, m)
	n.confirmBarriers()
	t := p.transfer
	if t == nil || t.entry != (m.Type == MessageEntryPartResponse) || m.Index != t.position || m.Offset > anvilid.ByteCount(len(t.data)) {
		return
	}
	switch {
	// The member rejects each part that it got after a lost one. Those that came before the parts that were sent again say nothing new.
	case m.Reject && m.Offset != t.nextOffset && m.Sent >= t.resentAt:
		t.ackedBytes, t.nextOffset, t.lastProgressAt, t.resentAt = m.Offset, m.Offset, n.now, n.now
	case m.Offset > t.ackedBytes:
		t.ackedBytes, t.nextOffset, t.lastProgressAt = m.Offset, max(t.nextOffset, m.Offset), n.now
	}
	switch isComplete := t.unacknowledged() == 0; {
	case isComplete && t.entry: // the member has the entry in memory, like those that were sent before
		p.transfer = nil
		p.addInflight(t.inflight())
	case isComplete:
		p.probing = false // the member has the snapshot in memory, and takes what follows
	}
	n.replicate(p)
}

// addPart adds a part to the incoming transfer, answers the leader, and reports whether
// the data is complete. It ignores a part that starts after the received data; the Offset of
// the answer tells the leader where to continue. Of a part that overlaps with that data, the
// rest counts: the leader repeats the last part, and earlier ones that were delivered twice may
// have begun the transfer anew.
func (n *Node) addPart(m Message, response MessageType) bool {
	in := n.incoming
	if in == nil || in.kind != m.Type || in.leaderTerm != m.Term || in.index != m.Index || in.term != m.LogTerm || in.size != m.Chunk.Size {
		in = &incomingTransfer{kind: m.Type, leaderTerm: m.Term, index: m.Index, term: m.LogTerm, size: m.Chunk.Size}
		n.incoming = in
	}
	received := anvilid.ByteCount(len(in.data))
	if m.Offset <= received && received < m.Offset+anvilid.ByteCount(len(m.Chunk.Data)) {
		in.data = append(in.data, m.Chunk.Data[received-m.Offset:]...)
	}
	n.send(Message{
		Type: response, To: m.From, Index: m.Index,
		Offset: anvilid.ByteCount(len(in.data)), Reject: m.Offset > received,
		Sent: n.follower.leaderSentAt, Round: n.follower.barrierRound,
	})
	return anvilid.ByteCount(len(in.data)) >= in.size
}

// awaitsSnapshot reports whether this node has got some parts of a snapshot from the present leader.
func (n *Node) awaitsSnapshot() bool {
	return n.incoming != nil && n.incoming.kind == MessageSnapshot && n.incoming.leaderTerm == n.hardState.Term
}

// receiveEntryPart handles a part of a large entry. Once all have arrived, the entry is handled as one that
// arrives in MessageAppend.
func (n *Node) receiveEntryPart(m Message) {
	if m.Chunk == nil {
		return
	}
	n.recordLeaderContact(m)
	if n.follower.verified > m.Index && m.Index >= n.log.base {
		// The entry after m.Index is the leader's already.
		n.incoming = nil
		n.acknowledge(0)
		return
	}
	if n.awaitsSnapshot() && m.Index > n.commit && !n.log.matches(m.Index, m.LogTerm) {
		n.rejectAppend(m) // the parts of the snapshot, on which the entry depends, are kept
		return
	}
	if !n.addPart(m, MessageEntryPartResponse) {
		return
	}
	data := n.incoming.data
	n.incoming = nil
	entry, err := decodeEntry(data)
	if err != nil {
		return // the leader sends the entry again
	}
	n.receiveAppend(Message{
		Type: MessageAppend, Group: m.Group, From: m.From, To: m.To, Term: m.Term, Index: m.Index, LogTerm: m.LogTerm,
		Entries: []Entry{entry}, Sent: m.Sent, Round: m.Round,
	})
}
