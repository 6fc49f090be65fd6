package anvilfleet

import (
	"context"
	"net"
	"sync/atomic"
)

// conn is a connection to a target. Before it sends the first bytes of a request, it asks whether the request
// may still be sent.
type conn struct {
	net.Conn
	// maySend is asked before the next Write, or nil. At most one request at a time uses a connection.
	maySend atomic.Pointer[func() bool]
}

// dialConn returns a function that opens connections of type conn.
func dialConn(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: opened}, nil
	}
}

// Write implements net.Conn. It writes nothing and returns errNotSent if the request may no longer be sent.
func (c *conn) Write(data []byte) (int, error) {
	if maySend := c.maySend.Swap(nil); maySend != nil && !(*maySend)() {
		return 0, errNotSent
	}
	return c.Conn.Write(data)
}
