package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// maximumHeld bounds the messages withheld while a disk is slow. The oldest
// ones are dropped; the protocol tolerates lost messages.
const maximumHeld = 1024

// persistence tracks which Saves have been synced and what depends on them.
type persistence struct {
	sequence uint64 // of the latest Save
	synced   uint64 // of the latest Save reported as Persisted
	// stable is the last index up to which the log is known to be synced.
	stable  anvilid.Index
	pending []pendingSave
	// hardSequence is the Save that holds the current hard state.
	hardSequence uint64
	// hardAt is when that Save was made, and hardSpan how long the last Save of
	// a hard state took.
	hardAt, hardSpan anvilclock.Millis
	held             []heldMessage

	// What the Save of the current step will contain.
	hard     bool
	snapshot bool
	from     anvilid.Index
}

type pendingSave struct {
	sequence uint64
	last     anvilid.Index // the log is synced up to here, once this is synced
}

type heldMessage struct {
	sequence uint64 // must be synced before the message is sent
	message  Message
}

// holdsBack tells whether messages wait for the sync of the hard state.
func (p *persistence) holdsBack() bool { return p.hardSequence > p.synced }

// changedHard schedules the hard state for the Save of this step.
func (n *Node) changedHard() {
	n.persisted.hard = true
	n.persisted.hardSequence = n.persisted.sequence + 1
	n.persisted.hardAt = n.now
}

// appendToLog appends entries to the log and schedules them for saving.
func (n *Node) appendToLog(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	n.log.append(entries...)
	n.members.appended(entries)
	n.changedLog(entries[0].Index)
}

// truncateLog removes the entries from index on.
func (n *Node) truncateLog(index anvilid.Index) {
	n.log.truncate(index)
	n.members.truncated(index)
	n.changedLog(index)
	n.persisted.forget(index)
}

func (n *Node) changedLog(from anvilid.Index) {
	if n.persisted.from == 0 || from < n.persisted.from {
		n.persisted.from = from
	}
}

// forget stops counting the entries from index on as synced, now or when a
// pending Save is synced, because they are no longer in the log.
func (p *persistence) forget(index anvilid.Index) {
	p.stable = min(p.stable, index-1)
	for i := range p.pending {
		p.pending[i].last = min(p.pending[i].last, index-1)
	}
}

// saved handles Persisted.
func (n *Node) saved(sequence uint64) {
	p := &n.persisted
	held := p.holdsBack()
	p.synced = max(p.synced, min(sequence, p.sequence))
	if held && !p.holdsBack() {
		// A process that was suspended meanwhile must not wait as long again.
		p.hardSpan = min(n.now-p.hardAt, n.options.electionMin<<maximumDoublings)
		n.waitAfterSync()
	}
	done := 0
	for ; done < len(p.pending) && p.pending[done].sequence <= p.synced; done++ {
		p.stable = max(p.stable, p.pending[done].last)
	}
	p.pending = p.pending[done:]
	switch n.role {
	case Candidate:
		n.countOwnVote()
	case Leader:
		n.advanceCommit()
	case Follower:
		n.acknowledgeSynced()
	}
}

// send releases a message, or withholds it until the current hard state is
// synced. Every message depends on it: a vote on the vote, others on the term.
func (n *Node) send(m Message) {
	m.Group, m.From = n.hard.Group, n.self
	if m.Term == 0 {
		m.Term = n.hard.Term
	}
	if p := &n.persisted; p.holdsBack() {
		p.held = append(p.held, heldMessage{p.hardSequence, m})
		return
	}
	n.out.Send = append(n.out.Send, m)
}

// finish builds the Save of this step, releases messages, and returns the
// effects.
func (n *Node) finish() Effects {
	n.buildSave()
	n.release()
	out := n.out
	n.out = Effects{}
	out.Role, out.Term, out.Leader = n.role, n.hard.Term, n.leader
	out.HasQuorum = n.HasQuorum(n.now)
	return out
}

func (n *Node) buildSave() {
	p := &n.persisted
	if !p.hard && !p.snapshot && p.from == 0 {
		return
	}
	p.sequence++
	save := &Save{Sequence: p.sequence, From: p.from}
	if p.hard {
		hard := n.hard
		save.Hard = &hard
	}
	if p.snapshot {
		snapshot := n.snapshot
		save.Snapshot = &snapshot
	}
	if p.from != 0 {
		save.Entries = n.log.between(p.from, n.log.last())
	}
	p.pending = append(p.pending, pendingSave{p.sequence, n.log.last()})
	p.hard, p.snapshot, p.from = false, false, 0
	n.out.Save = save
}

// release moves the messages whose state is synced to the effects.
func (n *Node) release() {
	p := &n.persisted
	if len(p.held) == 0 {
		return
	}
	kept := p.held[:0]
	for _, held := range p.held {
		if held.sequence <= p.synced {
			n.out.Send = append(n.out.Send, held.message)
		} else {
			kept = append(kept, held)
		}
	}
	if excess := len(kept) - maximumHeld; excess > 0 {
		kept = append(kept[:0], kept[excess:]...)
	}
	clear(p.held[len(kept):])
	p.held = kept
}
