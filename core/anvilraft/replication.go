package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// peer is the leader's view of the progress of another member.
type peer struct {
	id    VoterID
	match anvilid.Index // synced by the member and equal to the leader's log
	next  anvilid.Index // the next entry to send
	// firstTarget is the end of the log when this leader began to send it to the member.
	firstTarget anvilid.Index
	// probing means that the leader only assumes that the member has the entries before next.
	// Until the member accepts a message, only messages without entries are sent to it.
	probing  bool
	inflight []inflightAppend
	// inflightBytes and inflightEntries are the totals of inflight.
	inflightBytes   anvilid.ByteCount
	inflightEntries int
	// transfer is not nil while a snapshot or a large entry is being sent to the member in parts.
	transfer *transfer
	// backedOffAt is when next was last lowered, and backedOffAgain means that this was shortly after the time before.
	backedOffAt    anvilclock.Millis
	backedOffAgain bool

	lastResponseAt anvilclock.Millis // when the latest response arrived
	missed         anvilclock.Millis // time since then in which this process did not run
	answeredSentAt anvilclock.Millis // highest Sent among the answered messages
	answeredRound  uint64            // highest barrier round among the answered messages
}

// inflightAppend is one message with entries that is not yet acknowledged.
type inflightAppend struct {
	last    anvilid.Index
	bytes   anvilid.ByteCount
	entries int
}

// distantPast is earlier than any time a clock shows, but so small in magnitude that
// differences with it don't overflow.
const distantPast = anvilclock.Millis(-1 << 60)

// newPeer returns the record of a member whose log is assumed to equal the leader's. If it
// does not, the member rejects the first message, and probing starts (peer.probing).
func (n *Node) newPeer(id VoterID) *peer {
	return &peer{id: id, next: n.log.last() + 1, firstTarget: n.log.last(), lastResponseAt: n.now, answeredSentAt: distantPast, backedOffAt: distantPast}
}

