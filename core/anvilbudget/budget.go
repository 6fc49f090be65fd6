// Package anvilbudget accounts for the connections that others have opened to a process, and for the bytes of request
// and response bodies that the process holds for them. When a limit is reached, it decides which connection gives way:
// the one whose client makes the least progress.
//
// A Table isn't safe for concurrent use.
package anvilbudget

import (
	"container/list"
	"maps"
	"math"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Class says who opens the connections of a listener.
type Class int

// Classes of connections. A part of the connections is reserved for peers, the other instances of the system.
const (
	Stranger Class = iota
	Peer
)

// Phase is what a connection waits for.
type Phase int

// Phases of a connection. One that is Working has sent its request whole and is never chosen to give way.
const (
	Receiving Phase = iota // the client sends a request, or hasn't sent any
	Working                // this process handles a request
	Sending                // the client reads an answer
	Idle                   // the client may send another request
)

const (
	// initialCredit makes a client count as progressing for stalledAfter before it has sent anything.
	initialCredit = 64 << 10
	// sendingCredit is the initial credit of a client that has an answer to take. It falls to stalledCredit within
	// 0.75 s: newcomers wait for that, and most answers are taken at once.
	sendingCredit = 8 << 10
	// creditHalfLife is the time in which the credit for bytes halves.
	creditHalfLife = 250 * anvilclock.Millisecond
	// stalledCredit is the credit below which a client counts as stalled. Without progress, the initial credit falls to
	// it within 1.5 s.
	stalledCredit = 1 << 10
	// leavingFactor times the limit is the number of bytes, with those that gave way and are still held, above which
	// bodies that grow give way themselves.
	leavingFactor = 2
	// accountFraction is the inverse of the fraction of the bytes that one account, or all callers without a key
	// together, may hold.
	accountFraction = 2
	// trustDuration is how long clients give way last once a request of theirs was carried out. It is longer than the
	// pauses of operators and targets.
	trustDuration = anvilclock.Minute
	// maxTrusted limits the accounts that are remembered for that.
	maxTrusted = 4096
)

// Limits bounds what others may make a process hold.
type Limits struct {
	Connections int
	// Peers is how many of Connections are reserved for peers.
	Peers int
	// Bytes limits the bytes of bodies of strangers. It must be at least the size of the largest body.
	Bytes anvilid.ByteCount
	// PeerBytes does the same for peers.
	PeerBytes anvilid.ByteCount
}

// bytes returns the limit of the bytes of a class.
func (l Limits) bytes(class Class) anvilid.ByteCount {
	if class == Peer {
		return l.PeerBytes
	}
	return l.Bytes
}

// Conn is the account of one connection.
type Conn struct {
	class   Class
	phase   Phase
	account string
	trusted bool // requests of the account were carried out lately
	bytes   anvilid.ByteCount
	leaving anvilid.ByteCount // bytes that gave way and are held until the request has ended
	credit  float64
	updated anvilclock.Millis // when credit was worked out
	idle    *list.Element     // its place among the idle connections, or nil
	left    bool              // gave way or was closed
}

// Counts are the totals of a Table.
type Counts struct {
	Connections int `json:"connections"`
	// Peers is how many of Connections are those of peers.
	Peers int               `json:"peers"`
	Bytes anvilid.ByteCount `json:"bytes"` // of strangers
	Calls anvilid.ByteCount `json:"calls"` // the bytes of peers
	// PeakBytes is the largest number of bytes so far.
	PeakBytes anvilid.ByteCount `json:"peak"`
	// Closed counts connections that gave way to others, and Refused those that found no place.
	Closed  int64 `json:"closed"`
	Refused int64 `json:"refused"`
	// Yielded counts requests that gave way because of their bytes.
	Yielded int64 `json:"yielded"`
}

// Table accounts for the connections of a process.
type Table struct {
	limits Limits
	// waiting has the connections that are Receiving or Sending.
	waiting  map[*Conn]struct{}
	idle     *list.List // the one that has been idle for longest first
	accounts map[string]anvilid.ByteCount
	trusted  map[string]anvilclock.Millis // when a request of an account was carried out last
	held     [Peer + 1]anvilid.ByteCount
	leaving  [Peer + 1]anvilid.ByteCount // bytes that gave way and are held until their requests have ended
	open     [Peer + 1]int
	counts   Counts
}

// New returns an empty table.
func New(limits Limits) *Table {
	return &Table{
		limits: limits, waiting: map[*Conn]struct{}{}, idle: list.New(), accounts: map[string]anvilid.ByteCount{},
		trusted: map[string]anvilclock.Millis{},
	}
}

// Counts returns the present totals.
func (t *Table) Counts() Counts {
	counts := t.counts
	counts.Connections = t.open[Stranger] + t.open[Peer]
	counts.Peers, counts.Bytes, counts.Calls = t.open[Peer], t.held[Stranger], t.held[Peer]
	return counts
}

// Open adds a connection. If there are too many then, it returns the one to close, which may be the new one.
func (t *Table) Open(class Class, now anvilclock.Millis) (opened, surplus *Conn) {
	c := &Conn{class: class, credit: initialCredit, updated: now}
	t.open[class]++
	t.waiting[c] = struct{}{}
	strangersOver := t.open[Stranger] > t.limits.Connections-t.limits.Peers
	if !strangersOver && t.open[Stranger]+t.open[Peer] <= t.limits.Connections {
		return c, nil
	}
	surplus = t.chooseSurplus(c, strangersOver || t.open[Peer] <= t.limits.Peers, now)
	if surplus != c {
		t.counts.Closed++
	}
	t.Close(surplus)
	return c, surplus
}

// Refuse counts a connection that found no place.
func (t *Table) Refuse() { t.counts.Refused++ }

// chooseSurplus returns the connection that gives way to a new one: one whose client has stalled, or else the one that has
// been idle for longest, or else the one that receives the least, or else the new one.
func (t *Table) chooseSurplus(opened *Conn, strangersOnly bool, now anvilclock.Millis) *Conn {
	eligible := func(c *Conn) bool { return c != opened && (!strangersOnly || c.class == Stranger) }
	if stalled, credit := t.slowest(eligible, now); stalled != nil && credit < stalledCredit {
		return stalled
	}
	for e := t.idle.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); eligible(c) {
			return c
		}
	}
	receiving, _ := t.slowest(func(c *Conn) bool { return eligible(c) && c.phase == Receiving }, now)
	if receiving != nil {
		return receiving
	}
	return opened
}

