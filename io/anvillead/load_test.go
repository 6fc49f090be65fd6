package anvillead

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvilconn"
	"anvilshunt/io/anvilgroup"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

// loadTarget accepts all starts. Each run is in one list of running runs and has ended in the next.
type loadTarget struct {
	mu      sync.Mutex
	started []anvilorder.Start
	listed  int
}

func (t *loadTarget) answer() anvilorder.Answer {
	now := anvilclock.Boot().Now()
	return anvilorder.Answer{Target: "t", Incarnation: 1, Sent: now, Received: now, Clock: anvilorder.TargetClock(now)}
}

func (t *loadTarget) start(_ context.Context, order anvilorder.Start) anvilorder.StartAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started = append(t.started, order)
	return anvilorder.StartAnswer{Answer: t.answer(), Order: order, Verdict: anvilorder.StartAccepted}
}

func (t *loadTarget) poll(_ context.Context, order anvilorder.Poll) anvilorder.PollAnswer {
	time.Sleep(time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := anvilorder.PollAnswer{Answer: t.answer(), Order: order, Done: true, Complete: true}
	for i, run := range t.started {
		if i >= t.listed {
			answer.Running = append(answer.Running, anvilorder.Running{Task: run.Task, Run: run.Run})
		} else if number := uint64(i + 1); number > order.Cursor {
			answer.Ended = append(answer.Ended, anvilwork.RunEnd{Number: number, Task: run.Task, Run: run.Run, Outcome: anvilwork.RunDone})
		}
	}
	t.listed = len(t.started)
	return answer
}

// newLoadedLeader returns a running leader, the only voter of its group, with a queue and a target.
func newLoadedLeader(t *testing.T) *Leader {
	target := &loadTarget{}
	calls := OutboundCalls{Start: target.start, Poll: target.poll, Ignored: func() uint64 { return 0 }}
	l := New(anvilclock.Boot(), anvilclock.Wall(), anvillogs.Discard(), calls, Bounds{
		Orders:           anvilorder.Timing{MaxLease: 6000, PollWait: 1000, RetryInterval: 50},
		AnnounceInterval: anvilclock.Minute, Connections: anvilconn.Budget{Inbound: 100, Polls: 8, Stops: 8, UrgentStarts: 8, Starts: 8},
	})
	group, err := anvilgroup.Open(anvilgroup.Settings{
		Instance: "127.0.0.1", Dir: t.TempDir(), FirstStart: true, Voters: 1, ElectionTimeout: 200, Heartbeat: 50,
		Seeds: func() []anvilid.InstanceID { return []anvilid.InstanceID{"127.0.0.1"} },
	}, l.clock, l.wallClock, nil, l.log, l.StateMachine())
	assert.NilError(t, err)
	l.Attach(group)
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { _ = l.Run(ctx) })
	loops.Go(func() { _ = group.Voter.Run(ctx) })
	t.Cleanup(func() { cancel(); loops.Wait() })
	for !l.leading() {
		time.Sleep(time.Millisecond)
	}
	_, err = l.commit(ctx, anvilwork.Command{Configure: &anvilwork.Config{
		Version: 1, Services: []anvilwork.Service{{Name: "s"}},
		Queues: []anvilwork.Queue{{Name: "q", Host: "h", Prefix: "/", AllowAnonymous: true, Policy: anvilwork.QueuePolicy{Service: "s", Attempts: 3}}},
	}})
	assert.NilError(t, err)
	return l
}

// TestJobLoad guards, under the race detector, against a leader that ends with "concurrent map read and map write" while
// jobs arrive in a burst: one of its goroutines read the replicated state without the lock under which entries are applied.
func TestJobLoad(t *testing.T) {
	const callers, jobs = 4, 150
	l := newLoadedLeader(t)
	job := func(action anvilrpc.JobAction, path string) *anvilrpc.JobReply {
		spec, _ := cbor.Marshal(anvilwork.Spec{Steps: []anvilwork.Step{{Count: 1, Estimate: 1000}}})
		reply, err := l.Job(t.Context(), &anvilrpc.JobCall{Action: action, Host: "h", Path: path, Spec: spec})
		assert.Check(t, err == nil && reply.Code == anvilrpc.JobCode_JOB_CODE_DONE, "%v: %v", err, reply)
		return reply
	}
	var calls sync.WaitGroup
	for caller := range callers {
		calls.Go(func() {
			for i := range jobs {
				job(anvilrpc.JobAction_JOB_ACTION_SUBMIT, fmt.Sprintf("/j%d-%d", caller, i))
				target, _ := cbor.Marshal(anvilwork.Target{ID: "t", Incarnation: 1, Service: "s", Address: "127.0.0.1:1", Sequence: uint64(i + 1)})
				_, err := l.Announce(t.Context(), &anvilrpc.AnnounceCall{Target: target})
				assert.Check(t, err)
				_, err = l.Evacuate(t.Context(), &anvilrpc.EvacuateCall{})
				assert.Check(t, err)
			}
		})
	}
	calls.Wait()
	for i := range callers * jobs {
		path := fmt.Sprintf("/j%d-%d", i/jobs, i%jobs)
		for job(anvilrpc.JobAction_JOB_ACTION_SHOW, path).Phase != anvilwork.JobDone.String() {
			time.Sleep(time.Millisecond)
		}
	}
}