func (n *Node) peer(id VoterID) *peer {
	for _, p := range n.leading.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// replicate sends parts of a snapshot if the member needs entries that are no longer in memory, and as many entries as
// flow control permits, or parts of a large entry.
func (n *Node) replicate(p *peer) {
	if p.transfer == nil && p.next <= n.log.base {
		n.startSnapshotTransfer(p)
	}
	if p.transfer != nil {
		n.sendParts(p, p.transfer, n.maxInflightBytes(p)-p.inflightBytes)
	}
	for p.takesEntries() && n.log.base < p.next && p.next <= n.log.last() {
		bytes := n.freeWindow(p)
		entries := n.windows(p)*n.options.maxInflightEntries - p.inflightEntries
		if bytes <= 0 || entries <= 0 {
			return
		}
		if n.needsTransfer(p) {
			if n.sendLargeEntry(p, bytes) {
				continue
			}
			if p.transfer == nil {
				n.startEntryTransfer(p)
				n.sendParts(p, p.transfer, bytes)
			}
			return
		}
		n.sendBatch(p, min(bytes, n.options.maxMessageBytes), entries)
	}
}

// takesEntries reports whether entries may be sent to a member now.
func (p *peer) takesEntries() bool {
	return !p.probing && (p.transfer == nil || p.transfer.precedesEntries())
}

// joiningWindows is how many windows of entries an instance is sent that joins, without an acknowledgement. Each acknowledgement
// waits for a sync, and an instance that needs one sync for each window of a long log has no vote for seconds.
// No election and no commit waits for heartbeats behind these windows.
const joiningWindows = 32

// windows returns how many windows (maxInflightBytes, maxInflightEntries) may be unacknowledged. A leader that seats successors when it
// is elected commits nothing before they have the log.
func (n *Node) windows(p *peer) int {
	if n.joins(p) {
		return joiningWindows
	}
	return 1
}

// joins reports whether an instance gets the log before it is a member, or before it has its own seat.
func (n *Node) joins(p *peer) bool {
	_, joins := n.leading.joining[p.id]
	return joins || p.match < n.members.seatedAt(p.id)
}

// maxInflightBytes returns how many bytes may be unacknowledged.
func (n *Node) maxInflightBytes(p *peer) anvilid.ByteCount {
	return anvilid.ByteCount(n.windows(p)) * n.options.maxInflightBytes
}

// freeWindow returns how many further bytes may be sent before an acknowledgement. It is negative if the last message exceeded the limit.
func (n *Node) freeWindow(p *peer) anvilid.ByteCount {
	return n.maxInflightBytes(p) - p.inflightBytes - p.transfer.unacknowledged()
}

// sendBatch sends at most count entries and limit bytes from p.next on, but at least one
// entry.
func (n *Node) sendBatch(p *peer, limit anvilid.ByteCount, count int) {
	entries, size := n.log.batch(p.next, limit, count)
	n.sendAppend(p, entries)
	p.next += anvilid.Index(len(entries))
	p.addInflight(inflightAppend{p.next - 1, size, len(entries)})
}

func (p *peer) addInflight(sent inflightAppend) {
	p.inflight = append(p.inflight, sent)
	p.inflightBytes += sent.bytes
	p.inflightEntries += sent.entries
}

// sendAppend sends entries that start at p.next, or a heartbeat if there are none. A
// heartbeat contains the index and term of the last entry sent, so that the member rejects
// the heartbeat if that entry was lost.
func (n *Node) sendAppend(p *peer, entries []Entry) {
	m := Message{
		Type: MessageAppend, To: p.id, Entries: entries, Commit: n.commit,
		Sent: n.now, Round: n.leading.barrierRound,
	}
	// While parts are being sent, the heartbeat carries index 0, which always matches.
	if term, ok := n.log.term(p.next - 1); ok && (p.transfer == nil || p.transfer.precedesEntries()) {
		m.Index, m.LogTerm = p.next-1, term
	}
	n.send(m)
}

// receiveAppendResponse handles a member's answer to entries or to a heartbeat: it updates the progress
// of the member, commits what a quorum has, and sends the next entries.
func (n *Node) receiveAppendResponse(m Message) {
	p := n.peer(m.From)
	if p == nil || n.role != Leader {
		return
	}
	n.recordResponse(p, m)
	p.advanceMatch(m.Match)
	if m.Reject {
		n.backOffNext(p, m)
	} else if p.probing && m.Index == p.next-1 {
		p.probing = false
	}
	n.advanceCommit()
	n.confirmBarriers()
	n.stepDownIfRemoved()
	if n.role == Leader {
		n.replicate(p)
	}
}

// recordResponse records the arrival of a response, for the quorum check and for read
// barriers.
func (n *Node) recordResponse(p *peer, m Message) {
	p.lastResponseAt, p.missed = n.now, 0
	p.answeredSentAt = max(p.answeredSentAt, m.Sent)
	p.answeredRound = max(p.answeredRound, m.Round)
}

// advanceMatch raises p.match, and removes the messages whose entries are acknowledged by it
// from p.inflight.
func (p *peer) advanceMatch(match anvilid.Index) {
	if match <= p.match {
		return
	}
	p.match = match
	done := 0
	for ; done < len(p.inflight) && p.inflight[done].last <= match; done++ {
		p.inflightBytes -= p.inflight[done].bytes
		p.inflightEntries -= p.inflight[done].entries
	}
	p.inflight = p.inflight[done:]
	if p.transfer != nil && match >= p.transfer.completeAt {
		p.transfer = nil
	}
	if match+1 >= p.next {
		p.next, p.probing = match+1, false
	}
}

// backOffNext lowers p.next after a rejection, to just after the highest entry up to which
// the logs may be equal. It compares the terms of both logs, and so skips all entries of a
// term in one round trip.
func (n *Node) backOffNext(p *peer, m Message) {
	if p.transfer != nil && p.transfer.precedesEntries() {
		n.holdBackEntries(p, m)
		return
	}
	if p.transfer != nil && !p.transfer.lost(m) {
		return
	}
	stale := m.Index <= p.match || p.probing && m.Index != p.next-1 || m.Index >= p.next
	if stale {
		return
	}
	p.transfer = nil
	n.noteBackOff(p)
	hint, term := n.log.lastAtOrBelow(m.Hint, m.HintTerm)
	if m.Hint < n.log.base || term > m.HintTerm {
		// None of the leader's entries in memory can be in the member's log. With p.next at or below
		// the base of the log, replicate sends a snapshot.
		hint = min(m.Hint, n.log.base-1)
	}
	p.next = max(hint, p.match) + 1
	p.probing = p.next > n.log.base
	p.clearInflight()
	if p.probing {
		n.sendAppend(p, nil)
	}
}

// holdBackEntries lowers p.next after a rejection of entries that were sent behind a snapshot. If the member lacks the snapshot
// itself, they are sent again once it has all parts, which the answer to the last part or to a heartbeat shows.
func (n *Node) holdBackEntries(p *peer, m Message) {
	first := p.transfer.completeAt + 1
	if p.probing && m.Index != p.next-1 || m.Index >= p.next || m.Index+1 < first {
		return
	}
	next := first
	if m.Hint >= first {
		hint, _ := n.log.lastAtOrBelow(m.Hint, m.HintTerm)
		next = max(hint+1, first)
	}
	probes := m.Hint+1 >= first && next < p.next // a member that lacks the snapshot would reject each message at once
	n.noteBackOff(p)
	p.next, p.probing = next, true
	p.clearInflight()
	if probes {
		n.sendAppend(p, nil)
	}
}

// noteBackOff notes that p.next is lowered.
func (n *Node) noteBackOff(p *peer) {
	p.backedOffAgain = n.now-p.backedOffAt < n.options.minElectionTimeout
	p.backedOffAt = n.now
}

func (p *peer) clearInflight() { p.inflight, p.inflightBytes, p.inflightEntries = nil, 0, 0 }
