package anvilmeasure

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"anvilshunt/core/anvilid"
)

// One-way delays between availability zones and between regions of the deployment in Sicily.
const (
	zoneDelay   = 1500 * time.Microsecond
	regionDelay = 8 * time.Millisecond
)

// dialTimeout is the timeout of the simulated network for opening a connection. It is the same as that of
// the real dialer in package anvillink.
const dialTimeout = 250 * time.Millisecond

// maxQueuedChunks limits the writes in flight in each direction of a connection. It is above the
// product of the delay and the write rate of the measured connections.
const maxQueuedChunks = 512

var errKilled = errors.New("the instance was killed")

// location is the name, the region and the availability zone of an instance.
type location struct {
	name   string
	region anvilid.RegionName
	zone   anvilid.ZoneName
}

// direction names the sending and the receiving instance of bytes, which are counted for each direction.
type direction struct{ from, to string }

// netSim simulates the network between the instances. It delays the bytes of each direction. While the
// connection between two instances is blocked, it queues their bytes and delivers them afterwards.
type netSim struct {
	countOnly bool // only count bytes; neither delay nor block them

	mu             sync.Mutex
	locations      map[string]location // the location of the instance at each peer address
	blocked        func(a, b location) bool
	blockedChanged chan struct{} // closed and replaced when blocked changes
	conns          map[*delayedConn]bool
	bytes          map[direction]*atomic.Int64
}

func newNetSim(countOnly bool) *netSim {
	return &netSim{
		countOnly: countOnly, locations: map[string]location{}, blockedChanged: make(chan struct{}),
		blocked: func(location, location) bool { return false }, conns: map[*delayedConn]bool{}, bytes: map[direction]*atomic.Int64{},
	}
}

// setBlocked blocks the bytes between each two instances for which blocked returns true, until the next
// call of setBlocked. If blocked is nil, no bytes are blocked.
func (f *netSim) setBlocked(blocked func(a, b location) bool) {
	if blocked == nil {
		blocked = func(location, location) bool { return false }
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = blocked
	close(f.blockedChanged)
	f.blockedChanged = make(chan struct{})
}

// isolate blocks all bytes from and to the named instances, as if their processes were frozen.
func (f *netSim) isolate(names ...string) {
	frozen := map[string]bool{}
	for _, name := range names {
		frozen[name] = true
	}
	f.setBlocked(func(a, b location) bool { return a.name != b.name && (frozen[a.name] || frozen[b.name]) })
}

// cutRegion blocks all bytes between regions.
func (f *netSim) cutRegion() { f.setBlocked(func(a, b location) bool { return a.region != b.region }) }

// breakConnections closes all connections of an instance, as the end of its process does.
func (f *netSim) breakConnections(name string) {
	f.mu.Lock()
	var broken []*delayedConn
	for conn := range f.conns {
		if conn.from.name == name || conn.to.name == name {
			broken = append(broken, conn)
		}
	}
	f.mu.Unlock()
	for _, conn := range broken {
		conn.fail(errKilled)
	}
}

func (f *netSim) delay(a, b location) time.Duration {
	switch {
	case f.countOnly || a.zone == b.zone && a.region == b.region:
		return 0
	case a.region == b.region:
		return zoneDelay
	}
	return regionDelay
}

// waitUnblocked waits until bytes may pass between two instances. It returns false if done is closed
// first.
func (f *netSim) waitUnblocked(done <-chan struct{}, a, b location) bool {
	for {
		f.mu.Lock()
		blocked, blockedChanged := f.blocked(a, b), f.blockedChanged
		f.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-blockedChanged:
		case <-done:
			return false
		}
	}
}

func (f *netSim) counter(from, to string) *atomic.Int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	counter, ok := f.bytes[direction{from, to}]
	if !ok {
		counter = new(atomic.Int64)
		f.bytes[direction{from, to}] = counter
	}
	return counter
}

// bytesOf returns the number of bytes from and to an instance, or of all bytes if name is empty.
func (f *netSim) bytesOf(name string) (sum int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for direction, counter := range f.bytes {
		if name == "" || direction.from == name || direction.to == name {
			sum += counter.Load()
		}
	}
	return sum
}

// dialer returns the dial function of the instance at a location.
func (f *netSim) dialer(from location) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		f.mu.Lock()
		to := f.locations[address]
		f.mu.Unlock()
		if !f.waitUnblocked(ctx.Done(), from, to) {
			return nil, ctx.Err()
		}
		delay := f.delay(from, to)
		// Establishing a connection takes one round trip.
		select {
		case <-time.After(2 * delay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if f.countOnly {
			return &countingConn{conn, f.counter(from.name, to.name), f.counter(to.name, from.name)}, nil
		}
		return f.newDelayedConn(conn, from, to, delay), nil
	}
}

