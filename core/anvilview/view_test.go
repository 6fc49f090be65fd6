package anvilview_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
	"anvilshunt/core/anvilview"
)

func account(revision anvilid.Revision, weight int) anvilconfig.Object {
	return anvilconfig.Object{
		Key:      anvilconfig.Key{Kind: anvilconfig.KindAccount, Name: "agency"},
		Account:  &anvilconfig.Account{Weight: weight},
		Revision: revision,
	}
}

// Guards against a delta that arrives late and replaces the configuration by an older one.
func TestLateDeltaChangesNothing(t *testing.T) {
	view := anvilview.New()
	view.Apply(&anvilstate.Delta{Full: true, Index: 5, Revision: 1, Objects: []anvilconfig.Object{account(1, 1)}})
	view.Apply(&anvilstate.Delta{Index: 9, Revision: 2, Objects: []anvilconfig.Object{account(2, 7)}})
	for _, late := range []anvilstate.Delta{
		{Index: 7, Revision: 1, Objects: []anvilconfig.Object{account(1, 1)}},
		{Full: true, Index: 5, Revision: 1},
	} {
		view.Apply(&late)
		assert.Equal(t, view.Index, anvilid.Index(9))
		assert.Equal(t, view.Config.Revision, anvilid.Revision(2))
		assert.Equal(t, view.Config.Account("agency").Weight, 7)
	}
}

// Guards against objects that are kept although a delta with the full state no longer has
// them, and against configuration snapshots that change while a reader uses them.
func TestFullDeltaReplacesEverything(t *testing.T) {
	view := anvilview.New()
	view.Apply(&anvilstate.Delta{
		Full: true, Index: 5, Revision: 1, Objects: []anvilconfig.Object{account(1, 1)},
		Instances: []anvilstate.Instance{{ID: "i1", Incarnation: 1}, {ID: "i2", Incarnation: 1}},
		Targets:   []anvilstate.Target{{ID: "t1", Service: "planner", Region: "west"}, {ID: "t2", Service: "planner", Region: "west"}},
	})
	before := view.Config
	changes := view.Apply(&anvilstate.Delta{
		Full: true, Index: 8, Revision: 2,
		Instances: []anvilstate.Instance{{ID: "i1", Incarnation: 2}},
		Targets:   []anvilstate.Target{{ID: "t2", Service: "planner", Region: "west"}},
	})
	assert.DeepEqual(t, changes.RemovedTargets, []anvilid.TargetID{"t1"})
	assert.Equal(t, len(changes.RemovedInstances), 2, "the previous incarnation of i1, and i2")
	assert.Assert(t, view.Config.Account("agency") == nil)
	assert.Assert(t, before.Account("agency") != nil)
	assert.Assert(t, view.HasLocalTargets("planner", "west") && view.HasTargets("planner"))
	view.Apply(&anvilstate.Delta{Index: 9, Revision: 2, RemovedTargets: []anvilid.TargetID{"t2"}})
	assert.Assert(t, !view.HasTargets("planner"))
}
