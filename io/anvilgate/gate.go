// Package anvilgate passes calls on to the leader from instances that keep no
// state of their own. It finds the leader by asking the voters that it knows,
// and repeats calls, which are idempotent, until they are answered or their
// time is up. While no voter reacts, it asks other such instances to pass the
// calls on.
package anvilgate

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
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
	// silentLimit is how many attempts in a row must go without a reaction
	// until this instance counts as cut off from the voters.
	silentLimit = 2
	// relaysAsked is how many relays are asked in one round.
	relaysAsked = 2
	// minRetry and maxRetry bound when callers are told to come back.
	minRetry = anvilclock.Second
	maxRetry = 4 * anvilclock.Second
)

// Errors of a call.
var (
	// ErrNotSent means that no voter that may have led has received the call.
	ErrNotSent = errors.New("no leader was found in time; come back later")
	// ErrUnanswered means that a voter may have carried the call out.
	ErrUnanswered = errors.New("the leader did not answer in time")
)

// Forwarder finds the leader and passes calls to it.
type Forwarder struct {
	clock anvilclock.Clock
	log   *anvillogs.Logger
	dial  func(anvilid.InstanceID) anvilrpc.Fleet
	seeds func() []anvilid.InstanceID
	// self is the instance of a gate that others may use as a relay, or empty.
	self anvilid.InstanceID

	mu      sync.Mutex
	leader  anvilid.InstanceID // where to ask first, or empty
	lastLed anvilid.InstanceID // that led when a call was last answered
	voters  []anvilid.InstanceID
	relays  []anvilid.InstanceID // other instances that pass calls on
	fleets  map[anvilid.InstanceID]anvilrpc.Fleet
	reached anvilclock.Millis // when a leader last answered
	silent  int               // attempts in a row that no voter reacted to
	moved   chan struct{}     // closed when another leader is found
}

// Option changes a Gate.
type Option func(*Forwarder)

// WithRelays makes the gate use other instances that can reach the voters when
// this one can't, and offers this one to them.
func WithRelays(self anvilid.InstanceID) Option { return func(g *Forwarder) { g.self = self } }

// New returns a gate. Seeds returns the voters that the settings name now.
func New(clock anvilclock.Clock, log *anvillogs.Logger, seeds func() []anvilid.InstanceID, dial func(anvilid.InstanceID) anvilrpc.Fleet, opts ...Option) *Forwarder {
	g := &Forwarder{
		clock: clock, log: log, dial: dial, seeds: seeds,
		fleets: map[anvilid.InstanceID]anvilrpc.Fleet{}, reached: -checkLimit, moved: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Attempt makes one call. It returns the redirection of a voter that doesn't
// lead, and whether the call is answered for good.
type Attempt func(context.Context, anvilrpc.Fleet) (redirection *anvilrpc.Redirection, done bool, err error)

// Call makes attempts until one is done or ctx ends. It returns ErrNotSent or
// ErrUnanswered then. It returns ErrNotSent at once when neither the voters nor
// the relays react.
func (g *Forwarder) Call(ctx context.Context, attempt Attempt) error {
	c := &call{Forwarder: g, attempt: attempt}
	for {
		if c.round(ctx) {
			return nil
		}
		if ctx.Err() != nil || !c.doubt && g.hopeless() {
			return c.failure()
		}
		select {
		case <-ctx.Done():
			return c.failure()
		case <-time.After(roundPause):
		}
	}
}

// CallVoters is Call without the use of relays, so that relays don't pass
// calls on among each other.
func (g *Forwarder) CallVoters(ctx context.Context, attempt Attempt) error {
	c := &call{Forwarder: g, attempt: attempt, relayed: true}
	for ctx.Err() == nil {
		if c.askVoters(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(roundPause):
		}
	}
	return c.failure()
}

// call is one call under way.
type call struct {
	*Forwarder
	attempt Attempt
	// doubt tells that an attempt may have been carried out.
	doubt bool
	// relayed tells that the relays were asked in this round, or must not be.
	relayed bool
}

func (c *call) failure() error {
	if c.doubt {
		return ErrUnanswered
	}
	return ErrNotSent
}

// round asks everybody once: the voters first, unless they don't react.
func (c *call) round(ctx context.Context) (done bool) {
	c.relayed = false
	return c.cutOff() && c.askRelays(ctx) || c.askVoters(ctx)
}

// askVoters asks the voters, and the relays as soon as the voters turn out not
// to react.
func (c *call) askVoters(ctx context.Context) (done bool) {
	for _, instance := range c.candidates() {
		done, unanswered := c.try(ctx, instance, c.attempt)
		c.doubt = c.doubt || unanswered
		if done || ctx.Err() != nil {
			return done
		}
		if c.cutOff() && !c.relayed && c.askRelays(ctx) {
			return true
		}
	}
	return false
}

// askRelays asks other instances to pass the call on.
func (c *call) askRelays(ctx context.Context) (done bool) {
	c.relayed = true
	for _, instance := range c.someRelays() {
		done, unanswered := c.tryRelay(ctx, instance)
		c.doubt = c.doubt || unanswered
		if done || ctx.Err() != nil {
			return done
		}
	}
	return false
}

// try makes one attempt at an instance and, if that names the leader, at the
// leader.
func (g *Forwarder) try(ctx context.Context, instance anvilid.InstanceID, attempt Attempt) (done, unanswered bool) {
	for range 2 {
		redirection, done, sent, err := g.attempt(ctx, instance, attempt)
		if ctx.Err() == nil {
			g.noteReaction(err)
		}
		switch {
		case err != nil:
			g.forget(instance)
			g.log.Write(anvillogs.LeaderSought, zap.String("voter", string(instance)), zap.Bool("sent", sent), zap.Error(err))
			return false, sent
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

// tryRelay makes one attempt through a relay.
func (c *call) tryRelay(ctx context.Context, instance anvilid.InstanceID) (done, unanswered bool) {
	redirection, done, sent, err := c.Forwarder.attempt(ctx, instance, c.attempt)
	c.log.Write(anvillogs.RelayAsked, zap.String("relay", string(instance)), zap.Bool("done", done), zap.Bool("sent", sent), zap.Error(err))
	switch {
	case err != nil:
		c.dropRelay(instance)
		return false, sent
	case done:
		return true, false
	}
	return false, redirection == nil
}

// attempt makes one limited attempt at an instance. Sent tells whether the
// instance may have received it.
func (g *Forwarder) attempt(ctx context.Context, instance anvilid.InstanceID, attempt Attempt) (redirection *anvilrpc.Redirection, done, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, moved := g.led()
	go g.endWhenMoved(ctx, instance, moved, cancel)
	var sought, connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { sought.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	redirection, done, err = attempt(ctx, g.fleet(instance))
	// Without a connection nothing was written. A call within this process
	// seeks none.
	sent = (connected.Load() || !sought.Load()) && !refused(err)
	return redirection, done, sent, err
}

// endWhenMoved ends an attempt at an instance as soon as another one turns out
// to lead: it would wait for a leader that is frozen or cut off, while calls
// that came after it are answered already.
func (g *Forwarder) endWhenMoved(ctx context.Context, instance anvilid.InstanceID, moved <-chan struct{}, end func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-moved:
		}
		var leader anvilid.InstanceID
		leader, moved = g.led()
		if leader != instance {
			end()
			return
		}
	}
}

// led returns who led when a call was last answered, and what is closed when
// another one does.
func (g *Forwarder) led() (anvilid.InstanceID, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastLed, g.moved
}

// refused tells that a connection could not be made.
func refused(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}
