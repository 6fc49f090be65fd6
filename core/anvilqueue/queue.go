// Package anvilqueue is the queue of short requests of one service: fair
// over client accounts by weight, bounded, and shedding by deadline.
//
// Accounts are served by virtual time, charged with the slot time that their
// requests really took. Requests of a kind that has run long form a lower
// class, which may hold a bounded share of the slots in use.
//
// A Queue is not safe for concurrent use.
package anvilqueue

import (
	"cmp"
	"container/heap"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Class is the size class of a request, learnt from the history of its kind.
type Class int

// Size classes.
const (
	Short Class = iota
	Long
	classes
)

// Verdict is the answer to a Push.
type Verdict string

// Verdicts. A refused request has not run.
const (
	Queued           Verdict = "queued"
	Full             Verdict = "full"     // the account's queue is full
	WaitTooLong      Verdict = "too late" // it could not finish within its deadline
	DeadlineTooShort Verdict = "hopeless" // the deadline is shorter than the usual duration
)

const (
	defaultBound = 1000
	// defaultLongShare is in percent of the slots. A quarter leaves short
	// requests enough slots to hold their wait at the usual loads.
	defaultLongShare = 25
	// slack is added to the estimated wait, in percent, for the error of the
	// estimate. At 10% goodput under overload was 95%, because requests
	// started too late to finish; at 100% it is 99.7% or more, and the queue
	// still takes in a burst of half a timeout.
	slack = 100
)

// Request is what the queue needs to know about a request.
type Request struct {
	Account anvilid.AccountID
	// Kind tells apart requests of an account that differ in duration, for
	// example by their route. It may be empty.
	Kind string
	// Deadline is when the caller stops to wait.
	Deadline anvilclock.Millis
	// Payload is the caller's own; the queue passes it through.
	Payload any
}

// Ticket stands for a request in the queue or in a slot.
type Ticket struct {
	Request
	Pushed anvilclock.Millis

	class      Class
	kind       *kind
	account    *account
	prev, next *Ticket
	state      ticketState
	started    anvilclock.Millis
	charged    float64
}

type ticketState int

const (
	waiting ticketState = iota
	running
	ended
)

// Option configures a Queue.
type Option func(*Queue)

// WithMaxPerAccount sets the longest queue of one account.
func WithMaxPerAccount(requests int) Option { return func(q *Queue) { q.bound = requests } }

// WithLongShare sets the share of the slots that the lower class may hold, in
// percent.
func WithLongShare(percent int) Option { return func(q *Queue) { q.longShare = percent } }

// Queue holds the waiting requests of one service.
type Queue struct {
	bound     int
	longShare int
	slots     int

	accounts map[anvilid.AccountID]*account
	ready    [classes]accountHeap
	waiting  [classes]int
	running  [classes]int
	weight   [classes]float64 // sum over accounts with waiting requests
	virtual  float64          // virtual time of the latest pop

	history history
	rates   [classes]rate
	dropped []*Ticket
}

type account struct {
	id      anvilid.AccountID
	weight  float64
	virtual float64 // slot time received over weight
	waiting [classes]list
	index   [classes]int
	kinds   map[string]*kind
	rates   [classes]rate
}

// New returns an empty queue.
func New(options ...Option) *Queue {
	q := &Queue{bound: defaultBound, longShare: defaultLongShare, accounts: map[anvilid.AccountID]*account{}}
	q.ready[Long].class = Long
	for _, option := range options {
		option(q)
	}
	return q
}

// SetWeight sets the weight of an account; accounts start with 1.
func (q *Queue) SetWeight(id anvilid.AccountID, weight int) {
	a, w := q.account(id), float64(max(1, weight))
	for class := range classes {
		if a.waiting[class].length > 0 {
			q.weight[class] += w - a.weight
		}
	}
	a.weight = w
}

// SetMaxPerAccount sets the longest queue of one account. Requests that wait already
// stay.
func (q *Queue) SetMaxPerAccount(requests int) { q.bound = requests }

// SetSlots sets the number of slots that requests of this queue may use. The
// share of the lower class refers to it; until it is set, to the slots in use.
func (q *Queue) SetSlots(slots int) { q.slots = slots }

func (q *Queue) account(id anvilid.AccountID) *account {
	a, ok := q.accounts[id]
	if !ok {
		a = &account{id: id, weight: 1, kinds: map[string]*kind{}, index: [classes]int{-1, -1}}
		q.accounts[id] = a
	}
	return a
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting[Short] + q.waiting[Long] }

// Push queues a request, or refuses it at once. The Ticket is nil unless the
// verdict is Queued.
func (q *Queue) Push(now anvilclock.Millis, request Request) (*Ticket, Verdict) {
	a := q.account(request.Account)
	if a.length() >= q.bound {
		return nil, Full
	}
	k := a.kind(request.Kind)
	class := k.class(&q.history)
	if now+k.least(&q.history) > request.Deadline {
		return nil, DeadlineTooShort
	}
	wait, known := q.expectedWait(now, a, class)
	if known && wait > 0 && now+wait+k.usual(&q.history) > request.Deadline {
		return nil, WaitTooLong
	}
	t := &Ticket{Request: request, Pushed: now, class: class, kind: k, account: a}
	q.enqueue(now, a, t)
	return t, Queued
}

// Requeue takes back a popped request that was not run, because the slot that
// it was meant for was gone. It is the next of its account and class again.
func (q *Queue) Requeue(now anvilclock.Millis, t *Ticket) {
	if t.state != running {
		return
	}
	q.running[t.class]--
	t.kind.inflight--
	q.charge(t, 0)
	t.state = waiting
	q.insert(now, t.account, t, (*list).pushFront)
}

func (q *Queue) enqueue(now anvilclock.Millis, a *account, t *Ticket) {
	q.insert(now, a, t, (*list).pushBack)
}

func (q *Queue) insert(now anvilclock.Millis, a *account, t *Ticket, push func(*list, *Ticket)) {
	if q.waiting[t.class] == 0 {
		q.rates[t.class].backlog(now)
	}
	if a.waiting[t.class].length == 0 {
		q.weight[t.class] += a.weight
		a.rates[t.class].backlog(now)
	}
	if a.length() == 0 {
		// An account that was idle has no claim to the time it left unused.
		a.virtual = max(a.virtual, q.virtual)
	}
	push(&a.waiting[t.class], t)
	q.waiting[t.class]++
	if a.index[t.class] < 0 {
		heap.Push(&q.ready[t.class], a)
	}
}

// Durations returns the learnt durations of short requests, for example for
// the median that a retry must have left.
func (q *Queue) Durations() *Durations { return &q.history.short }

// ExpectedWait estimates how long a request pushed now would wait.
func (q *Queue) ExpectedWait(now anvilclock.Millis, id anvilid.AccountID) anvilclock.Millis {
	wait, _ := q.expectedWait(now, q.account(id), Short)
	return wait
}

// expectedWait divides the requests ahead in the account and class by the
// rate at which they are served. A backlog of long requests does not delay
// short ones.
func (q *Queue) expectedWait(now anvilclock.Millis, a *account, class Class) (anvilclock.Millis, bool) {
	if q.waiting[class] == 0 {
		return 0, true
	}
	perMilli, known := a.rates[class].measured(now)
	if !known {
		perMilli, known = q.share(now, a, class)
	}
	if !known {
		return 0, false
	}
	wait := float64(a.waiting[class].length+1) / perMilli
	return anvilclock.Millis(wait * (100 + slack) / 100), true
}

// share returns the account's share, by weight, of the rate at which a class
// is served. It stands in for the account's own rate, which also tells what
// other accounts leave over.
func (q *Queue) share(now anvilclock.Millis, a *account, class Class) (float64, bool) {
	perMilli, known := q.rates[class].measured(now)
	if !known {
		mean := q.history.short.mean()
		if class == Long || q.running[Short] == 0 || mean == 0 {
			return 0, false
		}
		perMilli = float64(q.running[Short]) / mean
	}
	weight := q.weight[class]
	if a.waiting[class].length == 0 {
		weight += a.weight
	}
	return perMilli * a.weight / weight, true
}

// Pop takes the request to run next, for a slot that is free. It returns nil
// if none may run. Requests that can no longer finish are moved to Dropped.
func (q *Queue) Pop(now anvilclock.Millis) *Ticket {
	for {
		class, ok := q.choose()
		if !ok {
			return nil
		}
		a := q.ready[class].accounts[0]
		t := a.waiting[class].front
		q.remove(now, t)
		if class == Short && t.kind.class(&q.history) == Long {
			// The kind has turned out to be long since the request was pushed.
			t.class = Long
			q.enqueue(now, a, t)
			continue
		}
		q.virtual = max(q.virtual, a.virtual)
		if q.late(now, t) {
			t.state = ended
			q.dropped = append(q.dropped, t)
			continue
		}
		q.start(now, t)
		return t
	}
}

// choose prefers short requests, but lets one long request run, so that the
// lower class makes progress.
func (q *Queue) choose() (Class, bool) {
	long := q.waiting[Long] > 0
	switch {
	case long && q.running[Long] == 0:
		return Long, true
	case q.waiting[Short] > 0:
		return Short, true
	case long && q.running[Long] < q.longBound():
		return Long, true
	}
	return 0, false
}

func (q *Queue) longBound() int {
	slots := q.slots
	if slots == 0 {
		slots = q.running[Short] + q.running[Long] + 1
	}
	return max(1, slots*q.longShare/100)
}

// late tells whether a request can no longer finish.
func (q *Queue) late(now anvilclock.Millis, t *Ticket) bool {
	return now+t.kind.least(&q.history) > t.Deadline
}

func (q *Queue) start(now anvilclock.Millis, t *Ticket) {
	t.state, t.started = running, now
	q.running[t.class]++
	t.kind.inflight++
	q.rates[t.class].served(now)
	t.account.rates[t.class].served(now)
	q.charge(t, float64(t.kind.expected(&q.history)))
}

// charge sets the slot time that the account pays for a request.
func (q *Queue) charge(t *Ticket, cost float64) {
	a := t.account
	a.virtual += (cost - t.charged) / a.weight
	t.charged = cost
	for class := range classes {
		if a.index[class] >= 0 {
			heap.Fix(&q.ready[class], a.index[class])
		}
	}
}

// Done ends a popped request. Ran tells whether its duration says something
// about its kind; it is false if the request never reached a target.
func (q *Queue) Done(now anvilclock.Millis, t *Ticket, ran bool) {
	if t.state != running {
		return
	}
	t.state = ended
	q.running[t.class]--
	t.kind.inflight--
	if !ran {
		q.charge(t, 0)
		return
	}
	took := max(1, now-t.started)
	q.charge(t, float64(took))
	t.kind.add(took, q.history.long(took))
	q.history.add(took, t.kind.class(&q.history))
}

// View shows the requests of one account.
type View struct {
	Account anvilid.AccountID
	Weight  int
	Waiting int
	Long    int               // of the waiting ones, those of the lower class
	Wait    anvilclock.Millis // expected for a short request pushed now
	Oldest  anvilclock.Millis // how long the oldest request has waited
}

// Views returns the accounts with waiting requests, ordered by id.
func (q *Queue) Views(now anvilclock.Millis) []View {
	var views []View
	for id, a := range q.accounts {
		if a.length() == 0 {
			continue
		}
		view := View{Account: id, Weight: int(a.weight), Waiting: a.length(), Long: a.waiting[Long].length}
		view.Wait, _ = q.expectedWait(now, a, Short)
		for class := range classes {
			if oldest := a.waiting[class].front; oldest != nil {
				view.Oldest = max(view.Oldest, now-oldest.Pushed)
			}
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Account, b.Account) })
	return views
}

