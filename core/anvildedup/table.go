// Package anvildedup implements the deduplication table of the ids of repeatable requests. It is
// used in two roles. The holder of an id is the instance that runs the request with this id; it
// stores the answer in its table. The coordinator of an id is the instance that other instances ask
// for its holder; its table stores no answers.
//
// A Table is not safe for concurrent use.
package anvildedup

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

const (
	// Retention is how long an id stays in the table: from the start of the request while it is in
	// flight, then from its end.
	Retention = anvilclock.Hour
	// MaxIDs is the default limit on the number of request ids in a Table, in flight and done.
	MaxIDs = 200_000
	// defaultAnswerBytes is the default limit on the total size of the answers that a holder
	// stores.
	defaultAnswerBytes anvilid.ByteCount = 64 << 20
)

// Key identifies a repeatable request. Request ids are unique only within an account and service.
type Key struct {
	Account anvilid.AccountID
	Service anvilid.ServiceName
	ID      anvilid.RequestID
}

// Digest is the hash of a request's content, by which a table recognizes that an id was used again for
// a request with other content.
type Digest [32]byte

// Holder is the run of an instance (an incarnation) that executes a request.
type Holder struct {
	Instance    anvilid.InstanceID
	Incarnation anvilid.Incarnation
}

// Answer is a complete response. Its body must not be modified once it is stored.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

func (a *Answer) size() anvilid.ByteCount {
	if a == nil {
		return 0
	}
	return anvilid.ByteCount(len(a.Body) + len(a.ContentType))
}

// State is the state of a request id in a table, or says why the id was not recorded.
type State string

// States that Begin and Lookup return.
const (
	New         State = "new"       // the id was recorded, and the caller is its holder now
	InFlight    State = "in flight" // the request is running at Result.Holder
	Done        State = "done"      // the request has ended at Result.Holder; Result.Answer is set if this table stores it
	Conflict    State = "conflict"  // the id was used for a request with other content
	Full        State = "full"      // the table is full of ids in flight; nothing was recorded
	CallerEnded State = "gone"      // the run of the caller has ended; nothing was recorded
	Unknown     State = "unknown"   // Lookup only: the id isn't in the table
)

// Result is what Begin and Lookup return about a request id.
type Result struct {
	State  State
	Holder Holder
	Answer *Answer
}

// Option configures a Table.
type Option func(*Table)

// WithMaxIDs sets the limit on the number of request ids in the table, in flight and done.
func WithMaxIDs(ids int) Option { return func(t *Table) { t.maxIDs = ids } }

// WithAnswerBytes sets the limit on the total size of stored answers.
func WithAnswerBytes(bytes anvilid.ByteCount) Option { return func(t *Table) { t.maxBytes = bytes } }

// Table records request ids, their holders and, at a holder, the answers.
type Table struct {
	maxIDs   int
	maxBytes anvilid.ByteCount // limit on bytes
	bytes    anvilid.ByteCount // total size of the stored answers

	entries     map[Key]*entry
	inFlight    list                                       // ordered by start time
	orphans     list                                       // in flight at holders whose run has ended
	done        list                                       // ordered by end time
	answered    list                                       // done with a stored answer, ordered by end time
	holders     map[Holder]*list                           // the ids in flight at each holder
	endedRuns   map[anvilid.InstanceID]anvilid.Incarnation // the latest run of each instance that is known to have ended
	freeEntries *entry                                     // entries for reuse, linked by nextFree
}

// NewTable returns an empty table.
func NewTable(options ...Option) *Table {
	t := &Table{
		maxIDs: MaxIDs, maxBytes: defaultAnswerBytes,
		entries: map[Key]*entry{}, holders: map[Holder]*list{}, endedRuns: map[anvilid.InstanceID]anvilid.Incarnation{},
	}
	for _, option := range options {
		option(t)
	}
	t.inFlight.init()
	t.orphans.init()
	t.done.init()
	t.answered.init()
	return t
}

// Len returns the number of request ids in the table, in flight and done.
func (t *Table) Len() int { return len(t.entries) }

// Bytes returns the total size of the stored answers.
func (t *Table) Bytes() anvilid.ByteCount { return t.bytes }

// Begin looks up an id and records the holder if the id is new. An id that is in flight at a holder
// whose run has ended counts as new again for a request with the same content.
func (t *Table) Begin(now anvilclock.Millis, key Key, digest Digest, holder Holder) Result {
	t.expire(now)
	if t.hasEnded(holder) {
		return Result{State: CallerEnded}
	}
	e, ok := t.entries[key]
	if ok && now-e.changed >= Retention {
		t.deleteEntry(e) // expire can miss it, because orphans are not ordered by age
		ok = false
	}
	if ok {
		switch {
		case e.digest != digest:
			return Result{State: Conflict, Holder: e.holder}
		case e.state == Done || !e.orphaned:
			return Result{State: e.state, Holder: e.holder, Answer: e.answer}
		}
		t.deleteEntry(e)
	}
	if !t.makeRoom() {
		return Result{State: Full}
	}
	e = t.newEntry()
	e.key, e.digest, e.holder, e.changed, e.state = key, digest, holder, now, InFlight
	t.entries[key] = e
	t.inFlight.pushBack(&e.byTime)
	t.inFlightList(holder).pushBack(&e.byHolder)
	return Result{State: New, Holder: holder}
}

