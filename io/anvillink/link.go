// Package anvillink provides the HTTP clients for calls between instances. It counts the
// bytes that are sent to and received from other regions, for each type of traffic.
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

// TrafficType says what a connection between instances is used for. Each type has its own
// connections and byte counters.
type TrafficType string

// Types of traffic between instances.
const (
	Control TrafficType = "control" // calls of the services Control and Fleet
	Raft    TrafficType = "raft"    // messages of the replicated log between voters
	Run     TrafficType = "run"     // short requests that run on a target of another instance
	Record  TrafficType = "record"  // request ids that are recorded at the instance that detects duplicates
	Fetch   TrafficType = "fetch"   // answers that are fetched from the instance that stores them
	Report  TrafficType = "report"  // announcements that are forwarded to the owner of the target
	Member  TrafficType = "member"  // calls to the owner of a target to prepare, start or stop gang members on it
)

// idleTimeout is the time after which an unused connection is closed.
const idleTimeout = 30 * time.Second

// dialTimeout bounds the time to establish a connection. It is shorter than the instance
// lease, so that an attempt to renew the lease at an instance that is down doesn't last until
// the lease has expired.
const dialTimeout = 250 * time.Millisecond

// Links provides the HTTP clients for calls to other instances, one for each type of traffic.
type Links struct {
	ownRegion    anvilid.RegionName
	regionOf     func(anvilid.Address) anvilid.RegionName
	dial         func(ctx context.Context, network, address string) (net.Conn, error)
	byteCounters *expvar.Map

	mu      sync.Mutex
	clients map[TrafficType]*http.Client
}

// Option is an option of New.
type Option func(*Links)

// WithDial replaces the dialer, so that tests can interrupt or delay connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(l *Links) { l.dial = dial }
}

// WithByteCounters sets the map in which the bytes to and from other regions are counted. Its keys
// are the type of traffic followed by _sent or _received.
func WithByteCounters(counters *expvar.Map) Option {
	return func(l *Links) { l.byteCounters = counters }
}

// New returns the links of an instance in the region ownRegion. The function regionOf returns
// the region of the instance at an address.
func New(ownRegion anvilid.RegionName, regionOf func(anvilid.Address) anvilid.RegionName, opts ...Option) *Links {
	dialer := &net.Dialer{Timeout: dialTimeout}
	l := &Links{
		ownRegion: ownRegion, regionOf: regionOf, dial: dialer.DialContext,
		byteCounters: new(expvar.Map).Init(), clients: map[TrafficType]*http.Client{},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Client returns the HTTP client for one type of traffic.
func (l *Links) Client(traffic TrafficType) *http.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	client, ok := l.clients[traffic]
	if !ok {
		client = &http.Client{Transport: &http.Transport{
			DialContext:         l.dialAndCount(traffic),
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}}
		l.clients[traffic] = client
	}
	return client
}

// Peer returns a client of the Peer service at an address.
func (l *Links) Peer(traffic TrafficType, address anvilid.Address) anvilrpc.Peer {
	return anvilrpc.NewPeerProtobufClient("http://"+string(address), l.Client(traffic))
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

// Close closes the idle connections of all clients.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, client := range l.clients {
		client.CloseIdleConnections()
	}
}

func (l *Links) dialAndCount(traffic TrafficType) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := l.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if l.regionOf(anvilid.Address(address)) == l.ownRegion {
			return conn, nil
		}
		return &countedConn{Conn: conn, links: l, sent: string(traffic) + "_sent", received: string(traffic) + "_received"}, nil
	}
}

// countedConn is a connection to another region whose sent and received bytes are counted.
type countedConn struct {
	net.Conn
	links          *Links
	sent, received string
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.links.byteCounters.Add(c.received, int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.links.byteCounters.Add(c.sent, int64(n))
	return n, err
}