// slowest returns the waiting connection with the least credit among those that are eligible, and its credit. Trusted ones
// come last.
func (t *Table) slowest(eligible func(*Conn) bool, now anvilclock.Millis) (found *Conn, credit float64) {
	credit = math.Inf(1)
	for c := range t.waiting {
		own := c.creditAt(now)
		sooner := found == nil || found.trusted && !c.trusted || found.trusted == c.trusted && own < credit
		if sooner && eligible(c) {
			found, credit = c, own
		}
	}
	return found, credit
}

func (c *Conn) creditAt(now anvilclock.Millis) float64 {
	return c.credit * math.Exp2(-float64(now-c.updated)/float64(creditHalfLife))
}

// Progress records that bytes of the client have arrived, or that the client has taken some.
func (t *Table) Progress(c *Conn, bytes int, now anvilclock.Millis) {
	c.credit, c.updated = c.creditAt(now)+float64(bytes), now
}

// SetPhase records what a connection waits for from now on. A client that begins to wait for something else gets the
// credit of a new one.
func (t *Table) SetPhase(c *Conn, phase Phase, now anvilclock.Millis) {
	if c.left || c.phase == phase {
		return
	}
	t.leavePhase(c)
	c.phase = phase
	initial := float64(initialCredit)
	if phase == Sending {
		initial = sendingCredit
	}
	c.credit, c.updated = initial, now
	switch phase {
	case Idle:
		c.idle = t.idle.PushBack(c)
	case Receiving, Sending:
		t.waiting[c] = struct{}{}
	}
}

func (t *Table) leavePhase(c *Conn) {
	delete(t.waiting, c)
	if c.idle != nil {
		t.idle.Remove(c.idle)
		c.idle = nil
	}
}

// SetAccount names the account to which the bytes of a connection count, also those that it holds.
func (t *Table) SetAccount(c *Conn, account string, now anvilclock.Millis) {
	held := c.bytes
	t.add(c, -held)
	c.account = account
	t.add(c, held)
	since, known := t.trusted[account]
	c.trusted = known && now < since+trustDuration
}

// Trust records that a request of an account was carried out. Its connections give way after those of others for
// trustDuration. Only what gives way first depends on it, so that a key which has been taken since gains nothing else.
func (t *Table) Trust(account string, now anvilclock.Millis) {
	if account == "" {
		return
	}
	if _, known := t.trusted[account]; !known && len(t.trusted) >= maxTrusted {
		maps.DeleteFunc(t.trusted, func(_ string, since anvilclock.Millis) bool { return now >= since+trustDuration })
		if len(t.trusted) >= maxTrusted {
			return
		}
	}
	t.trusted[account] = now
}

