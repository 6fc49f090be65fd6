package anvilguard

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"anvilshunt/core/anvilbudget"
	"anvilshunt/core/anvilid"
)

var (
	// ErrTooLarge means that a body has more bytes than its limit.
	ErrTooLarge = errors.New("the body is too large")
	// ErrGaveWay means that a body wasn't read, because the process holds too many bytes for its clients or because the
	// client was too slow. The request has not been carried out.
	ErrGaveWay = errors.New("too many bodies at once, or too slow a body; the request was not carried out")
)

// firstBuffer is the size of the buffer in which a body begins. It suffices for nearly all of them.
const firstBuffer = 4 << 10

// largeBody is the size above which bodies are decoded one after the other.
const largeBody = 64 << 10

// Decode calls a function that decodes a body of the given size. Large bodies of one process are decoded one after the
// other, because what is decoded from them doesn't count to the bytes that clients make the process hold.
func Decode(r *http.Request, size int, decode func()) {
	if c := connOf(r); c != nil && size > largeBody {
		c.guard.decoding.Lock()
		defer c.guard.decoding.Unlock()
	}
	decode()
}

// ReadBody reads the body of a request, which may have limit bytes. What has arrived counts as the bytes of the client's
// account until the request has been handled. The error is ErrTooLarge, ErrGaveWay, or that of a broken connection. After
// an error, the connection is closed once the answer is written.
func ReadBody(w http.ResponseWriter, r *http.Request, limit anvilid.ByteCount) ([]byte, error) {
	c := connOf(r)
	body, err := readWithin(c, r, limit)
	if err == nil {
		if c != nil {
			c.setPhase(anvilbudget.Working)
			err = c.setReadDeadline(time.Time{})
		}
		return body, err
	}
	// Nobody reads the rest, so the connection is of no further use.
	w.Header().Set("Connection", "close")
	if c == nil {
		return nil, err
	}
	if c.stopped.Load() || isTimeout(err) {
		err = ErrGaveWay
	}
	c.stop()
	return nil, err
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readWithin reads a body into a buffer that grows with what arrives.
func readWithin(c *conn, r *http.Request, limit anvilid.ByteCount) ([]byte, error) {
	if r.ContentLength > int64(limit) {
		return nil, fmt.Errorf("%w: it has %d bytes; this instance takes at most %d", ErrTooLarge, r.ContentLength, limit)
	}
	most := int(limit) + 1
	if r.ContentLength >= 0 {
		most = int(r.ContentLength) + 1 // the last read meets the end of the body without another buffer
	}
	reader := bodyReader{conn: c, source: r.Body, began: time.Now()}
	if c != nil {
		c.setAccount(c.guard.account(r))
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			grown := min(max(2*cap(buffer), firstBuffer), most)
			if err := reader.reserve(grown - cap(buffer)); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, grown), buffer...)
		}
		n, err := reader.read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case len(buffer) > int(limit):
			return nil, fmt.Errorf("%w: this instance takes at most %d bytes", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}

// Host returns the address of the client of a request without its port.
func Host(r *http.Request) string { return host(r.RemoteAddr) }

func host(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// Trust records that a request was carried out, so that its client gives way after others from now on.
func Trust(r *http.Request) {
	if c := connOf(r); c != nil {
		c.guard.mu.Lock()
		defer c.guard.mu.Unlock()
		c.guard.table.Trust(c.guard.account(r), c.guard.clock.Now())
	}
}

// bodyReader reads a body in the time that a client may take.
type bodyReader struct {
	conn   *conn // nil if the request has no guarded connection
	source io.Reader
	began  time.Time
	bytes  int
}

func (b *bodyReader) read(into []byte) (int, error) {
	if b.conn != nil {
		if err := b.conn.setReadDeadline(b.deadline(time.Now())); err != nil {
			return 0, err
		}
	}
	n, err := b.source.Read(into)
	b.bytes += n
	return n, err
}

// deadline returns the time until which more has to arrive.
func (b *bodyReader) deadline(now time.Time) time.Time {
	stalled := now.Add(stallTimeout)
	slow := b.began.Add(stallTimeout + time.Duration(b.bytes)*time.Second/minBodyRate)
	if slow.Before(stalled) {
		return slow
	}
	return stalled
}

func (b *bodyReader) reserve(bytes int) error {
	if b.conn == nil {
		return nil
	}
	return b.conn.hold(bytes)
}

// hold records that the connection holds more bytes. The error is ErrGaveWay if it gives way because of them.
func (c *conn) hold(bytes int) error {
	c.guard.mu.Lock()
	yielding := c.guard.reserve(c, anvilid.ByteCount(bytes))
	c.guard.mu.Unlock()
	c.guard.stopAll(yielding)
	if c.stopped.Load() {
		return ErrGaveWay
	}
	return nil
}

func (c *conn) setAccount(account string) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.table.SetAccount(c.account, account, c.guard.clock.Now())
}
