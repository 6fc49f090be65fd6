package anvilrelay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
)

var errNoLeader = errors.New("no leader")

// fakeLeader takes the calls of one relay, whose instance is "relay".
type fakeLeader struct {
	t      *testing.T
	clock  anvilclock.Manual
	leader anvilid.InstanceID
	// holder is the instance that the answers to single announcements name.
	holder anvilid.InstanceID
	// holders are the instances that the answers to lists name.
	holders []string
	err     error
	delay   time.Duration

	mu       sync.Mutex
	singles  []anvilwork.Target
	batched  []anvilwork.Keepalive
	calls    int
	inFlight int
	most     int
}

func newRelay(t *testing.T) (*Relay, *fakeLeader) {
	l := &fakeLeader{t: t, leader: "leader", holder: "relay"}
	l.clock.Advance(1000)
	return New(l.clock.Clock(), anvillogs.Discard(), "relay", func() anvilid.InstanceID { return l.leader }, l.send), l
}

func (l *fakeLeader) send(_ context.Context, message func() (*anvilrpc.AnnounceCall, error)) (*anvilrpc.AnnounceReply, error) {
	call, err := message()
	assert.NilError(l.t, err)
	l.mu.Lock()
	l.inFlight++
	l.most = max(l.most, l.inFlight)
	l.mu.Unlock()
	time.Sleep(l.delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if l.err != nil {
		return nil, l.err
	}
	l.calls++
	announced, single, err := anvilwork.DecodeAnnouncements(call.Target)
	assert.NilError(l.t, err)
	if !single {
		l.batched = append(l.batched, announced...)
		return &anvilrpc.AnnounceReply{Done: true, Holders: l.holders}, nil
	}
	l.singles = append(l.singles, announced[0].Target)
	return &anvilrpc.AnnounceReply{Done: true, Leader: string(l.holder)}, nil
}

func target(n int, sequence uint64) anvilwork.Target {
	return anvilwork.Target{
		ID: anvilid.TargetID(fmt.Sprintf("t%d", n)), Incarnation: 7, Sequence: sequence, Service: "s", Labels: []string{"a", "r1"},
		Resources: anvilwork.Resources{CPU: 32000, Memory: 65536, GPU: 8},
	}
}

func announce(t *testing.T, r *Relay, target anvilwork.Target) anvilid.InstanceID {
	t.Helper()
	holder, err := r.Announce(t.Context(), target)
	assert.NilError(t, err)
	return holder
}

// TestUnchangedAnnouncements answers the load of hundreds of targets that announce themselves over and over. It guards
// against a call of the leader for each announcement, and against one that is acknowledged and never passed on.
func TestUnchangedAnnouncements(t *testing.T) {
	const targets, rounds = 700, 10
	r, l := newRelay(t)
	for sequence := range uint64(rounds) {
		for n := range targets {
			assert.Equal(t, announce(t, r, target(n, sequence+1)), anvilid.InstanceID("relay"))
		}
		r.flush(t.Context())
		l.clock.Advance(1500)
	}
	assert.Equal(t, len(l.singles), targets, "the first announcements")
	assert.Equal(t, len(l.batched), targets*(rounds-1))
	assert.Equal(t, l.calls, targets+rounds-1)
}

// TestChangesArePassedOn guards against a notice to leave, or another change, that is acknowledged before it is in force,
// or that an earlier announcement of the same target overtakes.
func TestChangesArePassedOn(t *testing.T) {
	changes := map[string]func(*anvilwork.Target){
		"leaving":     func(t *anvilwork.Target) { t.Leaving = true },
		"capacity":    func(t *anvilwork.Target) { t.Resources.GPU = 4 },
		"incarnation": func(t *anvilwork.Target) { t.Incarnation++ },
		"labels":      func(t *anvilwork.Target) { t.Labels = []string{"b", "r1"} },
		"address":     func(t *anvilwork.Target) { t.Address = "10.0.0.9:80" },
		"repetition":  func(t *anvilwork.Target) { t.Sequence = 2 },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			r, l := newRelay(t)
			announce(t, r, target(1, 1))
			announce(t, r, target(1, 2))
			assert.Equal(t, len(l.singles), 1, "the second one is acknowledged here")
			changed := target(1, 3)
			change(&changed)
			announce(t, r, changed)
			assert.Equal(t, len(l.singles), 2)
			assert.DeepEqual(t, l.singles[1], changed)
			r.flush(t.Context())
			assert.Equal(t, len(l.batched), 0, "the earlier announcement isn't passed on after it")
			changed.Sequence += 5
			announce(t, r, changed)
			assert.Equal(t, len(l.singles) == 3, changed.Leaving, "each notice to leave is passed on")
		})
	}
}

