package anvildisk

import (
	"slices"

	"anvilshunt/core/anvilid"
)

// termRun tells that the entries from first on have term, up to the next run.
type termRun struct {
	first anvilid.Index
	term  anvilid.Term
}

// logShape knows the extent and the terms of the log without its data.
type logShape struct {
	last anvilid.Index
	runs []termRun // the first run starts at the oldest known entry
}

func newShape(last anvilid.Index, term anvilid.Term) logShape {
	return logShape{last: last, runs: []termRun{{first: last, term: term}}}
}

// truncate drops the entries from an index on.
func (l *logShape) truncate(from anvilid.Index) {
	for len(l.runs) > 0 && l.runs[len(l.runs)-1].first >= from {
		l.runs = l.runs[:len(l.runs)-1]
	}
	if from > 0 {
		l.last = min(l.last, from-1)
	}
}

// append adds an entry and drops the entries that it replaces. The caller has
// checked that index is at most last+1.
func (l *logShape) append(index anvilid.Index, term anvilid.Term) {
	l.truncate(index)
	if len(l.runs) == 0 || l.runs[len(l.runs)-1].term != term {
		l.runs = append(l.runs, termRun{first: index, term: term})
	}
	l.last = index
}

// term returns the term of an entry, and false if it isn't known.
func (l *logShape) term(index anvilid.Index) (anvilid.Term, bool) {
	if index > l.last {
		return 0, false
	}
	for i := len(l.runs) - 1; i >= 0; i-- {
		if l.runs[i].first <= index {
			return l.runs[i].term, true
		}
	}
	return 0, false
}

func (l *logShape) matches(index anvilid.Index, term anvilid.Term) bool {
	known, ok := l.term(index)
	return ok && known == term
}

// lastTerm returns the term of the last entry.
func (l *logShape) lastTerm() anvilid.Term {
	term, _ := l.term(l.last)
	return term
}

// follow makes the log start after a snapshot. It returns false if the log
// doesn't have the last entry of the snapshot and is therefore void.
func (l *logShape) follow(index anvilid.Index, term anvilid.Term) bool {
	if !l.matches(index, term) {
		*l = newShape(index, term)
		return false
	}
	for len(l.runs) > 1 && l.runs[1].first <= index {
		l.runs = l.runs[1:]
	}
	l.runs[0].first = index
	return true
}

func (l *logShape) clone() logShape { return logShape{last: l.last, runs: slices.Clone(l.runs)} }
