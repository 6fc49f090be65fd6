package anvillead

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilorder"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvilconn"
	"anvilshunt/io/anvilgroup"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

const (
	loadTargets    = 4
	loadCallers    = 4
	loadJobs       = 60 // of each caller
	loadListsOfRun = 3  // in which a run is at work before it ends
)

// loadTarget is a target whose runs end after loadListsOfRun lists.
type loadTarget struct {
	mu    sync.Mutex
	lists map[anvilwork.Task]int
	ends  []anvilwork.RunEnd
}

func (t *loadTarget) answer(target anvilwork.Target) anvilorder.Answer {
	now := anvilclock.Boot().Now()
	return anvilorder.Answer{Target: target.ID, Incarnation: target.Incarnation, AnsweredBy: target.Incarnation, Sent: now, Received: now, Clock: anvilorder.TargetClock(now)}
}

func (t *loadTarget) start(order anvilorder.Start) anvilorder.StartAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lists[order.Task] = 0
	return anvilorder.StartAnswer{Answer: t.answer(order.Target), Order: order, Verdict: anvilorder.StartAccepted}
}

func (t *loadTarget) poll(order anvilorder.Poll) anvilorder.PollAnswer {
	time.Sleep(time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := anvilorder.PollAnswer{Answer: t.answer(order.Target), Order: order, Done: true, Complete: true}
	for task, lists := range t.lists {
		if lists == loadListsOfRun {
			delete(t.lists, task)
			t.ends = append(t.ends, anvilwork.RunEnd{Number: uint64(len(t.ends) + 1), Task: task, Run: 1, Outcome: anvilwork.RunDone})
			continue
		}
		t.lists[task]++
		answer.Running = append(answer.Running, anvilorder.Running{Task: task, Run: 1, Percent: 30 * lists})
	}
	answer.Ended = append(answer.Ended, t.ends[min(order.Cursor, uint64(len(t.ends))):]...)
	return answer
}

// newLoadedLeader returns a running leader, the only voter of its group, with targets.
func newLoadedLeader(t *testing.T) *Leader {
	targets := map[anvilid.TargetID]*loadTarget{}
	for i := range loadTargets {
		targets[anvilid.TargetID(fmt.Sprint("t", i))] = &loadTarget{lists: map[anvilwork.Task]int{}}
	}
	calls := OutboundCalls{
		Start: func(_ context.Context, o anvilorder.Start) anvilorder.StartAnswer {
			return targets[o.Target.ID].start(o)
		},
		Poll: func(_ context.Context, o anvilorder.Poll) anvilorder.PollAnswer { return targets[o.Target.ID].poll(o) },
		Stop: func(_ context.Context, o anvilorder.Stop) anvilorder.StopAnswer {
			return anvilorder.StopAnswer{Answer: targets[o.Target.ID].answer(o.Target), Order: o, Done: true}
		},
		Ignored: func() uint64 { return 0 },
	}
	l := New(anvilclock.Boot(), anvilclock.Wall(), anvillogs.Discard(), calls, Bounds{
		Orders:           anvilorder.Timing{MaxLease: 6000, PollWait: 1000, RetryInterval: 50},
		AnnounceInterval: 60 * anvilclock.Second, Connections: anvilconn.Budget{Inbound: 100, Polls: 8, Stops: 8, UrgentStarts: 8, Starts: 8}, KeepApart: true,
	})
	group, err := anvilgroup.Open(anvilgroup.Settings{
		Instance: "127.0.0.1", Dir: t.TempDir(), FirstStart: true, Voters: 1,
		Seeds:           func() []anvilid.InstanceID { return []anvilid.InstanceID{"127.0.0.1"} },
		ElectionTimeout: 200, Heartbeat: 50,
	}, l.clock, l.wallClock, nil, l.log, l.StateMachine())
	assert.NilError(t, err)
	l.Attach(group)
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { _ = l.Run(ctx) })
	loops.Go(func() { _ = group.Voter.Run(ctx) })
	t.Cleanup(func() { cancel(); loops.Wait() })
	poll.WaitOn(t, func(poll.LogT) poll.Result { return when(l.leading(), "leading") }, poll.WithTimeout(time.Minute))
	commands := []anvilwork.Command{{Configure: &anvilwork.Config{
		Version: 1, Services: []anvilwork.Service{{Name: "s"}},
		Queues: []anvilwork.Queue{{Name: "q", Host: "h", Prefix: "/", AllowAnonymous: true, Policy: anvilwork.QueuePolicy{Service: "s", Attempts: 3}}},
	}}}
	for id := range targets {
		commands = append(commands, anvilwork.Command{Announce: &anvilwork.Announce{Target: anvilwork.Target{
			ID: id, Incarnation: 1, Service: "s", Address: anvilid.Address(id + ":1"), Zone: "z", Resources: anvilwork.Resources{GPU: 8},
		}}})
	}
	_, err = l.commit(ctx, commands...)
	assert.NilError(t, err)
	return l
}

func when(done bool, state string) poll.Result {
	if done {
		return poll.Success()
	}
	return poll.Continue("not yet %s", state)
}

// TestJobLoad guards, under the race detector, against a leader that ends with "concurrent map read and map write" while
// jobs arrive in a burst: one of its goroutines read the replicated state without the lock under which entries are applied.
func TestJobLoad(t *testing.T) {
	l := newLoadedLeader(t)
	spec, err := cbor.Marshal(anvilwork.Spec{Steps: []anvilwork.Step{{Count: 1, Need: anvilwork.Resources{GPU: 1}, Estimate: 1000}}})
	assert.NilError(t, err)
	call := func(action anvilrpc.JobAction, path string) *anvilrpc.JobReply {
		reply, err := l.Job(t.Context(), &anvilrpc.JobCall{Action: action, Host: "h", Path: path, Spec: spec})
		assert.Check(t, err)
		return reply
	}
	var callers sync.WaitGroup
	for caller := range loadCallers {
		callers.Go(func() {
			for i := range loadJobs {
				reply := call(anvilrpc.JobAction_JOB_ACTION_SUBMIT, fmt.Sprintf("/j%d-%d", caller, i))
				assert.Check(t, reply.Code == anvilrpc.JobCode_JOB_CODE_DONE, "%v", reply)
			}
		})
	}
	callers.Wait()
	for caller := range loadCallers {
		for i := range loadJobs {
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				reply := call(anvilrpc.JobAction_JOB_ACTION_SHOW, fmt.Sprintf("/j%d-%d", caller, i))
				return when(reply.Phase == anvilwork.JobDone.String(), "done: "+reply.Phase)
			}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
		}
	}
}
