package anvilraft

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// TestLargeEntryOnNarrowLink guards against an entry that never reaches a member, because one delivery of a
// message is limited in time and the link is too narrow for the whole entry, and against a leader that loses its
// quorum while the entry is sent, because heartbeats wait behind it.
func TestLargeEntryOnNarrowLink(t *testing.T) {
	const bytesPerMillisecond, deliveryLimit = 30_000 / 8, 350_000
	c := newCluster(t, 1, []string{"a", "b", "c"})
	var free int64 // when the link to the others becomes idle
	c.latency = func(from *voter, m Message) int64 {
		if from.id.Instance != "a" {
			return 8000
		}
		data, err := Encode(m)
		assert.NilError(t, err)
		arrives := max(free, c.now) + int64(len(data))*1000/bytesPerMillisecond
		if arrives-c.now > deliveryLimit {
			return -1 // the rest of the message is never sent
		}
		free = arrives
		return free - c.now + 8000
	}
	a := c.voters[0]
	c.run(299)
	a.clockOffset += 700_000
	c.run(100)
	assert.Equal(t, a.role, Leader)
	c.step(a, Propose{Key: 1, Commands: [][]byte{make([]byte, 3<<20), make([]byte, 10)}})
	last := a.node.Status().Last
	for start := c.now; a.applied < last; {
		c.run(10)
		assert.Assert(t, a.node.HasQuorum(a.clock(c.now)), "lost the quorum %d ms after the proposal", (c.now-start)/1000)
		assert.Assert(t, c.now-start < 5_000_000, "the entry was not committed")
	}
	c.run(2000)
	for _, v := range c.voters {
		assert.Equal(t, v.applied, last, "%v", v.id)
	}
}

// TestRestartDuringTransfer guards against a transfer that never ends because the member has lost the parts that
// it had, or the entry before the large one.
func TestRestartDuringTransfer(t *testing.T) {
	for delay := anvilclock.Millis(1); delay < 60; delay += 3 {
		c := newCluster(t, 1, []string{"a", "b", "c"}, WithEntryBytes(200), WithMessageBytes(100), WithMaxInflight(150, 8))
		a, b := c.voters[0], c.voters[1]
		c.run(299)
		a.clockOffset += 700_000
		c.run(100)
		b.diskStalled = true // what b gets from now on is lost with its process
		c.step(a, Propose{Key: 1, Commands: [][]byte{make([]byte, 20), make([]byte, 1000), make([]byte, 20), make([]byte, 500)}})
		c.run(delay)
		c.crash(b, 0)
		b.diskStalled = false
		c.start(b)
		c.run(3000)
		for _, v := range c.voters {
			assert.Equal(t, v.applied, a.node.Status().Last, "%v, restarted after %d ms", v.id, delay)
		}
	}
}

// TestTrailingEntries guards against entries that stay in memory after a snapshot without a limit of their size.
func TestTrailingEntries(t *testing.T) {
	log := entryLog{base: 10}
	for i := range anvilid.Index(20) {
		log.append(Entry{Index: 11 + i, Data: make([]byte, 68)}) // 100 bytes with overhead
	}
	for _, c := range []struct {
		count int
		limit anvilid.ByteCount
		first anvilid.Index
	}{{5, 10_000, 21}, {50, 10_000, 11}, {50, 450, 22}, {50, 500, 21}, {50, 99, 26}, {0, 10_000, 26}} {
		assert.Equal(t, log.firstTrailing(25, c.count, c.limit), c.first, "%+v", c)
	}
	assert.Equal(t, log.firstTrailing(10, 5, 10_000), anvilid.Index(11), "nothing is in memory")
}
