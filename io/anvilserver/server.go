// Package anvilserver implements an instance of the scheduler: it assembles the components from the
// other packages and runs their background tasks.
//
// Each instance has a session in the control group from its join until it leaves or its lease expires.
// While its lease is valid, it may admit requests and send them to the targets that it owns. Its view
// is its copy of a part of the replicated state. A voter is an instance with a data directory that
// takes part in the replicated log of the control group.
package anvilserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvillease"
	"anvilshunt/core/anvilstate"
	"anvilshunt/core/anvilview"
	"anvilshunt/io/anvilcontrol"
	"anvilshunt/io/anvildisk"
	"anvilshunt/io/anvildispatch"
	"anvilshunt/io/anvilfleet"
	"anvilshunt/io/anvilgang"
	"anvilshunt/io/anvilguard"
	"anvilshunt/io/anvillink"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilsettings"
)

// ErrRequestsAbandoned means that the instance stopped before all admitted requests had ended.
var ErrRequestsAbandoned = errors.New("instance stopped with unfinished requests")

// Server is one instance.
type Server struct {
	settings anvilsettings.Settings
	clock    anvilclock.Clock
	wall     anvilclock.Clock
	log      *anvillogs.Logger
	ignored  *anvillogs.Ignored
	listen   func(network, address string) (net.Listener, error)
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	disk     []anvildisk.Option

	incarnation       atomic.Uint64
	links             *anvillink.Links
	client            *anvilcontrol.Client
	fleet             *anvilfleet.Fleet
	dispatcher        *anvildispatch.Dispatcher
	owner             *anvilgang.Owner
	voter             *voter // nil without a data directory
	metrics           *metrics
	burnRecorder      *burnRecorder
	state             atomic.Int32
	publicConnections connections // connections of callers, targets and operators
	guard             *anvilguard.Guard

	mu     sync.Mutex
	view   *anvilview.View
	lease  anvillease.Holder
	leased chan struct{} // closed while the lease is valid; replaced by an open channel when it expires
	// registering contains the targets that this instance is registering in the replicated state.
	registering map[anvilid.TargetID]bool
}

// Option configures a Server.
type Option func(*Server)

// WithClock sets the clock that measures leases.
func WithClock(clock anvilclock.Clock) Option { return func(s *Server) { s.clock = clock } }

// WithLog sets the logger.
func WithLog(log *anvillogs.Logger) Option { return func(s *Server) { s.log = log } }

// WithListen sets the function that opens the listeners of the instance.
func WithListen(listen func(network, address string) (net.Listener, error)) Option {
	return func(s *Server) { s.listen = listen }
}

// WithDial sets the function that connects to other instances.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(s *Server) { s.dial = dial }
}

// WithDisk sets options of the data directory.
func WithDisk(opts ...anvildisk.Option) Option {
	return func(s *Server) { s.disk = opts }
}

// New returns an instance that is not running yet. It opens the data directory, if there is one.
func New(settings anvilsettings.Settings, opts ...Option) (*Server, error) {
	s := &Server{
		settings: settings, clock: anvilclock.Monotonic(), wall: anvilclock.Wall(), log: anvillogs.Discard(),
		listen: net.Listen, view: anvilview.New(), leased: make(chan struct{}),
		registering: map[anvilid.TargetID]bool{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.log = s.log.With(zap.String("instance", string(settings.Instance)))
	s.ignored = anvillogs.NewIgnored(s.clock, s.log, anvillogs.EntryIgnored)
	guard, err := s.newGuard()
	if err != nil {
		return nil, err
	}
	s.guard = guard
	s.incarnation.Store(uint64(s.wall.Now()))
	s.metrics = newMetrics()
	linkOptions := []anvillink.Option{anvillink.WithByteCounters(s.metrics.linkBytes)}
	if s.dial != nil {
		linkOptions = append(linkOptions, anvillink.WithDial(s.dial))
	}
	s.links = anvillink.New(settings.Region, s.regionOf, linkOptions...)
	s.client = anvilcontrol.NewClient(voterAddresses(settings), s.links.ControlAt)
	s.fleet = anvilfleet.New(settings.Instance, s.clock, s.log, s.incarnation.Load(),
		anvilfleet.WithLeased(s.isLeased), anvilfleet.WithPropose(s.client.Propose),
		anvilfleet.WithAnswerLimit(settings.Limits.Answer),
		anvilfleet.WithSlotsFreed(func(service anvilid.ServiceName) { s.dispatcher.HandleSlotsFreed(service) }))
	s.burnRecorder = &burnRecorder{wall: s.wall, recorder: anvilburn.NewRecorder(settings.Instance, s.currentIncarnation())}
	s.dispatcher = s.newDispatcher()
	s.owner = s.newOwner()
	if settings.DataDir != "" {
		voter, err := openVoter(s)
		if err != nil {
			return nil, err
		}
		s.voter = voter
	}
	s.metrics.publish(s)
	return s, nil
}

func (s *Server) newDispatcher() *anvildispatch.Dispatcher {
	self := anvildispatch.Self{
		Instance: s.settings.Instance, Incarnation: s.currentIncarnation(), Region: s.settings.Region,
	}
	fleet := anvildispatch.Fleet{
		Acquire: s.fleet.Acquire, Probe: s.fleet.Probe, Release: s.fleet.Release, Dispatch: s.fleet.Dispatch,
		Loads: s.fleet.Loads,
	}
	return anvildispatch.New(self, s.clock, s.log, s.directory(), fleet,
		anvildispatch.WithPropose(s.client.Propose),
		anvildispatch.WithObjectiveRecorder(s.burnRecorder.record),
		anvildispatch.WithPeers(s.peers(anvillink.Run), s.peers(anvillink.Record), s.peers(anvillink.Fetch)),
		anvildispatch.WithLimits(anvildispatch.Limits{
			Requests: s.settings.Limits.Requests, Queue: s.settings.Limits.Queue,
			IDs: s.settings.Limits.IDs, Cache: s.settings.Limits.Cache,
		}))
}

func (s *Server) currentIncarnation() anvilid.Incarnation {
	return anvilid.Incarnation(s.incarnation.Load())
}

// self returns the description of this run of the instance for the control group.
func (s *Server) self() anvilstate.Instance {
	return anvilstate.Instance{
		ID: s.settings.Instance, Incarnation: s.currentIncarnation(),
		Region: s.settings.Region, Zone: s.settings.Zone,
		Peer: s.settings.Peer, Public: s.settings.Public,
	}
}

func voterAddresses(settings anvilsettings.Settings) []anvilid.Address {
	var addresses []anvilid.Address
	for _, peer := range settings.Peers {
		if peer.Voter {
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}

// backgroundTask is a function that runs in a goroutine of its own for as long as the instance
// runs.
type backgroundTask struct {
	name string
	run  func(context.Context) error
}

// runBackgroundTasks runs all tasks until ctx ends or one of them fails.
func (s *Server) runBackgroundTasks(ctx context.Context, tasks []backgroundTask) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var group sync.WaitGroup
	for _, task := range tasks {
		group.Add(1)
		go func() {
			defer group.Done()
			if err := task.run(ctx); err != nil && ctx.Err() == nil {
				s.log.Write(anvillogs.BackgroundTaskFailed, zap.String("duty", task.name), zap.Error(err))
				cancel(eris.Wrap(err, task.name))
			}
		}()
	}
	group.Wait()
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		return fmt.Errorf("instance stopped because a background task failed: %w", cause)
	}
	return nil
}
