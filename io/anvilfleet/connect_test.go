package anvilfleet

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
	"anvilshunt/core/anvilrequest"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvillogs"
)

// slowConnection is a fleet with one target of 8 slots, to which the connection of one request takes long to open.
type slowConnection struct {
	*Fleet
	t       *testing.T
	leased  atomic.Bool
	block   atomic.Bool // whether the next connection is opened only when connect is closed; dialing is closed before that
	connect chan struct{}
	dialing chan struct{}
	running atomic.Int64 // requests at the target, foreign ones included
	runs    atomic.Int64 // requests that the target has received from the fleet
}

func newSlowConnection(t *testing.T, foreign int64) *slowConnection {
	s := &slowConnection{t: t, connect: make(chan struct{}), dialing: make(chan struct{})}
	s.leased.Store(true)
	s.running.Store(foreign)
	server := httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(server.Close)
	s.Fleet = New("a", anvilclock.Monotonic(), anvillogs.Discard(), 1, WithLeased(s.leased.Load))
	s.UpdateTarget(anvilstate.Target{
		ID: "t", Owner: "a", Epoch: 1, Incarnation: 1, Address: anvilid.Address(strings.TrimPrefix(server.URL, "http://")),
		Service: "s", Region: "r", Zone: "z", Slots: 8, Connections: 64,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	for len(s.Loads()) == 0 || s.Loads()[0].Free == 0 {
		time.Sleep(time.Millisecond)
	}
	s.mu.Lock()
	transport := s.targets["t"].caller.transport
	s.mu.Unlock()
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if s.block.CompareAndSwap(true, false) {
			close(s.dialing)
			<-s.connect
		}
		return dial(ctx, network, address)
	}
	return s
}

func (s *slowConnection) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "adopt") {
		// Otherwise the request that waits would get the connection of a poll.
		w.Header().Set("Connection", "close")
		assert.Check(s.t, json.NewEncoder(w).Encode(anvilreport.Report{
			Target: "t", Incarnation: 1, Address: anvilid.Address(r.Host), Service: "s", Slots: 8, Connections: 64, Epoch: 1,
			Sequence: uint64(time.Now().UnixNano()), UsedSlots: anvilid.SlotCount(s.running.Load()),
		}))
		return
	}
	s.runs.Add(1)
	w.Header().Set(HeaderID, r.Header.Get(HeaderID))
	w.Header().Set(HeaderToken, r.Header.Get(HeaderToken))
	w.Header().Set("Content-Length", "0")
}

// dispatch starts to dispatch a request and waits until its connection is being opened.
func (s *slowConnection) dispatch() <-chan anvilrequest.Answer {
	lease, ok := s.Acquire("s")
	assert.Assert(s.t, ok)
	s.block.Store(true)
	answers := make(chan anvilrequest.Answer, 1)
	go func() {
		answers <- s.Dispatch(context.Background(), lease, &anvilrequest.Request{
			Key: anvilrequest.Key{Account: "c", Service: "s", ID: "r"}, Deadline: s.clock.Now() + 10_000,
		}, 1)
	}()
	<-s.dialing
	return answers
}

// TestLeaseEndsWhileConnecting guards against a request that is sent after the lease of the instance has ended, because
// its connection took long to open. The next owner of the target counts the requests that run there 250 ms after that
// end, so a target without fencing would run more requests than it has slots.
func TestLeaseEndsWhileConnecting(t *testing.T) {
	t.Parallel()
	s := newSlowConnection(t, 0)
	answers := s.dispatch()
	s.leased.Store(false)
	close(s.connect)
	answer := <-answers
	assert.Equal(t, s.runs.Load(), int64(0), "the request was sent")
	assert.Equal(t, answer.Outcome, anvilrequest.NotRun, "%v", answer)
}

// TestConnectingRequestIsNotRunning guards against a request whose connection takes long to open, and that is taken for one
// that runs at the target already: the request of a former owner that runs there was then taken for it, and the target
// got nine requests on eight slots.
func TestConnectingRequestIsNotRunning(t *testing.T) {
	t.Parallel()
	s := newSlowConnection(t, 1)
	answers := s.dispatch()
	// A poll of the target, and the time after which it counts for own requests as well.
	time.Sleep(1600 * time.Millisecond)
	acquire := func() bool {
		_, ok := s.Acquire("s")
		return ok
	}
	own := 1
	for end := time.Now().Add(20 * time.Second); own < 7 && time.Now().Before(end); {
		if acquire() {
			own++
		} else {
			time.Sleep(time.Millisecond) // the target is paused for a poll
		}
	}
	assert.Equal(t, own, 7)
	assert.Assert(t, !acquire(), "eight requests beside one of a former owner")
	close(s.connect)
	assert.Equal(t, (<-answers).Outcome, anvilrequest.Done)
	assert.Equal(t, s.runs.Load(), int64(1))
}
