package anviltarget

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Target is a running stand-in target.
type Target struct {
	settings    Settings
	logger      *zap.Logger
	clock       anvilclock.Clock
	client      *http.Client
	incarnation anvilid.Incarnation
	address     anvilid.Address
	server      *http.Server
	listener    net.Listener
	announceNow chan struct{} // requests an announcement before the next interval
	closed      chan struct{}
	closeOnce   sync.Once
	announcer   sync.WaitGroup

	mu              sync.Mutex
	leaving         bool
	epoch           anvilid.Epoch
	sequence        uint64
	runningRequests int
	connections     map[net.Conn]bool // false for connections that uncountConnection excluded
	openConnections int
	requests        *requestLog
	previousAnswer  answer
	tasks           map[memberKey]*task
	taskLog         []TaskRun                   // ended tasks that were removed from tasks, oldest first
	stopTokens      map[memberKey]anvilid.Token // highest token with which each member was stopped
	stats           Stats
	usageHistory    []usage
	faults          Faults
	faultyRequests  int
	requestsSeen    int
	unfrozen        chan struct{}   // closed when the fault Freeze ends; nil while the target isn't frozen
	owner           anvilid.Address // from the last accepted announcement; "" if unknown
}

// Start starts a target. It listens, serves calls and announces itself until it
// leaves or is closed.
func Start(settings Settings, options ...Option) (*Target, error) {
	settings.setDefaults()
	t := &Target{
		settings:    settings,
		logger:      zap.NewNop(),
		clock:       anvilclock.Wall(),
		announceNow: make(chan struct{}, 1),
		closed:      make(chan struct{}),
		connections: map[net.Conn]bool{},
		requests:    newRequestLog(maxLoggedRequests),
		tasks:       map[memberKey]*task{},
		stopTokens:  map[memberKey]anvilid.Token{},
	}
	for _, option := range options {
		option(t)
	}
	if t.client == nil {
		t.client = NewClient()
	}
	t.incarnation = anvilid.Incarnation(t.clock.Now())
	t.SetFaults(settings.Faults)
	listener, err := net.Listen("tcp", string(settings.Listen))
	if err != nil {
		return nil, eris.Wrapf(err, "target %q can't listen on %s; choose another address with --listen", settings.Target,
			settings.Listen)
	}
	t.listener = listener
	t.address = settings.Advertise
	if t.address == "" {
		t.address = anvilid.Address(listener.Addr().String())
	}
	t.server = &http.Server{
		Handler:           t.handler(),
		ConnState:         t.connectionChanged,
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ReadHeaderTimeout: 10 * time.Second,
	}
	go func() {
		if err := t.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.logger.Error("HTTP server of the target failed", zap.String("target", string(settings.Target)), zap.Error(err))
		}
	}()
	if len(settings.Instances) > 0 {
		t.announcer.Add(1)
		go t.announce()
	}
	return t, nil
}

// Address returns the address that the target announces.
func (t *Target) Address() anvilid.Address { return t.address }

// ID returns the id of the target.
func (t *Target) ID() anvilid.TargetID { return t.settings.Target }

// Leave announces that the target leaves, rejects new work, waits until the
// running requests and tasks have ended, and closes the target. It returns an
// error if some were cut off because ctx was done or the grace period was over.
func (t *Target) Leave(ctx context.Context) error {
	t.StartLeaving()
	if t.settings.Grace > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.settings.Grace.Duration())
		defer cancel()
	}
	// Requests and tasks end for many reasons. Polling avoids a notification for each.
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !t.idle() {
		select {
		case <-ctx.Done():
			t.Close()
			return eris.Wrapf(ctx.Err(), "target %q left before its requests and tasks had ended; increase --grace to let them finish", t.settings.Target)
		case <-t.closed:
			return nil
		case <-ticker.C:
		}
	}
	// Shutdown waits until all answers have been written.
	err := t.server.Shutdown(ctx)
	t.Close()
	return eris.Wrapf(err, "target %q closed while an answer was being written", t.settings.Target)
}

// StartLeaving announces at once that the target leaves. From then on, the target
// rejects new work.
func (t *Target) StartLeaving() {
	t.mu.Lock()
	t.leaving = true
	t.mu.Unlock()
	t.triggerAnnouncement()
}

func (t *Target) triggerAnnouncement() {
	select {
	case t.announceNow <- struct{}{}:
	default:
	}
}

func (t *Target) idle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runningRequests > 0 {
		return false
	}
	for _, task := range t.tasks {
		if !task.state.Final() {
			return false
		}
	}
	return true
}

// Close stops the target at once, as if its process were killed: running requests
// get no answer, and tasks end.
func (t *Target) Close() {
	t.closeOnce.Do(func() {
		close(t.closed)
		t.server.Close()
		t.mu.Lock()
		for _, task := range t.tasks {
			t.finishTask(task, stateOnClose, "target was closed")
		}
		t.mu.Unlock()
	})
	t.announcer.Wait()
}

type connKey struct{}

// connectionChanged counts the open connections. A connection counts from the time when it is
// accepted, before its first request.
func (t *Target) connectionChanged(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.connections[c] = true
		t.openConnections++
		t.stats.Connections.recordValue(t.openConnections, int(t.settings.Connections))
		t.recordUsage()
	case http.StateClosed:
		t.removeConnection(c)
	}
}

// removeConnection removes a closed connection. The caller holds mu.
func (t *Target) removeConnection(c net.Conn) {
	if counted, known := t.connections[c]; known {
		delete(t.connections, c)
		if counted {
			t.openConnections--
			t.recordUsage()
		}
	}
}

// uncountConnection excludes a connection from the number of open connections, because a call
// to a path below /emu arrived on it. Such calls come from tests and not from instances.
func (t *Target) uncountConnection(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.connections[c] {
		t.connections[c] = false
		t.openConnections--
	}
}
