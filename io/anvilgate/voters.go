package anvilgate

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"time"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilrpc"
)

// candidates returns the instances to try in order: the probable leader, then all known voters, of which those that
// have failed come last. A call may end before it gets past two voters that don't answer, and the next call must not
// begin with them again.
func (f *Forwarder) candidates() []anvilid.InstanceID {
	seeds := f.seeds()
	f.mu.Lock()
	defer f.mu.Unlock()
	var unique []anvilid.InstanceID
	for _, instance := range slices.Concat(f.voters, seeds) {
		if !slices.Contains(unique, instance) && instance != f.probableLeader {
			unique = append(unique, instance)
		}
	}
	maps.DeleteFunc(f.failedAt, func(instance anvilid.InstanceID, _ anvilclock.Millis) bool {
		return instance != f.probableLeader && !slices.Contains(unique, instance)
	})
	slices.SortStableFunc(unique, func(a, b anvilid.InstanceID) int { return cmp.Compare(f.failedAt[a], f.failedAt[b]) })
	if f.probableLeader != "" {
		unique = append([]anvilid.InstanceID{f.probableLeader}, unique...)
	}
	return unique
}

func (f *Forwarder) clientFor(instance anvilid.InstanceID) anvilrpc.Fleet {
	f.mu.Lock()
	defer f.mu.Unlock()
	client := f.clients[instance]
	if client == nil {
		client = f.dial(instance)
		f.clients[instance] = client
	}
	return client
}

func (f *Forwarder) recordLeader(instance anvilid.InstanceID, redirection *anvilrpc.Redirection) {
	f.applyRedirection(redirection)
	defer f.pacing.leaderAnswered()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastLeader != instance {
		close(f.leaderChanged)
		f.leaderChanged = make(chan struct{})
	}
	f.probableLeader, f.lastLeader, f.lastContact = instance, instance, f.clock.Now()
}

// demote makes an instance that has failed the last one to be tried, until it answers.
func (f *Forwarder) demote(instance anvilid.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.probableLeader == instance {
		f.probableLeader = ""
	}
	f.failedAt[instance] = f.clock.Now()
}

func (f *Forwarder) applyRedirection(redirection *anvilrpc.Redirection) {
	if redirection == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probableLeader = anvilid.InstanceID(redirection.Leader)
	if len(redirection.Voters) == 0 {
		return
	}
	f.voters = f.voters[:0:0]
	for _, voter := range redirection.Voters {
		f.voters = append(f.voters, anvilid.InstanceID(voter))
	}
}

// nextRelays returns the relays to try in one round. It rotates through the
// known relays.
func (f *Forwarder) nextRelays() []anvilid.InstanceID {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.relays) == 0 {
		return nil
	}
	f.relays = append(f.relays[1:len(f.relays):len(f.relays)], f.relays[0])
	return slices.Clone(f.relays[:min(len(f.relays), relaysPerRound)])
}

// removeRelay removes a relay that did not answer from the known relays. It is added
// again if the leader's next answer to Locate names it.
func (f *Forwarder) removeRelay(instance anvilid.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relays = slices.DeleteFunc(slices.Clone(f.relays), func(other anvilid.InstanceID) bool { return other == instance })
}

// setRelays replaces the known relays by those that the leader's answer to Locate
// names.
func (f *Forwarder) setRelays(relays []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relays = f.relays[:0:0]
	for _, relay := range relays {
		if f.self != "" && anvilid.InstanceID(relay) != f.self {
			f.relays = append(f.relays, anvilid.InstanceID(relay))
		}
	}
}

// Connected reports whether a leader has answered within connectedTimeout.
func (f *Forwarder) Connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now()-f.lastContact < connectedTimeout
}

// Monitor asks for the leader every monitorInterval until ctx ends, so that
// Connected is also accurate while no calls are forwarded.
func (f *Forwarder) Monitor(ctx context.Context) error {
	for ctx.Err() == nil {
		f.locateLeader(ctx)
		f.failures.flush()
		select {
		case <-ctx.Done():
		case <-time.After(monitorInterval):
		}
	}
	return nil
}

func (f *Forwarder) locateLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	f.failures.located(f.CallVoters(ctx, f.askLeading))
}

// LogFailure logs that a request of a caller could not be forwarded, with the error of the call. Of the requests that fail
// with the same error in one second, the first one gets a line, and the next line lists others. Monitor writes what is left.
func (f *Forwarder) LogFailure(method, path string, err error) {
	f.failures.requestFailed(method, path, err)
}

// askLeading is the attempt that asks a voter whether it is the leader. It has no effect.
func (f *Forwarder) askLeading(ctx context.Context, fleet anvilrpc.Fleet) (*anvilrpc.Redirection, bool, error) {
	reply, err := fleet.Locate(ctx, &anvilrpc.LocateCall{Instance: string(f.self)})
	if err != nil {
		return nil, false, err
	}
	if reply.Leading {
		f.setRelays(reply.Relays)
	}
	return reply.Redirection, reply.Leading, nil
}

// answeredLately reports whether an instance was the leader within recentContact. A call that changes
// something is sent only to such an instance: if the leader has lost power, the call would be lost on a
// connection that seems open, and the caller could not be told that it has no effect.
func (f *Forwarder) answeredLately(instance anvilid.InstanceID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastLeader == instance && f.clock.Now()-f.lastContact <= recentContact
}

// recordResponse counts consecutive attempts that timed out. A refused connection
// is a response: the instance is up, and its process restarts soon.
func (f *Forwarder) recordResponse(instance anvilid.InstanceID, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		delete(f.failedAt, instance)
	}
	var netErr net.Error
	if err != nil && (errors.Is(err, context.DeadlineExceeded) || errors.As(err, &netErr) && netErr.Timeout()) {
		f.consecutiveTimeouts++
		return
	}
	f.consecutiveTimeouts = 0
}

// disconnected reports whether no voter responds: the last disconnectedTimeouts
// attempts or more have timed out. If only one voter is frozen, the next one responds
// and resets the number of consecutive timeouts.
func (f *Forwarder) disconnected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.consecutiveTimeouts >= disconnectedTimeouts
}

// shouldFailFast reports whether the voters have not responded for so long that a
// call should fail now instead of waiting until its deadline.
func (f *Forwarder) shouldFailFast() bool { return f.disconnected() && !f.Connected() }

// RetryAfter estimates the retry delay for a caller whose call was not sent. An
// outage that has lasted for some time is likely to last as long again. The delays
// of many callers are spread.
func (f *Forwarder) RetryAfter() anvilclock.Millis {
	f.mu.Lock()
	outage := f.clock.Now() - f.lastContact
	f.mu.Unlock()
	return f.pacing.retryAfter(min(max(outage, minRetryAfter), maxRetryAfter))
}
