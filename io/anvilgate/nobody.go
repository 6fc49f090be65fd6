package anvilgate

import (
	"context"

	"anvilshunt/io/anvilrpc"
)

// NoLeader is the Fleet service of an instance that doesn't lead and knows no
// leader. It answers each call with an empty redirection.
type NoLeader struct{}

var _ anvilrpc.Fleet = NoLeader{}

// Locate tells that nobody leads.
func (NoLeader) Locate(context.Context, *anvilrpc.LocateCall) (*anvilrpc.LocateReply, error) {
	return &anvilrpc.LocateReply{Redirection: &anvilrpc.Redirection{}}, nil
}

// Join gives no vote.
func (NoLeader) Join(context.Context, *anvilrpc.JoinCall) (*anvilrpc.JoinReply, error) {
	return &anvilrpc.JoinReply{Redirection: &anvilrpc.Redirection{}}, nil
}

// Job takes no call of a caller.
func (NoLeader) Job(context.Context, *anvilrpc.JobCall) (*anvilrpc.JobReply, error) {
	return &anvilrpc.JobReply{Redirection: &anvilrpc.Redirection{}}, nil
}

// Configure takes no configuration.
func (NoLeader) Configure(context.Context, *anvilrpc.ConfigureCall) (*anvilrpc.ConfigureReply, error) {
	return &anvilrpc.ConfigureReply{Redirection: &anvilrpc.Redirection{}}, nil
}

// Wave takes no wave.
func (NoLeader) Wave(context.Context, *anvilrpc.WaveCall) (*anvilrpc.WaveReply, error) {
	return &anvilrpc.WaveReply{Redirection: &anvilrpc.Redirection{}}, nil
}

// Announce takes no announcement.
func (NoLeader) Announce(context.Context, *anvilrpc.AnnounceCall) (*anvilrpc.AnnounceReply, error) {
	return &anvilrpc.AnnounceReply{Redirection: &anvilrpc.Redirection{}}, nil
}
