package anvilgate

import (
	"context"
	"time"

	"anvilshunt/io/anvilrpc"
)

// abandonedAfter is how long an order to evacuate a zone, or to end that, waits before it is forwarded. The server
// notices in this time that the operator has closed the connection. A process that was suspended, or cut off, reads
// orders long after the operator has given them up and has sent them to another instance; such an order must not take
// effect after a later one that revokes it.
const abandonedAfter = 25 * time.Millisecond

// Evacuate forwards a call about the evacuation of a zone to the leader. It sends nothing if ctx, the context of the
// operator's request, ends within abandonedAfter.
func (f *Forwarder) Evacuate(ctx context.Context, call *anvilrpc.EvacuateCall) (*anvilrpc.EvacuateReply, error) {
	if call.Zone != "" && !stays(ctx, abandonedAfter) {
		return nil, ErrNotSent
	}
	return untilDone(ctx, f, call, anvilrpc.Fleet.Evacuate)
}

// stays reports whether a context doesn't end within a time.
func stays(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return ctx.Err() == nil
	}
}
