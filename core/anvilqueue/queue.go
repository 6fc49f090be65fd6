// Package anvilqueue implements the queue of short requests of one service. The queue is fair
// between client accounts by weight, limited in length, and refuses or drops requests that cannot
// finish within their deadline.
//
// A request runs in a slot of a target. The account with the lowest virtual time is served next. An
// account's virtual time is the slot time that its requests have used, divided by its weight.
// Requests of a kind (for example a route) that has taken long before form the class Long, which has
// lower priority and may use a limited share of the slots. All other requests form the class Short.
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

// Class says whether a request is expected to run for a short or a long time. It is derived from the
// durations of earlier requests of the same kind.
type Class int

// Classes of requests. Long ones take more than longMedianFactor times the median duration.
const (
	Short Class = iota
	Long
	classes
)

// Verdict says whether Push accepted a request, or why it refused the request.
type Verdict string

// Verdicts. A refused request has not been run.
const (
	Queued           Verdict = "queued"
	Full             Verdict = "full"     // the account has as many waiting requests as allowed
	WaitTooLong      Verdict = "too late" // the expected wait leaves too little time before the deadline
	DeadlineTooShort Verdict = "hopeless" // the time left until the deadline is shorter than the minimum run time
)

const (
	defaultMaxPerAccount = 1000
	// defaultLongShare is the share of the slots that class Long may use, in percent. A quarter leaves
	// enough slots to class Short to keep its waiting time stable under normal load.
	defaultLongShare = 25
	// waitSlackPercent is the percentage by which the estimated wait is increased to allow for the
	// error of the estimate. With 10%, goodput (the share of slot time spent on requests that end
	// within their deadline) was 95% under overload, because requests started too late to finish.
	// With 100%, it is at least 99.7%, and the queue still accepts a burst that takes half a timeout
	// to serve.
	waitSlackPercent = 100
)

// Request describes a short request that Push adds to the queue.
type Request struct {
	Account anvilid.AccountID
	// Kind distinguishes requests of an account that differ in duration, for example by their
	// route. It may be empty.
	Kind string
	// Deadline is the time at which the caller stops waiting.
	Deadline anvilclock.Millis
	// Payload is opaque to the queue.
	Payload any
}

// Ticket represents a request that was accepted by Push: it is waiting in the queue, running in a
// slot, or has ended.
type Ticket struct {
	Request
	Pushed anvilclock.Millis

	class      Class
	kind       *kind
	account    *account
	prev, next *Ticket
	state      ticketState
	started    anvilclock.Millis
	charged    float64 // slot time in ms that is charged to the account for this request so far
}

type ticketState int

const (
	waiting ticketState = iota
	running
	ended
)

// Option configures a Queue.
type Option func(*Queue)

// WithMaxPerAccount sets the largest number of waiting requests of one account.
func WithMaxPerAccount(requests int) Option { return func(q *Queue) { q.maxPerAccount = requests } }

// WithLongShare sets the share of the slots that class Long may use, in percent.
func WithLongShare(percent int) Option { return func(q *Queue) { q.longShare = percent } }

// Queue contains the waiting requests of one service.
type Queue struct {
	maxPerAccount int
	longShare     int
	slots         int

	accounts    map[anvilid.AccountID]*account
	ready       [classes]accountHeap
	waiting     [classes]int
	running     [classes]int
	classWeight [classes]float64 // sum of the weights of accounts with waiting requests
	virtualTime float64          // largest virtual time that any account had when Pop selected it

	history history
	rates   [classes]rateMeter
	dropped []*Ticket
}

type account struct {
	id          anvilid.AccountID
	weight      float64
	virtualTime float64 // slot time charged in ms, divided by weight
	waiting     [classes]list
	heapIndex   [classes]int
	kinds       map[string]*kind
	rates       [classes]rateMeter
}

// New returns an empty queue.
func New(options ...Option) *Queue {
	q := &Queue{maxPerAccount: defaultMaxPerAccount, longShare: defaultLongShare, accounts: map[anvilid.AccountID]*account{}}
	q.ready[Long].class = Long
	for _, option := range options {
		option(q)
	}
	return q
}

// SetWeight sets the weight of an account. The default weight is 1.
func (q *Queue) SetWeight(id anvilid.AccountID, weight int) {
	a, w := q.account(id), float64(max(1, weight))
	for class := range classes {
		if a.waiting[class].length > 0 {
			q.classWeight[class] += w - a.weight
		}
	}
	a.weight = w
}

