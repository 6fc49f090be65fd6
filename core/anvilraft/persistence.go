package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// maxWithheldMessages limits the messages withheld while a disk is slow. The oldest are
// dropped, because the protocol tolerates lost messages.
const maxWithheldMessages = 1024

// persistence tracks which Saves are synced to disk, and which messages wait for that.
type persistence struct {
	sequence uint64 // sequence number of the latest Save
	synced   uint64 // sequence number of the latest Save reported as Persisted
	// stableIndex is the last index up to which the log is known to be synced.
	stableIndex  anvilid.Index
	pendingSaves []pendingSave
	// hardStateSequence is the sequence number of the Save with the current hard state.
	hardStateSequence uint64
	withheld          []withheldMessage
	// latestSync is the time from the latest Save that is synced to the end of its sync.
	latestSync anvilclock.Millis

	// The following fields say what the Save of the current step will contain. changedFrom is the
	// index from which on the log has changed, or 0.
	hardStateChanged bool
	membersNoted     bool // HardState.MembersAt has changed, which alone needs no Save
	membersNotedAt   anvilclock.Millis
	snapshotChanged  bool
	changedFrom      anvilid.Index
}

type pendingSave struct {
	sequence  uint64
	lastIndex anvilid.Index // the log is synced up to here once this Save is synced
	at        anvilclock.Millis
}

type withheldMessage struct {
	sequence uint64 // must be synced before the message is sent
	message  Message
}

// hardStateUnsynced reports whether messages are withheld until the hard state is synced.
func (p *persistence) hardStateUnsynced() bool { return p.hardStateSequence > p.synced }

// scheduleHardStateSave includes the hard state in the Save of this step.
func (n *Node) scheduleHardStateSave() {
	n.persisted.hardStateChanged = true
	n.persisted.hardStateSequence = n.persisted.sequence + 1
}

// appendToLog appends entries to the log and includes them in the Save of this step.
func (n *Node) appendToLog(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	n.log.append(entries...)
	known := len(n.members.changes)
	n.members.addFromEntries(entries)
	n.forgetFound(n.members.changes[known-1:])
	n.scheduleEntriesSave(entries[0].Index)
}

// truncateLog removes the entries from index on.
func (n *Node) truncateLog(index anvilid.Index) {
	n.log.truncate(index)
	n.members.removeFrom(index)
	n.scheduleEntriesSave(index)
	n.persisted.markUnsyncedFrom(index)
}

// scheduleEntriesSave includes the log from index from on in the Save of this step.
func (n *Node) scheduleEntriesSave(from anvilid.Index) {
	if n.persisted.changedFrom == 0 || from < n.persisted.changedFrom {
		n.persisted.changedFrom = from
	}
}

// markUnsyncedFrom records that the entries from index on were replaced in the log. They no
// longer count as synced, and the sync of a pending Save does not make them count.
func (p *persistence) markUnsyncedFrom(index anvilid.Index) {
	p.stableIndex = min(p.stableIndex, index-1)
	for i := range p.pendingSaves {
		p.pendingSaves[i].lastIndex = min(p.pendingSaves[i].lastIndex, index-1)
	}
}

// handlePersisted handles a Persisted event: it performs what waited for the sync, which is
// to count the own vote, to commit or to acknowledge entries.
func (n *Node) handlePersisted(sequence uint64) {
	p := &n.persisted
	wasUnsynced := p.hardStateUnsynced()
	p.synced = max(p.synced, min(sequence, p.sequence))
	if wasUnsynced && !p.hardStateUnsynced() {
		n.rescheduleElectionAfterSync()
	}
	done := 0
	for ; done < len(p.pendingSaves) && p.pendingSaves[done].sequence <= p.synced; done++ {
		p.stableIndex = max(p.stableIndex, p.pendingSaves[done].lastIndex)
		p.latestSync = n.now - p.pendingSaves[done].at
	}
	p.pendingSaves = p.pendingSaves[done:]
	switch n.role {
	case Candidate:
		n.countOwnVote()
	case Leader:
		n.advanceCommit()
	case Follower:
		n.acknowledgeSynced()
	}
}

// send lists a message in the effects, or withholds it until the current hard state is
// synced. All messages depend on that state: a vote response on the vote, the others on the
// term. See mayPrecedeSync for the exception.
func (n *Node) send(m Message) {
	m.Group, m.From = n.hardState.Group, n.self
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	if p := &n.persisted; p.hardStateUnsynced() && !n.mayPrecedeSync(m) {
		p.withheld = append(p.withheld, withheldMessage{p.hardStateSequence, m})
		return
	}
	n.effects.Send = append(n.effects.Send, m)
}

// takeEffects builds the Save of this step, releases the withheld messages whose hard state
// is synced, and returns the effects.
func (n *Node) takeEffects() Effects {
	n.buildSave()
	n.releaseWithheld()
	out := n.effects
	n.effects = Effects{}
	out.Role, out.Term, out.Leader = n.role, n.hardState.Term, n.leader
	out.HasQuorum = n.HasQuorum(n.now)
	return out
}

func (n *Node) buildSave() {
	p := &n.persisted
	if !p.hardStateChanged && !p.snapshotChanged && p.changedFrom == 0 {
		return
	}
	p.sequence++
	save := &Save{Sequence: p.sequence, From: p.changedFrom}
	if p.hardStateChanged || p.membersNoted {
		hard := n.hardState
		save.Hard = &hard
	}
	if p.snapshotChanged {
		snapshot := n.snapshot
		save.Snapshot = &snapshot
	}
	if p.changedFrom != 0 {
		save.Entries = n.log.between(p.changedFrom, n.log.last())
	}
	p.pendingSaves = append(p.pendingSaves, pendingSave{p.sequence, n.log.last(), n.now})
	p.hardStateChanged, p.membersNoted, p.snapshotChanged, p.changedFrom = false, false, false, 0
	n.effects.Save = save
}

// releaseWithheld moves the messages whose hard state is synced to the effects.
func (n *Node) releaseWithheld() {
	p := &n.persisted
	if len(p.withheld) == 0 {
		return
	}
	kept := p.withheld[:0]
	for _, held := range p.withheld {
		if held.sequence <= p.synced {
			n.effects.Send = append(n.effects.Send, held.message)
		} else {
			kept = append(kept, held)
		}
	}
	if excess := len(kept) - maxWithheldMessages; excess > 0 {
		kept = append(kept[:0], kept[excess:]...)
	}
	clear(p.withheld[len(kept):])
	p.withheld = kept
}
