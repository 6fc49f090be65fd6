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
	"slices"
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

// Gate finds the leader and passes calls to it.
type Gate struct {
	clock anvilclock.Clock
	log   *anvillogs.Logger
	dial  func(anvilid.InstanceID) anvilrpc.Fleet
	seeds func() []anvilid.InstanceID
	// self is the instance of a gate that others may use as a relay, or empty.
	self anvilid.InstanceID

	mu      sync.Mutex
	leader  anvilid.InstanceID
	voters  []anvilid.InstanceID
	relays  []anvilid.InstanceID // other instances that pass calls on
	fleets  map[anvilid.InstanceID]anvilrpc.Fleet
	reached anvilclock.Millis // when a leader last answered
	silent  int               // attempts in a row that no voter reacted to
}

// Option changes a Gate.
type Option func(*Gate)

// WithRelays makes the gate use other instances that can reach the voters when
// this one can't, and offers this one to them.
func WithRelays(self anvilid.InstanceID) Option { return func(g *Gate) { g.self = self } }

// New returns a gate. Seeds returns the voters that the settings name now.
func New(clock anvilclock.Clock, log *anvillogs.Logger, seeds func() []anvilid.InstanceID, dial func(anvilid.InstanceID) anvilrpc.Fleet, opts ...Option) *Gate {
	g := &Gate{
		clock: clock, log: log, dial: dial, seeds: seeds,
		fleets: map[anvilid.InstanceID]anvilrpc.Fleet{}, reached: -checkLimit,
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
func (g *Gate) Call(ctx context.Context, attempt Attempt) error {
	c := &call{Gate: g, attempt: attempt}
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
func (g *Gate) CallVoters(ctx context.Context, attempt Attempt) error {
	c := &call{Gate: g, attempt: attempt, relayed: true}
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
	*Gate
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
func (g *Gate) try(ctx context.Context, instance anvilid.InstanceID, attempt Attempt) (done, unanswered bool) {
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
	redirection, done, sent, err := c.Gate.attempt(ctx, instance, c.attempt)
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
func (g *Gate) attempt(ctx context.Context, instance anvilid.InstanceID, attempt Attempt) (redirection *anvilrpc.Redirection, done, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
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

// refused tells that a connection could not be made.
func refused(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// noteReaction follows whether the voters react at all. A refused connection
// is a reaction: the instance is there and its process starts again soon.
func (g *Gate) noteReaction(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var failed net.Error
	if err != nil && (errors.Is(err, context.DeadlineExceeded) || errors.As(err, &failed) && failed.Timeout()) {
		g.silent++
		return
	}
	g.silent = 0
}

// cutOff tells that no voter reacts. One that is frozen is silent alone, and
// the next one reacts.
func (g *Gate) cutOff() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silent >= silentLimit
}

// hopeless tells that neither voters nor relays have reacted for so long that
// waiting within the call is in vain.
func (g *Gate) hopeless() bool { return g.cutOff() && !g.Connected() }

// Retry estimates when a caller should come back whose call was not sent: an
// outage that has lasted for a time is likely to last as long again.
func (g *Gate) Retry() anvilclock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(max(g.clock.Now()-g.reached, minRetry), maxRetry)
}

// someRelays returns the relays to ask in one round, others each time.
func (g *Gate) someRelays() []anvilid.InstanceID {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.relays) == 0 {
		return nil
	}
	g.relays = append(g.relays[1:len(g.relays):len(g.relays)], g.relays[0])
	return slices.Clone(g.relays[:min(len(g.relays), relaysAsked)])
}

// dropRelay forgets a relay that didn't answer until a voter names it again.
func (g *Gate) dropRelay(instance anvilid.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relays = slices.DeleteFunc(slices.Clone(g.relays), func(other anvilid.InstanceID) bool { return other == instance })
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
	err := g.CallVoters(ctx, func(ctx context.Context, fleet anvilrpc.Fleet) (*anvilrpc.Redirection, bool, error) {
		reply, err := fleet.Locate(ctx, &anvilrpc.LocateCall{Instance: string(g.self)})
		if err != nil {
			return nil, false, err
		}
		if reply.Leading {
			g.learnRelays(reply.Relays)
		}
		return reply.Redirection, reply.Leading, nil
	})
	if err != nil {
		g.log.Write(anvillogs.RequestFailed, zap.String("call", "locate"), zap.Error(err))
	}
}

// learnRelays keeps the other instances that pass calls on.
func (g *Gate) learnRelays(relays []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relays = g.relays[:0:0]
	for _, relay := range relays {
		if g.self != "" && anvilid.InstanceID(relay) != g.self {
			g.relays = append(g.relays, anvilid.InstanceID(relay))
		}
	}
}
