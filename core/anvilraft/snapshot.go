package anvilraft

import "anvilshunt/core/anvilid"

// compact handles a Compact event: it replaces the snapshot, and drops the entries that the
// new one covers from memory, except for the trailing ones (WithTrailingEntries and
// WithTrailingBytes).
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
	n.log.compact(n.firstTrailing(entry.Index) - 1)
}

// firstTrailing returns the first entry that stays in memory after a compaction up to an index. While an instance joins, these are also all
// that may be on their way to it: if a message was lost, it would get another snapshot instead, which takes several syncs to store.
func (n *Node) firstTrailing(index anvilid.Index) anvilid.Index {
	first := n.log.firstTrailing(index, n.options.trailingEntries, n.options.trailingBytes)
	if len(n.leading.joining) == 0 {
		return first
	}
	return min(first, n.log.firstTrailing(index, joiningWindows*n.options.maxInflightEntries, joiningWindows*n.options.maxInflightBytes))
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
	if n.addPart(m, MessageSnapshotResponse) {
		n.installSnapshot(m)
	}
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
