package anvilraft

import (
	"errors"
	"fmt"
	"slices"

	"anvilshunt/core/anvilid"
)

// ErrDamaged means that the stored state is inconsistent and cannot be used.
var ErrDamaged = errors.New("stored log is damaged; clear the data directory and add this voter anew")

// PersistentState is the stored state of a voter, as read from its data directory. The zero
// value with only Storage set is a new voter that waits to be added to a group.
type PersistentState struct {
	Storage StorageID
	Hard    HardState
	// Snapshot has index zero if there is none.
	Snapshot Snapshot
	// Entries are the last entries of the log, without gaps. They may overlap the snapshot.
	Entries []Entry
}

// IsEmpty reports whether the voter has never belonged to a group.
func (r *PersistentState) IsEmpty() bool {
	return r.Hard == (HardState{}) && r.Snapshot.Index == 0 && len(r.Entries) == 0
}

// Apply changes r as described by a Save. Adapters that write Saves to disk must store the
// same result.
func (r *PersistentState) Apply(save Save) {
	if save.Hard != nil {
		r.Hard = *save.Hard
	}
	if save.Snapshot != nil {
		r.Snapshot = *save.Snapshot
		r.Entries = slices.DeleteFunc(slices.Clone(r.Entries), func(e Entry) bool {
			return e.Index <= save.Snapshot.Index
		})
	}
	if save.From == 0 {
		return
	}
	keep := slices.IndexFunc(r.Entries, func(e Entry) bool { return e.Index >= save.From })
	if keep < 0 {
		keep = len(r.Entries)
	}
	r.Entries = append(r.Entries[:keep:keep], save.Entries...)
}

// Members returns the latest membership in the log, or the one in the snapshot if the log
// has none.
func (r *PersistentState) Members() (Members, error) {
	for _, entry := range slices.Backward(r.Entries) {
		if entry.Kind == KindMembers && entry.Index > r.Snapshot.Index {
			return decodeMembers(entry.Data)
		}
	}
	return r.Snapshot.Members, nil
}

// last returns the index and term of the last stored entry.
func (r *PersistentState) last() (anvilid.Index, anvilid.Term) {
	if n := len(r.Entries); n > 0 && r.Entries[n-1].Index > r.Snapshot.Index {
		return r.Entries[n-1].Index, r.Entries[n-1].Term
	}
	return r.Snapshot.Index, r.Snapshot.Term
}

// Check returns an error unless the stored state is consistent: the entries follow the
// snapshot without gaps, terms never decrease, and member lists can be decoded.
func (r *PersistentState) Check() error {
	index, term := r.Snapshot.Index, r.Snapshot.Term
	for _, entry := range r.Entries {
		if entry.Index <= r.Snapshot.Index {
			continue
		}
		if entry.Index != index+1 || entry.Term < term {
			return fmt.Errorf("%w: entry %d of term %d follows entry %d of term %d",
				ErrDamaged, entry.Index, entry.Term, index, term)
		}
		index, term = entry.Index, entry.Term
		if entry.Kind != KindMembers {
			continue
		}
		if _, err := decodeMembers(entry.Data); err != nil {
			return fmt.Errorf("%w: entry %d: %w", ErrDamaged, index, err)
		}
	}
	if term > r.Hard.Term {
		return fmt.Errorf("%w: entry %d of term %d is newer than the stored term %d", ErrDamaged, index, term, r.Hard.Term)
	}
	return nil
}
