package anvilgate

import (
	"context"
	"errors"
	"time"

	"anvilshunt/io/anvilrpc"
)

// relayTimeout bounds a call that is passed on for another instance. It is
// below the time of that instance's attempt, so that it hears what became of
// the call.
const relayTimeout = attemptTimeout - 100*time.Millisecond

// Relay passes the job calls of instances on that can't reach the voters
// themselves. Operators, targets and voters turn to voters.
type Relay struct {
	NoLeader
	gate *Forwarder
}

// NewRelay returns the relay of an instance.
func NewRelay(gate *Forwarder) *Relay { return &Relay{gate: gate} }

// Job passes a call on. An empty redirection means that no voter has received
// it.
func (r *Relay) Job(ctx context.Context, call *anvilrpc.JobCall) (*anvilrpc.JobReply, error) {
	if r.gate.cutOff() {
		return r.NoLeader.Job(ctx, call)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := r.gate.job(ctx, call, r.gate.CallVoters)
	switch {
	case errors.Is(err, ErrNotSent):
		return r.NoLeader.Job(ctx, call)
	case err != nil:
		return &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_UNKNOWN, Detail: err.Error()}, nil
	}
	reply.Redirection = nil // it names the leader, which is of no use to the caller
	return reply, nil
}
