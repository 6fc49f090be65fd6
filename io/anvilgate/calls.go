package anvilgate

import (
	"context"
	"errors"
	"math"
	"time"

	"anvilshunt/core/anviladmit"
	"anvilshunt/core/anvilclock"
	"anvilshunt/io/anvilrpc"
)

// Job forwards a call about a job to the leader. While none answers, and when one answers again, calls wait for their
// turn, see anviladmit.Pacer.
func (f *Forwarder) Job(ctx context.Context, request *anvilrpc.JobCall) (*anvilrpc.JobReply, error) {
	return f.job(ctx, request, func(ctx context.Context, c *call) error {
		c.turn = f.turnOf(ctx, request)
		return f.forward(ctx, c)
	})
}

func (f *Forwarder) turnOf(ctx context.Context, request *anvilrpc.JobCall) *anviladmit.Call {
	turn := &anviladmit.Call{Change: request.Action != anvilrpc.JobAction_JOB_ACTION_SHOW, Deadline: math.MaxInt64}
	if end, ok := ctx.Deadline(); ok {
		turn.Deadline = f.clock.Now() + anvilclock.Millis(time.Until(end).Milliseconds())
	}
	return turn
}

// job forwards a call about a job with the given function. A call that only reads has no effect, whether a
// voter has received it or not, so its error is always ErrNotSent.
func (f *Forwarder) job(ctx context.Context, request *anvilrpc.JobCall, forward func(context.Context, *call) error) (*anvilrpc.JobReply, error) {
	var reply *anvilrpc.JobReply
	readOnly := request.Action == anvilrpc.JobAction_JOB_ACTION_SHOW
	err := forward(ctx, newCall(f, !readOnly, func(ctx context.Context, fleet anvilrpc.Fleet) (*anvilrpc.Redirection, bool, error) {
		var err error
		reply, err = fleet.Job(ctx, request)
		if err != nil {
			return nil, false, err
		}
		// A change of a job with an unknown outcome is sent again, because it is idempotent.
		return reply.Redirection, reply.Code != anvilrpc.JobCode_JOB_CODE_UNSPECIFIED && reply.Code != anvilrpc.JobCode_JOB_CODE_UNKNOWN, nil
	}))
	if readOnly && errors.Is(err, ErrUnanswered) {
		err = ErrNotSent
	}
	return reply, err
}

// Configure forwards a change or a read of the configuration to the leader.
func (f *Forwarder) Configure(ctx context.Context, call *anvilrpc.ConfigureCall) (*anvilrpc.ConfigureReply, error) {
	return untilDone(ctx, f, call, anvilrpc.Fleet.Configure)
}

// Announce forwards announcements of targets to the leader. The message is called for each attempt, right before it is
// sent.
func (f *Forwarder) Announce(ctx context.Context, message func() (*anvilrpc.AnnounceCall, error)) (*anvilrpc.AnnounceReply, error) {
	var reply *anvilrpc.AnnounceReply
	err := f.Call(ctx, func(ctx context.Context, fleet anvilrpc.Fleet) (*anvilrpc.Redirection, bool, error) {
		call, err := message()
		if err != nil {
			return nil, false, err
		}
		if reply, err = fleet.Announce(ctx, call); err != nil {
			return nil, false, err
		}
		return reply.GetRedirection(), reply.GetDone(), nil
	})
	return reply, err
}

// Wave forwards a call about a maintenance wave to the leader.
func (f *Forwarder) Wave(ctx context.Context, call *anvilrpc.WaveCall) (*anvilrpc.WaveReply, error) {
	return untilDone(ctx, f, call, anvilrpc.Fleet.Wave)
}

// reply is the part that the replies of Configure, Announce, Wave and Evacuate have in common. It
// says whether the leader has carried out the call.
type reply interface {
	GetRedirection() *anvilrpc.Redirection
	GetDone() bool
}

// untilDone repeats an idempotent call until a reply says that the leader has carried it out, or
// ctx ends.
func untilDone[C any, R reply](ctx context.Context, f *Forwarder, call C, method func(anvilrpc.Fleet, context.Context, C) (R, error)) (R, error) {
	var answer R
	err := f.Call(ctx, func(ctx context.Context, fleet anvilrpc.Fleet) (*anvilrpc.Redirection, bool, error) {
		var err error
		answer, err = method(fleet, ctx, call)
		if err != nil {
			return nil, false, err
		}
		return answer.GetRedirection(), answer.GetDone(), nil
	})
	return answer, err
}
