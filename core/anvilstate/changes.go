package anvilstate

import (
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// change records that an instance, a target or a configuration object changed at a log
// index. Exactly one of Instance, Target and Object is set.
type change struct {
	Index    anvilid.Index      `cbor:"1,keyasint"`
	Instance anvilid.InstanceID `cbor:"2,keyasint,omitempty"`
	Target   anvilid.TargetID   `cbor:"3,keyasint,omitempty"`
	Object   anvilconfig.Key    `cbor:"4,keyasint,omitempty"`
}

// changeRing keeps the most recent changes in order of their index.
type changeRing struct {
	items []change
	// floor is the index of the latest change that was discarded.
	floor anvilid.Index
	// window is the minimum number of changes that are kept. An instance that is further
	// behind receives the full state instead of a delta.
	window int
}

func (r *changeRing) add(c change) {
	if n := len(r.items); n > 0 && r.items[n-1] == c {
		return // one command may change the same object several times
	}
	r.items = append(r.items, c)
	if drop := len(r.items) - r.window; drop > r.window {
		r.floor = r.items[drop-1].Index
		r.items = append([]change(nil), r.items[drop:]...)
	}
}

func (m *Machine) recordInstanceChange(id anvilid.InstanceID) {
	m.changes.add(change{Index: m.index, Instance: id})
}

func (m *Machine) recordTargetChange(id anvilid.TargetID) {
	m.changes.add(change{Index: m.index, Target: id})
}

func (m *Machine) recordObjectChange(key anvilconfig.Key) {
	m.changes.add(change{Index: m.index, Object: key})
}

// LastChangeIndex returns the index of the latest change of an instance, a target or a
// configuration object. Only these parts of the state are copied to views.
func (m *Machine) LastChangeIndex() anvilid.Index {
	if len(m.changes.items) == 0 {
		return m.changes.floor
	}
	return m.changes.items[len(m.changes.items)-1].Index
}
