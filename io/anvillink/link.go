// Package anvillink provides the HTTP clients between instances and counts
// the bytes that cross the link between regions, per cause.
package anvillink

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"time"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilrpc"
)

// TrafficType says what a connection between instances carries.
type TrafficType string

// Causes of traffic between instances.
const (
	Control TrafficType = "control"
	Raft    TrafficType = "raft"
	Run     TrafficType = "run"
	Record  TrafficType = "record"
	Fetch   TrafficType = "fetch"
	Report  TrafficType = "report"
	Member  TrafficType = "member"
)

// Connections that carry nothing for this time are closed.
const idleTimeout = 30 * time.Second

// A connection that isn't established within this time has failed. It is
// shorter than the lease, so that a dead peer doesn't cost a renewal.
const dialTimeout = 250 * time.Millisecond

// Links holds the clients to other instances.
type Links struct {
	own    anvilid.RegionName
	region func(anvilid.Address) anvilid.RegionName
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	bytes  *expvar.Map

	mu      sync.Mutex
	clients map[TrafficType]*http.Client
}

// Option changes Links.
type Option func(*Links)

// WithDial replaces the dialer, so that tests can cut or delay links.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(l *Links) { l.dial = dial }
}

// WithByteCounters sets the map that receives the counts.
func WithByteCounters(bytes *expvar.Map) Option {
	return func(l *Links) { l.bytes = bytes }
}

// New returns links of an instance in region own. The function region finds
// the region of a peer by its address.
func New(own anvilid.RegionName, region func(anvilid.Address) anvilid.RegionName, opts ...Option) *Links {
	dialer := &net.Dialer{Timeout: dialTimeout}
	l := &Links{
		own: own, region: region, dial: dialer.DialContext,
		bytes: new(expvar.Map).Init(), clients: map[TrafficType]*http.Client{},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Client returns the HTTP client for one cause.
func (l *Links) Client(cause TrafficType) *http.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	client, ok := l.clients[cause]
	if !ok {
		client = &http.Client{Transport: &http.Transport{
			DialContext:         l.dialCounted(cause),
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}}
		l.clients[cause] = client
	}
	return client
}

// Peer returns a client of the Peer service at an address.
func (l *Links) Peer(cause TrafficType, address anvilid.Address) anvilrpc.Peer {
	return anvilrpc.NewPeerProtobufClient("http://"+string(address), l.Client(cause))
}

// ControlAt returns a client of the Control service at an address.
func (l *Links) ControlAt(address anvilid.Address) anvilrpc.Control {
	return anvilrpc.NewControlProtobufClient("http://"+string(address), l.Client(Control))
}

// RaftAt returns a client of the Raft service at an address.
func (l *Links) RaftAt(address anvilid.Address) anvilrpc.Raft {
	return anvilrpc.NewRaftProtobufClient("http://"+string(address), l.Client(Raft))
}

// FleetAt returns a client of the Fleet service at an address.
func (l *Links) FleetAt(address anvilid.Address) anvilrpc.Fleet {
	return anvilrpc.NewFleetProtobufClient("http://"+string(address), l.Client(Control))
}

// Close closes the connections that carry nothing.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, client := range l.clients {
		client.CloseIdleConnections()
	}
}

func (l *Links) dialCounted(cause TrafficType) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := l.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if l.region(anvilid.Address(address)) == l.own {
			return conn, nil
		}
		return &countedConn{Conn: conn, links: l, sent: string(cause) + "_sent", received: string(cause) + "_received"}, nil
	}
}

// countedConn counts the bytes of a connection to another region.
type countedConn struct {
	net.Conn
	links          *Links
	sent, received string
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.links.bytes.Add(c.received, int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.links.bytes.Add(c.sent, int64(n))
	return n, err
}
