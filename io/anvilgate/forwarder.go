// Package anvilgate forwards calls to the leader from instances that are not voters
// and keep no state of their own. It finds the leader by asking the voters that it
// knows, and retries calls, which are idempotent, until they are answered or their
// deadline passes. While no voter responds, it sends the calls through other
// instances that are not voters, called relays.
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

	"anvilshunt/core/anviladmit"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

const (
	// attemptTimeout bounds one attempt of a call. It leaves enough time for a
	// commit, which takes a few tens of milliseconds. On a connection that no
	// longer responds, one attempt is lost.
	attemptTimeout = 600 * time.Millisecond
	// roundPause is the delay after an attempt at every known voter has failed.
	// An election takes about a second.
	roundPause = 60 * time.Millisecond
	// monitorInterval is how often an instance checks that it can reach the
	// leader when it forwards no calls.
	monitorInterval = 700 * time.Millisecond
	// connectedTimeout is how long, after a leader has answered a call, this
	// instance is considered connected to the leader.
	connectedTimeout = 2500 * anvilclock.Millisecond
	// recentContact is how long after its latest answer a leader is sent a change
	// without being asked again whether it leads.
	recentContact = 150 * anvilclock.Millisecond
	// disconnectedTimeouts is the number of consecutive timed-out attempts after
	// which this instance is considered disconnected from the voters.
	disconnectedTimeouts = 2
	// relaysPerRound is the maximum number of relays that are tried in one round
	// of attempts.
	relaysPerRound = 2
	// minRetryAfter and maxRetryAfter bound the retry delay that RetryAfter gives
	// to callers.
	minRetryAfter = anvilclock.Second
	maxRetryAfter = 4 * anvilclock.Second
)

// Errors of Forwarder.Call.
var (
	// ErrNotSent means that the call had no effect: every voter that may have
	// received it has answered that it is not the leader, or none has received it.
	ErrNotSent = errors.New("no leader was found in time; retry later")
	// ErrUnanswered means that a voter may have carried out the call.
	ErrUnanswered = errors.New("the leader did not answer in time")
)

// Forwarder finds the leader and forwards calls to it.
type Forwarder struct {
	clock anvilclock.Clock
	log   *anvillogs.Logger
	// failures writes the lines about calls that fail.
	failures *failureLog
	// pacing decides when the calls of callers are sent.
	pacing *pacing
	dial   func(anvilid.InstanceID) anvilrpc.Fleet
	seeds  func() []anvilid.InstanceID
	// self is the id of this instance if other instances may use it as a relay, and
	// otherwise empty.
	self anvilid.InstanceID

	mu                  sync.Mutex
	probableLeader      anvilid.InstanceID                       // tried first; empty if not known
	lastLeader          anvilid.InstanceID                       // leader that answered the last successful call
	voters              []anvilid.InstanceID                     // as the latest redirection named them
	failedAt            map[anvilid.InstanceID]anvilclock.Millis // when candidates that have not answered since failed
	relays              []anvilid.InstanceID                     // other instances that can relay calls
	clients             map[anvilid.InstanceID]anvilrpc.Fleet
	lastContact         anvilclock.Millis // when a leader last answered a call
	consecutiveTimeouts int               // attempts that timed out since a voter last responded
	leaderChanged       chan struct{}     // closed and replaced when a leader other than lastLeader answers
}

// Option configures a Forwarder.
type Option func(*Forwarder)

// WithRelays makes a forwarder use other instances as relays while it cannot reach
// the voters, and offers this instance, self, as a relay to the others.
func WithRelays(self anvilid.InstanceID) Option { return func(f *Forwarder) { f.self = self } }

