// Package anvilview implements the view, which is an instance's local copy of a part of the
// replicated state: the instances, the targets and the configuration. Deltas from the leader
// of the control group (anvilstate.Delta) keep it up to date.
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

// View is a copy of the instances, targets and configuration as of one index of the
// replicated log.
type View struct {
	Index     anvilid.Index
	Config    anvilconfig.Snapshot
	instances map[anvilid.InstanceID]anvilstate.Instance
	// sorted caches the result of Instances. It is nil after an instance has changed.
	sorted  []anvilstate.Instance
	targets map[anvilid.TargetID]anvilstate.Target
	// inRegion counts the targets of each service in each region, and perService the targets
	// of each service in all regions together.
	inRegion   map[serviceRegion]int
	perService map[anvilid.ServiceName]int
}

type serviceRegion struct {
	service anvilid.ServiceName
	region  anvilid.RegionName
}

// Changes lists what a delta changed in a view.
type Changes struct {
	Targets        []anvilstate.Target
	RemovedTargets []anvilid.TargetID
	// RemovedInstances lists the incarnations that have ended, also those that were replaced
	// by a new incarnation of the same instance.
	RemovedInstances []anvilstate.Instance
	// Instances is set if an instance joined, changed or left.
	Instances bool
}

// New returns an empty view.
func New() *View {
	return &View{
		Config:     anvilconfig.NewSnapshot(0),
		instances:  map[anvilid.InstanceID]anvilstate.Instance{},
		targets:    map[anvilid.TargetID]anvilstate.Target{},
		inRegion:   map[serviceRegion]int{},
		perService: map[anvilid.ServiceName]int{},
	}
}

// Apply applies a delta to the view. A delta that is older than the view is ignored, so
// that a late message can't replace the state by an older one.
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

// dropMissing removes the instances and targets of the view that a delta with the full state
// (Delta.Full) doesn't contain.
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
	v.sorted = nil
	changes.Instances = true
}

func (v *View) dropInstance(id anvilid.InstanceID, changes *Changes) {
	if known, ok := v.instances[id]; ok {
		changes.RemovedInstances = append(changes.RemovedInstances, known)
		changes.Instances = true
		delete(v.instances, id)
		v.sorted = nil
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
	v.inRegion[serviceRegion{target.Service, target.Region}] += change
	v.perService[target.Service] += change
}

func (v *View) dropTarget(id anvilid.TargetID, changes *Changes) {
	if known, ok := v.targets[id]; ok {
		v.count(known, -1)
		delete(v.targets, id)
		changes.RemovedTargets = append(changes.RemovedTargets, id)
	}
}

// applyConfig updates the configuration. The configuration snapshot is replaced and its
// objects are not modified, so that readers may keep the old snapshot.
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

// Instances returns all instances, ordered by id. It is called for each forwarded request,
// so the result is cached until an instance changes. The result must not be modified.
func (v *View) Instances() []anvilstate.Instance {
	if v.sorted == nil {
		v.sorted = make([]anvilstate.Instance, 0, len(v.instances))
		for _, id := range slices.Sorted(maps.Keys(v.instances)) {
			v.sorted = append(v.sorted, v.instances[id])
		}
	}
	return v.sorted
}

// Instance returns a copy of the record of the instance with the given id, and false if there is none.
func (v *View) Instance(id anvilid.InstanceID) (anvilstate.Instance, bool) {
	instance, ok := v.instances[id]
	return instance, ok
}

// Targets returns all targets, ordered by id.
func (v *View) Targets() []anvilstate.Target {
	targets := make([]anvilstate.Target, 0, len(v.targets))
	for _, id := range slices.Sorted(maps.Keys(v.targets)) {
		targets = append(targets, v.targets[id])
	}
	return targets
}

// Target returns a copy of the record of the target with the given id, and false if there is none.
func (v *View) Target(id anvilid.TargetID) (anvilstate.Target, bool) {
	target, ok := v.targets[id]
	return target, ok
}

// HasTargets reports whether a service has a target in any region.
func (v *View) HasTargets(service anvilid.ServiceName) bool { return v.perService[service] > 0 }

// HasLocalTargets reports whether a service has a target in a region.
func (v *View) HasLocalTargets(service anvilid.ServiceName, region anvilid.RegionName) bool {
	return v.inRegion[serviceRegion{service, region}] > 0
}
