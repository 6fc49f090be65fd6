package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// peer is the leader's view of another member.
type peer struct {
	id    VoterID
	voter bool
	match anvilid.Index // synced by the member and equal to the leader's log
	next  anvilid.Index // the next entry to send
	// probing means that next is a guess: only messages without entries are
	// sent until one is accepted.
	probing  bool
	inflight []flight
	// inflightBytes and inflightEntries sum up inflight.
	inflightBytes   anvilid.ByteCount
	inflightEntries int
	// transfer is set while the member receives a snapshot.
	transfer *transfer

	heardAt anvilclock.Millis // when the latest response arrived
	sent    anvilclock.Millis // when the latest answered message was sent
	round   uint64            // the latest answered barrier round
}

// flight is one message of entries that is not yet acknowledged.
type flight struct {
	last    anvilid.Index
	bytes   anvilid.ByteCount
	entries int
}

// never is earlier than any time of a clock, without overflow in differences.
const never = anvilclock.Millis(-1 << 60)

// newPeer assumes that the member has the leader's log up to next-1. If not,
// it rejects the first message, and probing starts.
func (n *Node) newPeer(id VoterID) *peer {
	return &peer{id: id, next: n.log.last() + 1, heardAt: n.now, sent: never}
}

func (n *Node) peer(id VoterID) *peer {
	for _, p := range n.leading.peers {
		if p.id == id {
			return p
		}
	}
	return nil
}

// replicate sends as many entries as the flow control permits.
func (n *Node) replicate(p *peer) {
	if p.transfer == nil && p.next <= n.log.base {
		n.startTransfer(p)
	}
	if p.transfer != nil {
		n.sendChunks(p, n.options.inflightBytes)
		return
	}
	for !p.probing && p.next <= n.log.last() {
		bytes := n.options.inflightBytes - p.inflightBytes
		entries := n.options.inflightEntries - p.inflightEntries
		if bytes <= 0 || entries <= 0 {
			return
		}
		n.sendBatch(p, min(bytes, n.options.messageBytes), entries)
	}
}

func (n *Node) sendBatch(p *peer, limit anvilid.ByteCount, count int) {
	entries, size := n.log.batch(p.next, limit, count)
	n.sendAppend(p, entries)
	p.next += anvilid.Index(len(entries))
	p.inflight = append(p.inflight, flight{p.next - 1, size, len(entries)})
	p.inflightBytes += size
	p.inflightEntries += len(entries)
}

// sendAppend sends entries that start at p.next, or a heartbeat. A heartbeat
// names the last entry sent, so that its loss is noticed.
func (n *Node) sendAppend(p *peer, entries []Entry) {
	m := Message{
		Type: MessageAppend, To: p.id, Entries: entries, Commit: n.commit,
		Sent: n.now, Round: n.leading.round,
	}
	// During a transfer the heartbeat names no entry, and so always matches.
	if term, ok := n.log.term(p.next - 1); ok && p.transfer == nil {
		m.Index, m.LogTerm = p.next-1, term
	}
	n.send(m)
}

// receiveAppendResponse handles an answer to entries or a heartbeat.
func (n *Node) receiveAppendResponse(m Message) {
	p := n.peer(m.From)
	if p == nil || n.role != Leader {
		return
	}
	n.heardFrom(p, m)
	p.acknowledged(m.Match)
	if m.Reject {
		n.backOff(p, m)
	} else if p.probing && m.Index == p.next-1 {
		p.probing = false
	}
	n.advanceCommit()
	n.confirmBarriers()
	if n.role == Leader {
		n.replicate(p)
	}
}

func (n *Node) heardFrom(p *peer, m Message) {
	p.heardAt = n.now
	p.sent = max(p.sent, m.Sent)
	p.round = max(p.round, m.Round)
}

// acknowledged raises match and frees the flow control window.
func (p *peer) acknowledged(match anvilid.Index) {
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
	if p.transfer != nil && match >= p.transfer.snapshot.Index {
		p.transfer = nil
		p.next = match + 1
	}
	if match >= p.next {
		p.next, p.probing = match+1, false
	}
}

// backOff lowers next after a rejection to the highest entry that can match
// according to the terms of both logs, which skips a whole term at a time.
func (n *Node) backOff(p *peer, m Message) {
	stale := m.Index <= p.match || p.probing && m.Index != p.next-1 || m.Index >= p.next
	if stale || p.transfer != nil {
		return
	}
	hint, term := n.log.lastAtOrBelow(m.Hint, m.HintTerm)
	if m.Hint < n.log.base || term > m.HintTerm {
		// No entry in memory can match; next at or below base leads to a
		// snapshot.
		hint = min(m.Hint, n.log.base-1)
	}
	p.next = max(hint, p.match) + 1
	p.probing = p.next > n.log.base
	p.inflight, p.inflightBytes, p.inflightEntries = nil, 0, 0
	if p.probing {
		n.sendAppend(p, nil)
	}
}
