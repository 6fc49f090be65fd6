package anvilstate

import (
	"cmp"
	"fmt"
	"slices"

	"anvilshunt/core/anvilid"
)

// Bounds of the number of targets that one Rebalance hands over. A hand-over interrupts
// the use of a target for a network round trip, so only some of the targets move at a
// time.
const (
	defaultMoves = 64
	maxMoves     = 1024
)

// group identifies the targets of one service in one zone. The same instances are the nearest
// for all of them.
type group struct {
	service anvilid.ServiceName
	region  anvilid.RegionName
	zone    anvilid.ZoneName
}

func groupOf(target *Target) group {
	return group{target.Service, target.Region, target.Zone}
}

func (g group) compare(other group) int {
	return cmp.Or(cmp.Compare(g.service, other.service), cmp.Compare(g.region, other.region), cmp.Compare(g.zone, other.zone))
}

// rebalance first moves targets to nearer instances, and then from the most to the least
// loaded of the nearest instances. Each move makes the distribution of a service, or that
// of all targets, strictly more even, so repeated commands come to an end.
func (m *Machine) rebalance(command Rebalance) (int, error) {
	if command.Limit < 0 || command.Limit > maxMoves {
		return 0, fmt.Errorf("%w: a limit of %d targets to hand over; use 1 to %d, or 0 for the default",
			ErrInvalid, command.Limit, maxMoves)
	}
	limit := command.Limit
	if limit == 0 {
		limit = defaultMoves
	}
	movable := m.movable()
	groups := make([]group, 0, len(movable))
	for g := range movable {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, group.compare)
	moved := 0
	for progress := true; progress && moved < limit; {
		progress = false
		// Each round moves at most one target per group, so that all groups make progress.
		for _, g := range groups {
			if moved < limit && m.moveOne(g, movable[g]) {
				moved++
				progress = true
			}
		}
	}
	return moved, nil
}

// movable returns the targets that have an owner and are neither leaving nor being handed
// over, as a map from group and owner to targets.
func (m *Machine) movable() map[group]map[anvilid.InstanceID][]*Target {
	movable := map[group]map[anvilid.InstanceID][]*Target{}
	for _, id := range m.owners.instanceIDs {
		for target := range m.owners.of[id] {
			if target.NextOwner != "" || target.Leaving {
				continue
			}
			g := groupOf(target)
			if movable[g] == nil {
				movable[g] = map[anvilid.InstanceID][]*Target{}
			}
			movable[g][id] = append(movable[g][id], target)
		}
	}
	return movable
}

// moveOne hands over one target of a group, if that makes the distribution more even.
func (m *Machine) moveOne(g group, byOwner map[anvilid.InstanceID][]*Target) bool {
	prototype := &Target{Service: g.service, Region: g.region, Zone: g.zone}
	to := m.leastLoaded(prototype, "")
	if to == "" {
		return false
	}
	from := m.mostLoaded(prototype, to, byOwner)
	if from == "" {
		return false
	}
	// Any choice that is the same on all replicas would do. The target with the highest id
	// is cheap to remove.
	list := byOwner[from]
	target := slices.MaxFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	byOwner[from] = slices.DeleteFunc(list, func(t *Target) bool { return t == target })
	m.setNextOwner(target, to)
	m.recordTargetChange(target.ID)
	return true
}

// mostLoaded returns the owner that should give up a target: the one that is farthest away
// or, at equal distance, the one with the most targets. It returns an empty id if no move
// improves the distribution.
func (m *Machine) mostLoaded(prototype *Target, to anvilid.InstanceID, byOwner map[anvilid.InstanceID][]*Target) anvilid.InstanceID {
	var best anvilid.InstanceID
	var most [3]int
	nearest := distanceBetween(m.instances[to], prototype)
	toService, toAll := m.owners.loadOf(to, prototype.Service)
	for _, id := range m.owners.instanceIDs {
		if id == to || len(byOwner[id]) == 0 {
			continue
		}
		ofService, all := m.owners.loadOf(id, prototype.Service)
		load := [3]int{distanceBetween(m.instances[id], prototype), ofService, all}
		helps := load[0] > nearest || ofService-toService >= 2 || ofService-toService == 1 && all-toAll >= 2
		if helps && (best == "" || lessLoad(most, load)) {
			best, most = id, load
		}
	}
	return best
}
