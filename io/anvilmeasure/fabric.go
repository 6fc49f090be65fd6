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

// Delays of the deployment in Sicily, one way.
const (
	zoneDelay   = 1500 * time.Microsecond
	regionDelay = 8 * time.Millisecond
)

// A dial to a peer that doesn't answer fails after this time, as it does with
// the dialer of package anvillink.
const dialTimeout = 250 * time.Millisecond

// pipeChunks bounds the writes in flight per direction. It lies above the
// product of delay and rate of the measured connections.
const pipeChunks = 512

var errKilled = errors.New("the instance was killed")

// place is where an instance is.
type place struct {
	name   string
	region anvilid.RegionName
	zone   anvilid.ZoneName
}

// flow is a pair of instances; bytes are counted per flow.
type flow struct{ from, to string }

// fabric is the network between the instances. It delays the bytes of each
// direction and holds them back while one end is frozen or cut off.
type fabric struct {
	flat bool // neither delays nor held bytes, only counts

	mu     sync.Mutex
	places map[string]place // by peer address
	held   func(a, b place) bool
	thawed chan struct{} // closed when held changes
	conns  map[*delayed]bool
	bytes  map[flow]*atomic.Int64
}

func newFabric(flat bool) *fabric {
	return &fabric{
		flat: flat, places: map[string]place{}, thawed: make(chan struct{}),
		held: func(place, place) bool { return false }, conns: map[*delayed]bool{}, bytes: map[flow]*atomic.Int64{},
	}
}

// hold stops the bytes between the instances for which held is true. nil lets
// all bytes pass.
func (f *fabric) hold(held func(a, b place) bool) {
	if held == nil {
		held = func(place, place) bool { return false }
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = held
	close(f.thawed)
	f.thawed = make(chan struct{})
}

// freeze stops all bytes from and to the named instances.
func (f *fabric) freeze(names ...string) {
	frozen := map[string]bool{}
	for _, name := range names {
		frozen[name] = true
	}
	f.hold(func(a, b place) bool { return a.name != b.name && (frozen[a.name] || frozen[b.name]) })
}

// cutRegion stops all bytes between regions.
func (f *fabric) cutRegion() { f.hold(func(a, b place) bool { return a.region != b.region }) }

// kill breaks the connections of an instance, as the end of its process does.
func (f *fabric) kill(name string) {
	f.mu.Lock()
	var broken []*delayed
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

func (f *fabric) delay(a, b place) time.Duration {
	switch {
	case f.flat || a.zone == b.zone && a.region == b.region:
		return 0
	case a.region == b.region:
		return zoneDelay
	}
	return regionDelay
}

// pass waits until bytes may pass between two instances.
func (f *fabric) pass(done <-chan struct{}, a, b place) bool {
	for {
		f.mu.Lock()
		held, thawed := f.held(a, b), f.thawed
		f.mu.Unlock()
		if !held {
			return true
		}
		select {
		case <-thawed:
		case <-done:
			return false
		}
	}
}

func (f *fabric) counter(from, to string) *atomic.Int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	counter, ok := f.bytes[flow{from, to}]
	if !ok {
		counter = new(atomic.Int64)
		f.bytes[flow{from, to}] = counter
	}
	return counter
}

// touching sums the bytes from and to an instance, or all if name is empty.
func (f *fabric) touching(name string) (sum int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for flow, counter := range f.bytes {
		if name == "" || flow.from == name || flow.to == name {
			sum += counter.Load()
		}
	}
	return sum
}

// dialer returns the dialer of one instance.
func (f *fabric) dialer(from place) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		f.mu.Lock()
		to := f.places[address]
		f.mu.Unlock()
		if !f.pass(ctx.Done(), from, to) {
			return nil, ctx.Err()
		}
		delay := f.delay(from, to)
		// A connection costs one round trip.
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
		if f.flat {
			return &counted{conn, f.counter(from.name, to.name), f.counter(to.name, from.name)}, nil
		}
		return f.open(conn, from, to, delay), nil
	}
}

