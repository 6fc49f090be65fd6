package anviladmit

import (
	"cmp"
	"container/heap"

	"anvilshunt/core/anvilclock"
)

const (
	// DefaultSpacing is the time between two searches of one instance for the leader. An election
	// takes about a second, so that it delays no call noticeably.
	DefaultSpacing = 30 * anvilclock.Millisecond
	// DefaultLimit is the largest number of calls of one instance that a leader is sent at the same time.
	DefaultLimit = 32
	// returnLimit is that number when a leader answers after a search.
	returnLimit = 2
	// slowCall is the duration from which on a call shows that the leader is overloaded. A call that has no answer
	// after twice this time is sent again, which adds to the load.
	slowCall = 300 * anvilclock.Millisecond
)

// Call is a call that is to be sent to the leader.
type Call struct {
	// Change means that the call changes something. Reads come after changes, because they can be
	// repeated at any time.
	Change bool
	// Deadline is when the caller stops waiting.
	Deadline anvilclock.Millis

	sequence uint64            // order of arrival
	index    int               // in the queue
	sent     anvilclock.Millis // when it was sent last
}

// compare orders calls by their urgency, the most urgent first.
func (c *Call) compare(other *Call) int {
	switch {
	case c.Change && !other.Change:
		return -1
	case other.Change && !c.Change:
		return 1
	}
	return cmp.Or(cmp.Compare(c.Deadline, other.Deadline), cmp.Compare(c.sequence, other.sequence))
}

// Pacer decides when calls are sent. While a leader answers, a limited number of calls are in progress: few
// when it begins to answer, more with each call that is answered soon, and half as many after a slow one. From the
// first round of attempts that finds no leader until one answers, one waiting call is sent in each interval of
// the spacing, however many are in progress: some of them may wait for voters that don't answer.
type Pacer struct {
	limit    int // at present
	maxLimit int

	searching  bool
	nextSearch anvilclock.Millis // when the next call may be sent while searching
	inProgress int
	waiting    queue
	arrivals   uint64
}

// Option configures a Pacer.
type Option func(*Pacer)

// WithLimit sets how many calls may be in progress at most while a leader answers.
func WithLimit(limit int) Option { return func(p *Pacer) { p.limit, p.maxLimit = limit, limit } }

// NewPacer returns a pacer that assumes that a leader answers.
func NewPacer(opts ...Option) *Pacer {
	p := &Pacer{limit: DefaultLimit, maxLimit: DefaultLimit}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Enqueue adds a call that waits to be sent. It must not be waiting already.
func (p *Pacer) Enqueue(c *Call) {
	p.arrivals++
	c.sequence = p.arrivals
	heap.Push(&p.waiting, c)
}

// Remove removes a waiting call, which has ended without being sent.
func (p *Pacer) Remove(c *Call) {
	if c.index < len(p.waiting) && p.waiting[c.index] == c {
		heap.Remove(&p.waiting, c.index)
	}
}

// Next returns the most urgent waiting call if it may be sent now, or else nil. The call is then in
// progress, and Finish must be called when its attempts have ended.
func (p *Pacer) Next(now anvilclock.Millis) *Call {
	if len(p.waiting) == 0 || !p.maySend(now) {
		return nil
	}
	if p.searching {
		p.nextSearch = now + DefaultSpacing
	}
	p.inProgress++
	c := heap.Pop(&p.waiting).(*Call)
	c.sent = now
	return c
}

func (p *Pacer) maySend(now anvilclock.Millis) bool {
	if p.searching {
		return now >= p.nextSearch
	}
	return p.inProgress < p.limit
}

// Delay returns how long Next returns nil at least, if nothing else happens, while calls wait for the next
// search. Without such calls it returns false.
func (p *Pacer) Delay(now anvilclock.Millis) (anvilclock.Millis, bool) {
	if !p.searching || len(p.waiting) == 0 {
		return 0, false
	}
	return max(p.nextSearch-now, 0), true
}

// Finish records that the attempts of a call that was sent have ended.
func (p *Pacer) Finish(now anvilclock.Millis, c *Call) {
	p.inProgress--
	switch {
	case p.searching:
	case now-c.sent >= slowCall:
		p.limit = max(p.limit/2, 1)
	default:
		p.limit = min(p.limit+1, p.maxLimit)
	}
}

// NoLeader records that a round of attempts at all voters has found no leader, and reports whether the search
// begins with it.
func (p *Pacer) NoLeader(now anvilclock.Millis) bool {
	if p.searching {
		return false
	}
	p.searching, p.nextSearch = true, now+DefaultSpacing
	return true
}

// LeaderAnswered records an answer of a leader, and reports whether a search ends with it.
func (p *Pacer) LeaderAnswered() bool {
	if !p.searching {
		return false
	}
	p.searching, p.limit = false, min(returnLimit, p.maxLimit)
	return true
}

// Waiting returns the number of calls that wait to be sent.
func (p *Pacer) Waiting() int { return len(p.waiting) }

// queue is a heap of calls, the most urgent first.
type queue []*Call

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].compare(q[j]) < 0 }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a call. It is called by container/heap.
func (q *queue) Push(c any) {
	call := c.(*Call)
	call.index = len(*q)
	*q = append(*q, call)
}

// Pop removes the last call. It is called by container/heap.
func (q *queue) Pop() any {
	last := len(*q) - 1
	call := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return call
}