// RemoveAccount removes an account that is no longer configured. Its waiting
// requests are returned; they have not run.
func (q *Queue) RemoveAccount(now anvilclock.Millis, id anvilid.AccountID) []*Ticket {
	a, ok := q.accounts[id]
	if !ok {
		return nil
	}
	var waiting []*Ticket
	for class := range classes {
		for t := a.waiting[class].front; t != nil; t = a.waiting[class].front {
			q.Cancel(now, t)
			waiting = append(waiting, t)
		}
	}
	delete(q.accounts, id)
	return waiting
}

// Cancel takes a waiting request out of the queue. It returns false if the
// request has already been popped, dropped or cancelled.
func (q *Queue) Cancel(now anvilclock.Millis, t *Ticket) bool {
	if t.state != waiting {
		return false
	}
	q.remove(now, t)
	t.state = ended
	return true
}

// TakeDropped returns the requests that were met too late to run, and forgets
// them. The slice is valid until the next call of Pop.
func (q *Queue) TakeDropped() []*Ticket {
	dropped := q.dropped
	q.dropped = q.dropped[:0]
	return dropped
}

func (q *Queue) remove(now anvilclock.Millis, t *Ticket) {
	a := t.account
	a.waiting[t.class].remove(t)
	q.waiting[t.class]--
	if a.waiting[t.class].length == 0 {
		heap.Remove(&q.ready[t.class], a.index[t.class])
		q.weight[t.class] -= a.weight
		a.rates[t.class].cleared(now)
	}
	if q.waiting[t.class] == 0 {
		q.rates[t.class].cleared(now)
	}
}

func (a *account) length() int { return a.waiting[Short].length + a.waiting[Long].length }
