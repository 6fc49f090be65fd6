package anvilqueue

// list is a linked list of the waiting tickets of one account and class, the next one to run first.
type list struct {
	front, back *Ticket
	length      int
}

func (l *list) pushBack(t *Ticket) {
	t.prev, t.next = l.back, nil
	if l.back != nil {
		l.back.next = t
	} else {
		l.front = t
	}
	l.back = t
	l.length++
}

func (l *list) pushFront(t *Ticket) {
	t.prev, t.next = nil, l.front
	if l.front != nil {
		l.front.prev = t
	} else {
		l.back = t
	}
	l.front = t
	l.length++
}

func (l *list) remove(t *Ticket) {
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		l.front = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		l.back = t.prev
	}
	t.prev, t.next = nil, nil
	l.length--
}

// accountHeap is a heap of the accounts that have waiting requests of one class. Its root is the
// account with the lowest virtual time.
type accountHeap struct {
	accounts []*account
	class    Class
}

func (h *accountHeap) Len() int { return len(h.accounts) }

func (h *accountHeap) Less(i, j int) bool {
	a, b := h.accounts[i], h.accounts[j]
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.id < b.id
}

func (h *accountHeap) Swap(i, j int) {
	accounts := h.accounts
	accounts[i], accounts[j] = accounts[j], accounts[i]
	accounts[i].heapIndex[h.class], accounts[j].heapIndex[h.class] = i, j
}

func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.heapIndex[h.class] = len(h.accounts)
	h.accounts = append(h.accounts, a)
}

func (h *accountHeap) Pop() any {
	accounts := h.accounts
	last := len(accounts) - 1
	a := accounts[last]
	accounts[last] = nil
	h.accounts = accounts[:last]
	a.heapIndex[h.class] = -1
	return a
}
