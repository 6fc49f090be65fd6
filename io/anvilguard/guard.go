// Package anvilguard protects the listeners of a process from clients that the system doesn't control. It limits the
// connections that others have open and the bytes of bodies that the process holds for them, closes clients that stop
// halfway, and keeps places for the other instances.
//
// One Guard is shared by all listeners of a process. Each of them is wrapped with Listen, and its server is set up with
// Configure. Handlers read the bodies of requests with ReadBody.
package anvilguard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"anvilshunt/core/anvilbudget"
	"anvilshunt/core/anvilclock"
)

const (
	// stallTimeout is how long a client may take nothing of an answer, or send nothing of a body.
	stallTimeout = 15 * time.Second
	// minBodyRate is the number of bytes a second that a body needs on average after stallTimeout. The slowest links
	// of the known deployments carry more than forty times as much.
	minBodyRate = 4 << 10
	// placeTimeout is how long a new connection waits for a place. By then, clients that don't take their answers have
	// stalled. Callers wait for an answer for a second at least.
	placeTimeout = 900 * time.Millisecond
	// placeInterval is the pause between two looks for a place.
	placeInterval = 10 * time.Millisecond
	// reportInterval is the shortest time between two reports that clients gave way.
	reportInterval = anvilclock.Second
	// smallWrite is the size of writes whose bytes aren't counted, because each connection has a buffer of that size
	// anyway.
	smallWrite = 4 << 10
)

var errStopped = errors.New("the connection had to give way to others")

// Guard limits what the clients of a process make it hold.
type Guard struct {
	clock anvilclock.Clock
	// account returns the name of the account that a request counts to.
	account func(*http.Request) string
	// report is called with the totals when clients gave way, at most once per reportInterval.
	report func(anvilbudget.Counts)

	// decoding is held while a large body is decoded.
	decoding sync.Mutex

	mu       sync.Mutex
	table    *anvilbudget.Table
	conns    map[*anvilbudget.Conn]*conn
	reported anvilclock.Millis // when report was last called
}

// New returns a guard. The function account returns the name of the account that a request counts to, which is empty for
// strangers. The function report gets the totals when clients gave way, at most once per reportInterval.
func New(limits anvilbudget.Limits, account func(*http.Request) string, report func(anvilbudget.Counts)) *Guard {
	return &Guard{
		clock: anvilclock.Monotonic(), account: account, report: report, table: anvilbudget.New(limits),
		conns: map[*anvilbudget.Conn]*conn{}, reported: -reportInterval,
	}
}

// Counts returns the present totals.
func (g *Guard) Counts() anvilbudget.Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Counts()
}

// Configure sets the functions and the handler of a server for a listener of the guard.
func (g *Guard) Configure(server *http.Server) {
	server.Handler = g.handler(server.Handler)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	previous := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if guarded, ok := c.(*conn); ok {
			guarded.handleState(state)
		}
		if previous != nil {
			previous(c, state)
		}
	}
}

type connKey struct{}

func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// handler releases the bytes of a request when it has been handled, and stops a client that hasn't sent the rest of a
// body that nobody reads.
func (g *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.handling.Store(true)
		defer c.release()
		switch {
		case r.ContentLength == 0:
			c.setPhase(anvilbudget.Working)
		case c.class == anvilbudget.Peer:
			if refuseCall(c, w, r) {
				return
			}
			r = withCallBody(c, w, r)
		}
		next.ServeHTTP(w, r)
		if c.phase() == anvilbudget.Receiving {
			// It fails only if the connection is closed.
			_ = c.setReadDeadline(time.Now().Add(stallTimeout))
		}
	})
}

// Listen wraps a listener. Connections that find no place are closed.
func (g *Guard) Listen(listener net.Listener, class anvilbudget.Class) net.Listener {
	return &guardedListener{Listener: listener, guard: g, class: class}
}

type guardedListener struct {
	net.Listener
	guard *Guard
	class anvilbudget.Class
}

// Accept returns the next connection that has a place. While all places are in use, the others wait in the queue of the
// listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		for end := time.Now().Add(placeTimeout); ; time.Sleep(placeInterval) {
			if c := l.guard.open(accepted, l.class); c != nil {
				return c, nil
			}
			if !time.Now().Before(end) {
				break
			}
		}
		l.guard.refuse()
		_ = accepted.Close() // the client notices it
	}
}

func (g *Guard) refuse() {
	g.mu.Lock()
	g.table.Refuse()
	g.mu.Unlock()
	g.reportCounts()
}

// open gives a connection a place, or returns nil if there is none.
func (g *Guard) open(accepted net.Conn, class anvilbudget.Class) *conn {
	g.mu.Lock()
	now := g.clock.Now()
	account, surplus := g.table.Open(class, now)
	if surplus != account && class == anvilbudget.Stranger {
		// It is all that is known of the client until it has sent a header.
		g.table.SetAccount(account, host(accepted.RemoteAddr().String()), now)
	}
	closing := g.conns[surplus]
	delete(g.conns, surplus)
	var opened *conn
	if surplus != account {
		opened = &conn{Conn: accepted, guard: g, class: class, account: account}
		g.conns[account] = opened
	}
	g.mu.Unlock()
	if closing != nil {
		_ = closing.Conn.Close() // its client notices it
	}
	if closing != nil {
		g.reportCounts()
	}
	return opened
}

func (g *Guard) reportCounts() {
	g.mu.Lock()
	now := g.clock.Now()
	due := now >= g.reported+reportInterval
	if due {
		g.reported = now
	}
	counts := g.table.Counts()
	g.mu.Unlock()
	if due {
		g.report(counts)
	}
}
