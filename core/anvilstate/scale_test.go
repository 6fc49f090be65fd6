package anvilstate

import (
	"bytes"
	"fmt"
	"testing"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a resent change that is refused or published a second time after many
// later changes and a restart, and against change ids that are not kept for their
// retention period.
func TestResendAfterManyChanges(t *testing.T) {
	m := New()
	index := anvilid.Index(0)
	apply := func(at anvilclock.Millis, command Command) Result {
		index++
		return m.Apply(index, at, command)
	}
	first := apply(0, accountChange(0, 0, 1, 1))
	assert.Equal(t, first.Code, "")
	refused := apply(0, accountChange(1, 0, 2, 1))
	assert.Equal(t, refused.Code, "stale_revision")
	// Two ids are in the table already, so these fill it to its limit of 10,000.
	for i := 2; i < 10_000; i++ {
		assert.Equal(t, apply(anvilclock.Millis(i), accountChange(i, m.Revision(), 1, 1+i)).Code, "")
	}
	data, err := m.Snapshot()
	assert.NilError(t, err)
	m, err = Restore(data)
	assert.NilError(t, err)
	assert.Equal(t, len(m.History()), 1000)
	assert.Equal(t, encoded(t, apply(10_000, accountChange(0, 0, 1, 1))), encoded(t, first))
	assert.Equal(t, encoded(t, apply(10_000, accountChange(1, 0, 2, 1))), encoded(t, refused))
	assert.Equal(t, apply(10_000, accountChange(0, 0, 1, 2)).Code, "id_reused")
	assert.Equal(t, m.Revision(), anvilid.Revision(9_999))

	// One more id evicts the first one. Its resend is still refused, because its base
	// revision is stale.
	assert.Equal(t, apply(10_000, accountChange(10_000, m.Revision(), 1, 1)).Code, "")
	assert.Equal(t, apply(10_000, accountChange(0, 0, 1, 1)).Code, "stale_revision")
	// After 24 hours an id may be used again.
	late := 24*anvilclock.Hour + 10_000
	assert.Equal(t, apply(late-1, accountChange(9_999, 0, 5, 5)).Code, "stale_revision")
	assert.Equal(t, apply(late-1, accountChange(10_000, 0, 5, 5)).Code, "id_reused")
	assert.Equal(t, apply(late, accountChange(10_000, m.Revision(), 5, 5)).Code, "")
}

// Guards against snapshots that are too large to be restored: the CBOR decoder limits
// arrays to 131,072 elements by default.
func TestRestoreFullTable(t *testing.T) {
	m := New()
	m.Apply(1, 0, Command{Join: &JoinInstance{Instance{ID: "i", Incarnation: 1}}})
	limit := DefaultLimits().Claims
	claim := func(i int) Result {
		return m.Apply(anvilid.Index(i+2), 0, Command{Claim: &Claim{RequestKey{"a", "s", anvilid.RequestID(fmt.Sprint(i))}, []byte("x"), Holder{"i", 1, 1}}})
	}
	for i := range limit {
		if result := claim(i); result.Code != "" {
			t.Fatalf("claim %d: %s", i, result.Detail)
		}
	}
	assert.Equal(t, claim(limit).Code, "overloaded")
	data, err := m.Snapshot()
	assert.NilError(t, err)
	m, err = Restore(data)
	assert.NilError(t, err)
	assert.Equal(t, claim(limit).Code, "overloaded")
	assert.Equal(t, claim(limit-1).Claim.Token, anvilid.Token(limit+1))
}

// Guards against a snapshot of another format version that is restored as if it were of
// the current one.
func TestRestoreRefusesOtherVersions(t *testing.T) {
	data, err := Encode(snapshot{Version: snapshotVersion + 1})
	assert.NilError(t, err)
	_, err = Restore(data)
	assert.ErrorIs(t, err, ErrVersion)
	_, err = Restore([]byte("no snapshot"))
	assert.ErrorContains(t, err, "restore a snapshot")
}

// Guards against an uneven distribution of targets after Rebalance, and against a
// Rebalance that keeps moving targets forever. The targets of a service must be spread
// over the nearest instances to within one target.
func TestRebalanceEndsEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		index := anvilid.Index(0)
		apply := func(command Command) Result {
			index++
			return m.Apply(index, 0, command)
		}
		join := func(i int) {
			zone := anvilid.ZoneName(fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone")))
			apply(Command{Join: &JoinInstance{Instance{ID: anvilid.InstanceID(fmt.Sprint("i", i)), Incarnation: 1, Region: "r", Zone: zone}}})
		}
		join(0)
		for i := range rapid.IntRange(1, 30).Draw(t, "targets") {
			service := anvilid.ServiceName(fmt.Sprint("s", i%2))
			apply(Command{Register: &RegisterTarget{Target{
				ID: anvilid.TargetID(fmt.Sprint("t", i)), Incarnation: 1, Service: service, Region: "r",
				Zone: anvilid.ZoneName(fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone"))),
			}}})
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "instances") {
			join(i + 1)
		}
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		for moved, commands := 1, 0; moved > 0; commands++ {
			moved = apply(Command{Rebalance: &Rebalance{limit}}).Moved
			assert.Assert(t, moved <= limit && commands < 200, "%d targets moved by command %d", moved, commands)
			for _, target := range m.Targets() {
				if target.NextOwner != "" && rapid.Bool().Draw(t, "release") {
					apply(Command{Release: &ReleaseTarget{target.ID, target.Owner, target.Epoch}})
				}
			}
		}
		checkSpread(t, m)
	})
}

func checkSpread(t *rapid.T, m *Machine) {
	for _, target := range m.Targets() {
		owner := m.instances[futureOwner(&target)]
		count, _ := m.owners.loadOf(owner.ID, target.Service)
		for _, other := range m.Instances() {
			least, _ := m.owners.loadOf(other.ID, target.Service)
			near, far := distanceBetween(&other, &target), distanceBetween(owner, &target)
			if near < far || near == far && target.NextOwner == "" && count-least > 1 {
				t.Fatalf("target %q stays with %q, which has %d targets, and %q has %d", target.ID, owner.ID, count, other.ID, least)
			}
		}
	}
}

// Guards against a capture that shares memory with the live state. The race detector
// reports it, and the encoded bytes differ.
func TestCaptureBesideCommands(t *testing.T) {
	b := &testing.B{}
	f := fill(b, scale{instances: 3, targets: 24, claims: 100, jobs: 20, accounts: 5})
	want := snapshotOf(t, f.m)
	capture := f.m.Capture()
	done := make(chan []byte)
	go func() {
		data, err := capture.Encode()
		if err != nil {
			data = []byte(err.Error())
		}
		done <- data
	}()
	for i := range 50 {
		f.apply(f.claimRequest(1000 + i))
		f.apply(placeJob(10+i%10, i%24))
		f.apply(Command{Cancel: &CancelJob{anvilid.JobID(fmt.Sprintf("job-%06d", i%20))}})
		f.apply(accountChange(2000+i, f.m.Revision(), i%5, 2+i))
		f.apply(f.registerTarget(i%24, 2))
		f.apply(f.joinInstance(i%3, 2))
	}
	assert.Assert(t, bytes.Equal(want, <-done))
}
