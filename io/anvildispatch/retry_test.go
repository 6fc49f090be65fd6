package anvildispatch_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilrequest"
	"anvilshunt/core/anvilslot"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvildispatch"
	"anvilshunt/io/anvillogs"
)

// TestRefusedRetryAfterRun guards against a request that has run and whose caller is told that it has not: its outcome was
// unknown, or it failed, and the retry found no slot before the deadline, as after the death of the owner of a target
// under load. Its id was forgotten as well, so that a resend ran it again.
func TestRefusedRetryAfterRun(t *testing.T) {
	for name, first := range map[string]anvilrequest.Answer{
		"unknown": anvilrequest.UnknownOutcome(anvilrequest.CodeLostAnswer, "the peer was lost"),
		"failed":  {Outcome: anvilrequest.Done, Status: 500},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := anvilclock.Monotonic()
			slots, runs := 1, 0
			account, service := &anvilconfig.Account{Services: []anvilid.ServiceName{"s"}}, &anvilconfig.Service{}
			yes := func(anvilid.ServiceName) bool { return true }
			d := anvildispatch.New(anvildispatch.Self{Instance: "i", Incarnation: 1}, clock, anvillogs.Discard(), anvildispatch.Directory{
				Account: func(anvilid.AccountID) *anvilconfig.Account { return account },
				Service: func(anvilid.ServiceName) *anvilconfig.Service { return service }, Instances: func() []anvilstate.Instance { return nil },
				HasTarget: yes, HasLocalTarget: yes, Leased: func() bool { return true },
			}, anvildispatch.Fleet{
				Acquire: func(anvilid.ServiceName) (anvilslot.Lease, bool) {
					slots--
					return anvilslot.Lease{}, slots >= 0
				},
				Probe:   func(lease anvilslot.Lease, _ anvilid.ServiceName) anvilslot.Lease { return lease },
				Release: func(anvilslot.Lease) {},
				Dispatch: func(context.Context, anvilslot.Lease, *anvilrequest.Request, anvilid.Token) anvilrequest.Answer {
					runs++
					return first
				},
			})
			answer := d.Run(&anvilrequest.Request{
				Key: anvilrequest.Key{Account: "c", Service: "s", ID: "r"}, Repeatable: true, Deadline: clock.Now() + 200,
			})
			assert.Equal(t, runs, 1)
			assert.Equal(t, answer.Outcome, first.Outcome, "%v", answer)
			assert.Equal(t, answer.Status, first.Status)
		})
	}
}