// countingConn is a connection that only counts bytes. It neither delays nor blocks them, so that it
// adds little to the measured usage.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

// Write counts the bytes to the peer.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}

// Read counts the bytes from the peer.
func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.received.Add(int64(n))
	return n, err
}

// chunk is the data of one write or read, and the time at which it arrives at the other end.
type chunk struct {
	arrivesAt time.Time
	data      []byte
}

// delayedConn is a connection that delays the bytes in both directions.
type delayedConn struct {
	net.Conn
	netSim                  *netSim
	from, to                location
	delay                   time.Duration
	sendQueue, receiveQueue chan chunk
	sent                    *atomic.Int64
	received                *atomic.Int64
	closed                  chan struct{}
	failOnce                sync.Once
	closeErr                error

	readMu sync.Mutex
	unread []byte
}

func (f *netSim) newDelayedConn(conn net.Conn, from, to location, delay time.Duration) *delayedConn {
	d := &delayedConn{
		Conn: conn, netSim: f, from: from, to: to, delay: delay, closed: make(chan struct{}),
		sendQueue: make(chan chunk, maxQueuedChunks), receiveQueue: make(chan chunk, maxQueuedChunks),
		sent: f.counter(from.name, to.name), received: f.counter(to.name, from.name),
	}
	f.mu.Lock()
	f.conns[d] = true
	f.mu.Unlock()
	go d.sendLoop()
	go d.receiveLoop()
	return d
}

func (d *delayedConn) fail(err error) {
	d.failOnce.Do(func() {
		d.closeErr = err
		close(d.closed)
		_ = d.Conn.Close()
		d.netSim.mu.Lock()
		delete(d.netSim.conns, d)
		d.netSim.mu.Unlock()
	})
}

// Close closes the connection at once.
func (d *delayedConn) Close() error {
	d.fail(net.ErrClosed)
	return nil
}

// Write queues data for sending. It doesn't wait for the network delay.
func (d *delayedConn) Write(data []byte) (int, error) {
	select {
	case <-d.closed:
		return 0, d.closeErr
	case d.sendQueue <- chunk{time.Now().Add(d.delay), append([]byte(nil), data...)}:
		return len(data), nil
	}
}

// waitArrival waits until a chunk has arrived at the other end. It returns false if the connection is
// closed first.
func (d *delayedConn) waitArrival(c chunk) bool {
	if wait := time.Until(c.arrivesAt); wait > 0 {
		select {
		case <-time.After(wait):
		case <-d.closed:
			return false
		}
	}
	return d.netSim.waitUnblocked(d.closed, d.from, d.to)
}

// sendLoop writes the queued chunks to the peer when they are due.
func (d *delayedConn) sendLoop() {
	for {
		select {
		case <-d.closed:
			return
		case c := <-d.sendQueue:
			if !d.waitArrival(c) {
				return
			}
			// Count the bytes before they are written, so that the count includes all bytes that the peer
			// has read.
			d.sent.Add(int64(len(c.data)))
			if n, err := d.Conn.Write(c.data); err != nil {
				d.sent.Add(int64(n - len(c.data)))
				d.fail(err)
				return
			}
		}
	}
}

// receiveLoop reads bytes from the peer and queues them for Read.
func (d *delayedConn) receiveLoop() {
	defer close(d.receiveQueue)
	for {
		data := make([]byte, 32<<10)
		n, err := d.Conn.Read(data)
		if n > 0 {
			d.received.Add(int64(n))
			select {
			case d.receiveQueue <- chunk{time.Now().Add(d.delay), data[:n]}:
			case <-d.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// readError returns the error of a Read after the last byte from the peer: the reason with which this
// end was closed, or io.EOF if the peer closed the connection.
func (d *delayedConn) readError() error {
	select {
	case <-d.closed:
		return d.closeErr
	default:
		return io.EOF
	}
}

// Read waits for bytes from the peer and returns them once their delay has passed.
func (d *delayedConn) Read(buffer []byte) (int, error) {
	d.readMu.Lock()
	defer d.readMu.Unlock()
	if len(d.unread) == 0 {
		select {
		case c, ok := <-d.receiveQueue:
			if !ok {
				return 0, d.readError()
			}
			if !d.waitArrival(c) {
				return 0, d.closeErr
			}
			d.unread = c.data
		case <-d.closed:
			return 0, d.closeErr
		}
	}
	n := copy(buffer, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}
