package anvilgate

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// slowLeader is a fake voter that begins to lead when elected is closed. It answers one job call after the other.
type slowLeader struct {
	anvilrpc.Fleet
	elected chan struct{}
	working sync.Mutex // held during the work on a call

	mu       sync.Mutex
	searches int
	sent     map[anvilrpc.JobAction]int
}

func (s *slowLeader) Locate(context.Context, *anvilrpc.LocateCall) (*anvilrpc.LocateReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.elected:
		return &anvilrpc.LocateReply{Leading: true, Redirection: &anvilrpc.Redirection{Leader: "a"}}, nil
	default:
		s.searches++
		return &anvilrpc.LocateReply{Redirection: &anvilrpc.Redirection{}}, nil
	}
}

func (s *slowLeader) Job(ctx context.Context, call *anvilrpc.JobCall) (*anvilrpc.JobReply, error) {
	select {
	case <-s.elected:
	default:
		return &anvilrpc.JobReply{Redirection: &anvilrpc.Redirection{}}, nil
	}
	s.mu.Lock()
	s.sent[call.Action]++
	s.mu.Unlock()
	s.working.Lock()
	defer s.working.Unlock()
	time.Sleep(10 * time.Millisecond)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return &anvilrpc.JobReply{Code: anvilrpc.JobCode_JOB_CODE_DONE}, nil
}

// TestReturnAfterOutage guards against what happens if the calls that were held during an outage of all voters are sent at once: the
// leader can't answer them within the timeout of an attempt, they are sent again, and callers are told that the outcome is
// unknown. It also guards against a search of each of these calls on its own.
func TestReturnAfterOutage(t *testing.T) {
	leader := &slowLeader{elected: make(chan struct{}), sent: map[anvilrpc.JobAction]int{}}
	f := New(anvilclock.Monotonic(), anvillogs.Discard(),
		func() []anvilid.InstanceID { return []anvilid.InstanceID{"a"} },
		func(anvilid.InstanceID) anvilrpc.Fleet { return leader })
	const calls = 120
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	errs := make(chan error, calls)
	for range calls {
		go func() {
			_, err := f.Job(ctx, &anvilrpc.JobCall{Action: anvilrpc.JobAction_JOB_ACTION_SUBMIT})
			errs <- err
		}()
	}
	time.Sleep(500 * time.Millisecond)
	leader.mu.Lock()
	close(leader.elected)
	// Without pacing, 120 calls make about 1,000 searches in this time.
	searches := leader.searches
	leader.mu.Unlock()
	assert.Assert(t, searches <= 60, "%d searches", searches)
	for range calls {
		assert.NilError(t, <-errs)
	}
	assert.Equal(t, leader.sent[anvilrpc.JobAction_JOB_ACTION_SUBMIT], calls)
}

// TestHeldCallEndsInTime guards against a caller that is told that the outcome is unknown, or that waits longer than it can, if
// its call was held until its deadline.
func TestHeldCallEndsInTime(t *testing.T) {
	leader := &slowLeader{elected: make(chan struct{}), sent: map[anvilrpc.JobAction]int{}}
	f := New(anvilclock.Monotonic(), anvillogs.Discard(),
		func() []anvilid.InstanceID { return []anvilid.InstanceID{"a"} },
		func(anvilid.InstanceID) anvilrpc.Fleet { return leader })
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	errs := make(chan error, 50)
	for range cap(errs) {
		go func() {
			_, err := f.Job(ctx, &anvilrpc.JobCall{Action: anvilrpc.JobAction_JOB_ACTION_SUBMIT})
			errs <- err
		}()
	}
	for range cap(errs) {
		assert.ErrorIs(t, <-errs, ErrNotSent)
	}
	assert.Equal(t, f.pacing.pacer.Waiting(), 0)
}
