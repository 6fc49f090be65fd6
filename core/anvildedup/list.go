package anvildedup

import "anvilshunt/core/anvilclock"

type entry struct {
	key      Key
	digest   Digest
	holder   Holder
	state    State             // InFlight or Done
	orphaned bool              // in flight at a holder whose run has ended
	changed  anvilclock.Millis // start of the request while it is in flight, then its end
	answer   *Answer

	byTime   link // element of Table.inFlight, Table.orphans or Table.done
	byHolder link // element of the holder's list in Table.holders while in flight, of Table.answered while answer is set
	nextFree *entry
}

// link is an element of a circular doubly linked list.
type link struct {
	prev, next *link
	entry      *entry
}

func (l *link) unlink() {
	if l.next == nil {
		return
	}
	l.prev.next, l.next.prev = l.next, l.prev
	l.prev, l.next = nil, nil
}

// list is a circular doubly linked list of entries.
type list struct{ head link }

func (l *list) init() { l.head.prev, l.head.next = &l.head, &l.head }

func (l *list) front() *entry { return l.head.next.entry }

func (l *list) pushBack(k *link) {
	last := l.head.prev
	k.prev, k.next = last, &l.head
	last.next, l.head.prev = k, k
}
