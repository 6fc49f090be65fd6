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
	urgent      chan struct{} // asks for an announcement before the next interval
	closed      chan struct{}
	closeOnce   sync.Once
	announcer   sync.WaitGroup

	mu       sync.Mutex
	leaving  bool
	epoch    anvilid.Epoch
	sequence uint64
	running  int
	open     map[net.Conn]bool // true: counts as a connection from an instance
	opened   int
	requests *requestLog
	previous answer
	tasks    map[memberKey]*task
	taskLog  []TaskRun
	stopped  map[memberKey]anvilid.Token
	stats    Stats
	history  []usage
	faults   Faults
	faulted  int
	seen     int
	thaw     chan struct{}
	owner    anvilid.Address
}

// Start listens, serves and announces the target until it leaves or is
// closed.
func Start(settings Settings, options ...Option) (*Target, error) {
	settings.setDefaults()
	t := &Target{
		settings: settings,
		logger:   zap.NewNop(),
		clock:    anvilclock.Wall(),
		urgent:   make(chan struct{}, 1),
		closed:   make(chan struct{}),
		open:     map[net.Conn]bool{},
		requests: newRequestLog(maxLoggedRequests),
		tasks:    map[memberKey]*task{},
		stopped:  map[memberKey]anvilid.Token{},
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
		return nil, eris.Wrapf(err, "target %q can't listen on %s; choose a free address with --listen", settings.Target, settings.Listen)
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
			t.logger.Error("target stopped serving", zap.String("target", string(settings.Target)), zap.Error(err))
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

// Leave announces that the target leaves, refuses new work, waits for
// running work and closes the target. It returns an error if work was cut
// off because ctx or the grace time ended.
func (t *Target) Leave(ctx context.Context) error {
	t.StartLeaving()
	if t.settings.Grace > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.settings.Grace.Duration())
		defer cancel()
	}
	// Work ends for many reasons; polling keeps them independent of leaving.
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !t.idle() {
		select {
		case <-ctx.Done():
			t.Close()
			return eris.Wrapf(ctx.Err(), "target %q left with unfinished work; raise --grace to let it finish", t.settings.Target)
		case <-t.closed:
			return nil
		case <-ticker.C:
		}
	}
	// Shutdown waits for answers that are still being written.
	err := t.server.Shutdown(ctx)
	t.Close()
	return eris.Wrapf(err, "target %q cut off an answer", t.settings.Target)
}

// StartLeaving announces at once that the target leaves and refuses new
// work from now on.
func (t *Target) StartLeaving() {
	t.mu.Lock()
	t.leaving = true
	t.mu.Unlock()
	t.wakeAnnouncer()
}

func (t *Target) wakeAnnouncer() {
	select {
	case t.urgent <- struct{}{}:
	default:
	}
}

func (t *Target) idle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running > 0 {
		return false
	}
	for _, task := range t.tasks {
		if !task.state.Final() {
			return false
		}
	}
	return true
}

// Close stops the target at once, like the death of its process: running
// requests get no answer and tasks end.
func (t *Target) Close() {
	t.closeOnce.Do(func() {
		close(t.closed)
		t.server.Close()
		t.mu.Lock()
		for _, task := range t.tasks {
			t.finish(task, stateOnClose, "target closed")
		}
		t.mu.Unlock()
	})
	t.announcer.Wait()
}

type connKey struct{}

// connectionChanged counts connections from the moment they are accepted.
func (t *Target) connectionChanged(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.open[c] = true
		t.opened++
		t.stats.Connections.see(t.opened, int(t.settings.Connections))
		t.recordUsage()
	case http.StateClosed:
		t.forgetConnection(c)
	}
}

// forgetConnection stops counting c. The caller holds mu.
func (t *Target) forgetConnection(c net.Conn) {
	if counted, known := t.open[c]; known {
		delete(t.open, c)
		if counted {
			t.opened--
			t.recordUsage()
		}
	}
}

// discount stops counting a connection that carries control calls of a test
// rather than calls of an instance.
func (t *Target) discount(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open[c] {
		t.open[c] = false
		t.opened--
	}
}
