package anvilgate

import (
	"context"

	"anvilshunt/io/anvilrpc"
)

// NoLeader is the Fleet service of an instance that is not the leader and knows
// no leader. It answers each call with an empty redirection, which means that the
// call was not carried out and that the caller has to find the leader elsewhere.
type NoLeader struct{}

var _ anvilrpc.Fleet = NoLeader{}

// Locate reports that no leader is known.
func (NoLeader) Locate(context.Context, *anvilrpc.LocateCall) (*anvilrpc.LocateReply, error) {
	return &anvilrpc.LocateReply{Redirection: &anvilrpc.Redirection{}}, nil
}

// Join rejects the request of a voter to join the group.
func (NoLeader) Join(context.Context, *anvilrpc.JoinCall) (*anvilrpc.JoinReply, error) {
	return &anvilrpc.JoinReply{Redirection: &anvilrpc.Redirection{}}, nil
}

// Job rejects the call about a job.
func (NoLeader) Job(context.Context, *anvilrpc.JobCall) (*anvilrpc.JobReply, error) {
	return &anvilrpc.JobReply{Redirection: &anvilrpc.Redirection{}}, nil
}

// Configure rejects the configuration.
func (NoLeader) Configure(context.Context, *anvilrpc.ConfigureCall) (*anvilrpc.ConfigureReply, error) {
	return &anvilrpc.ConfigureReply{Redirection: &anvilrpc.Redirection{}}, nil
}

// Wave rejects the maintenance wave.
func (NoLeader) Wave(context.Context, *anvilrpc.WaveCall) (*anvilrpc.WaveReply, error) {
	return &anvilrpc.WaveReply{Redirection: &anvilrpc.Redirection{}}, nil
}

// Evacuate rejects the call about the evacuation of a zone.
func (NoLeader) Evacuate(context.Context, *anvilrpc.EvacuateCall) (*anvilrpc.EvacuateReply, error) {
	return &anvilrpc.EvacuateReply{Redirection: &anvilrpc.Redirection{}}, nil
}

// Announce rejects the announcement.
func (NoLeader) Announce(context.Context, *anvilrpc.AnnounceCall) (*anvilrpc.AnnounceReply, error) {
	return &anvilrpc.AnnounceReply{Redirection: &anvilrpc.Redirection{}}, nil
}