// SetMaxPerAccount sets the largest number of waiting requests of one account. Requests that are
// already waiting remain in the queue.
func (q *Queue) SetMaxPerAccount(requests int) { q.maxPerAccount = requests }

// SetSlots sets the number of slots that requests of this queue may use. The share of class Long is
// a percentage of this number. Until SetSlots is called, it is a percentage of the number of running
// requests plus one.
func (q *Queue) SetSlots(slots int) { q.slots = slots }

func (q *Queue) account(id anvilid.AccountID) *account {
	a, ok := q.accounts[id]
	if !ok {
		a = &account{id: id, weight: 1, kinds: map[string]*kind{}, heapIndex: [classes]int{-1, -1}}
		q.accounts[id] = a
	}
	return a
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting[Short] + q.waiting[Long] }

// Push adds a request to the queue or refuses it immediately. The Ticket is nil unless the verdict
// is Queued.
func (q *Queue) Push(now anvilclock.Millis, request Request) (*Ticket, Verdict) {
	a := q.account(request.Account)
	if a.waitingCount() >= q.maxPerAccount {
		return nil, Full
	}
	k := a.kind(request.Kind)
	class := k.class(&q.history)
	if now+k.minRunTime(&q.history) > request.Deadline {
		return nil, DeadlineTooShort
	}
	wait, known := q.expectedWait(now, a, class)
	if known && wait > 0 && now+wait+k.p90(&q.history) > request.Deadline {
		return nil, WaitTooLong
	}
	t := &Ticket{Request: request, Pushed: now, class: class, kind: k, account: a}
	q.enqueue(now, a, t)
	return t, Queued
}

// Requeue returns a popped request to the queue if it was not run because the slot meant for it was
// no longer available. The request is put first among the waiting requests of its account and class.
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
		q.rates[t.class].startBacklog(now)
	}
	if a.waiting[t.class].length == 0 {
		q.classWeight[t.class] += a.weight
		a.rates[t.class].startBacklog(now)
	}
	if a.waitingCount() == 0 {
		// An account gets no credit for slot time that it did not use while it was idle.
		a.virtualTime = max(a.virtualTime, q.virtualTime)
	}
	push(&a.waiting[t.class], t)
	q.waiting[t.class]++
	if a.heapIndex[t.class] < 0 {
		heap.Push(&q.ready[t.class], a)
	}
}

// Durations returns the durations of requests of class Short. A retry, for example, is made only if
// at least their median is left until the deadline.
func (q *Queue) Durations() *Durations { return &q.history.short }

// ExpectedWait estimates how long a request of the account and of class Short that is pushed now would
// wait. It returns 0 if the rate at which requests are served is unknown.
func (q *Queue) ExpectedWait(now anvilclock.Millis, id anvilid.AccountID) anvilclock.Millis {
	wait, _ := q.expectedWait(now, q.account(id), Short)
	return wait
}

// expectedWait estimates how long a request of the given account and class that is pushed now would
// wait: the number of waiting requests of this account and class, divided by the rate at which they
// are served, plus waitSlackPercent. Requests of the other class are not included, because a backlog
// of long requests does not delay short ones. It returns false if the rate is unknown.
func (q *Queue) expectedWait(now anvilclock.Millis, a *account, class Class) (anvilclock.Millis, bool) {
	if q.waiting[class] == 0 {
		return 0, true
	}
	perMilli, known := a.rates[class].measure(now)
	if !known {
		perMilli, known = q.accountRate(now, a, class)
	}
	if !known {
		return 0, false
	}
	wait := float64(a.waiting[class].length+1) / perMilli
	return anvilclock.Millis(wait * (100 + waitSlackPercent) / 100), true
}

// accountRate returns the account's share, by weight, of the rate (requests per ms) at which a class
// is served. It is used while the account's own rate is unknown. The account's own rate is preferred
// because it includes capacity that other accounts leave unused.
func (q *Queue) accountRate(now anvilclock.Millis, a *account, class Class) (float64, bool) {
	perMilli, known := q.rates[class].measure(now)
	if !known {
		mean := q.history.short.mean()
		if class == Long || q.running[Short] == 0 || mean == 0 {
			return 0, false
		}
		perMilli = float64(q.running[Short]) / mean
	}
	weight := q.classWeight[class]
	if a.waiting[class].length == 0 {
		weight += a.weight
	}
	return perMilli * a.weight / weight, true
}

