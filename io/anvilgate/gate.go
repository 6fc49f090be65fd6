// Package anvilgate passes calls on to the leader from instances that keep no
// state of their own. It finds the leader by asking the voters that it knows,
// and repeats calls, which are idempotent, until they are answered or their
// time is up.
package anvilgate

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

const (
	// attemptTimeout bounds one attempt. A commit takes a few tens of
	// milliseconds; a connection that went silent costs one attempt.
	attemptTimeout = 600 * time.Millisecond
	// roundPause is the pause after all known voters were asked in vain. An
	// election takes a second or so.
	roundPause = 60 * time.Millisecond
	// checkInterval is how often an instance without calls checks its leader.
	checkInterval = 700 * time.Millisecond
	// checkLimit is how long an instance counts as connected after a call
	// that a leader answered.
	checkLimit = 2500 * anvilclock.Millisecond
)

// Errors of a call.
var (
	// ErrNotSent means that no voter that may have led has received the call.
	ErrNotSent = errors.New("no leader was found in time; come back later")
	// ErrUnanswered means that a voter may have carried the call out.
	ErrUnanswered = errors.New("the leader did not answer in time")
)

// Gate finds the leader and passes calls to it.
type Gate struct {
	clock anvilclock.Clock
	log   *anvillogs.Logger
	dial  func(anvilid.InstanceID) anvilrpc.Fleet
	seeds func() []anvilid.InstanceID

	mu      sync.Mutex
	leader  anvilid.InstanceID
	voters  []anvilid.InstanceID
	fleets  map[anvilid.InstanceID]anvilrpc.Fleet
	reached anvilclock.Millis // when a leader last answered
}

// New returns a gate. Seeds returns the voters that the settings name now.
func New(clock anvilclock.Clock, log *anvillogs.Logger, seeds func() []anvilid.InstanceID, dial func(anvilid.InstanceID) anvilrpc.Fleet) *Gate {
	return &Gate{
		clock: clock, log: log, dial: dial, seeds: seeds,
		fleets: map[anvilid.InstanceID]anvilrpc.Fleet{}, reached: -checkLimit,
	}
}

// Attempt makes one call. It returns the redirection of a voter that doesn't
// lead, and whether the call is answered for good.
type Attempt func(context.Context, anvilrpc.Fleet) (redirection *anvilrpc.Redirection, done bool, err error)

// Call makes attempts until one is done or ctx ends. It returns ErrNotSent or
// ErrUnanswered then.
func (g *Gate) Call(ctx context.Context, attempt Attempt) error {
	failure := ErrNotSent
	for {
		for _, instance := range g.candidates() {
			done, unanswered := g.try(ctx, instance, attempt)
			if done {
				return nil
			}
			if unanswered {
				failure = ErrUnanswered
			}
			if ctx.Err() != nil {
				return failure
			}
		}
		select {
		case <-ctx.Done():
			return failure
		case <-time.After(roundPause):
		}
	}
}

// try makes one attempt at an instance and, if that names the leader, at the
// leader.
func (g *Gate) try(ctx context.Context, instance anvilid.InstanceID, attempt Attempt) (done, unanswered bool) {
	for range 2 {
		limited, cancel := context.WithTimeout(ctx, attemptTimeout)
		redirection, done, err := attempt(limited, g.fleet(instance))
		cancel()
		switch {
		case err != nil:
			g.forget(instance)
			g.log.Write(anvillogs.LeaderSought, zap.String("voter", string(instance)), zap.Error(err))
			return false, !neverSent(err)
		case done:
			g.found(instance, redirection)
			return true, false
		case redirection == nil:
			return false, true
		}
		leader := anvilid.InstanceID(redirection.Leader)
		g.learn(redirection)
		if leader == "" || leader == instance {
			return false, false
		}
		instance = leader
	}
	return false, false
}

// neverSent tells that a call failed before a connection was made.
func neverSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// candidates lists whom to ask: the leader, then all known voters.
func (g *Gate) candidates() []anvilid.InstanceID {
	g.mu.Lock()
	leader, voters := g.leader, g.voters
	g.mu.Unlock()
	all := slices.Concat(voters, g.seeds())
	if leader != "" {
		all = append([]anvilid.InstanceID{leader}, all...)
	}
	var unique []anvilid.InstanceID
	for _, instance := range all {
		if !slices.Contains(unique, instance) {
			unique = append(unique, instance)
		}
	}
	return unique
}

func (g *Gate) fleet(instance anvilid.InstanceID) anvilrpc.Fleet {
	g.mu.Lock()
	defer g.mu.Unlock()
	fleet := g.fleets[instance]
	if fleet == nil {
		fleet = g.dial(instance)
		g.fleets[instance] = fleet
	}
	return fleet
}

func (g *Gate) found(instance anvilid.InstanceID, redirection *anvilrpc.Redirection) {
	g.learn(redirection)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader, g.reached = instance, g.clock.Now()
}

func (g *Gate) forget(instance anvilid.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == instance {
		g.leader = ""
	}
	// The one that failed is asked last the next time.
	if i := slices.Index(g.voters, instance); i >= 0 {
		g.voters = append(slices.Delete(slices.Clone(g.voters), i, i+1), instance)
	}
}

func (g *Gate) learn(redirection *anvilrpc.Redirection) {
	if redirection == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = anvilid.InstanceID(redirection.Leader)
	if len(redirection.Voters) == 0 {
		return
	}
	g.voters = g.voters[:0:0]
	for _, voter := range redirection.Voters {
		g.voters = append(g.voters, anvilid.InstanceID(voter))
	}
}

// Connected tells whether a leader has answered within the last seconds.
func (g *Gate) Connected() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock.Now()-g.reached < checkLimit
}

// Check keeps Connected up to date while no calls are made.
func (g *Gate) Check(ctx context.Context) error {
	for ctx.Err() == nil {
		g.locate(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(checkInterval):
		}
	}
	return nil
}

func (g *Gate) locate(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	err := g.Call(ctx, func(ctx context.Context, fleet anvilrpc.Fleet) (*anvilrpc.Redirection, bool, error) {
		reply, err := fleet.Locate(ctx, &anvilrpc.LocateCall{})
		if err != nil {
			return nil, false, err
		}
		return reply.Redirection, reply.Leading, nil
	})
	if err != nil {
		g.log.Write(anvillogs.RequestFailed, zap.String("call", "locate"), zap.Error(err))
	}
}
