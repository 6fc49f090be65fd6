package anvilstate

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
)

// TestEject guards against an ejection that is lost with its owner or with a snapshot, that a former owner
// records, or that a new incarnation of the target inherits.
func TestEject(t *testing.T) {
	m := New()
	apply := func(command Command) Result { return m.Apply(m.Index()+1, 0, command) }
	ejected := func() bool {
		target, _ := m.Target("t")
		return target.Ejected
	}
	for _, id := range []anvilid.InstanceID{"a", "b"} {
		apply(Command{Join: &JoinInstance{Instance: Instance{ID: id, Incarnation: 1, Region: "r", Zone: "z"}}})
	}
	register := Command{Register: &RegisterTarget{Target: Target{ID: "t", Incarnation: 1, Service: "s", Region: "r", Zone: "z", Slots: 8}}}
	apply(register)
	owned, _ := m.Target("t")
	former := &EjectTarget{ID: "t", Owner: owned.Owner, Epoch: owned.Epoch, Ejected: true}
	assert.Equal(t, apply(Command{Eject: former}).Code, "")
	assert.Assert(t, ejected())

	apply(Command{Expire: &ExpireInstance{ID: owned.Owner, Incarnation: 1}})
	data, err := m.Snapshot()
	assert.NilError(t, err)
	restored, err := Restore(data)
	assert.NilError(t, err)
	m = restored
	next, _ := m.Target("t")
	assert.Assert(t, next.Owner != "" && next.Owner != owned.Owner && next.Ejected)
	former.Ejected = false
	assert.Equal(t, apply(Command{Eject: former}).Code, "stale")
	assert.Assert(t, ejected())
	assert.Equal(t, apply(Command{Eject: &EjectTarget{ID: "t", Owner: next.Owner, Epoch: next.Epoch}}).Code, "")
	assert.Assert(t, !ejected())

	apply(Command{Eject: &EjectTarget{ID: "t", Owner: next.Owner, Epoch: next.Epoch, Ejected: true}})
	assert.Assert(t, ejected())
	register.Register.Target.Incarnation = 2
	apply(register)
	assert.Assert(t, !ejected())
}
