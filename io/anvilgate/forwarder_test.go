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

// voter is a fake voter, or a fake relay if job is set.
type voter struct {
	anvilrpc.Fleet
	locate   func(context.Context) (*anvilrpc.LocateReply, error)
	calls    int
	evacuate func(context.Context, *anvilrpc.EvacuateCall) (*anvilrpc.EvacuateReply, error)
	// job is the reply of a relay.
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

// newForwarder returns a forwarder whose settings name voter a only.
func newForwarder(voters map[anvilid.InstanceID]*voter) *Forwarder {
	return New(anvilclock.Monotonic(), anvillogs.Discard(),
		func() []anvilid.InstanceID { return []anvilid.InstanceID{"a"} },
		func(instance anvilid.InstanceID) anvilrpc.Fleet { return voters[instance] })
}

func (f *Forwarder) locateOnce(span time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	return f.Call(ctx, func(ctx context.Context, fleet anvilrpc.Fleet) (*anvilrpc.Redirection, bool, error) {
		reply, err := fleet.Locate(ctx, nil)
		if err != nil {
			return nil, false, err
		}
		return reply.Redirection, reply.Leading, nil
	})
}

// TestFindsLeader guards against calls that keep going to a voter that is not
// the leader, and against searching for the leader again on each call.
func TestFindsLeader(t *testing.T) {
	voters := map[anvilid.InstanceID]*voter{"a": {locate: follows("b")}, "b": {locate: leads}, "c": {locate: follows("b")}}
	f := newForwarder(voters)
	assert.Assert(t, !f.Connected())
	for range 3 {
		assert.NilError(t, f.locateOnce(time.Second))
	}
	assert.Assert(t, f.Connected())
	assert.Equal(t, voters["a"].calls, 1)
	assert.Equal(t, voters["b"].calls, 3)
}

// TestSeedsAreGone guards against instances that know only the voters named in
// their settings: these voters can be replaced one after the other.
func TestSeedsAreGone(t *testing.T) {
	voters := map[anvilid.InstanceID]*voter{"a": {locate: follows("b")}, "b": {locate: leads}, "c": {locate: follows("b")}}
	f := newForwarder(voters)
	assert.NilError(t, f.locateOnce(time.Second))
	voters["a"].locate, voters["b"].locate, voters["c"].locate = refuses, refuses, leads
	assert.NilError(t, f.locateOnce(time.Second))
}

// TestSilentVoters guards against calls that never reach the leader because each of them ends before it gets past two
// voters that don't answer: an instance that has got no answer yet began each call with the same two.
func TestSilentVoters(t *testing.T) {
	voters := map[anvilid.InstanceID]*voter{"a": {locate: silent}, "b": {locate: silent}, "c": {locate: leads}}
	f := New(anvilclock.Monotonic(), anvillogs.Discard(), func() []anvilid.InstanceID { return []anvilid.InstanceID{"a", "b", "c"} },
		func(instance anvilid.InstanceID) anvilrpc.Fleet { return voters[instance] })
	const span = attemptTimeout + attemptTimeout/2 // as a call of an operator
	assert.ErrorIs(t, f.locateOnce(span), ErrUnanswered)
	assert.NilError(t, f.locateOnce(span))
	assert.Equal(t, voters["a"].calls, 1)
	voters["a"].locate, voters["c"].locate = leads, silent
	assert.NilError(t, f.locateOnce(span))
}

// TestRefusalIsTrue guards against ErrNotSent, which tells a caller that its job was
// not accepted, although a voter may have accepted the job.
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
			f := newForwarder(map[anvilid.InstanceID]*voter{"a": v, "b": v, "c": v})
			assert.ErrorIs(t, f.locateOnce(200*time.Millisecond), c.want)
		})
	}
}

// unreachable returns a client that never establishes a connection to a voter: each
// attempt to connect hangs until the call ends.
func unreachable() anvilrpc.Fleet {
	return anvilrpc.NewFleetProtobufClient("http://voter", &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	}})
}

// submitOnce submits a job and returns the reply and how long it took.
func submitOnce(f *Forwarder) (*anvilrpc.JobReply, time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reply, err := f.Job(ctx, &anvilrpc.JobCall{Action: anvilrpc.JobAction_JOB_ACTION_SUBMIT})
	return reply, time.Since(began), err
}

// disconnectedForwarder returns the forwarder of an instance "self" that gets no
// response from any voter.
func disconnectedForwarder(relays map[anvilid.InstanceID]*voter) *Forwarder {
	f := New(anvilclock.Monotonic(), anvillogs.Discard(),
		func() []anvilid.InstanceID { return []anvilid.InstanceID{"a", "b", "c"} },
		func(instance anvilid.InstanceID) anvilrpc.Fleet {
			if relay := relays[instance]; relay != nil {
				return relay
			}
			return unreachable()
		}, WithRelays("self"))
	f.setRelays([]string{"self", "r"})
	return f
}

