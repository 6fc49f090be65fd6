package anvilgang

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilreport"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvillogs"
)

// leaseTarget is a target that carries out every call, and whose answers can be lost. It records until
// when the task lease of its only member lasts.
type leaseTarget struct {
	clock  anvilclock.Manual
	silent bool
	until  anvilclock.Millis
}

// testStart is the time at which the tests begin.
const testStart = 1000 * anvilclock.Millisecond

func newLeaseTarget() *leaseTarget {
	l := &leaseTarget{}
	l.clock.Advance(testStart)
	return l
}

var errLostAnswer = errors.New("the answer was lost")

func (l *leaseTarget) call(_ context.Context, _ anvilid.TargetID, verb string, _ Member, lease anvilclock.Millis) (anvilreport.Task, error) {
	if verb != string(Stop) {
		l.until = max(l.until, l.clock.Now()+lease)
	}
	if l.silent {
		return anvilreport.Task{}, errLostAnswer
	}
	return anvilreport.Task{}, nil
}

// TestLostRenewals guards against an owner that gives up a member, so that its job is started again
// elsewhere, while the target still has a lease from a renewal whose answer was lost.
func TestLostRenewals(t *testing.T) {
	target := newLeaseTarget()
	owner := NewOwner(target.clock.Clock(), anvillogs.Discard(), OwnerCalls{
		AdoptedSince: func(anvilid.TargetID) (anvilclock.Millis, bool) { return 0, true },
		CallTask:     target.call,
		Propose:      func(context.Context, *anvilstate.Command) (anvilstate.Result, error) { return anvilstate.Result{}, nil },
	})
	member := Member{Job: "j", Target: "t", Token: 1}
	assert.NilError(t, owner.Execute(context.Background(), Prepare, member))
	assert.NilError(t, owner.Execute(context.Background(), Start, member))
	target.silent = true
	for range 60 * 10 {
		target.clock.Advance(100)
		owner.checkMembers(context.Background())
		owner.awaitRenewals()
		if len(owner.managed) > 0 {
			continue
		}
		at := target.clock.Now()
		assert.Assert(t, at >= target.until, "given up at %d, but the target has a lease until %d", at, target.until)
		assert.Assert(t, at <= testStart+renewPeriod+TaskLease+2*leaseMargin, "given up only at %d", at)
		return
	}
	t.Fatal("the member was never given up")
}

// TestAnswersReturn guards against a lease that expires although the target answers again: the renewals
// that were sent meanwhile gave only the rest of the lease.
func TestAnswersReturn(t *testing.T) {
	target := newLeaseTarget()
	owner := NewOwner(target.clock.Clock(), anvillogs.Discard(), OwnerCalls{
		AdoptedSince: func(anvilid.TargetID) (anvilclock.Millis, bool) { return 0, true },
		CallTask:     target.call,
	})
	assert.NilError(t, owner.Execute(context.Background(), Start, Member{Job: "j", Target: "t", Token: 1}))
	for i := range 60 * 10 {
		target.silent = i > 60 && i < 150
		target.clock.Advance(100)
		owner.checkMembers(context.Background())
		owner.awaitRenewals()
		assert.Assert(t, target.until > target.clock.Now(), "the lease has expired after %d steps", i)
	}
	assert.Assert(t, target.until >= target.clock.Now()+TaskLease-renewPeriod-100)
}

// awaitRenewals waits until no renewal is in progress.
func (o *Owner) awaitRenewals() {
	for busy := true; busy; {
		o.mu.Lock()
		busy = false
		for _, known := range o.managed {
			busy = busy || known.renewing
		}
		o.mu.Unlock()
	}
}
