package anvilstate

import (
	"maps"
	"slices"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// Delta contains the changes that bring a view from one log index to a later one. A view is
// an instance's copy of the instances, targets and configuration (package anvilview). If Full
// is set, the delta contains all of them and replaces the content of the view.
type Delta struct {
	Full             bool                 `cbor:"1,keyasint,omitempty"`
	Index            anvilid.Index        `cbor:"2,keyasint"`
	Instances        []Instance           `cbor:"3,keyasint,omitempty"`
	RemovedInstances []anvilid.InstanceID `cbor:"4,keyasint,omitempty"`
	Targets          []Target             `cbor:"5,keyasint,omitempty"`
	RemovedTargets   []anvilid.TargetID   `cbor:"6,keyasint,omitempty"`
	// Revision is the revision of the configuration at Index.
	Revision       anvilid.Revision     `cbor:"7,keyasint,omitempty"`
	Objects        []anvilconfig.Object `cbor:"8,keyasint,omitempty"`
	RemovedObjects []anvilconfig.Key    `cbor:"9,keyasint,omitempty"`
}

// DeltaSince returns what changed after the log entry at index. It returns the full state if the
// changes since that entry are no longer stored. The receiver must not modify the configuration objects.
func (m *Machine) DeltaSince(index anvilid.Index) Delta {
	if index == 0 || index < m.changes.floor || index > m.index {
		return m.fullState()
	}
	instances := map[anvilid.InstanceID]bool{}
	targets := map[anvilid.TargetID]bool{}
	objects := map[anvilconfig.Key]bool{}
	for i := len(m.changes.items) - 1; i >= 0 && m.changes.items[i].Index > index; i-- {
		switch item := m.changes.items[i]; {
		case item.Instance != "":
			instances[item.Instance] = true
		case item.Target != "":
			targets[item.Target] = true
		default:
			objects[item.Object] = true
		}
	}
	delta := Delta{Index: m.index, Revision: m.Revision()}
	for _, id := range sortedKeys(instances) {
		if instance, ok := m.instances[id]; ok {
			delta.Instances = append(delta.Instances, *instance)
		} else {
			delta.RemovedInstances = append(delta.RemovedInstances, id)
		}
	}
	for _, id := range sortedKeys(targets) {
		if target, ok := m.targets[id]; ok {
			delta.Targets = append(delta.Targets, *target)
		} else {
			delta.RemovedTargets = append(delta.RemovedTargets, id)
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(objects), anvilconfig.Key.Compare) {
		if object, ok := m.config.current.Objects[key]; ok {
			delta.Objects = append(delta.Objects, object)
		} else {
			delta.RemovedObjects = append(delta.RemovedObjects, key)
		}
	}
	return delta
}

func (m *Machine) fullState() Delta {
	return Delta{
		Full: true, Index: m.index, Revision: m.Revision(),
		Instances: m.Instances(), Targets: m.Targets(), Objects: m.config.current.List(),
	}
}
