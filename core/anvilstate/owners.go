package anvilstate

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilid"
)

type targetSet map[*Target]struct{}

// owners indexes targets by owner, so that an assignment does not have to scan all
// targets. It is derived from the targets and not part of snapshots.
type owners struct {
	// instanceIDs lists the instance ids in order.
	instanceIDs []anvilid.InstanceID
	// of maps each instance to the targets whose Owner it is, and next to those whose
	// NextOwner it is. Targets without an owner are in of[""].
	of, next map[anvilid.InstanceID]targetSet
	// load counts the targets that each instance owns once all hand-overs are finished, in
	// total and per service.
	load map[anvilid.InstanceID]*ownerLoad
}

type ownerLoad struct {
	total   int
	service map[anvilid.ServiceName]int
}

func newOwners() owners {
	return owners{
		of:   map[anvilid.InstanceID]targetSet{},
		next: map[anvilid.InstanceID]targetSet{},
		load: map[anvilid.InstanceID]*ownerLoad{},
	}
}

func (o *owners) addInstance(id anvilid.InstanceID) {
	if at, found := slices.BinarySearch(o.instanceIDs, id); !found {
		o.instanceIDs = slices.Insert(o.instanceIDs, at, id)
	}
}

func (o *owners) removeInstance(id anvilid.InstanceID) {
	if at, found := slices.BinarySearch(o.instanceIDs, id); found {
		o.instanceIDs = slices.Delete(o.instanceIDs, at, at+1)
	}
}

// add adds a target to the index and drop removes it. Owner, NextOwner and Service may
// change only while the target is not in the index.
func (o *owners) add(target *Target) {
	put(o.of, target.Owner, target)
	if target.NextOwner != "" {
		put(o.next, target.NextOwner, target)
	}
	o.count(target, 1)
}

func (o *owners) drop(target *Target) {
	take(o.of, target.Owner, target)
	if target.NextOwner != "" {
		take(o.next, target.NextOwner, target)
	}
	o.count(target, -1)
}

func put(sets map[anvilid.InstanceID]targetSet, id anvilid.InstanceID, target *Target) {
	if sets[id] == nil {
		sets[id] = targetSet{}
	}
	sets[id][target] = struct{}{}
}

func take(sets map[anvilid.InstanceID]targetSet, id anvilid.InstanceID, target *Target) {
	delete(sets[id], target)
	if len(sets[id]) == 0 {
		delete(sets, id)
	}
}

func (o *owners) count(target *Target, by int) {
	id := futureOwner(target)
	if id == "" {
		return
	}
	load := o.load[id]
	if load == nil {
		load = &ownerLoad{service: map[anvilid.ServiceName]int{}}
		o.load[id] = load
	}
	load.total += by
	if load.service[target.Service] += by; load.service[target.Service] == 0 {
		delete(load.service, target.Service)
	}
	if load.total == 0 {
		delete(o.load, id)
	}
}

// loadOf returns how many targets an instance owns once all hand-overs are finished: those
// of one service, and those of all services.
func (o *owners) loadOf(id anvilid.InstanceID, service anvilid.ServiceName) (int, int) {
	load := o.load[id]
	if load == nil {
		return 0, 0
	}
	return load.service[service], load.total
}

// futureOwner returns the instance that owns a target once a pending hand-over is finished.
func futureOwner(target *Target) anvilid.InstanceID {
	return cmp.Or(target.NextOwner, target.Owner)
}

func sortedTargets(set targetSet) []*Target {
	targets := make([]*Target, 0, len(set))
	for target := range set {
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	return targets
}
