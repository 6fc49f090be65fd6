package anvilbudget

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// samePointers compares connections by identity.
var samePointers = cmp.Comparer(func(a, b *Conn) bool { return a == b })

// Guards against a newcomer, or a request that was sent whole, that gives way to clients that have stopped halfway, and
// against an idle connection that does.
func TestStalledConnectionGivesWay(t *testing.T) {
	table := New(Limits{Connections: 4, Bytes: 1 << 20})
	working, _ := table.Open(Stranger, 0)
	table.SetPhase(working, Working, 0)
	idle, _ := table.Open(Stranger, 0)
	table.SetPhase(idle, Idle, 0)
	stalled, _ := table.Open(Stranger, 0)
	table.Progress(stalled, 250_000, 0)
	receiving, _ := table.Open(Stranger, 0)
	now := 3 * anvilclock.Second
	table.Progress(receiving, 4000, now)

	for _, expected := range []*Conn{stalled, idle, receiving} {
		opened, surplus := table.Open(Stranger, now)
		assert.Equal(t, surplus, expected)
		table.SetPhase(opened, Working, now)
	}
	last, surplus := table.Open(Stranger, now)
	assert.Equal(t, surplus, last, "all others are working")
	assert.Equal(t, table.Counts().Connections, 4)
}

// Guards against strangers that take the connections of other instances.
func TestPlacesForPeers(t *testing.T) {
	table := New(Limits{Connections: 16, Peers: 2, Bytes: 1 << 20})
	for range 20 {
		c, _ := table.Open(Stranger, 0)
		table.SetPhase(c, Working, 0)
	}
	assert.Equal(t, table.Counts().Connections, 14)
	for range 2 {
		_, surplus := table.Open(Peer, 0)
		assert.Assert(t, surplus == nil)
	}
	late, _ := table.Open(Stranger, 0)
	table.SetPhase(late, Receiving, 0)
	assert.Equal(t, table.Counts().Connections, 16)
	assert.Equal(t, table.open[Peer], 2)
}

// Guards against bodies that exceed the budget, and against a body that gives way though its client sends faster than others,
// or holds no more than its share.
func TestSlowestBodyGivesWay(t *testing.T) {
	table := New(Limits{Connections: 10, Peers: 1, Bytes: 1000})
	open := func(account string, bytes int, at anvilclock.Millis) *Conn {
		c, _ := table.Open(Stranger, at)
		table.SetAccount(c, account, 0)
		assert.Equal(t, len(table.Reserve(c, 0, at)), 0)
		table.Progress(c, bytes, at)
		return c
	}
	slow, fast, small := open("a", 400, 0), open("b", 100_000, 0), open("c", 0, 0)
	assert.Equal(t, len(table.Reserve(slow, 400, 0)), 0)
	assert.Equal(t, len(table.Reserve(fast, 400, 0)), 0)
	assert.Equal(t, len(table.Reserve(small, 100, 0)), 0)
	other := open("d", 50_000, 0)
	assert.DeepEqual(t, table.Reserve(other, 300, 0), []*Conn{slow}, samePointers)
	assert.Equal(t, table.Counts().Bytes, fast.bytes+small.bytes+other.bytes)
	assert.DeepEqual(t, table.Reserve(fast, 200, 0), []*Conn{fast}, samePointers)
	assert.Equal(t, table.Counts().Yielded, int64(2))
}

// Guards against a single largest body that is refused, and against a connection whose bytes count for ever.
func TestSingleBody(t *testing.T) {
	table := New(Limits{Connections: 10, Peers: 1, Bytes: 1000})
	c, _ := table.Open(Stranger, 0)
	assert.Equal(t, len(table.Reserve(c, 1000, 0)), 0)
	table.Close(c)
	table.Close(c)
	assert.Equal(t, table.Counts(), Counts{PeakBytes: 1000})
	assert.DeepEqual(t, table.Reserve(c, 1, 0), []*Conn{c}, samePointers)
}