// Pop removes and returns the request to run next in a free slot, or nil if no request may run.
// Requests that can no longer finish within their deadline are dropped; TakeDropped returns them.
func (q *Queue) Pop(now anvilclock.Millis) *Ticket {
	for {
		class, ok := q.nextClass()
		if !ok {
			return nil
		}
		a := q.ready[class].accounts[0]
		t := a.waiting[class].front
		q.remove(now, t)
		if class == Short && t.kind.class(&q.history) == Long {
			// The kind has changed from class Short to Long since the request was pushed.
			t.class = Long
			q.enqueue(now, a, t)
			continue
		}
		q.virtualTime = max(q.virtualTime, a.virtualTime)
		if q.cannotFinish(now, t) {
			t.state = ended
			q.dropped = append(q.dropped, t)
			continue
		}
		q.start(now, t)
		return t
	}
}

// nextClass returns the class to serve next. It prefers short requests but always lets one long
// request run, so that class Long makes progress.
func (q *Queue) nextClass() (Class, bool) {
	long := q.waiting[Long] > 0
	switch {
	case long && q.running[Long] == 0:
		return Long, true
	case q.waiting[Short] > 0:
		return Short, true
	case long && q.running[Long] < q.maxLongRunning():
		return Long, true
	}
	return 0, false
}

func (q *Queue) maxLongRunning() int {
	slots := q.slots
	if slots == 0 {
		slots = q.running[Short] + q.running[Long] + 1
	}
	return max(1, slots*q.longShare/100)
}

// cannotFinish reports whether too little time is left for a request to finish within its deadline.
func (q *Queue) cannotFinish(now anvilclock.Millis, t *Ticket) bool {
	return now+t.kind.minRunTime(&q.history) > t.Deadline
}

func (q *Queue) start(now anvilclock.Millis, t *Ticket) {
	t.state, t.started = running, now
	q.running[t.class]++
	t.kind.inflight++
	q.rates[t.class].recordServed(now)
	t.account.rates[t.class].recordServed(now)
	q.charge(t, float64(t.kind.expectedSlotTime(&q.history)))
}

// charge sets the slot time in ms that is charged to the account for a request. It replaces an
// earlier charge for the same request.
func (q *Queue) charge(t *Ticket, cost float64) {
	a := t.account
	a.virtualTime += (cost - t.charged) / a.weight
	t.charged = cost
	for class := range classes {
		if a.heapIndex[class] >= 0 {
			heap.Fix(&q.ready[class], a.heapIndex[class])
		}
	}
}

// Done ends a popped request. ran is false if the request never reached a target; the duration then
// says nothing about its kind and is ignored.
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
	t.kind.add(took, q.history.isLong(took))
	q.history.add(took, t.kind.class(&q.history))
}

// View is the status of one account in the queue.
type View struct {
	Account anvilid.AccountID
	Weight  int
	Waiting int
	Long    int               // waiting requests of class Long
	Wait    anvilclock.Millis // expected waiting time of a short request pushed now
	Oldest  anvilclock.Millis // time for which the oldest request has been waiting
}

// Views returns the status of the accounts with waiting requests, ordered by id.
func (q *Queue) Views(now anvilclock.Millis) []View {
	var views []View
	for id, a := range q.accounts {
		if a.waitingCount() == 0 {
			continue
		}
		view := View{Account: id, Weight: int(a.weight), Waiting: a.waitingCount(), Long: a.waiting[Long].length}
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

// RemoveAccount removes an account that is no longer configured and returns its waiting requests,
// which have not been run.
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

// Cancel removes a waiting request from the queue. It returns false if the request has already been
// popped, dropped or cancelled.
func (q *Queue) Cancel(now anvilclock.Millis, t *Ticket) bool {
	if t.state != waiting {
		return false
	}
	q.remove(now, t)
	t.state = ended
	return true
}

// TakeDropped returns the requests that Pop has dropped, since the previous call, because they could
// no longer finish within their deadline. The slice is valid until the next call of Pop.
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
		heap.Remove(&q.ready[t.class], a.heapIndex[t.class])
		q.classWeight[t.class] -= a.weight
		a.rates[t.class].endBacklog(now)
	}
	if q.waiting[t.class] == 0 {
		q.rates[t.class].endBacklog(now)
	}
}

func (a *account) waitingCount() int { return a.waiting[Short].length + a.waiting[Long].length }