// Reserve records that a connection holds more bytes. It returns the connections that have to give way for them. Their
// bytes no longer count. If the connection itself is among them, it must not hold the bytes. That is never so for one
// that is Sending, whose bytes exist already.
func (t *Table) Reserve(c *Conn, bytes anvilid.ByteCount, now anvilclock.Millis) (yielding []*Conn) {
	if c.left {
		return []*Conn{c}
	}
	t.add(c, bytes)
	for t.isOver(c) && !t.isAlone(c) {
		slowest := t.chooseYielding(c, now)
		if slowest == nil {
			break
		}
		if slowest == c {
			t.Return(c, bytes) // it must not hold them
		}
		yielding = append(yielding, t.yield(slowest))
		if slowest == c {
			return yielding
		}
	}
	leaving := t.leaving[c.class]
	if c.phase != Sending && leaving > 0 && t.held[c.class]+leaving > leavingFactor*t.limits.bytes(c.class) {
		t.Return(c, bytes)
		return append(yielding, t.yield(c))
	}
	t.counts.PeakBytes = max(t.counts.PeakBytes, t.held[Stranger]+t.leaving[Stranger]+t.held[Peer]+t.leaving[Peer])
	return yielding
}

// yield makes a connection give way because of its bytes. The process holds them until its request has ended, which may
// take a while on a busy machine.
func (t *Table) yield(c *Conn) *Conn {
	t.counts.Yielded++
	t.leave(c)
	t.leavePhase(c)
	return c
}

func (t *Table) leave(c *Conn) {
	t.leaving[c.class] += c.bytes
	c.leaving += c.bytes
	t.add(c, -c.bytes)
}

func (t *Table) isOver(c *Conn) bool {
	return t.held[c.class] > t.limits.bytes(c.class) ||
		c.class == Stranger && t.accounts[c.account] > t.limits.Bytes/accountFraction
}

// isAlone reports whether only this connection of its class holds bytes, and not more than the limit: a single body within
// the limits is always taken.
func (t *Table) isAlone(c *Conn) bool {
	return c.bytes == t.held[c.class] && c.bytes <= t.limits.bytes(c.class)
}

// chooseYielding returns the connection that gives way because of its bytes, or nil if there is none. Connections that hold
// no more than an equal share come last, as all of them together can't exceed the limit.
func (t *Table) chooseYielding(c *Conn, now anvilclock.Millis) *Conn {
	limit := t.limits.bytes(c.class)
	sameAccount := t.held[c.class] <= limit
	for _, share := range []anvilid.ByteCount{limit / anvilid.ByteCount(max(t.limits.Connections, 1)), 0} {
		slowest, _ := t.slowest(func(o *Conn) bool {
			return o.class == c.class && o.bytes > share && (!sameAccount || o.account == c.account) && (o != c || c.phase != Sending)
		}, now)
		if slowest != nil {
			return slowest
		}
	}
	if c.phase == Sending {
		return nil
	}
	return c
}

func (t *Table) add(c *Conn, bytes anvilid.ByteCount) {
	c.bytes += bytes
	t.held[c.class] += bytes
	if c.class == Peer {
		return
	}
	t.accounts[c.account] += bytes
	if t.accounts[c.account] == 0 {
		delete(t.accounts, c.account)
	}
}

// Return records that a connection holds fewer bytes.
func (t *Table) Return(c *Conn, bytes anvilid.ByteCount) {
	counted := min(bytes, c.bytes)
	t.add(c, -counted)
	left := min(bytes-counted, c.leaving)
	c.leaving -= left
	t.leaving[c.class] -= left
}

// Release records that a connection holds no bytes, as its request has ended.
func (t *Table) Release(c *Conn) {
	t.add(c, -c.bytes)
	t.leaving[c.class] -= c.leaving
	c.leaving = 0
}

// Close removes a connection. What it holds no longer counts to its account. It does nothing for one that has been
// removed.
func (t *Table) Close(c *Conn) {
	if c.left {
		return
	}
	t.leave(c)
	t.leavePhase(c)
	t.open[c.class]--
	c.left = true
}

// Phase returns what a connection waits for.
func (t *Table) Phase(c *Conn) Phase { return c.phase }
