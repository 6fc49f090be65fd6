package anvilgate

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// candidates lists whom to ask: the leader, then all known voters.
func (g *Forwarder) candidates() []anvilid.InstanceID {
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

func (g *Forwarder) fleet(instance anvilid.InstanceID) anvilrpc.Fleet {
	g.mu.Lock()
	defer g.mu.Unlock()
	fleet := g.fleets[instance]
	if fleet == nil {
		fleet = g.dial(instance)
		g.fleets[instance] = fleet
	}
	return fleet
}

func (g *Forwarder) found(instance anvilid.InstanceID, redirection *anvilrpc.Redirection) {
	g.learn(redirection)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastLed != instance {
		close(g.moved)
		g.moved = make(chan struct{})
	}
	g.leader, g.lastLed, g.reached = instance, instance, g.clock.Now()
}

func (g *Forwarder) forget(instance anvilid.InstanceID) {
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

func (g *Forwarder) learn(redirection *anvilrpc.Redirection) {
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

// someRelays returns the relays to ask in one round, others each time.
func (g *Forwarder) someRelays() []anvilid.InstanceID {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.relays) == 0 {
		return nil
	}
	g.relays = append(g.relays[1:len(g.relays):len(g.relays)], g.relays[0])
	return slices.Clone(g.relays[:min(len(g.relays), relaysAsked)])
}

// dropRelay forgets a relay that didn't answer until a voter names it again.
func (g *Forwarder) dropRelay(instance anvilid.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relays = slices.DeleteFunc(slices.Clone(g.relays), func(other anvilid.InstanceID) bool { return other == instance })
}

// learnRelays keeps the other instances that pass calls on.
func (g *Forwarder) learnRelays(relays []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relays = g.relays[:0:0]
	for _, relay := range relays {
		if g.self != "" && anvilid.InstanceID(relay) != g.self {
			g.relays = append(g.relays, anvilid.InstanceID(relay))
		}
	}
}

// Connected tells whether a leader has answered within the last seconds.
func (g *Forwarder) Connected() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clock.Now()-g.reached < checkLimit
}

// Monitor keeps Connected up to date while no calls are made.
func (g *Forwarder) Monitor(ctx context.Context) error {
	for ctx.Err() == nil {
		g.locate(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(checkInterval):
		}
	}
	return nil
}

func (g *Forwarder) locate(ctx context.Context) {
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

// noteReaction follows whether the voters react at all. A refused connection
// is a reaction: the instance is there and its process starts again soon.
func (g *Forwarder) noteReaction(err error) {
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
func (g *Forwarder) cutOff() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silent >= silentLimit
}

// hopeless tells that neither voters nor relays have reacted for so long that
// waiting within the call is in vain.
func (g *Forwarder) hopeless() bool { return g.cutOff() && !g.Connected() }

// RetryAfter estimates when a caller should come back whose call was not sent: an
// outage that has lasted for a time is likely to last as long again.
func (g *Forwarder) RetryAfter() anvilclock.Millis {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(max(g.clock.Now()-g.reached, minRetry), maxRetry)
}
