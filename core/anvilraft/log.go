package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// entryLog is the part of the log that is kept in memory: the entries after index base.
// Slices that it has returned stay valid, because entries are never overwritten in place:
// truncation lowers the capacity, so that the next append copies. baseTerm and baseTimestamp
// belong to the entry at index base.
type entryLog struct {
	base          anvilid.Index
	baseTerm      anvilid.Term
	baseTimestamp anvilclock.Millis
	entries       []Entry
}

// newEntryLog returns a log with the stored entries after the snapshot.
func newEntryLog(restored PersistentState) entryLog {
	log := entryLog{base: restored.Snapshot.Index, baseTerm: restored.Snapshot.Term, baseTimestamp: restored.Snapshot.At}
	for i, entry := range restored.Entries {
		if entry.Index > log.base {
			log.entries = restored.Entries[i:len(restored.Entries):len(restored.Entries)]
			break
		}
	}
	return log
}

func (l *entryLog) last() anvilid.Index { return l.base + anvilid.Index(len(l.entries)) }

func (l *entryLog) lastTerm() anvilid.Term {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Term
	}
	return l.baseTerm
}

func (l *entryLog) lastTimestamp() anvilclock.Millis {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].At
	}
	return l.baseTimestamp
}

// term returns the term of an entry, or false if the entry is not in memory.
func (l *entryLog) term(index anvilid.Index) (anvilid.Term, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// matches reports whether the log contains the entry with this index and term.
func (l *entryLog) matches(index anvilid.Index, term anvilid.Term) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// entryAt returns the entry at index, which must be in memory.
func (l *entryLog) entryAt(index anvilid.Index) Entry { return l.entries[index-l.base-1] }

// between returns the entries from first to last, inclusive.
func (l *entryLog) between(first, last anvilid.Index) []Entry {
	if first > last {
		return nil
	}
	low, high := first-l.base-1, last-l.base
	return l.entries[low:high:high]
}

// batch returns entries from index first on, and their total size. It returns at least one
// entry, and further ones as long as the batch has at most limit bytes and count entries.
func (l *entryLog) batch(first anvilid.Index, limit anvilid.ByteCount, count int) ([]Entry, anvilid.ByteCount) {
	entries := l.between(first, l.last())
	var size anvilid.ByteCount
	for i, entry := range entries {
		if i > 0 && (size+entry.size() > limit || i >= count) {
			return entries[:i:i], size
		}
		size += entry.size()
	}
	return entries, size
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entries from index on.
func (l *entryLog) truncate(index anvilid.Index) {
	keep := index - l.base - 1
	l.entries = l.entries[:keep:keep]
}

// firstTrailing returns the index of the first of the entries up to last that stay in memory: the latest ones, at
// most count of them with at most limit bytes. It is last+1 if none does.
func (l *entryLog) firstTrailing(last anvilid.Index, count int, limit anvilid.ByteCount) anvilid.Index {
	first := last + 1
	for ; first > l.base+1 && count > 0; first-- {
		limit -= l.entryAt(first - 1).size()
		count--
		if limit < 0 {
			break
		}
	}
	return first
}

// compact removes the entries up to index from memory.
func (l *entryLog) compact(index anvilid.Index) {
	if index <= l.base {
		return
	}
	removed := l.entryAt(index)
	// Copies the remaining entries, so that the memory of the removed ones is freed.
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm, l.baseTimestamp = index, removed.Term, removed.At
}

// reset replaces the log by an empty one that continues after the snapshot.
func (l *entryLog) reset(snapshot Snapshot) {
	*l = entryLog{base: snapshot.Index, baseTerm: snapshot.Term, baseTimestamp: snapshot.At}
}

// upToDate reports whether a log that ends at index and term is at least as recent as this
// one.
func (l *entryLog) upToDate(index anvilid.Index, term anvilid.Term) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// lastAtOrBelow returns the index and term of the highest entry of this log that is at or below
// index and whose term is not above term. If another log has the given term at index, no higher
// entry of this log at or below index can be in the other log: terms never decrease within a log,
// so the other log has no entry with a higher term there.
func (l *entryLog) lastAtOrBelow(index anvilid.Index, term anvilid.Term) (anvilid.Index, anvilid.Term) {
	index = min(index, l.last())
	for ; index > l.base; index-- {
		if own := l.entryAt(index).Term; own <= term {
			return index, own
		}
	}
	return l.base, l.baseTerm
}
