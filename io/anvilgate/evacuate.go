package anvilgate

import (
	"context"
	"time"

	"anvilshunt/io/anvilrpc"
)

// abandonedAfter is the time in which a server certainly notices that the sender of a request has closed the
// connection, if it closed it before the request was read.
const abandonedAfter = 25 * time.Millisecond

// IsAwaited reports whether the sender of a request still waits for the answer. It takes 25 ms. The argument ctx is the
// context of the request, which ends when its connection is closed.
//
// A process that was suspended, or behind a cut link, reads requests long after their senders have given them up and
// have sent them elsewhere. An order without a number or version must not take effect then, as a later one may have
// revoked it in the meantime.
func IsAwaited(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(abandonedAfter):
		return ctx.Err() == nil
	}
}

// Evacuate forwards a call about the evacuation of a zone to the leader. An order is sent only if it IsAwaited.
func (f *Forwarder) Evacuate(ctx context.Context, call *anvilrpc.EvacuateCall) (*anvilrpc.EvacuateReply, error) {
	if call.Zone != "" && !IsAwaited(ctx) {
		return nil, ErrNotSent
	}
	return untilDone(ctx, f, call, anvilrpc.Fleet.Evacuate)
}