// New returns a forwarder. The seeds function returns the voters that the
// settings name at present, and dial returns a client for one instance.
func New(clock anvilclock.Clock, log *anvillogs.Logger, seeds func() []anvilid.InstanceID, dial func(anvilid.InstanceID) anvilrpc.Fleet, opts ...Option) *Forwarder {
	f := &Forwarder{
		clock: clock, log: log, failures: newFailureLog(clock, log), pacing: newPacing(clock, log), dial: dial, seeds: seeds,
		clients: map[anvilid.InstanceID]anvilrpc.Fleet{}, failedAt: map[anvilid.InstanceID]anvilclock.Millis{}, lastContact: -connectedTimeout, leaderChanged: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Attempt sends a call to one instance and reports the reply. done is set if the
// call has got its final answer. Otherwise the instance was not the leader and
// redirection names the leader and voters that it knows, or redirection is nil and
// the outcome of the call is unknown.
type Attempt func(context.Context, anvilrpc.Fleet) (redirection *anvilrpc.Redirection, done bool, err error)

// Call makes attempts at the voters and relays until one gets a final answer or ctx
// ends. When ctx ends, it returns ErrNotSent or ErrUnanswered. It returns ErrNotSent
// without waiting for the end of ctx if neither the voters nor the relays respond.
func (f *Forwarder) Call(ctx context.Context, attempt Attempt) error {
	return f.forward(ctx, newCall(f, false, attempt))
}

func (f *Forwarder) forward(ctx context.Context, c *call) error {
	for {
		done, sent := c.tryRoundInTurn(ctx)
		if done {
			return nil
		}
		if !sent || ctx.Err() != nil || !c.maybeExecuted && f.shouldFailFast() {
			return c.failure()
		}
		select {
		case <-ctx.Done():
			return c.failure()
		case <-time.After(roundPause):
		}
	}
}

// CallVoters is like Call but never uses relays. Relays forward calls with it, so
// that they do not forward calls to each other.
func (f *Forwarder) CallVoters(ctx context.Context, attempt Attempt) error {
	return f.forwardToVoters(ctx, newCall(f, false, attempt))
}

func (f *Forwarder) forwardToVoters(ctx context.Context, c *call) error {
	c.relaysTried = true
	for ctx.Err() == nil {
		if c.tryVoters(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(roundPause):
		}
	}
	return c.failure()
}

// call is the state of one Call or CallVoters in progress.
type call struct {
	*Forwarder
	attempt Attempt
	// probes means that a voter must have answered lately before it is sent an attempt, see answeredLately.
	probes bool
	// maybeExecuted is set once a voter may have carried out an attempt whose
	// answer did not arrive.
	maybeExecuted bool
	// relaysTried is set if the relays have already been tried in this round, or if
	// relays must not be used.
	relaysTried bool
	// turn is the call's place in the queue of the calls of callers, or nil if the call doesn't wait for its turn.
	turn *anviladmit.Call
}

func newCall(f *Forwarder, probes bool, attempt Attempt) *call {
	return &call{Forwarder: f, probes: probes, attempt: attempt}
}

func (c *call) failure() error {
	if c.maybeExecuted {
		return ErrUnanswered
	}
	return ErrNotSent
}

// tryRoundInTurn makes a round of attempts when it is the call's turn. sent is false if ctx has ended before.
func (c *call) tryRoundInTurn(ctx context.Context) (done, sent bool) {
	if c.turn == nil {
		return c.tryRound(ctx), true
	}
	if !c.pacing.await(ctx, c.turn) {
		return false, false
	}
	done = c.tryRound(ctx)
	c.pacing.finish(c.turn, done || ctx.Err() != nil)
	return done, true
}

// tryRound makes one round of attempts. It tries the voters first, and the relays
// only if the voters do not respond. If the voters are already known not to respond,
// it tries the relays first.
func (c *call) tryRound(ctx context.Context) (done bool) {
	c.relaysTried = false
	return c.disconnected() && c.tryRelays(ctx) || c.tryVoters(ctx)
}

// tryVoters makes one attempt at each candidate voter until one gives a final
// answer. As soon as disconnectedTimeouts attempts in a row have timed out, it tries
// the relays too, unless they have been tried in this round.
func (c *call) tryVoters(ctx context.Context) (done bool) {
	for _, instance := range c.candidates() {
		done, unanswered := c.try(ctx, instance)
		c.maybeExecuted = c.maybeExecuted || unanswered
		if done || ctx.Err() != nil {
			return done
		}
		if c.disconnected() && !c.relaysTried && c.tryRelays(ctx) {
			return true
		}
	}
	return false
}

// tryRelays tries to send the call through other instances.
func (c *call) tryRelays(ctx context.Context) (done bool) {
	c.relaysTried = true
	for _, instance := range c.nextRelays() {
		done, unanswered := c.tryRelay(ctx, instance)
		c.maybeExecuted = c.maybeExecuted || unanswered
		if done || ctx.Err() != nil {
			return done
		}
	}
	return false
}

// try makes one attempt at an instance. If the instance answers that another one is
// the leader, try makes a second attempt there. unanswered is set if an instance may
// have carried out the call but its answer did not arrive.
func (c *call) try(ctx context.Context, instance anvilid.InstanceID) (done, unanswered bool) {
	for range 2 {
		var redirection *anvilrpc.Redirection
		var sent bool
		var err error
		leading := !c.probes || c.answeredLately(instance)
		if !leading {
			redirection, leading, _, err = c.record(ctx, instance, c.askLeading)
		}
		if leading && err == nil {
			redirection, done, sent, err = c.record(ctx, instance, c.attempt)
		}
		if err == nil {
			c.failures.voterAnswered(instance)
		}
		switch {
		case err != nil:
			c.demote(instance)
			c.failures.voterFailed(instance, sent, err)
			return false, sent
		case done:
			return true, false
		case redirection == nil:
			return false, leading
		}
		leader := anvilid.InstanceID(redirection.Leader)
		c.applyRedirection(redirection)
		if leader == "" || leader == instance {
			return false, false
		}
		instance = leader
	}
	return false, false
}

// record makes one attempt at a voter and records what it says about the voter.
func (c *call) record(ctx context.Context, instance anvilid.InstanceID, attempt Attempt) (redirection *anvilrpc.Redirection, done, sent bool, err error) {
	redirection, done, sent, err = c.attemptOnce(ctx, instance, attempt)
	if ctx.Err() == nil {
		c.recordResponse(instance, err)
	}
	if done && err == nil {
		c.recordLeader(instance, redirection)
	}
	return redirection, done, sent, err
}

// tryRelay makes one attempt through a relay. unanswered is set if the leader may
// have carried out the call but its answer did not arrive.
func (c *call) tryRelay(ctx context.Context, instance anvilid.InstanceID) (done, unanswered bool) {
	redirection, done, sent, err := c.Forwarder.attemptOnce(ctx, instance, c.attempt)
	c.log.Write(anvillogs.RelayTried, zap.String("relay", string(instance)), zap.Bool("done", done), zap.Bool("sent", sent), zap.Error(err))
	switch {
	case err != nil:
		c.removeRelay(instance)
		return false, sent
	case done:
		return true, false
	}
	return false, redirection == nil
}

// attemptOnce makes one attempt at an instance, bounded by attemptTimeout. The
// result sent reports whether the instance may have received the call.
func (f *Forwarder) attemptOnce(ctx context.Context, instance anvilid.InstanceID, attempt Attempt) (redirection *anvilrpc.Redirection, done, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	_, leaderChanged := f.watchLeader()
	go f.cancelOnLeaderChange(ctx, instance, leaderChanged, cancel)
	var dialing, connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { dialing.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	redirection, done, err = attempt(ctx, f.clientFor(instance))
	// If a connection was needed but not established, nothing was sent. A call to
	// a voter in this process needs no connection and counts as sent.
	sent = (connected.Load() || !dialing.Load()) && !dialFailed(err)
	return redirection, done, sent, err
}

// cancelOnLeaderChange cancels an attempt at an instance as soon as another
// instance has answered a call as the leader. Otherwise the attempt would wait
// for a leader that is frozen or disconnected, while later calls are already
// answered.
func (f *Forwarder) cancelOnLeaderChange(ctx context.Context, instance anvilid.InstanceID, leaderChanged <-chan struct{}, end func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-leaderChanged:
		}
		var leader anvilid.InstanceID
		leader, leaderChanged = f.watchLeader()
		if leader != instance {
			end()
			return
		}
	}
}

// Leader returns the instance that answered the last successful call as the leader, or an empty id.
func (f *Forwarder) Leader() anvilid.InstanceID {
	leader, _ := f.watchLeader()
	return leader
}

// watchLeader returns the leader that answered the last successful call, and a
// channel that is closed when another leader answers one.
func (f *Forwarder) watchLeader() (anvilid.InstanceID, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastLeader, f.leaderChanged
}

// dialFailed reports whether err means that no connection could be established.
func dialFailed(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
