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
// themselves. All other calls are answered with an empty redirection.
type Relay struct{ gate *Gate }

// NewRelay returns the relay of an instance.
func NewRelay(gate *Gate) *Relay { return &Relay{gate: gate} }

// Job passes a call on. An empty redirection means that no voter has received
// it.
func (r *Relay) Job(ctx context.Context, call *anvilrpc.JobCall) (*anvilrpc.JobReply, error) {
	if r.gate.cutOff() {
		return &anvilrpc.JobReply{Redirection: &anvilrpc.Redirection{}}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := r.gate.job(ctx, call, r.gate.CallVoters)
	switch {
	case errors.Is(err, ErrNotSent):
		return &anvilrpc.JobReply{Redirection: &anvilrpc.Redirection{}}, nil
	case err != nil:
		return &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_UNKNOWN, Detail: err.Error()}, nil
	}
	reply.Redirection = nil // it names the leader, which is of no use to the caller
	return reply, nil
}

// Configure is not passed on: operators turn to voters.
func (r *Relay) Configure(context.Context, *anvilrpc.ConfigureCall) (*anvilrpc.ConfigureReply, error) {
	return &anvilrpc.ConfigureReply{Redirection: &anvilrpc.Redirection{}}, nil
}

// Wave is not passed on: operators turn to voters.
func (r *Relay) Wave(context.Context, *anvilrpc.WaveCall) (*anvilrpc.WaveReply, error) {
	return &anvilrpc.WaveReply{Redirection: &anvilrpc.Redirection{}}, nil
}

// Announce is not passed on: targets turn to voters.
func (r *Relay) Announce(context.Context, *anvilrpc.AnnounceCall) (*anvilrpc.AnnounceReply, error) {
	return &anvilrpc.AnnounceReply{Redirection: &anvilrpc.Redirection{}}, nil
}

// Locate tells that this instance doesn't lead.
func (r *Relay) Locate(context.Context, *anvilrpc.LocateCall) (*anvilrpc.LocateReply, error) {
	return &anvilrpc.LocateReply{Redirection: &anvilrpc.Redirection{}}, nil
}

// Join is not passed on: voters know each other.
func (r *Relay) Join(context.Context, *anvilrpc.JoinCall) (*anvilrpc.JoinReply, error) {
	return &anvilrpc.JoinReply{Redirection: &anvilrpc.Redirection{}}, nil
}
