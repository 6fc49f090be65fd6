package anvilgate

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvilrpc"
)

func (v *voter) Evacuate(ctx context.Context, call *anvilrpc.EvacuateCall) (*anvilrpc.EvacuateReply, error) {
	v.calls++
	return v.evacuate(ctx, call)
}

// TestOrderIsResent guards against an order that counts as failed because the leader was lost between storing and
// answering it: the next leader acknowledges the same order again.
func TestOrderIsResent(t *testing.T) {
	stored := map[string]bool{}
	lost := &voter{evacuate: func(_ context.Context, call *anvilrpc.EvacuateCall) (*anvilrpc.EvacuateReply, error) {
		stored[call.Zone] = true
		return nil, errors.New("connection reset")
	}, locate: refuses}
	next := &voter{evacuate: func(_ context.Context, call *anvilrpc.EvacuateCall) (*anvilrpc.EvacuateReply, error) {
		return &anvilrpc.EvacuateReply{Done: stored[call.Zone]}, nil
	}}
	f := newForwarder(map[anvilid.InstanceID]*voter{"a": lost, "b": next})
	f.seeds = func() []anvilid.InstanceID { return []anvilid.InstanceID{"a", "b"} }
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := f.Evacuate(ctx, &anvilrpc.EvacuateCall{Zone: "z"})
	assert.NilError(t, err)
	assert.Equal(t, next.calls, 1)
}

// TestAbandonedOrder guards against an order that is forwarded although the operator has closed the connection.
func TestAbandonedOrder(t *testing.T) {
	leader := &voter{evacuate: func(context.Context, *anvilrpc.EvacuateCall) (*anvilrpc.EvacuateReply, error) {
		return &anvilrpc.EvacuateReply{Done: true}, nil
	}}
	f := newForwarder(map[anvilid.InstanceID]*voter{"a": leader})
	ctx, cancel := context.WithTimeout(context.Background(), abandonedAfter/5)
	defer cancel()
	_, err := f.Evacuate(ctx, &anvilrpc.EvacuateCall{Zone: "z", End: true})
	assert.ErrorIs(t, err, ErrNotSent)
	assert.Equal(t, leader.calls, 0)
}
