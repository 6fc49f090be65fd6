package anvilstate

import (
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// View is what an instance knows of the replicated state. It follows the
// state by deltas.
type View struct {
	Index     anvilid.Index
	Instances map[anvilid.InstanceID]Instance
	Targets   map[anvilid.TargetID]Target
	Config    anvilconfig.Snapshot
}

// NewView returns a view at index 0, for which Since returns everything.
func NewView() *View {
	return &View{
		Instances: map[anvilid.InstanceID]Instance{},
		Targets:   map[anvilid.TargetID]Target{},
		Config:    anvilconfig.NewSnapshot(0),
	}
}

// Apply brings the view to the index of the delta. A delta that is older than
// the view changes nothing.
func (v *View) Apply(delta Delta) {
	if delta.Index < v.Index {
		return
	}
	if delta.Whole {
		*v = *NewView()
	}
	v.Index, v.Config.Revision = delta.Index, delta.Revision
	for _, instance := range delta.Instances {
		v.Instances[instance.ID] = instance
	}
	for _, id := range delta.InstancesGone {
		delete(v.Instances, id)
	}
	for _, target := range delta.Targets {
		v.Targets[target.ID] = target
	}
	for _, id := range delta.TargetsGone {
		delete(v.Targets, id)
	}
	for _, object := range delta.Objects {
		v.Config.Objects[object.Key] = object
	}
	for _, key := range delta.ObjectsGone {
		delete(v.Config.Objects, key)
	}
}

// Instance returns an instance.
func (m *Machine) Instance(id anvilid.InstanceID) (Instance, bool) {
	instance, ok := m.instances[id]
	if !ok {
		return Instance{}, false
	}
	return *instance, true
}

// Instances returns all instances in the order of their ids.
func (m *Machine) Instances() []Instance {
	list := make([]Instance, 0, len(m.instances))
	for _, id := range m.owners.names {
		list = append(list, *m.instances[id])
	}
	return list
}

// Target returns a target.
func (m *Machine) Target(id anvilid.TargetID) (Target, bool) {
	target, ok := m.targets[id]
	if !ok {
		return Target{}, false
	}
	return *target, true
}

// Targets returns all targets in the order of their ids.
func (m *Machine) Targets() []Target {
	list := make([]Target, 0, len(m.targets))
	for _, id := range sortedKeys(m.targets) {
		list = append(list, *m.targets[id])
	}
	return list
}
