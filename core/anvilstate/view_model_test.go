package anvilstate

import (
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// viewModel applies deltas in the simplest possible way. It is the reference model that
// the tests check deltas with; instances use package anvilview.
type viewModel struct {
	Index     anvilid.Index
	Instances map[anvilid.InstanceID]Instance
	Targets   map[anvilid.TargetID]Target
	Config    anvilconfig.Snapshot
}

// newViewModel returns a view at index 0, for which DeltaSince returns the full state.
func newViewModel() *viewModel {
	return &viewModel{
		Instances: map[anvilid.InstanceID]Instance{},
		Targets:   map[anvilid.TargetID]Target{},
		Config:    anvilconfig.NewSnapshot(0),
	}
}

// Apply brings the view to the index of the delta. A delta that is older than the view has
// no effect.
func (v *viewModel) Apply(delta Delta) {
	if delta.Index < v.Index {
		return
	}
	if delta.Full {
		*v = *newViewModel()
	}
	v.Index, v.Config.Revision = delta.Index, delta.Revision
	for _, instance := range delta.Instances {
		v.Instances[instance.ID] = instance
	}
	for _, id := range delta.RemovedInstances {
		delete(v.Instances, id)
	}
	for _, target := range delta.Targets {
		v.Targets[target.ID] = target
	}
	for _, id := range delta.RemovedTargets {
		delete(v.Targets, id)
	}
	for _, object := range delta.Objects {
		v.Config.Objects[object.Key] = object
	}
	for _, key := range delta.RemovedObjects {
		delete(v.Config.Objects, key)
	}
}
