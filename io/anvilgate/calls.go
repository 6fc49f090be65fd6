package anvilgate

import (
	"context"

	"anvilshunt/io/anvilrpc"
)

// Job passes a call of a caller to the leader.
func (g *Forwarder) Job(ctx context.Context, call *anvilrpc.JobCall) (*anvilrpc.JobReply, error) {
	return g.job(ctx, call, g.Call)
}

func (g *Forwarder) job(ctx context.Context, call *anvilrpc.JobCall, pass func(context.Context, Attempt) error) (*anvilrpc.JobReply, error) {
	var reply *anvilrpc.JobReply
	err := pass(ctx, func(ctx context.Context, fleet anvilrpc.Fleet) (*anvilrpc.Redirection, bool, error) {
		var err error
		reply, err = fleet.Job(ctx, call)
		if err != nil {
			return nil, false, err
		}
		// A change in doubt is asked for again: it is idempotent.
		return reply.Redirection, reply.Code != anvilrpc.JobCode_JOB_CODE_UNSPECIFIED && reply.Code != anvilrpc.JobCode_JOB_CODE_UNKNOWN, nil
	})
	return reply, err
}

// Configure passes a change or a read of the configuration to the leader.
func (g *Forwarder) Configure(ctx context.Context, call *anvilrpc.ConfigureCall) (*anvilrpc.ConfigureReply, error) {
	return untilDone(ctx, g, call, anvilrpc.Fleet.Configure)
}

// Announce passes what a target says of itself to the leader.
func (g *Forwarder) Announce(ctx context.Context, call *anvilrpc.AnnounceCall) (*anvilrpc.AnnounceReply, error) {
	return untilDone(ctx, g, call, anvilrpc.Fleet.Announce)
}

// Wave passes a call about a wave to the leader.
func (g *Forwarder) Wave(ctx context.Context, call *anvilrpc.WaveCall) (*anvilrpc.WaveReply, error) {
	return untilDone(ctx, g, call, anvilrpc.Fleet.Wave)
}

// reply is an answer that tells whether the leader did what was asked.
type reply interface {
	GetRedirection() *anvilrpc.Redirection
	GetDone() bool
}

// untilDone repeats an idempotent call until the leader has done it.
func untilDone[C any, R reply](ctx context.Context, g *Forwarder, call C, ask func(anvilrpc.Fleet, context.Context, C) (R, error)) (R, error) {
	var answer R
	err := g.Call(ctx, func(ctx context.Context, fleet anvilrpc.Fleet) (*anvilrpc.Redirection, bool, error) {
		var err error
		answer, err = ask(fleet, ctx, call)
		if err != nil {
			return nil, false, err
		}
		return answer.GetRedirection(), answer.GetDone(), nil
	})
	return answer, err
}
