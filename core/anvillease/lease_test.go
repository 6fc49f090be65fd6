package anvillease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvillease"
)

// Guards against a holder that treats its lease as valid after the granter treats it as
// expired, and so may have assigned the holder's targets to another instance. Clocks run at
// rates that are up to 1% off, messages are delayed, and the holder is frozen at random.
func TestLeaseExpiresAtHolderFirst(t *testing.T) {
	const span = 900
	session := anvillease.Session{Instance: "a", Incarnation: 1}
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			// Local clocks show the true time multiplied by a rate between 0.99 and 1.01.
			holderRate, granterRate := 99+random.IntN(3), 99+random.IntN(3)
			local := func(at anvilclock.Millis, rate int) anvilclock.Millis { return at * anvilclock.Millis(rate) / 100 }
			granter := anvillease.NewGranter(span)
			holder := anvillease.Holder{}
			granter.Join(local(0, granterRate), session)
			now := anvilclock.Millis(0)
			for range 200 {
				sent := now
				answered := sent + anvilclock.Millis(random.IntN(400))
				lease, ok := granter.Renew(local(answered, granterRate), session, 0)
				assert.Assert(t, ok)
				now = answered + anvilclock.Millis(random.IntN(400))
				holder.Granted(local(sent, holderRate), lease)
				for probe := now; probe < now+1500; probe += 7 {
					expired := len(granter.Expired(local(probe, granterRate))) > 0
					valid := holder.Valid(local(probe, holderRate))
					if expired && valid {
						t.Fatalf("the granter expired the lease while its holder is valid at %d", probe)
					}
				}
				now += anvilclock.Millis(random.IntN(1200))
			}
		})
	}
}

// Guards against reporting a change as in force while an instance that hasn't applied it
// may still admit requests, and against waiting for a frozen instance longer than its
// lease.
func TestInForceWaitsForEachLease(t *testing.T) {
	granter := anvillease.NewGranter(900)
	a, b := anvillease.Session{Instance: "a", Incarnation: 1}, anvillease.Session{Instance: "b", Incarnation: 1}
	granter.StartTerm(0, []anvillease.Session{a, b})
	granter.Renew(10, a, 7)
	granter.Renew(10, b, 6)
	assert.Assert(t, !granter.InForce(20, 7), "b has not applied index 7")
	granter.Renew(400, a, 7)
	assert.Assert(t, !granter.InForce(900, 7), "the lease of b runs until 929")
	assert.Assert(t, granter.InForce(929, 7), "only a holds a lease")
	assert.DeepEqual(t, granter.Expired(929), []anvillease.Session{b})
}

// Guards against a new leader that expires sessions to which the former leader has just
// granted leases.
func TestNewLeaderWaitsOneLease(t *testing.T) {
	granter := anvillease.NewGranter(900)
	granter.StartTerm(5000, []anvillease.Session{{Instance: "a", Incarnation: 3}})
	assert.Equal(t, len(granter.Expired(5900)), 0)
	assert.Assert(t, !granter.InForce(5900, 1))
	assert.Equal(t, len(granter.Expired(5919)), 1)
}

// Guards against an earlier session of an instance that renews its lease while the next
// session joins, and against a delayed join of an earlier session that ends the lease of a
// later one.
func TestSupersededRunCannotRenew(t *testing.T) {
	granter := anvillease.NewGranter(900)
	run := func(incarnation anvilid.Incarnation) anvillease.Session {
		return anvillease.Session{Instance: "a", Incarnation: incarnation}
	}
	granter.Join(0, run(2))
	assert.Assert(t, !granter.Supersede(1, run(1)), "a late join")
	_, ok := granter.Renew(1, run(2), 0)
	assert.Assert(t, ok)
	assert.Assert(t, granter.Supersede(2, run(3)), "run 2 may hold its lease until 920")
	_, ok = granter.Renew(3, run(2), 0)
	assert.Assert(t, !ok)
	assert.Assert(t, !granter.Supersede(920, run(3)))
}
