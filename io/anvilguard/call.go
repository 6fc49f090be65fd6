package anvilguard

import (
	"errors"
	"io"
	"net/http"
	"time"

	"anvilshunt/core/anvilbudget"
)

// callType is the content type of the calls of instances.
const callType = "application/protobuf"

// refuseCall refuses a call from another instance that is too large, or that has another type or doesn't announce its
// length, as all calls of instances do. It reports whether it has answered the call.
func refuseCall(c *conn, w http.ResponseWriter, r *http.Request) bool {
	status := http.StatusRequestEntityTooLarge
	switch {
	case r.Header.Get("Content-Type") != callType:
		status = http.StatusUnsupportedMediaType
	case r.ContentLength < 0:
		status = http.StatusLengthRequired
	case r.ContentLength <= int64(anvilbudget.LargestCall):
		return false
	}
	c.stop()
	w.Header().Set("Connection", "close")
	http.Error(w, http.StatusText(status), status)
	return true
}

// callBody is the body of a call from another instance, which the RPC library reads. What has arrived counts as the bytes
// of the connection, and takes no longer than a body may take.
type callBody struct {
	io.Closer
	reader bodyReader
	fields fieldCounter
	header http.Header
}

// withCallBody returns a request whose body is limited.
func withCallBody(c *conn, w http.ResponseWriter, r *http.Request) *http.Request {
	limited := *r
	limited.Body = &callBody{Closer: r.Body, reader: bodyReader{conn: c, source: r.Body, began: time.Now()}, header: w.Header()}
	return &limited
}

// Read reads from the body. After an error, the connection is closed once the answer is written.
func (b *callBody) Read(into []byte) (int, error) {
	n, err := b.reader.read(into)
	c := b.reader.conn
	if counted := b.count(into[:n]); counted != nil {
		err = counted
	}
	switch {
	case errors.Is(err, io.EOF):
		c.setPhase(anvilbudget.Working)
		if err := c.setReadDeadline(time.Time{}); err != nil {
			return n, err
		}
	case err != nil:
		b.header.Set("Connection", "close")
		c.stop()
	}
	return n, err
}

// count counts the bytes and fields of the next piece.
func (b *callBody) count(piece []byte) error {
	if err := b.reader.conn.hold(len(piece)); err != nil {
		return err
	}
	return b.fields.count(piece)
}
