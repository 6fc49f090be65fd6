// Package anvilview holds what one instance knows of the control group's
// state. It is brought up to date by deltas.
//
// A View is not safe for concurrent use.
package anvilview

import (
	"maps"
	"slices"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
)

// View is the state up to one index of the log.
type View struct {
	Index     anvilid.Index
	Config    anvilconfig.Snapshot
	instances map[anvilid.InstanceID]anvilstate.Instance
	// listed holds the instances in order; it is nil after a change.
	listed  []anvilstate.Instance
	targets map[anvilid.TargetID]anvilstate.Target
	// local counts the targets of each service by region.
	local  map[place]int
	served map[anvilid.ServiceName]int
}

type place struct {
	service anvilid.ServiceName
	region  anvilid.RegionName
}

// Changes lists what a delta changed.
type Changes struct {
	Targets          []anvilstate.Target
	RemovedTargets   []anvilid.TargetID
	RemovedInstances []anvilstate.Instance
	// Instances is set if an instance joined, changed or left.
	Instances bool
}

// New returns an empty view.
func New() *View {
	return &View{
		Config:    anvilconfig.NewSnapshot(0),
		instances: map[anvilid.InstanceID]anvilstate.Instance{},
		targets:   map[anvilid.TargetID]anvilstate.Target{},
		local:     map[place]int{},
		served:    map[anvilid.ServiceName]int{},
	}
}

// Apply takes in a delta. A delta that is older than the view changes
// nothing, so that a late message never puts an older state in force.
func (v *View) Apply(delta *anvilstate.Delta) Changes {
	var changes Changes
	if delta.Index < v.Index {
		return changes
	}
	v.Index = delta.Index
	if delta.Full {
		v.dropMissing(delta, &changes)
	}
	for _, instance := range delta.Instances {
		v.setInstance(instance, &changes)
	}
	for _, id := range delta.RemovedInstances {
		v.dropInstance(id, &changes)
	}
	for _, target := range delta.Targets {
		v.setTarget(target)
		changes.Targets = append(changes.Targets, target)
	}
	for _, id := range delta.RemovedTargets {
		v.dropTarget(id, &changes)
	}
	v.applyConfig(delta)
	return changes
}

// dropMissing removes what a whole view no longer has.
func (v *View) dropMissing(delta *anvilstate.Delta, changes *Changes) {
	instances := map[anvilid.InstanceID]bool{}
	for _, instance := range delta.Instances {
		instances[instance.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(v.instances)) {
		if !instances[id] {
			v.dropInstance(id, changes)
		}
	}
	targets := map[anvilid.TargetID]bool{}
	for _, target := range delta.Targets {
		targets[target.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(v.targets)) {
		if !targets[id] {
			v.dropTarget(id, changes)
		}
	}
}

func (v *View) setInstance(instance anvilstate.Instance, changes *Changes) {
	known, ok := v.instances[instance.ID]
	if ok && known.Incarnation < instance.Incarnation {
		changes.RemovedInstances = append(changes.RemovedInstances, known)
	}
	v.instances[instance.ID] = instance
	v.listed = nil
	changes.Instances = true
}

func (v *View) dropInstance(id anvilid.InstanceID, changes *Changes) {
	if known, ok := v.instances[id]; ok {
		changes.RemovedInstances = append(changes.RemovedInstances, known)
		changes.Instances = true
		delete(v.instances, id)
		v.listed = nil
	}
}

func (v *View) setTarget(target anvilstate.Target) {
	if known, ok := v.targets[target.ID]; ok {
		v.count(known, -1)
	}
	v.targets[target.ID] = target
	v.count(target, 1)
}

func (v *View) count(target anvilstate.Target, change int) {
	v.local[place{target.Service, target.Region}] += change
	v.served[target.Service] += change
}

func (v *View) dropTarget(id anvilid.TargetID, changes *Changes) {
	if known, ok := v.targets[id]; ok {
		v.count(known, -1)
		delete(v.targets, id)
		changes.RemovedTargets = append(changes.RemovedTargets, id)
	}
}

// applyConfig publishes the objects of a delta. The snapshot is replaced and
// not modified, so that readers may keep it.
func (v *View) applyConfig(delta *anvilstate.Delta) {
	if !delta.Full && len(delta.Objects)+len(delta.RemovedObjects) == 0 {
		v.Config.Revision = delta.Revision
		return
	}
	next := anvilconfig.NewSnapshot(delta.Revision)
	if !delta.Full {
		maps.Copy(next.Objects, v.Config.Objects)
	}
	for _, object := range delta.Objects {
		next.Objects[object.Key] = object
	}
	for _, key := range delta.RemovedObjects {
		delete(next.Objects, key)
	}
	v.Config = next
}

// Instances returns all instances in order of their ids. The list is asked for
// with each forwarded request and is kept until an instance changes; it must
// not be modified.
func (v *View) Instances() []anvilstate.Instance {
	if v.listed == nil {
		v.listed = make([]anvilstate.Instance, 0, len(v.instances))
		for _, id := range slices.Sorted(maps.Keys(v.instances)) {
			v.listed = append(v.listed, v.instances[id])
		}
	}
	return v.listed
}

// Instance returns one instance.
func (v *View) Instance(id anvilid.InstanceID) (anvilstate.Instance, bool) {
	instance, ok := v.instances[id]
	return instance, ok
}

// Targets returns all targets in order of their ids.
func (v *View) Targets() []anvilstate.Target {
	targets := make([]anvilstate.Target, 0, len(v.targets))
	for _, id := range slices.Sorted(maps.Keys(v.targets)) {
		targets = append(targets, v.targets[id])
	}
	return targets
}

// Target returns one target.
func (v *View) Target(id anvilid.TargetID) (anvilstate.Target, bool) {
	target, ok := v.targets[id]
	return target, ok
}

// HasTargets tells whether any region has a target of a service.
func (v *View) HasTargets(service anvilid.ServiceName) bool { return v.served[service] > 0 }

// HasLocalTargets tells whether a region has a target of a service.
func (v *View) HasLocalTargets(service anvilid.ServiceName, region anvilid.RegionName) bool {
	return v.local[place{service, region}] > 0
}
