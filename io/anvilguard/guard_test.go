package anvilguard

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilbudget"
)

// newServer starts a server whose clients a guard limits.
func newServer(t *testing.T, limits anvilbudget.Limits, handler http.HandlerFunc) (*Guard, *httptest.Server) {
	guard := New(limits, func(r *http.Request) string { return r.Header.Get("Account") }, func(anvilbudget.Counts) {})
	server := httptest.NewUnstartedServer(handler)
	server.Listener = guard.Listen(server.Listener, anvilbudget.Stranger)
	guard.Configure(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return guard, server
}

// Guards against the load of hundreds of targets that each keep a connection to the leader: the process
// would run out of descriptors, and would then neither accept calls nor reach a target.
func TestUnusedConnectionsAreClosed(t *testing.T) {
	const limit, clients = 4, 20
	var most atomic.Int64
	var guard *Guard
	guard, server := newServer(t, anvilbudget.Limits{Connections: limit, Bytes: 1 << 20}, func(http.ResponseWriter, *http.Request) {
		most.Store(max(most.Load(), int64(guard.Counts().Connections)))
	})
	for round := range 2 {
		for n := range clients {
			client := &http.Client{Transport: &http.Transport{}} // each client has a connection of its own
			response, err := client.Get(server.URL)
			assert.NilError(t, err, "round %d, client %d", round, n)
			assert.NilError(t, response.Body.Close())
		}
	}
	assert.Assert(t, most.Load() <= limit, "%d connections were open", most.Load())
	closed := guard.Counts().Closed
	assert.Assert(t, closed >= 2*clients-limit-1, "%d connections were closed", closed)
}

// Guards against closing a connection whose call is in progress, when there are too many connections.
func TestConnectionsInUseAreKept(t *testing.T) {
	const limit = 2
	begun, finish := make(chan struct{}, limit), make(chan struct{})
	_, server := newServer(t, anvilbudget.Limits{Connections: limit, Bytes: 1 << 20}, func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-finish
	})
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

// readHandler answers with the size of the body, or with the status that its error stands for.
func readHandler(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(w, r, 1<<16)
	switch {
	case errors.Is(err, ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrGaveWay):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		fmt.Fprint(w, len(body))
	}
}

// Guards against bodies that are cut short or misjudged by their size, with and without an announced length.
func TestReadBody(t *testing.T) {
	_, server := newServer(t, anvilbudget.Limits{Connections: 10, Peers: 1, Bytes: 1 << 17}, readHandler)
	for _, size := range []int{0, 1, firstBuffer - 1, firstBuffer, firstBuffer + 1, 1<<16 - 1, 1 << 16, 1<<16 + 1, 1 << 22} {
		for _, announced := range []bool{true, false} {
			var body io.Reader = bytes.NewReader(make([]byte, size))
			if !announced {
				body = io.MultiReader(body)
			}
			response, err := http.Post(server.URL, "text/plain", body)
			if err != nil && size > 1<<16 {
				continue // closed while the client still sent
			}
			assert.NilError(t, err, "size %d", size)
			reply, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			if size > 1<<16 {
				assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
			} else {
				assert.Equal(t, string(reply), fmt.Sprint(size))
			}
		}
	}
}

// Guards against bytes that still count once their request has ended, and against a client that gives way without being
// told that its request was not carried out.
func TestSlowBodyGivesWay(t *testing.T) {
	guard, server := newServer(t, anvilbudget.Limits{Connections: 10, Peers: 1, Bytes: 3 << 15}, readHandler)
	stopped, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer stopped.Close()
	_, err = fmt.Fprintf(stopped, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n\r\n%s", strings.Repeat("x", 60_000))
	assert.NilError(t, err)
	for guard.Counts().Bytes < 60_000 {
		time.Sleep(time.Millisecond)
	}
	guard.mu.Lock()
	for account := range guard.conns {
		guard.table.Progress(account, -60_000, guard.clock.Now()) // as if it had sent nothing for long
	}
	guard.mu.Unlock()
	response, err := http.Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("y", 1<<16)))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
	reply, err := io.ReadAll(stopped)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(reply), "HTTP/1.1 503"), "%q", reply)
	for guard.Counts().Bytes > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a time limit that a slow link or a pause of an honest client exceeds, and against none for a trickle.
func TestBodyDeadline(t *testing.T) {
	began := time.Now()
	reader := bodyReader{began: began}
	assert.Equal(t, reader.deadline(began), began.Add(stallTimeout))
	reader.bytes = 256 << 10
	assert.Equal(t, reader.deadline(began.Add(40*time.Second)), began.Add(55*time.Second))
	reader.bytes = 100
	assert.Assert(t, reader.deadline(began.Add(14*time.Second)).Before(began.Add(16*time.Second)))
}

// Guards against a client that never reads the answer to a body that is refused, because the connection is reset while
// the rest of the body is on its way, also if the client announces that it uses the connection only once.
func TestRefusedBodyIsAnswered(t *testing.T) {
	guard, server := newServer(t, anvilbudget.Limits{Connections: 10, Peers: 1, Bytes: 1 << 17}, readHandler)
	guard.mu.Lock()
	full, _ := guard.table.Open(anvilbudget.Stranger, 0)
	guard.table.Reserve(full, 1<<17, 0)
	guard.table.SetPhase(full, anvilbudget.Working, 0)
	guard.mu.Unlock()
	for _, test := range []struct {
		size, status int
		announced    bool
	}{
		{1 << 16, http.StatusServiceUnavailable, true},
		{1 << 16, http.StatusServiceUnavailable, false},
		{200_000, http.StatusRequestEntityTooLarge, true},
	} {
		for _, once := range []bool{false, true} {
			for range 100 {
				// Each request has a connection of its own.
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: once}}
				var body io.Reader = strings.NewReader(strings.Repeat(" ", test.size))
				if !test.announced {
					body = io.MultiReader(body)
				}
				response, err := client.Post(server.URL, "text/plain", body)
				assert.NilError(t, err, "%+v, once %v", test, once)
				assert.Equal(t, response.StatusCode, test.status)
				assert.NilError(t, response.Body.Close())
				client.CloseIdleConnections()
			}
		}
	}
}

// Guards against a refused client that keeps its connection for good, or takes the place of another.
func TestRefusedClientIsClosed(t *testing.T) {
	guard, server := newServer(t, anvilbudget.Limits{Connections: 4, Bytes: 1 << 17}, readHandler)
	for range 20 {
		refused, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		defer refused.Close()
		_, err = fmt.Fprint(refused, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nx")
		assert.NilError(t, err)
		status := make([]byte, len("HTTP/1.1 413"))
		_, err = io.ReadFull(refused, status)
		assert.NilError(t, err)
		assert.Equal(t, string(status), "HTTP/1.1 413")
		assert.Assert(t, guard.Counts().Connections <= 4)
	}
	for guard.Counts().Connections > 0 {
		time.Sleep(time.Millisecond)
	}
}
