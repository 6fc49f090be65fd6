package anvilconn

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against limits that together exceed the descriptors of the process, and against a purpose that
// gets none.
func TestDivide(t *testing.T) {
	for _, limit := range []int{0, 100, 1024, 4096, 4324, 65_536} {
		b := Divide(limit)
		assert.Assert(t, b.Sum() <= max(limit-reservedDescriptors, minDivided), "limit %d: %+v", limit, b)
		for _, share := range []int{b.Inbound, b.Internal, b.Polls, b.Stops, b.UrgentStarts, b.Starts, b.Idle} {
			assert.Assert(t, share >= 16, "limit %d: %+v", limit, b)
		}
	}
}

// Guards against the load of hundreds of targets that each keep a connection to the leader: the process
// would run out of descriptors, and would then neither accept calls nor reach a target.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	const limit, clients = 4, 20
	var most, closed atomic.Int64
	inbound := NewInbound(limit, func(count int) { closed.Store(int64(count)) })
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		inbound.Track(conn, state)
		most.Store(max(most.Load(), int64(inbound.count())))
	}
	server.Start()
	defer server.Close()
	for round := range 2 {
		for n := range clients {
			client := &http.Client{Transport: &http.Transport{}} // each client has a connection of its own
			response, err := client.Get(server.URL)
			assert.NilError(t, err, "round %d, client %d", round, n)
			assert.NilError(t, response.Body.Close())
		}
	}
	assert.Assert(t, most.Load() <= limit, "%d connections were open", most.Load())
	assert.Assert(t, closed.Load() >= 2*clients-limit-1, "%d connections were closed", closed.Load())
}

// Guards against closing a connection whose call is in progress, when there are too many connections.
func TestConnectionsInUseAreKept(t *testing.T) {
	const limit = 2
	inbound := NewInbound(limit, func(int) {})
	begun, finish := make(chan struct{}, limit), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-finish
	}))
	server.Config.ConnState = inbound.Track
	server.Start()
	defer server.Close()
	results := make(chan error, limit)
	get := func() error {
		response, err := (&http.Client{Transport: &http.Transport{}}).Get(server.URL)
		if err == nil {
			err = response.Body.Close()
		}
		return err
	}
	for range limit {
		go func() { results <- get() }()
		<-begun
	}
	assert.Assert(t, get() != nil, "a connection above the limit was accepted")
	close(finish)
	for range limit {
		assert.NilError(t, <-results)
	}
}