// counted is a connection of a flat fabric. It neither delays nor holds bytes,
// so that it adds little to what is measured.
type counted struct {
	net.Conn
	sent, received *atomic.Int64
}

// Write counts the bytes to the peer.
func (c *counted) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}

// Read counts the bytes from the peer.
func (c *counted) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.received.Add(int64(n))
	return n, err
}

// chunk is one write on its way.
type chunk struct {
	due  time.Time
	data []byte
}

// delayed is a connection whose bytes arrive late in both directions.
type delayed struct {
	net.Conn
	fabric   *fabric
	from, to place
	delay    time.Duration
	out, in  chan chunk
	sent     *atomic.Int64
	received *atomic.Int64
	closed   chan struct{}
	once     sync.Once
	failure  error

	reading sync.Mutex
	rest    []byte
}

func (f *fabric) open(conn net.Conn, from, to place, delay time.Duration) *delayed {
	d := &delayed{
		Conn: conn, fabric: f, from: from, to: to, delay: delay, closed: make(chan struct{}),
		out: make(chan chunk, pipeChunks), in: make(chan chunk, pipeChunks),
		sent: f.counter(from.name, to.name), received: f.counter(to.name, from.name),
	}
	f.mu.Lock()
	f.conns[d] = true
	f.mu.Unlock()
	go d.push()
	go d.pull()
	return d
}

func (d *delayed) fail(err error) {
	d.once.Do(func() {
		d.failure = err
		close(d.closed)
		_ = d.Conn.Close()
		d.fabric.mu.Lock()
		delete(d.fabric.conns, d)
		d.fabric.mu.Unlock()
	})
}

// Close closes the connection at once.
func (d *delayed) Close() error {
	d.fail(net.ErrClosed)
	return nil
}

// Write queues data. The caller isn't delayed.
func (d *delayed) Write(data []byte) (int, error) {
	select {
	case <-d.closed:
		return 0, d.failure
	case d.out <- chunk{time.Now().Add(d.delay), append([]byte(nil), data...)}:
		return len(data), nil
	}
}

// arrive waits until a chunk has arrived at the other end.
func (d *delayed) arrive(c chunk) bool {
	if wait := time.Until(c.due); wait > 0 {
		select {
		case <-time.After(wait):
		case <-d.closed:
			return false
		}
	}
	return d.fabric.pass(d.closed, d.from, d.to)
}

// push moves the bytes towards the peer.
func (d *delayed) push() {
	for {
		select {
		case <-d.closed:
			return
		case c := <-d.out:
			if !d.arrive(c) {
				return
			}
			// Bytes count before the peer can have read them.
			d.sent.Add(int64(len(c.data)))
			if n, err := d.Conn.Write(c.data); err != nil {
				d.sent.Add(int64(n - len(c.data)))
				d.fail(err)
				return
			}
		}
	}
}

// pull moves the bytes from the peer.
func (d *delayed) pull() {
	defer close(d.in)
	for {
		data := make([]byte, 32<<10)
		n, err := d.Conn.Read(data)
		if n > 0 {
			d.received.Add(int64(n))
			select {
			case d.in <- chunk{time.Now().Add(d.delay), data[:n]}:
			case <-d.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// end returns why no more bytes come from the peer. A connection that was
// broken here ends with the reason for that.
func (d *delayed) end() error {
	select {
	case <-d.closed:
		return d.failure
	default:
		return io.EOF
	}
}

// Read returns bytes that have arrived.
func (d *delayed) Read(buffer []byte) (int, error) {
	d.reading.Lock()
	defer d.reading.Unlock()
	if len(d.rest) == 0 {
		select {
		case c, ok := <-d.in:
			if !ok {
				return 0, d.end()
			}
			if !d.arrive(c) {
				return 0, d.failure
			}
			d.rest = c.data
		case <-d.closed:
			return 0, d.failure
		}
	}
	n := copy(buffer, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}
