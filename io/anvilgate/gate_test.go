package anvilgate

import (
	"context"
	"errors"
	"net"
	"net/http"
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
	// job is the answer of a relay.
	job *anvilrpc.JobReply
}

func (v *voter) Job(context.Context, *anvilrpc.JobCall) (*anvilrpc.JobReply, error) {
	v.calls++
	return v.job, nil
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
func newGate(voters map[anvilid.InstanceID]*voter) *Forwarder {
	return New(anvilclock.Monotonic(), anvillogs.Discard(),
		func() []anvilid.InstanceID { return []anvilid.InstanceID{"a"} },
		func(instance anvilid.InstanceID) anvilrpc.Fleet { return voters[instance] })
}

func (g *Forwarder) locateOnce(span time.Duration) error {
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

// unreachable is a voter whose connections are never made.
func unreachable() anvilrpc.Fleet {
	return anvilrpc.NewFleetProtobufClient("http://voter", &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	}})
}

// submitOnce hands a job in and returns the answer and how long it took.
func submitOnce(g *Forwarder) (*anvilrpc.JobReply, time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reply, err := g.Job(ctx, &anvilrpc.JobCall{Action: anvilrpc.JobAction_JOB_ACTION_SUBMIT})
	return reply, time.Since(began), err
}

// cutGate is the gate of an instance "self" that no voter reacts to.
func cutGate(relays map[anvilid.InstanceID]*voter) *Forwarder {
	g := New(anvilclock.Monotonic(), anvillogs.Discard(),
		func() []anvilid.InstanceID { return []anvilid.InstanceID{"a", "b", "c"} },
		func(instance anvilid.InstanceID) anvilrpc.Fleet {
			if relay := relays[instance]; relay != nil {
				return relay
			}
			return unreachable()
		}, WithRelays("self"))
	g.learnRelays([]string{"self", "r"})
	return g
}

// TestRelay guards against callers that are left without an answer at an
// instance that is cut off from the voters while others of its zone aren't.
func TestRelay(t *testing.T) {
	relay := &voter{job: &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_DONE}}
	g := cutGate(map[anvilid.InstanceID]*voter{"r": relay})
	reply, _, err := submitOnce(g)
	assert.NilError(t, err)
	assert.Equal(t, reply.Code, anvilrpc.JobCode_JOB_CODE_DONE)
	// Once the cut is known, the relay is asked first.
	_, took, err := submitOnce(g)
	assert.NilError(t, err)
	assert.Assert(t, took < attemptTimeout, took)
	assert.Equal(t, relay.calls, 2)
	assert.Assert(t, !g.Connected(), "the voters themselves can't be reached")
}

// TestHopelessCall guards against holding a caller to its deadline, with an
// answer that leaves in doubt what certainly was not sent: connections that
// were never made, to voters that don't react, and a relay that is cut off too.
func TestHopelessCall(t *testing.T) {
	relay := &voter{job: &anvilrpc.JobReply{Redirection: &anvilrpc.Redirection{}}}
	g := cutGate(map[anvilid.InstanceID]*voter{"r": relay})
	_, took, err := submitOnce(g)
	assert.ErrorIs(t, err, ErrNotSent)
	assert.Assert(t, took < 4*attemptTimeout, took)
	assert.Equal(t, g.RetryAfter(), maxRetry, "no voter was ever reached")
}

// TestRelayIsCutOff guards against relays that pass calls on among each other,
// and against a refusal in doubt from a relay that reaches nobody.
func TestRelayIsCutOff(t *testing.T) {
	other := &voter{job: &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_DONE}}
	relay := NewRelay(cutGate(map[anvilid.InstanceID]*voter{"r": other}))
	for range 2 {
		reply, err := relay.Job(context.Background(), &anvilrpc.JobCall{})
		assert.NilError(t, err)
		assert.Assert(t, reply.Redirection != nil)
		assert.Equal(t, reply.Code, anvilrpc.JobCode_JOB_CODE_UNSPECIFIED)
	}
	assert.Equal(t, other.calls, 0)
}

// TestLeaderMoves guards against a call that waits for a frozen leader while
// calls that came after it are answered by the next one: an answer that is
// held for so long may show a newer configuration than theirs.
func TestLeaderMoves(t *testing.T) {
	first := make(chan struct{}, 1)
	frozen := &voter{locate: func(ctx context.Context) (*anvilrpc.LocateReply, error) {
		first <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	next := &voter{locate: leads}
	voters := map[anvilid.InstanceID]*voter{"a": frozen, "b": next}
	g := New(anvilclock.Monotonic(), anvillogs.Discard(),
		func() []anvilid.InstanceID { return []anvilid.InstanceID{"a", "b"} },
		func(instance anvilid.InstanceID) anvilrpc.Fleet { return voters[instance] })
	held := make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		assert.Check(t, g.locateOnce(5*time.Second))
		held <- time.Since(began)
	}()
	<-first
	g.learn(&anvilrpc.Redirection{Leader: "b"}) // as another call has learnt
	assert.NilError(t, g.locateOnce(5*time.Second))
	assert.Assert(t, <-held < attemptTimeout/2)
}