// TestDeparture guards against a target that has ended and is kept alive by an announcement that waits.
func TestDeparture(t *testing.T) {
	r, l := newRelay(t)
	announce(t, r, target(1, 1))
	announce(t, r, target(1, 2))
	assert.NilError(t, r.Depart(t.Context(), "t1"))
	r.flush(t.Context())
	assert.Equal(t, len(l.batched), 0)
}

// TestLostLeader guards against a relay that is cut off from the leader and goes on acknowledging, so that its targets
// don't turn to an instance that reaches the leader.
func TestLostLeader(t *testing.T) {
	r, l := newRelay(t)
	announce(t, r, target(1, 1))
	l.err = errNoLeader
	announce(t, r, target(1, 2))
	r.flush(t.Context())
	l.clock.Advance(maxUndelivered + 1)
	_, err := r.Announce(t.Context(), target(1, 3))
	assert.ErrorIs(t, err, errNoLeader)
	l.err = nil
	announce(t, r, target(1, 4))
	assert.Equal(t, len(l.singles), 2, "the leader acknowledges it first")
	r.flush(t.Context())
	announce(t, r, target(1, 5))
	r.flush(t.Context())
	assert.Equal(t, len(l.singles), 2)
	assert.Equal(t, l.batched[len(l.batched)-1].Target.Sequence, uint64(5))
}

// TestAge guards against an announcement that counts as new at the leader, although it has waited at a relay that was
// suspended or had no leader.
func TestAge(t *testing.T) {
	r, l := newRelay(t)
	announce(t, r, target(1, 1))
	announce(t, r, target(1, 2))
	l.err = errNoLeader
	r.flush(t.Context())
	l.clock.Advance(4000)
	l.err = nil
	r.flush(t.Context())
	assert.Equal(t, l.batched[0].Age, anvilclock.Millis(4000))
}

// TestOtherHolder guards against a relay that acknowledges for a leader which holds the target itself, has sent it
// elsewhere, or is this instance by now, and against one that never asks the leader again.
func TestOtherHolder(t *testing.T) {
	r, l := newRelay(t)
	l.holder = "leader"
	assert.Equal(t, announce(t, r, target(1, 1)), anvilid.InstanceID("leader"))
	announce(t, r, target(1, 2))
	assert.Equal(t, len(l.singles), 2)
	l.holder, l.leader = "relay", "relay"
	announce(t, r, target(1, 3))
	announce(t, r, target(1, 4))
	assert.Equal(t, len(l.singles), 4, "this instance leads and holds all targets")
	l.leader = "leader"
	announce(t, r, target(1, 5))
	announce(t, r, target(1, 6))
	assert.Equal(t, len(l.singles), 5)
	l.clock.Advance(maxAcknowledged + 1)
	l.holder = "other"
	r.flush(t.Context())
	assert.Equal(t, announce(t, r, target(1, 7)), anvilid.InstanceID("other"))
}

// TestManyFirstAnnouncements answers the load of all targets that announce themselves for the first time within a second.
// It guards against a connection to the leader for each of them, and against targets that all stay where they first called.
func TestManyFirstAnnouncements(t *testing.T) {
	const targets = 1500
	r, l := newRelay(t)
	l.delay, l.holders = 5*time.Millisecond, []string{"relay", "other"}
	var senders sync.WaitGroup
	var here atomic.Int64
	for n := range targets {
		senders.Go(func() {
			holder, err := r.Announce(t.Context(), target(n, 1))
			assert.Check(t, err)
			if holder == "relay" {
				here.Add(1)
			}
		})
	}
	senders.Wait()
	assert.Equal(t, len(l.singles)+len(l.batched), targets)
	assert.Assert(t, l.most <= maxPassing, "%d calls were in flight", l.most)
	assert.Assert(t, l.calls < targets/4, "%d calls", l.calls)
	assert.Assert(t, here.Load() > targets*2/5 && here.Load() < targets*3/5, "%d targets stay with the relay that all of them called", here.Load())
	assert.Equal(t, len(r.held), int(here.Load()))
}

// TestFailedBatch guards against targets that get an acknowledgement although the leader has not answered.
func TestFailedBatch(t *testing.T) {
	r, l := newRelay(t)
	l.delay, l.err = 5*time.Millisecond, errNoLeader
	var senders sync.WaitGroup
	for n := range 3 * maxPassing {
		senders.Go(func() {
			_, err := r.Announce(t.Context(), target(n, 1))
			assert.Check(t, errors.Is(err, errNoLeader))
		})
	}
	senders.Wait()
	assert.Equal(t, len(r.held), 0)
}