// Lookup returns the state of an id without recording anything.
func (t *Table) Lookup(now anvilclock.Millis, key Key) Result {
	t.expire(now)
	e, ok := t.entries[key]
	if !ok || e.orphaned {
		return Result{State: Unknown}
	}
	return Result{State: e.state, Holder: e.holder, Answer: e.answer}
}

// Complete records that a request has ended with an answer. A coordinator passes nil, because it
// stores no answers. Complete returns false if the id is not in flight at the holder any more. The
// answers of the requests that ended first are deleted if the total size exceeds the limit.
func (t *Table) Complete(now anvilclock.Millis, key Key, holder Holder, answer *Answer) bool {
	t.expire(now)
	e, ok := t.inFlightEntry(key, holder)
	if !ok {
		return false
	}
	e.byHolder.unlink()
	e.byTime.unlink()
	e.state, e.changed = Done, now
	t.done.pushBack(&e.byTime)
	if size := answer.size(); answer != nil && size <= t.maxBytes {
		for t.bytes+size > t.maxBytes {
			t.deleteAnswer(t.answered.front())
		}
		e.answer = answer
		t.bytes += size
		t.answered.pushBack(&e.byHolder)
	}
	return true
}

// Remove removes an id whose request has not been run. It returns false if the id is not in flight
// at the holder any more.
func (t *Table) Remove(now anvilclock.Millis, key Key, holder Holder) bool {
	t.expire(now)
	e, ok := t.inFlightEntry(key, holder)
	if ok {
		t.deleteEntry(e)
	}
	return ok
}

// MarkHolderEnded records that a run of an instance and all of its earlier runs have ended. Their
// ids in flight count as new again.
func (t *Table) MarkHolderEnded(holder Holder) {
	if t.endedRuns[holder.Instance] < holder.Incarnation {
		t.endedRuns[holder.Instance] = holder.Incarnation
	}
	var ended []Holder
	for h := range t.holders {
		if h.Instance == holder.Instance && h.Incarnation <= holder.Incarnation {
			ended = append(ended, h)
		}
	}
	slices.SortFunc(ended, func(a, b Holder) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	for _, h := range ended {
		held := t.holders[h]
		for e := held.front(); e != nil; e = held.front() {
			e.byHolder.unlink()
			e.byTime.unlink()
			e.orphaned = true
			t.orphans.pushBack(&e.byTime)
		}
		delete(t.holders, h)
	}
}

func (t *Table) hasEnded(holder Holder) bool {
	last, ok := t.endedRuns[holder.Instance]
	return ok && holder.Incarnation <= last
}

// inFlightEntry returns the entry of an id, and false unless the id is in flight at the given holder.
func (t *Table) inFlightEntry(key Key, holder Holder) (*entry, bool) {
	e, ok := t.entries[key]
	if !ok || e.state != InFlight || e.orphaned || e.holder != holder {
		return nil, false
	}
	return e, true
}

// makeRoom evicts an id if the table is full. It evicts the id that was orphaned first (its holder's
// run has ended); if there is none, the id whose request ended first. It returns false if all ids are
// in flight at running holders.
func (t *Table) makeRoom() bool {
	if len(t.entries) < t.maxIDs {
		return true
	}
	oldest := t.orphans.front()
	if oldest == nil {
		oldest = t.done.front()
	}
	if oldest == nil {
		return false
	}
	t.deleteEntry(oldest)
	return true
}

func (t *Table) expire(now anvilclock.Millis) {
	for _, l := range []*list{&t.inFlight, &t.orphans, &t.done} {
		for e := l.front(); e != nil && now-e.changed >= Retention; e = l.front() {
			t.deleteEntry(e)
		}
	}
}

func (t *Table) deleteEntry(e *entry) {
	e.byTime.unlink()
	if e.state == InFlight && !e.orphaned {
		e.byHolder.unlink()
	}
	if e.answer != nil {
		t.deleteAnswer(e)
	}
	delete(t.entries, e.key)
	*e = entry{nextFree: t.freeEntries}
	t.freeEntries = e
}

func (t *Table) deleteAnswer(e *entry) {
	e.byHolder.unlink()
	t.bytes -= e.answer.size()
	e.answer = nil
}

func (t *Table) inFlightList(holder Holder) *list {
	l, ok := t.holders[holder]
	if !ok {
		l = &list{}
		l.init()
		t.holders[holder] = l
	}
	return l
}

func (t *Table) newEntry() *entry {
	e := t.freeEntries
	if e == nil {
		e = &entry{}
	} else {
		t.freeEntries = e.nextFree
	}
	*e = entry{}
	e.byTime.entry, e.byHolder.entry = e, e
	return e
}