// TestRelay guards against unanswered callers at an instance that cannot reach
// the voters while other instances of its zone can.
func TestRelay(t *testing.T) {
	relay := &voter{job: &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_DONE}}
	f := disconnectedForwarder(map[anvilid.InstanceID]*voter{"r": relay})
	reply, _, err := submitOnce(f)
	assert.NilError(t, err)
	assert.Equal(t, reply.Code, anvilrpc.JobCode_JOB_CODE_DONE)
	// Once the instance knows that it is disconnected, it tries the relay first.
	_, took, err := submitOnce(f)
	assert.NilError(t, err)
	assert.Assert(t, took < attemptTimeout, took)
	assert.Equal(t, relay.calls, 2)
	assert.Assert(t, !f.Connected(), "the voters themselves can't be reached")
}

// TestHopelessCall guards against a call that keeps its caller waiting until the
// deadline and then reports an unknown outcome, although it was certainly not
// sent: no connection to a voter was established, and the relay is disconnected
// too.
func TestHopelessCall(t *testing.T) {
	relay := &voter{job: &anvilrpc.JobReply{Redirection: &anvilrpc.Redirection{}}}
	f := disconnectedForwarder(map[anvilid.InstanceID]*voter{"r": relay})
	_, took, err := submitOnce(f)
	assert.ErrorIs(t, err, ErrNotSent)
	assert.Assert(t, took < 4*attemptTimeout, took)
	assert.Equal(t, f.RetryAfter(), maxRetryAfter, "no voter was ever reached")
}

// TestRelayIsCutOff tests a relay that cannot reach the voters itself. It guards
// against relays that forward calls to each other, and against a relay that reports
// an unknown outcome although it reached no voter.
func TestRelayIsCutOff(t *testing.T) {
	other := &voter{job: &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_DONE}}
	relay := NewRelay(disconnectedForwarder(map[anvilid.InstanceID]*voter{"r": other}))
	for range 2 {
		reply, err := relay.Job(context.Background(), &anvilrpc.JobCall{})
		assert.NilError(t, err)
		assert.Assert(t, reply.Redirection != nil)
		assert.Equal(t, reply.Code, anvilrpc.JobCode_JOB_CODE_UNSPECIFIED)
	}
	assert.Equal(t, other.calls, 0)
}

// TestLeaderMoves guards against a call that waits for a frozen leader while
// later calls are answered by the next leader. An answer that is delayed for so
// long can show a newer configuration than the answers to these later calls.
func TestLeaderMoves(t *testing.T) {
	first := make(chan struct{}, 1)
	frozen := &voter{locate: func(ctx context.Context) (*anvilrpc.LocateReply, error) {
		first <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	next := &voter{locate: leads}
	voters := map[anvilid.InstanceID]*voter{"a": frozen, "b": next}
	f := New(anvilclock.Monotonic(), anvillogs.Discard(),
		func() []anvilid.InstanceID { return []anvilid.InstanceID{"a", "b"} },
		func(instance anvilid.InstanceID) anvilrpc.Fleet { return voters[instance] })
	held := make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		assert.Check(t, f.locateOnce(5*time.Second))
		held <- time.Since(began)
	}()
	<-first
	f.applyRedirection(&anvilrpc.Redirection{Leader: "b"}) // as if another call had learned it
	assert.NilError(t, f.locateOnce(5*time.Second))
	assert.Assert(t, <-held < attemptTimeout/2)
}

// TestSilentLeaderGetsNoChange guards against a submission that is lost at a leader without power, after
// which the caller is told that its job may have been accepted and can't be offered again elsewhere.
func TestSilentLeaderGetsNoChange(t *testing.T) {
	leader := &voter{locate: leads, job: &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_DONE}}
	f := newForwarder(map[anvilid.InstanceID]*voter{"a": leader})
	submit := func(action anvilrpc.JobAction) error {
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		_, err := f.Job(ctx, &anvilrpc.JobCall{Action: action})
		return err
	}
	assert.NilError(t, submit(anvilrpc.JobAction_JOB_ACTION_SUBMIT))
	assert.Equal(t, leader.calls, 2, "asked first, because nothing is known about it")
	assert.NilError(t, submit(anvilrpc.JobAction_JOB_ACTION_SUBMIT))
	assert.Equal(t, leader.calls, 3, "it has just answered")
	time.Sleep(2 * recentContact.Duration())
	leader.locate, leader.job = silent, nil
	assert.ErrorIs(t, submit(anvilrpc.JobAction_JOB_ACTION_SUBMIT), ErrNotSent)
}

// TestReadHasNoEffect guards against telling a caller that a request that only reads may have been carried
// out: it would not ask again.
func TestReadHasNoEffect(t *testing.T) {
	frozen := &voter{locate: leads}
	f := newForwarder(map[anvilid.InstanceID]*voter{"a": frozen})
	frozen.job = &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_UNKNOWN}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := f.Job(ctx, &anvilrpc.JobCall{Action: anvilrpc.JobAction_JOB_ACTION_SHOW})
	assert.ErrorIs(t, err, ErrNotSent)
}