// Guards against a process whose requests end late, so that bodies that gave way and those that took their place are held
// at the same time without a bound.
func TestBytesThatGaveWay(t *testing.T) {
	table := New(Limits{Connections: 100, Bytes: 1000})
	var opened []*Conn
	for n := range 50 {
		c, _ := table.Open(Stranger, anvilclock.Millis(n))
		table.Reserve(c, 400, anvilclock.Millis(n))
		opened = append(opened, c)
		assert.Assert(t, table.Counts().Bytes <= 1000)
	}
	assert.Assert(t, table.Counts().PeakBytes <= leavingFactor*1000, "%+v", table.Counts())
	for _, c := range opened {
		table.Release(c)
	}
	assert.Equal(t, table.leaving[Stranger]+table.Counts().Bytes, anvilid.ByteCount(0))
}

// Guards against bodies of strangers that make the calls of other instances give way, and against calls without a budget.
func TestBytesOfPeers(t *testing.T) {
	table := New(Limits{Connections: 10, Peers: 5, Bytes: 1000, PeerBytes: 500})
	for n := range 4 {
		c, _ := table.Open(Stranger, 0)
		table.SetAccount(c, string(rune('a'+n)), 0)
		assert.Equal(t, len(table.Reserve(c, 250, 0)), 0)
	}
	call, _ := table.Open(Peer, 0)
	assert.Equal(t, len(table.Reserve(call, 500, 0)), 0)
	other, _ := table.Open(Peer, anvilclock.Second)
	assert.DeepEqual(t, table.Reserve(other, 300, anvilclock.Second), []*Conn{call}, samePointers)
	table.Release(call)
	table.Release(other)
	assert.Equal(t, table.Counts().Bytes, anvilid.ByteCount(1000))
}

// Guards against bytes of a header that count to an account for good, because the account of a connection is known only
// once its header has been read.
func TestAccountIsKnownLate(t *testing.T) {
	table := New(Limits{Connections: 10, Bytes: 1000})
	for range 10 {
		c, _ := table.Open(Stranger, 0)
		assert.Equal(t, len(table.Reserve(c, 400, 0)), 0)
		table.SetAccount(c, "a", 0)
		assert.Equal(t, len(table.Reserve(c, 100, 0)), 0)
		table.Release(c)
	}
	assert.Equal(t, len(table.accounts), 0, "%v", table.accounts)
}

// Guards against clients whose requests were carried out lately, such as operators and targets, and that give way to a crowd
// that sends faster.
func TestTrustedClientsGiveWayLast(t *testing.T) {
	table := New(Limits{Connections: 4, Bytes: 1000})
	table.Trust("target", 0)
	open := func(account string, bytes anvilid.ByteCount) *Conn {
		c, _ := table.Open(Stranger, 0)
		table.SetAccount(c, account, 0)
		assert.Equal(t, len(table.Reserve(c, bytes, 0)), 0)
		return c
	}
	target, first, second := open("target", 400), open("a", 400), open("b", 100)
	now := anvilclock.Second
	table.Progress(first, 400_000, now)
	table.Progress(second, 200_000, now)
	assert.DeepEqual(t, table.Reserve(second, 200, now), []*Conn{second}, samePointers)
	assert.Assert(t, !target.left && !first.left)
	for range 4 {
		opened, surplus := table.Open(Stranger, now)
		assert.Assert(t, surplus != target)
		table.Progress(opened, 200_000, now)
	}
	later := now + 2*trustDuration
	forgotten, _ := table.Open(Stranger, later)
	table.SetAccount(forgotten, "target", later)
	assert.Assert(t, !forgotten.trusted)
	for n := range 3 * maxTrusted {
		table.Trust(strconv.Itoa(n), anvilclock.Millis(n)) // a crowd must not let the table grow
	}
	assert.Assert(t, len(table.trusted) <= maxTrusted)
}
