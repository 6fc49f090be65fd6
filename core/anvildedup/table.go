// Package anvildedup is the table of ids of repeatable requests. A keeper
// uses it to know the holder of each id; a holder also stores the answers.
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
	// Retention is how long an id is kept: after its start while it is in
	// flight, then after its end.
	Retention = anvilclock.Hour
	// MaxIDs bounds the number of ids.
	MaxIDs = 200_000
	// defaultAnswerBytes bounds the answers that a holder stores.
	defaultAnswerBytes anvilid.ByteCount = 64 << 20
)

// Key names a request.
type Key struct {
	Account anvilid.AccountID
	Service anvilid.ServiceName
	ID      anvilid.RequestID
}

// Digest is the digest of a request's content.
type Digest [32]byte

// Holder is the run of an instance that executes a request.
type Holder struct {
	Instance    anvilid.InstanceID
	Incarnation anvilid.Incarnation
}

// Answer is a complete response. Its body must not be changed once stored.
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

// State is the state of an id.
type State string

// States that Begin and Lookup return.
const (
	New         State = "new"       // the caller is the holder now
	InFlight    State = "in flight" // at Holder
	Done        State = "done"      // at Holder; Answer is set if it is stored here
	Conflict    State = "conflict"  // the id was used for other content
	Full        State = "full"      // all ids are in flight; nothing was noted
	CallerEnded State = "gone"      // the run that asks has ended; nothing was noted
	Unknown     State = "unknown"   // Lookup only: the id isn't in the table
)

// Result is the answer to Begin and Lookup.
type Result struct {
	State  State
	Holder Holder
	Answer *Answer
}

// Option configures a Table.
type Option func(*Table)

// WithMaxIDs sets the bound on ids.
func WithMaxIDs(ids int) Option { return func(t *Table) { t.mostIDs = ids } }

// WithAnswerBytes sets the bound on the bytes of stored answers.
func WithAnswerBytes(bytes anvilid.ByteCount) Option { return func(t *Table) { t.mostBytes = bytes } }

// Table records request ids.
type Table struct {
	mostIDs   int
	mostBytes anvilid.ByteCount
	bytes     anvilid.ByteCount

	entries  map[Key]*entry
	inFlight list // by start
	lost     list // in flight at holders that are gone
	done     list // by end
	answered list // done with a stored answer, by end
	holders  map[Holder]*list
	gone     map[anvilid.InstanceID]anvilid.Incarnation
	spare    *entry
}

// NewTable returns an empty table.
func NewTable(options ...Option) *Table {
	t := &Table{
		mostIDs: MaxIDs, mostBytes: defaultAnswerBytes,
		entries: map[Key]*entry{}, holders: map[Holder]*list{}, gone: map[anvilid.InstanceID]anvilid.Incarnation{},
	}
	for _, option := range options {
		option(t)
	}
	t.inFlight.init()
	t.lost.init()
	t.done.init()
	t.answered.init()
	return t
}

// Len returns the number of ids.
func (t *Table) Len() int { return len(t.entries) }

// Bytes returns the size of the stored answers.
func (t *Table) Bytes() anvilid.ByteCount { return t.bytes }

// Begin looks an id up and notes the holder if the id is new. An id in
// flight at a holder that is gone is new again for the same content.
func (t *Table) Begin(now anvilclock.Millis, key Key, digest Digest, holder Holder) Result {
	t.expire(now)
	if t.isGone(holder) {
		return Result{State: CallerEnded}
	}
	e, ok := t.entries[key]
	if ok && now-e.at >= Retention {
		t.drop(e) // lost ids are not listed by age
		ok = false
	}
	if ok {
		switch {
		case e.digest != digest:
			return Result{State: Conflict, Holder: e.holder}
		case e.state == Done || !e.lost:
			return Result{State: e.state, Holder: e.holder, Answer: e.answer}
		}
		t.drop(e)
	}
	if !t.makeRoom() {
		return Result{State: Full}
	}
	e = t.allocate()
	e.key, e.digest, e.holder, e.at, e.state = key, digest, holder, now, InFlight
	t.entries[key] = e
	t.inFlight.pushBack(&e.byTime)
	t.holderList(holder).pushBack(&e.byHolder)
	return Result{State: New, Holder: holder}
}

