package anvilconn

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
)

// TestPeerIncarnation guards against taking a connection for one to the known incarnation of a process that may lead to
// a later one, and against forgetting which process it leads to.
func TestPeerIncarnation(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, listener.Close()) })
	now := anvilclock.Millis(0)
	peers := NewPeers(anvilclock.Clock{Now: func() anvilclock.Millis { return now }}, &net.Dialer{})
	dial := func() *Peer {
		now += 10
		conn, err := peers.Dial(context.Background(), "tcp", listener.Addr().String())
		assert.NilError(t, err)
		return conn.(*Peer)
	}
	first := dial()
	assert.Assert(t, !first.IsTo(1), "no answer yet")
	assert.Assert(t, !first.IsTo(0))
	now += 10
	first.Answered(1, now-1)
	assert.Assert(t, first.IsTo(1))
	assert.Assert(t, !first.IsTo(2))

	second := dial()
	second.Answered(0, now)
	assert.Assert(t, !second.IsTo(1), "incarnation 1 may have ended before the connection was opened")
	now += 10
	first.Answered(1, now)
	assert.Assert(t, second.IsTo(1), "incarnation 1 has answered before and after the connection was opened")

	third := dial()
	now += 10
	third.Answered(2, now)
	now += 10
	third.Answered(2, now)
	assert.Assert(t, third.IsTo(2))
	assert.Assert(t, !second.IsTo(2), "incarnation 2 began after the connection was opened")
	for _, conn := range []*Peer{first, second, third} {
		assert.NilError(t, conn.Close())
	}
	assert.ErrorIs(t, third.Close(), net.ErrClosed)
	assert.Equal(t, len(peers.addresses), 0)
}
