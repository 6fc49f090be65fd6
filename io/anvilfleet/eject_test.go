package anvilfleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilhealth"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
	"anvilshunt/core/anvilrequest"
	"anvilshunt/core/anvilslot"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvilfleet"
	"anvilshunt/io/anvillogs"
)

// group is the replicated state of two instances, each with a fleet that learns of its changes.
type group struct {
	t      *testing.T
	clock  anvilclock.Clock
	fleets map[anvilid.InstanceID]*anvilfleet.Fleet

	mu    sync.Mutex
	state *anvilstate.Machine
}

// server is a target. It counts its requests, and fails them once failing is set.
type server struct {
	*httptest.Server
	id      anvilid.TargetID
	failing atomic.Bool
	runs    atomic.Int64
}

func newServer(t *testing.T, id string) *server {
	s := &server{id: anvilid.TargetID(id)}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "adopt") {
			var call struct{ Epoch anvilid.Epoch }
			assert.Check(t, json.NewDecoder(r.Body).Decode(&call))
			assert.Check(t, json.NewEncoder(w).Encode(anvilreport.Report{
				Target: s.id, Incarnation: 1, Address: s.address(), Service: "s", Slots: 8, Connections: 64, Epoch: call.Epoch,
			}))
			return
		}
		s.runs.Add(1)
		w.Header().Set(anvilfleet.HeaderID, r.Header.Get(anvilfleet.HeaderID))
		w.Header().Set(anvilfleet.HeaderToken, r.Header.Get(anvilfleet.HeaderToken))
		w.Header().Set("Content-Length", "0")
		if s.failing.Load() {
			w.WriteHeader(http.StatusInternalServerError)
		}
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *server) address() anvilid.Address {
	return anvilid.Address(strings.TrimPrefix(s.URL, "http://"))
}

func newGroup(t *testing.T, targets ...*server) *group {
	g := &group{t: t, clock: anvilclock.Monotonic(), state: anvilstate.New(), fleets: map[anvilid.InstanceID]*anvilfleet.Fleet{}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for _, id := range []anvilid.InstanceID{"a", "b"} {
		g.fleets[id] = anvilfleet.New(id, g.clock, anvillogs.Discard(), 1, anvilfleet.WithPropose(g.propose))
	}
	for id := range g.fleets {
		running.Go(func() { assert.Check(t, g.fleets[id].Run(ctx)) })
		g.apply(anvilstate.Command{Join: &anvilstate.JoinInstance{Instance: anvilstate.Instance{ID: id, Incarnation: 1, Region: "r", Zone: "z"}}})
	}
	for _, target := range targets {
		g.apply(anvilstate.Command{Register: &anvilstate.RegisterTarget{Target: anvilstate.Target{
			ID: target.id, Incarnation: 1, Address: target.address(), Service: "s", Region: "r", Zone: "z", Slots: 8, Connections: 64,
		}}})
	}
	return g
}

func (g *group) propose(_ context.Context, command *anvilstate.Command) (anvilstate.Result, error) {
	return g.apply(*command), nil
}

// apply applies a command and passes the targets on to the fleets.
func (g *group) apply(command anvilstate.Command) anvilstate.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	result := g.state.Apply(g.state.Index()+1, g.clock.Now(), command)
	for _, target := range g.state.Targets() {
		for _, fleet := range g.fleets {
			fleet.UpdateTarget(target)
		}
	}
	return result
}

func (g *group) owner(id anvilid.TargetID) anvilid.InstanceID {
	g.mu.Lock()
	defer g.mu.Unlock()
	target, _ := g.state.Target(id)
	return target.Owner
}

// status returns the status of a target at its owner.
func (g *group) status(id anvilid.TargetID) anvilfleet.Status {
	if fleet, ok := g.fleets[g.owner(id)]; ok {
		for _, status := range fleet.Statuses() {
			if status.Target == id {
				return status
			}
		}
	}
	return anvilfleet.Status{}
}

func (g *group) eventually(what string, condition func() bool) {
	g.t.Helper()
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	g.t.Fatalf("not within the timeout: %s", what)
}

// send sends one request through an instance, if it has a free slot.
func (g *group) send(at anvilid.InstanceID, number int) {
	if lease, ok := g.fleets[at].Acquire("s"); ok {
		lease = g.fleets[at].Probe(lease, "s")
		g.fleets[at].Dispatch(context.Background(), lease, &anvilrequest.Request{
			Key: anvilrequest.Key{ID: anvilid.RequestID(fmt.Sprint(number)), Service: "s"}, Deadline: g.clock.Now() + 10*anvilclock.Second,
		}, anvilid.Token(number))
	}
}

// TestEjectionOutlivesOwner guards against an ejected target that gets requests again whenever another instance
// becomes its owner, because the new owner takes it for healthy.
func TestEjectionOutlivesOwner(t *testing.T) {
	targets := []*server{newServer(t, "t0"), newServer(t, "t1"), newServer(t, "t2"), newServer(t, "t3")}
	g := newGroup(t, targets...)
	allAdopted := func() bool {
		for _, target := range targets {
			if g.status(target.id).State != anvilslot.Adopted {
				return false
			}
		}
		return true
	}
	g.eventually("all targets are adopted", allAdopted)
	bad := targets[0]
	former := g.owner(bad.id)
	bad.failing.Store(true)
	number := 0
	g.eventually("the target is ejected", func() bool {
		number++
		g.send(former, number)
		return g.status(bad.id).Health == anvilhealth.Ejected
	})
	time.Sleep(100 * time.Millisecond) // the owner's time to tell of it
	g.apply(anvilstate.Command{Expire: &anvilstate.ExpireInstance{ID: former, Incarnation: 1}})
	g.eventually("the other instance has adopted all targets", func() bool { return g.owner(bad.id) != former && allAdopted() })
	assert.Check(t, g.status(bad.id).Health == anvilhealth.Ejected, "the new owner takes the target for %q", g.status(bad.id).Health)
	before := bad.runs.Load()
	for range 200 {
		number++
		g.send(g.owner(bad.id), number)
	}
	assert.Check(t, bad.runs.Load()-before <= 2, "the ejected target ran %d of 200 requests", bad.runs.Load()-before)

	bad.failing.Store(false)
	g.eventually("the target is back after probes", func() bool {
		number++
		g.send(g.owner(bad.id), number)
		return g.status(bad.id).Health != anvilhealth.Ejected
	})
}
