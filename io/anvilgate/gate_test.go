package anvilgate

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// voter is a stand-in for a voter.
type voter struct {
	anvilrpc.Fleet
	locate func(context.Context) (*anvilrpc.LocateReply, error)
	calls  int
}

func (v *voter) Locate(ctx context.Context, _ *anvilrpc.LocateCall) (*anvilrpc.LocateReply, error) {
	v.calls++
	return v.locate(ctx)
}

func leads(context.Context) (*anvilrpc.LocateReply, error) {
	return &anvilrpc.LocateReply{Leading: true}, nil
}

func follows(leader anvilid.InstanceID) func(context.Context) (*anvilrpc.LocateReply, error) {
	return func(context.Context) (*anvilrpc.LocateReply, error) {
		return &anvilrpc.LocateReply{Redirection: &anvilrpc.Redirection{Leader: string(leader), Voters: []string{"a", "b", "c"}}}, nil
	}
}

func silent(ctx context.Context) (*anvilrpc.LocateReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func refuses(context.Context) (*anvilrpc.LocateReply, error) {
	return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
}

// newGate returns a gate that knows voter a from its settings.
func newGate(voters map[anvilid.InstanceID]*voter) *Gate {
	return New(anvilclock.Monotonic(), anvillogs.Discard(),
		func() []anvilid.InstanceID { return []anvilid.InstanceID{"a"} },
		func(instance anvilid.InstanceID) anvilrpc.Fleet { return voters[instance] })
}

func (g *Gate) locateOnce(span time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	return g.Call(ctx, func(ctx context.Context, fleet anvilrpc.Fleet) (*anvilrpc.Redirection, bool, error) {
		reply, err := fleet.Locate(ctx, nil)
		if err != nil {
			return nil, false, err
		}
		return reply.Redirection, reply.Leading, nil
	})
}

// TestFindsLeader guards against calls that stay with a voter that doesn't
// lead, and against asking for the leader again each time.
func TestFindsLeader(t *testing.T) {
	voters := map[anvilid.InstanceID]*voter{"a": {locate: follows("b")}, "b": {locate: leads}, "c": {locate: follows("b")}}
	g := newGate(voters)
	assert.Assert(t, !g.Connected())
	for range 3 {
		assert.NilError(t, g.locateOnce(time.Second))
	}
	assert.Assert(t, g.Connected())
	assert.Equal(t, voters["a"].calls, 1)
	assert.Equal(t, voters["b"].calls, 3)
}

// TestSeedsAreGone guards against instances that know only the voters of their
// settings: these may be replaced one after the other.
func TestSeedsAreGone(t *testing.T) {
	voters := map[anvilid.InstanceID]*voter{"a": {locate: follows("b")}, "b": {locate: leads}, "c": {locate: follows("b")}}
	g := newGate(voters)
	assert.NilError(t, g.locateOnce(time.Second))
	voters["a"].locate, voters["b"].locate, voters["c"].locate = refuses, refuses, leads
	assert.NilError(t, g.locateOnce(time.Second))
}

// TestRefusalIsTrue guards against telling a caller that its job was not taken
// when a voter may have taken it.
func TestRefusalIsTrue(t *testing.T) {
	for _, c := range []struct {
		name   string
		locate func(context.Context) (*anvilrpc.LocateReply, error)
		want   error
	}{
		{"no voter can be reached", refuses, ErrNotSent},
		{"no voter leads", follows(""), ErrNotSent},
		{"the voter is silent", silent, ErrUnanswered},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &voter{locate: c.locate}
			g := newGate(map[anvilid.InstanceID]*voter{"a": v, "b": v, "c": v})
			assert.ErrorIs(t, g.locateOnce(200*time.Millisecond), c.want)
		})
	}
}
