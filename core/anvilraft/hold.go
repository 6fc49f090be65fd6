package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// A disk begins no sync while one runs, so that an entry waits for the sync of the commands before it. Between the mark of a lost
// voter and the seat of its successor that would cost the group up to a sync of a second in which it bears one loss less.
// The leader therefore holds commands back then, and appends them together with the seat.

// maxHold limits the time for which commands are held after the mark is committed.
const maxHold = anvilclock.Second

// heldCommands are the commands that a leader has not appended yet.
type heldCommands struct {
	proposals []heldProposal
	size      anvilid.ByteCount
	// until is how long commands are held once all marks and the first entry of the term are committed.
	until anvilclock.Millis
}

// heldProposal is a Propose event whose commands are not appended yet.
type heldProposal struct {
	key     uint64
	at      anvilclock.Millis
	entries []Entry
	size    anvilid.ByteCount
}

func newHeldProposal(event Propose) heldProposal {
	p := heldProposal{key: event.Key, at: event.At, entries: make([]Entry, len(event.Commands))}
	for i, command := range event.Commands {
		p.entries[i] = Entry{Kind: KindCommand, Data: command}
		p.size += p.entries[i].size()
	}
	return p
}

// holdsCommands reports whether a seat in place of a marked voter is expected soon: while the mark is not committed, when a command
// would only wait for the same syncs, and for the time of one sync after that if an instance joins.
func (n *Node) holdsCommands() bool {
	members := n.members.latest()
	switch {
	case len(members.Lost) == 0, len(members.Voters)%2 == 0:
		return false
	case n.members.lastChangeIndex() > n.commit, !n.hasCommittedInTerm():
		return true
	}
	return len(n.leading.joining) > 0 && n.now < n.leading.held.until
}

// extendHold is called when a change of the members or the first entry of the term is committed.
func (n *Node) extendHold() {
	n.leading.held.until = n.now + min(n.persisted.latestSync, maxHold)
}

func (n *Node) hold(proposal heldProposal) {
	n.leading.held.proposals = append(n.leading.held.proposals, proposal)
	n.leading.held.size += proposal.size
}

// releaseDueCommands appends the commands that need not be held any longer.
func (n *Node) releaseDueCommands() {
	if len(n.leading.held.proposals) > 0 && !n.holdsCommands() {
		n.appendWithHeld()
	}
}

// appendWithHeld appends entries and all commands that are held by one write, and accepts these commands.
func (n *Node) appendWithHeld(entries ...Entry) {
	next := n.log.last() + 1 + anvilid.Index(len(entries))
	var at anvilclock.Millis
	for _, proposal := range n.leading.held.proposals {
		entries, at = append(entries, proposal.entries...), max(at, proposal.at)
		last := next + anvilid.Index(len(proposal.entries)) - 1
		n.accept(proposal.key, next, last)
		next = last + 1
	}
	n.leading.held.proposals, n.leading.held.size = nil, 0
	n.appendAsLeader(at, entries...)
}

func (n *Node) accept(key uint64, first, last anvilid.Index) {
	n.effects.Accepted = append(n.effects.Accepted, Acceptance{Key: key, First: first, Last: last, Term: n.hardState.Term})
}
