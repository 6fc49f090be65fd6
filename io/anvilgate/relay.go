package anvilgate

import (
	"context"
	"errors"
	"time"

	"anvilshunt/io/anvilrpc"
)

// relayTimeout bounds a call that a relay forwards for another instance. It is
// shorter than the attemptTimeout of the calling instance, so that the relay's reply
// arrives there in time.
const relayTimeout = attemptTimeout - 100*time.Millisecond

// Relay forwards job calls for instances that cannot reach the voters
// themselves. It rejects all other calls, because operators, targets and voters
// call the voters directly.
type Relay struct {
	NoLeader
	forwarder *Forwarder
}

// NewRelay returns the relay of an instance.
func NewRelay(forwarder *Forwarder) *Relay { return &Relay{forwarder: forwarder} }

// Job forwards a call to the leader. An empty redirection in the reply means
// that no voter has received the call.
func (r *Relay) Job(ctx context.Context, call *anvilrpc.JobCall) (*anvilrpc.JobReply, error) {
	if r.forwarder.disconnected() {
		return r.NoLeader.Job(ctx, call)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := r.forwarder.job(ctx, call, r.forwarder.forwardToVoters)
	switch {
	case errors.Is(err, ErrNotSent):
		return r.NoLeader.Job(ctx, call)
	case err != nil:
		return &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_UNKNOWN, Detail: err.Error()}, nil
	}
	reply.Redirection = nil // useless to the calling instance, which cannot reach the named leader
	return reply, nil
}
