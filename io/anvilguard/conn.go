package anvilguard

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"anvilshunt/core/anvilbudget"
	"anvilshunt/core/anvilid"
)

// conn is a connection that has a place. Its account belongs to guard.mu.
type conn struct {
	net.Conn
	guard   *Guard
	class   anvilbudget.Class
	account *anvilbudget.Conn
	// stopped makes reads fail, so that the handler refuses the request.
	stopped atomic.Bool
	// unread means that a request was answered before it was read whole, so that its rest may be on its way.
	unread atomic.Bool
	// handling means that the header of a request has been read and the next one hasn't begun.
	handling atomic.Bool
	header   int // bytes that have been read for the header
	closed   sync.Once
	// deadline guards the order of setReadDeadline and stop.
	deadline sync.Mutex
}

// Read reads from the connection and records the progress of the client.
func (c *conn) Read(data []byte) (int, error) {
	if c.stopped.Load() {
		return 0, errStopped
	}
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.guard.mu.Lock()
		c.guard.table.Progress(c.account, n, c.guard.clock.Now())
		c.guard.mu.Unlock()
	}
	if err == nil && !c.handling.Load() {
		err = c.countHeader(n)
	}
	return n, err
}

// countHeader counts the memory of a large header to the connection. The HTTP server reads headers, so that nobody else
// can.
func (c *conn) countHeader(bytes int) error {
	before := c.header
	c.header += bytes
	if c.header <= smallHeader {
		return nil
	}
	c.setPhase(anvilbudget.Receiving) // it may be the header of a next request
	return c.hold(headerFactor * (c.header - max(before, smallHeader)))
}

const (
	// smallHeader is the size up to which headers aren't counted. It is the size of the buffer of the HTTP server, in
	// which the beginning of a body may follow the header.
	smallHeader = 4 << 10
	// headerFactor is how many bytes of memory one byte of a header takes at most, if its fields are very short.
	headerFactor = 16
)

// Write writes to the connection. It fails if the client takes nothing for stallTimeout.
func (c *conn) Write(data []byte) (int, error) {
	before := c.beginWrite(len(data))
	defer c.endWrite(before, len(data))
	c.unread.Store(before == anvilbudget.Receiving)
	written := 0
	for {
		if err := c.SetWriteDeadline(time.Now().Add(stallTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(data[written:min(written+writePiece, len(data))])
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
		c.guard.mu.Lock()
		c.guard.table.Progress(c.account, n, c.guard.clock.Now())
		c.guard.mu.Unlock()
	}
}

// writePiece is the size of the pieces in which an answer is written, each with its own deadline.
const writePiece = 64 << 10

// beginWrite records that the client is to take an answer, whose bytes the process holds until then. It returns the phase
// before.
func (c *conn) beginWrite(size int) anvilbudget.Phase {
	g := c.guard
	g.mu.Lock()
	before := g.table.Phase(c.account)
	g.table.SetPhase(c.account, anvilbudget.Sending, g.clock.Now())
	var yielding []*conn
	if size > smallWrite {
		yielding = g.reserve(c, anvilid.ByteCount(size))
	}
	g.mu.Unlock()
	g.stopAll(yielding)
	return before
}

func (c *conn) endWrite(before anvilbudget.Phase, size int) {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if size > smallWrite {
		g.table.Return(c.account, anvilid.ByteCount(size))
	}
	g.table.SetPhase(c.account, before, g.clock.Now())
}

// reserve records that the connection holds more bytes, and returns the connections that have to give way. The mutex of
// the guard must be held.
func (g *Guard) reserve(c *conn, bytes anvilid.ByteCount) (yielding []*conn) {
	for _, account := range g.table.Reserve(c.account, bytes, g.clock.Now()) {
		if other := g.conns[account]; other != nil {
			yielding = append(yielding, other)
		}
	}
	return yielding
}

// stopAll stops connections that have to give way.
func (g *Guard) stopAll(yielding []*conn) {
	for _, c := range yielding {
		c.stop()
	}
	if len(yielding) > 0 {
		g.reportCounts()
	}
}

const (
	// discardTimeout is how long a client that was refused may take to read its answer and to close the connection.
	discardTimeout = 2 * time.Second
	// discardBytes limits the bytes that are read and dropped meanwhile. It is the size of the largest body.
	discardBytes = 4 << 20
)

// stop makes the reads of a connection fail. One whose client doesn't take an answer is closed, as nothing else ends that.
func (c *conn) stop() {
	if c.phase() == anvilbudget.Sending {
		_ = c.closeNow() // its handler notices it
		return
	}
	c.deadline.Lock()
	defer c.deadline.Unlock()
	c.stopped.Store(true)
	_ = c.Conn.SetReadDeadline(time.Now()) // it fails only if the connection is closed
}

// setReadDeadline sets the deadline of reads, unless the connection has been stopped.
func (c *conn) setReadDeadline(at time.Time) error {
	c.deadline.Lock()
	defer c.deadline.Unlock()
	if c.stopped.Load() {
		return errStopped
	}
	return c.Conn.SetReadDeadline(at)
}

// SetReadDeadline sets the deadline of reads, unless the connection has been stopped.
func (c *conn) SetReadDeadline(at time.Time) error { return c.setReadDeadline(at) }

func (c *conn) setPhase(phase anvilbudget.Phase) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.SetPhase(c.account, phase, c.guard.clock.Now())
}

func (c *conn) phase() anvilbudget.Phase {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.guard.table.Phase(c.account)
}

// release records that the request of the connection has been handled.
func (c *conn) release() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.Release(c.account)
}

// handleState follows the state that the server gives the connection.
func (c *conn) handleState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.unread.Store(false)
		c.setPhase(anvilbudget.Receiving)
	case http.StateIdle:
		c.unread.Store(false)
		c.handling.Store(false)
		c.header = 0
		c.setPhase(anvilbudget.Idle)
	}
}

// CloseWrite ends the answers on the connection. The server closes it a little later, so that the client reads the last
// answer before a reset.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives up its place. If the client may still be sending a request that was answered, it
// reads and drops the rest for a while first, in the background.
func (c *conn) Close() error {
	if !c.unread.Swap(false) {
		return c.closeNow()
	}
	if err := c.CloseWrite(); err != nil {
		return errors.Join(err, c.closeNow())
	}
	c.setPhase(anvilbudget.Idle) // it may still give way to others
	go c.discard()
	return nil
}

// discard reads what the client still sends until it closes the connection, or for discardTimeout. A connection that is
// closed with unread bytes is reset, and a client whose connection is reset may never read its answer.
func (c *conn) discard() {
	if c.Conn.SetReadDeadline(time.Now().Add(discardTimeout)) == nil {
		_, _ = io.CopyBuffer(io.Discard, io.LimitReader(onlyReader{c.Conn}, discardBytes), make([]byte, firstBuffer))
	}
	_ = c.closeNow() // the client has had the time to read its answer
}

// onlyReader hides the other methods of a connection, so that io.CopyBuffer uses its buffer.
type onlyReader struct{ io.Reader }

func (c *conn) closeNow() error {
	c.closed.Do(func() {
		c.guard.mu.Lock()
		defer c.guard.mu.Unlock()
		c.guard.table.Close(c.account)
		delete(c.guard.conns, c.account)
		if !c.handling.Load() {
			c.guard.table.Release(c.account) // no handler does it
		}
	})
	return c.Conn.Close()
}
