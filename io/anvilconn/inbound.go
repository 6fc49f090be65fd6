package anvilconn

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// Inbound limits the connections that others have opened to the servers of a process. Above the limit, it
// closes the connection that has been unused for the longest time, or the new one if all are in use.
type Inbound struct {
	limit int
	// onClose is called with the number of connections that were closed because of the limit so far.
	onClose func(closed int)

	mu   sync.Mutex
	open map[net.Conn]*list.Element // nil for connections in use
	// unused has the connections without a call, the one that has been unused for longest first.
	unused *list.List
	closed int
}

// NewInbound returns a limiter for limit connections.
func NewInbound(limit int, onClose func(closed int)) *Inbound {
	return &Inbound{limit: limit, onClose: onClose, open: map[net.Conn]*list.Element{}, unused: list.New()}
}

// Track is the ConnState function of the servers.
func (i *Inbound) Track(conn net.Conn, state http.ConnState) {
	if surplus := i.update(conn, state); surplus != nil {
		_ = surplus.Close() // the peer notices it, and nothing else depends on the result
	}
}

// count returns the number of open connections.
func (i *Inbound) count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.open)
}

// update records the state of a connection. It returns the connection to close, if there are too many.
func (i *Inbound) update(conn net.Conn, state http.ConnState) net.Conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	if element := i.open[conn]; element != nil {
		i.unused.Remove(element)
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(i.open, conn)
		return nil
	case http.StateIdle:
		i.open[conn] = i.unused.PushBack(conn)
	default:
		i.open[conn] = nil
	}
	if state != http.StateNew || len(i.open) <= i.limit {
		return nil
	}
	i.closed++
	i.onClose(i.closed)
	surplus := conn
	if oldest := i.unused.Front(); oldest != nil {
		surplus = i.unused.Remove(oldest).(net.Conn)
	}
	delete(i.open, surplus)
	return surplus
}
