package anvilstate

import (
	"anvilshunt/core/anvilid"
)

// changeWindow bounds the changes kept for deltas. An instance that is
// further behind receives the whole view.
const changeWindow = 4096

// Delta brings a view from one index to a later one. A whole view replaces
// what the receiver has.
type Delta struct {
	Whole         bool                 `cbor:"1,keyasint,omitempty"`
	Index         anvilid.Index        `cbor:"2,keyasint"`
	Instances     []Instance           `cbor:"3,keyasint,omitempty"`
	InstancesGone []anvilid.InstanceID `cbor:"4,keyasint,omitempty"`
	Targets       []Target             `cbor:"5,keyasint,omitempty"`
	TargetsGone   []anvilid.TargetID   `cbor:"6,keyasint,omitempty"`
}

// Empty tells whether the delta changes nothing.
func (d *Delta) Empty() bool {
	return !d.Whole && len(d.Instances)+len(d.InstancesGone)+len(d.Targets)+len(d.TargetsGone) == 0
}

// change notes that an object changed at an index.
type change struct {
	index    anvilid.Index
	instance anvilid.InstanceID
	target   anvilid.TargetID
}

// changeRing keeps the latest changes in order.
type changeRing struct {
	items []change
	// floor is the index of the latest change that was dropped.
	floor anvilid.Index
}

func (r *changeRing) add(c change) {
	r.items = append(r.items, c)
	if len(r.items) > 2*changeWindow {
		r.floor = r.items[changeWindow-1].index
		r.items = append([]change(nil), r.items[changeWindow:]...)
	}
}

func (m *Machine) noteInstance(instance *Instance) {
	m.changes.add(change{index: m.index, instance: instance.ID})
}

func (m *Machine) noteInstanceGone(id anvilid.InstanceID) {
	m.changes.add(change{index: m.index, instance: id})
}

func (m *Machine) noteTarget(target *Target) {
	m.changes.add(change{index: m.index, target: target.ID})
}

func (m *Machine) noteTargetGone(id anvilid.TargetID) {
	m.changes.add(change{index: m.index, target: id})
}

// Changed returns the index of the latest change that views show.
func (m *Machine) Changed() anvilid.Index {
	if len(m.changes.items) == 0 {
		return m.changes.floor
	}
	return m.changes.items[len(m.changes.items)-1].index
}

// Since returns what changed after an index.
func (m *Machine) Since(index anvilid.Index) Delta {
	if index == 0 || index < m.changes.floor || index > m.index {
		return m.whole()
	}
	delta := Delta{Index: m.index}
	instances := map[anvilid.InstanceID]bool{}
	targets := map[anvilid.TargetID]bool{}
	for i := len(m.changes.items) - 1; i >= 0 && m.changes.items[i].index > index; i-- {
		item := m.changes.items[i]
		if item.instance != "" {
			instances[item.instance] = true
		}
		if item.target != "" {
			targets[item.target] = true
		}
	}
	for _, id := range sortedKeys(instances) {
		if instance, ok := m.instances[id]; ok {
			delta.Instances = append(delta.Instances, *instance)
		} else {
			delta.InstancesGone = append(delta.InstancesGone, id)
		}
	}
	for _, id := range sortedKeys(targets) {
		if target, ok := m.targets[id]; ok {
			delta.Targets = append(delta.Targets, *target)
		} else {
			delta.TargetsGone = append(delta.TargetsGone, id)
		}
	}
	return delta
}

func (m *Machine) whole() Delta {
	delta := Delta{Whole: true, Index: m.index}
	for _, id := range sortedKeys(m.instances) {
		delta.Instances = append(delta.Instances, *m.instances[id])
	}
	for _, id := range sortedKeys(m.targets) {
		delta.Targets = append(delta.Targets, *m.targets[id])
	}
	return delta
}
