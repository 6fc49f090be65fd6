package anvilserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilhttp"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// Phases of an instance's life.
const (
	serving int32 = iota
	drainingPhase
)

// The balancer asks for readiness at least this often, so a request may
// arrive until then. It is refused with "not run".
const balancerPause = 200 * time.Millisecond

const leaveTimeout = 2 * time.Second

// Connections that are open when the instance stops get this long to close.
const closeTimeout = time.Second

// Callers that keep connections open get this long after the instance began to
// drain to send their next request, which is refused with "not run" and ends
// the connection. The balancer's pause and the drain run within it.
const lingerSpan = 1500 * anvilclock.Millisecond

const headerTimeout = 10 * time.Second

// Header fields over the limit get an error that names it. Beyond this many
// times the limit net/http answers by itself and closes the connection.
const hardHeaderFactor = 4

func (s *Server) draining() bool { return s.state.Load() == drainingPhase }

// Ready tells whether the balancer should send requests here.
func (s *Server) Ready() bool { return !s.draining() && s.isLeased() }

// Run runs the instance until a signal arrives or a duty fails. The first
// signal drains it; the second ends it at once.
func (s *Server) Run(ctx context.Context, signals <-chan os.Signal) error {
	public, err := s.listen("tcp", string(s.settings.Public))
	if err != nil {
		return eris.Wrapf(err, "listen on the public address %s", s.settings.Public)
	}
	peer, err := s.listen("tcp", string(s.settings.Peer))
	if err != nil {
		_ = public.Close()
		return eris.Wrapf(err, "listen on the peer address %s", s.settings.Peer)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.log.Write(anvillogs.InstanceStarted, zap.String("public", string(s.settings.Public)),
		zap.String("peer", string(s.settings.Peer)), zap.String("zone", string(s.settings.Zone)),
		zap.Bool("voter", s.voter != nil))
	duties := []duty{
		{"renew", s.renew},
		{"watch", s.watch},
		{"fleet", s.fleet.Run},
		{"desk", s.desk.Serve},
		{"gang members", s.owner.Run},
		{"burn", s.sendCounts},
		{"public", s.serve(public, s.publicHandler(), &s.open)},
		{"peer", s.serve(peer, s.peerHandler(), &connections{})},
		{"signals", func(ctx context.Context) error { return s.obey(ctx, signals, cancel) }},
	}
	if s.voter != nil {
		duties = append(duties, s.voter.duties()...)
	}
	err = s.runDuties(ctx, duties)
	s.links.Close()
	s.log.Write(anvillogs.InstanceStopped, zap.Int64("left", s.desk.Admitted()))
	s.log.Sync()
	if left := s.desk.Admitted(); err == nil && left > 0 {
		return fmt.Errorf("%w: %d", ErrRequestsAbandoned, left)
	}
	return err
}

// serve returns the duty that serves HTTP on a listener. It ends by closing
// connections after their present requests.
func (s *Server) serve(listener net.Listener, handler http.Handler, connections *connections) func(context.Context) error {
	return func(ctx context.Context) error {
		server := &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout,
			MaxHeaderBytes: hardHeaderFactor * int(s.settings.Limits.Header),
			ConnState:      connections.follow,
		}
		failed := make(chan error, 1)
		go func() { failed <- server.Serve(listener) }()
		select {
		case err := <-failed:
			return err
		case <-ctx.Done():
		}
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			return server.Close()
		}
		return nil
	}
}

func (s *Server) publicHandler() http.Handler {
	return anvilhttp.New(s.api(), anvilhttp.Limits{Body: s.settings.Limits.Body, Header: s.settings.Limits.Header}, s.clock)
}

func (s *Server) peerHandler() http.Handler {
	mux := http.NewServeMux()
	peer := anvilrpc.NewPeerServer(peerService{server: s})
	mux.Handle(peer.PathPrefix(), peer)
	if s.voter != nil {
		s.voter.register(mux)
	}
	return mux
}

// obey waits for the first signal, drains, and ends the instance. A second
// signal ends it at once.
func (s *Server) obey(ctx context.Context, signals <-chan os.Signal, end context.CancelCauseFunc) error {
	select {
	case <-ctx.Done():
		return nil
	case <-signals:
	}
	s.log.Write(anvillogs.InstanceDraining, zap.Int64("admitted", s.desk.Admitted()))
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.drain(ctx)
	}()
	select {
	case <-drained:
	case <-ctx.Done():
	case <-signals:
		s.log.Write(anvillogs.InstanceKilled, zap.Int64("left", s.desk.Admitted()))
	}
	end(context.Canceled)
	return nil
}

// drain leaves the balancer, refuses new requests, hands its targets over,
// finishes what was taken and leaves the control group.
func (s *Server) drain(ctx context.Context) {
	s.state.Store(drainingPhase)
	s.desk.Drain()
	lingerUntil := s.clock.Now() + lingerSpan
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timing.Drain.Duration())
	defer cancel()
	pause(ctx, balancerPause)
	s.leave(ctx, true)
	for ctx.Err() == nil && (s.desk.Admitted() > 0 || s.fleet.Busy()) {
		pause(ctx, watchPeriod)
	}
	s.mu.Lock()
	s.lease.Revoke()
	s.mu.Unlock()
	s.fleet.ForgetAllTargets()
	s.proposeCounts(ctx, true)
	s.leave(ctx, false)
	for ctx.Err() == nil && s.open.count() > 0 && s.clock.Now() < lingerUntil {
		pause(ctx, watchPeriod)
	}
}

// connections counts the open connections of a server.
type connections struct{ open atomic.Int64 }

func (c *connections) follow(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

func (c *connections) count() int64 { return c.open.Load() }

func (s *Server) leave(ctx context.Context, drain bool) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := s.client.Propose(ctx, &anvilstate.Command{Leave: &anvilstate.LeaveInstance{
		ID: s.settings.Instance, Incarnation: s.currentIncarnation(), Drain: drain,
	}})
	if err != nil {
		s.log.Write(anvillogs.ProposalFailed, zap.String("command", "leave"), zap.Error(err))
	}
}
