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

	"anvilshunt/core/anvilbudget"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilduty"
	"anvilshunt/io/anvilhttp"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// States of an instance.
const (
	serving int32 = iota
	drainingPhase
	leftPhase // has left the control group for good
)

// lostLinesInterval is the interval between two lines about lines that were left out of the log.
const lostLinesInterval = 2 * time.Second

// balancerInterval is the longest interval between two readiness checks of the load balancer.
// Requests may arrive for this long after the instance stopped being ready; they are refused with
// the outcome "not-run".
const balancerInterval = 200 * time.Millisecond

// leaveTimeout limits the time for committing that the instance is draining, or that it has left the
// control group.
const leaveTimeout = 2 * time.Second

// closeTimeout limits the wait for open connections to close when the instance stops.
const closeTimeout = time.Second

// keepAliveDrainTime is the time, counted from the start of a drain, for which the instance keeps the
// open connections of callers. If a caller sends its next request in this time, the request is refused
// with the outcome "not-run" and the connection is closed. The time includes balancerInterval and the
// wait for admitted requests.
const keepAliveDrainTime = 1500 * anvilclock.Millisecond

// headerTimeout limits the time for reading the headers of a request.
const headerTimeout = 10 * time.Second

// hardHeaderFactor times the configured header limit is the size of request headers above which
// net/http itself answers and closes the connection. Headers between the configured limit and this
// size are answered with an error that names the configured limit.
const hardHeaderFactor = 4

func (s *Server) draining() bool { return s.state.Load() >= drainingPhase }

func (s *Server) left() bool { return s.state.Load() == leftPhase }

// Ready reports whether the load balancer should send requests to this instance.
func (s *Server) Ready() bool { return !s.draining() && s.isLeased() }

// Run runs the instance until a signal arrives or a background task fails. The first signal drains
// the instance; the second one stops it immediately.
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
	tasks := []backgroundTask{
		{"renew", s.maintainLease},
		{"watch", s.watchLease},
		{"fleet", s.fleet.Run},
		{"desk", s.dispatcher.Serve},
		{"gang members", s.owner.Run},
		{"burn", s.reportCounts},
		{"log", s.reportLostLines},
		{"public", s.serve(s.guard.Listen(public, anvilbudget.Stranger), s.publicHandler(), &s.publicConnections)},
		{"peer", s.serve(s.guard.Listen(peer, anvilbudget.Peer), s.peerHandler(), &connections{})},
		{"signals", func(ctx context.Context) error { return s.handleSignals(ctx, signals, cancel) }},
	}
	if s.voter != nil {
		tasks = append(tasks, s.voter.backgroundTasks()...)
	}
	err = s.runBackgroundTasks(ctx, tasks)
	s.links.Close()
	s.log.WriteLost(anvillogs.LogLinesDropped)
	s.log.Write(anvillogs.InstanceStopped, zap.Int64("left", s.dispatcher.Admitted()))
	s.log.Sync()
	if left := s.dispatcher.Admitted(); err == nil && left > 0 {
		return fmt.Errorf("%w: %d", ErrRequestsAbandoned, left)
	}
	return err
}

// reportLostLines is the background task that logs how many lines the bound of the log has left out.
func (s *Server) reportLostLines(ctx context.Context) error {
	return anvilduty.Every(ctx, lostLinesInterval, func(context.Context) { s.log.WriteLost(anvillogs.LogLinesDropped) })
}

// serve returns the background task that serves HTTP on a listener. When ctx ends, connections are
// closed after their current requests.
func (s *Server) serve(listener net.Listener, handler http.Handler, connections *connections) func(context.Context) error {
	return func(ctx context.Context) error {
		server := &http.Server{
			Handler: handler, ReadHeaderTimeout: headerTimeout,
			MaxHeaderBytes: hardHeaderFactor * int(s.settings.Limits.Header),
			ConnState:      connections.track,
		}
		s.guard.Configure(server)
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
	return anvilhttp.New(s.api(), anvilhttp.Limits{BodyBytes: s.settings.Limits.Body, HeaderBytes: s.settings.Limits.Header}, s.clock)
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

// handleSignals waits for a signal, then drains the instance and stops it. A second signal during the
// drain stops the instance immediately.
func (s *Server) handleSignals(ctx context.Context, signals <-chan os.Signal, end context.CancelCauseFunc) error {
	select {
	case <-ctx.Done():
		return nil
	case <-signals:
	}
	s.log.Write(anvillogs.InstanceDraining, zap.Int64("admitted", s.dispatcher.Admitted()))
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.drain(ctx)
	}()
	select {
	case <-drained:
	case <-ctx.Done():
	case <-signals:
		s.log.Write(anvillogs.InstanceKilled, zap.Int64("left", s.dispatcher.Admitted()))
	}
	end(context.Canceled)
	return nil
}

// drain makes the instance not ready, refuses new requests, hands over its targets, waits until the
// admitted requests have ended, and leaves the control group.
func (s *Server) drain(ctx context.Context) {
	s.state.Store(drainingPhase)
	s.dispatcher.Drain()
	keepAliveUntil := s.clock.Now() + keepAliveDrainTime
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timing.Drain.Duration())
	defer cancel()
	sleep(ctx, balancerInterval)
	s.leave(ctx, true)
	for ctx.Err() == nil && (s.dispatcher.Admitted() > 0 || s.fleet.Busy()) {
		sleep(ctx, leaseCheckInterval)
	}
	s.mu.Lock()
	s.lease.Revoke()
	s.mu.Unlock()
	s.fleet.ForgetAllTargets()
	s.proposeCounts(ctx, true)
	s.state.Store(leftPhase)
	s.leave(ctx, false)
	for ctx.Err() == nil && s.publicConnections.count() > 0 && s.clock.Now() < keepAliveUntil {
		sleep(ctx, leaseCheckInterval)
	}
}

// connections counts the open connections of a server.
type connections struct{ open atomic.Int64 }

func (c *connections) track(_ net.Conn, state http.ConnState) {
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