// Lookup tells the state of an id without noting anything.
func (t *Table) Lookup(now anvilclock.Millis, key Key) Result {
	t.expire(now)
	e, ok := t.entries[key]
	if !ok || e.lost {
		return Result{State: Unknown}
	}
	return Result{State: e.state, Holder: e.holder, Answer: e.answer}
}

// Complete notes that a request has ended with an answer. A keeper passes
// nil. It returns false if the holder no longer holds the id in flight.
func (t *Table) Complete(now anvilclock.Millis, key Key, holder Holder, answer *Answer) bool {
	t.expire(now)
	e, ok := t.held(key, holder)
	if !ok {
		return false
	}
	e.byHolder.unlink()
	e.byTime.unlink()
	e.state, e.at = Done, now
	t.done.pushBack(&e.byTime)
	if size := answer.size(); answer != nil && size <= t.mostBytes {
		for t.bytes+size > t.mostBytes {
			t.dropAnswer(t.answered.front())
		}
		e.answer = answer
		t.bytes += size
		t.answered.pushBack(&e.byHolder)
	}
	return true
}

// Remove removes an id whose request has not run. It returns false if the
// holder no longer holds the id in flight.
func (t *Table) Remove(now anvilclock.Millis, key Key, holder Holder) bool {
	t.expire(now)
	e, ok := t.held(key, holder)
	if ok {
		t.drop(e)
	}
	return ok
}

// MarkHolderEnded notes that a run of an instance has ended, and all earlier runs
// with it. Their ids in flight are new again.
func (t *Table) MarkHolderEnded(holder Holder) {
	if t.gone[holder.Instance] < holder.Incarnation {
		t.gone[holder.Instance] = holder.Incarnation
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
			e.lost = true
			t.lost.pushBack(&e.byTime)
		}
		delete(t.holders, h)
	}
}

func (t *Table) isGone(holder Holder) bool {
	last, ok := t.gone[holder.Instance]
	return ok && holder.Incarnation <= last
}

// held returns the entry that a holder has in flight.
func (t *Table) held(key Key, holder Holder) (*entry, bool) {
	e, ok := t.entries[key]
	if !ok || e.state != InFlight || e.lost || e.holder != holder {
		return nil, false
	}
	return e, true
}

// makeRoom evicts ids that no request depends on: first those of lost
// holders, then finished ones, oldest first.
func (t *Table) makeRoom() bool {
	if len(t.entries) < t.mostIDs {
		return true
	}
	oldest := t.lost.front()
	if oldest == nil {
		oldest = t.done.front()
	}
	if oldest == nil {
		return false
	}
	t.drop(oldest)
	return true
}

func (t *Table) expire(now anvilclock.Millis) {
	for _, l := range []*list{&t.inFlight, &t.lost, &t.done} {
		for e := l.front(); e != nil && now-e.at >= Retention; e = l.front() {
			t.drop(e)
		}
	}
}

func (t *Table) drop(e *entry) {
	e.byTime.unlink()
	if e.state == InFlight && !e.lost {
		e.byHolder.unlink()
	}
	if e.answer != nil {
		t.dropAnswer(e)
	}
	delete(t.entries, e.key)
	*e = entry{spare: t.spare}
	t.spare = e
}

func (t *Table) dropAnswer(e *entry) {
	e.byHolder.unlink()
	t.bytes -= e.answer.size()
	e.answer = nil
}

func (t *Table) holderList(holder Holder) *list {
	l, ok := t.holders[holder]
	if !ok {
		l = &list{}
		l.init()
		t.holders[holder] = l
	}
	return l
}

func (t *Table) allocate() *entry {
	e := t.spare
	if e == nil {
		e = &entry{}
	} else {
		t.spare = e.spare
	}
	*e = entry{}
	e.byTime.entry, e.byHolder.entry = e, e
	return e
}
