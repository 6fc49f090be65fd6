package anvilconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"anvilshunt/core/anvilclock"
)

// Peers tells which process an outbound connection leads to, where a later incarnation of a process may listen at the
// same address. A connection ends with its process, so that no later incarnation gets what is sent on it.
type Peers struct {
	clock  anvilclock.Clock
	dialer *net.Dialer

	mu        sync.Mutex
	addresses map[string]*peerAddress // those with open connections
}

// peerAddress has what is known about the processes at one address.
type peerAddress struct {
	connections int
	// incarnation is that of the latest answer that names one. It was alive from since, when its first answer arrived,
	// until a time after until, when the latest call was sent that it has answered.
	incarnation  int64
	since, until anvilclock.Millis
}

// Peer is an outbound connection.
type Peer struct {
	net.Conn
	peers   *Peers
	address string
	// The connection was opened between these times.
	dialing, open anvilclock.Millis
	closed        sync.Once
	refused       atomic.Bool
	// incarnation is that of the latest answer on this connection that names one, or 0. peers.mu must be held.
	incarnation int64
}

// NewPeers returns Peers without connections.
func NewPeers(clock anvilclock.Clock, dialer *net.Dialer) *Peers {
	return &Peers{clock: clock, dialer: dialer, addresses: map[string]*peerAddress{}}
}

// ErrNewConnection means that a call would have needed a new connection or one that may lead to another process, see
// WithoutDial and Refuse.
var ErrNewConnection = errors.New("no open connection to the process is free, and the call must not open one")

type withoutDial struct{}

// WithoutDial returns a context for calls that must not open a connection.
func WithoutDial(ctx context.Context) context.Context {
	return context.WithValue(ctx, withoutDial{}, true)
}

// Dial opens a connection, which is a *Peer.
func (p *Peers) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if ctx.Value(withoutDial{}) != nil {
		return nil, ErrNewConnection
	}
	dialing := p.clock.Now()
	conn, err := p.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addresses[address] == nil {
		p.addresses[address] = &peerAddress{}
	}
	p.addresses[address].connections++
	return &Peer{Conn: conn, peers: p, address: address, dialing: dialing, open: p.clock.Now()}, nil
}

// Refuse makes the next write fail with ErrNewConnection, before anything is sent. An HTTP client that has just chosen the
// connection for a call then tries another one.
func (c *Peer) Refuse() { c.refused.Store(true) }

// Write writes to the connection.
func (c *Peer) Write(data []byte) (int, error) {
	if c.refused.Load() {
		return 0, ErrNewConnection
	}
	return c.Conn.Write(data)
}

// Close closes the connection.
func (c *Peer) Close() error {
	c.closed.Do(func() {
		c.peers.mu.Lock()
		defer c.peers.mu.Unlock()
		if at := c.peers.addresses[c.address]; at.connections > 1 {
			at.connections--
			return
		}
		delete(c.peers.addresses, c.address)
	})
	return c.Conn.Close()
}

// Answered records that an answer has arrived on the connection to a call that was sent at the given time. The
// incarnation is 0 if the answer names none.
func (c *Peer) Answered(incarnation int64, sent anvilclock.Millis) {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	at := c.peers.addresses[c.address]
	if incarnation == 0 || at == nil {
		return
	}
	c.incarnation = incarnation
	if at.incarnation != incarnation {
		at.incarnation, at.since, at.until = incarnation, c.peers.clock.Now(), sent
	}
	at.until = max(at.until, sent)
}

// IsTo reports whether the connection certainly leads to the process with this incarnation: it has answered on it, or
// was alive when the connection was opened.
func (c *Peer) IsTo(incarnation int64) bool {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	if c.incarnation != 0 || incarnation == 0 {
		return c.incarnation == incarnation && incarnation != 0
	}
	at := c.peers.addresses[c.address]
	return at != nil && at.incarnation == incarnation && at.since < c.dialing && at.until > c.open
}
