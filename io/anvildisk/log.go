package anvildisk

import (
	"slices"

	"anvilshunt/core/anvilid"
)

// termRun is a sequence of log entries with the same term. It starts at index first and ends
// before the first index of the next termRun.
type termRun struct {
	first anvilid.Index
	term  anvilid.Term
}

// termTable stores which indexes the log contains and the term of each entry, without the data of
// the entries.
type termTable struct {
	last anvilid.Index
	runs []termRun // the first run starts at the oldest known entry
}

func newTermTable(last anvilid.Index, term anvilid.Term) termTable {
	return termTable{last: last, runs: []termRun{{first: last, term: term}}}
}

// truncate removes the entries from index from to the end.
func (t *termTable) truncate(from anvilid.Index) {
	for len(t.runs) > 0 && t.runs[len(t.runs)-1].first >= from {
		t.runs = t.runs[:len(t.runs)-1]
	}
	if from > 0 {
		t.last = min(t.last, from-1)
	}
}

// append adds an entry and removes the entries with the same or a higher index. The caller has
// checked that index is at most last+1.
func (t *termTable) append(index anvilid.Index, term anvilid.Term) {
	t.truncate(index)
	if len(t.runs) == 0 || t.runs[len(t.runs)-1].term != term {
		t.runs = append(t.runs, termRun{first: index, term: term})
	}
	t.last = index
}

// term returns the term of the entry at an index, or false if the table doesn't contain the entry.
func (t *termTable) term(index anvilid.Index) (anvilid.Term, bool) {
	if index > t.last {
		return 0, false
	}
	for i := len(t.runs) - 1; i >= 0; i-- {
		if t.runs[i].first <= index {
			return t.runs[i].term, true
		}
	}
	return 0, false
}

func (t *termTable) matches(index anvilid.Index, term anvilid.Term) bool {
	known, ok := t.term(index)
	return ok && known == term
}

// lastTerm returns the term of the last entry.
func (t *termTable) lastTerm() anvilid.Term {
	term, _ := t.term(t.last)
	return term
}

// startAfterSnapshot removes the entries that a snapshot covers, but keeps the term of the last
// covered entry, whose index and term are given. If the log doesn't contain this entry,
// startAfterSnapshot removes all entries and returns false.
func (t *termTable) startAfterSnapshot(index anvilid.Index, term anvilid.Term) bool {
	if !t.matches(index, term) {
		*t = newTermTable(index, term)
		return false
	}
	for len(t.runs) > 1 && t.runs[1].first <= index {
		t.runs = t.runs[1:]
	}
	t.runs[0].first = index
	return true
}

func (t *termTable) clone() termTable { return termTable{last: t.last, runs: slices.Clone(t.runs)} }
