package anvilstate

import (
	"cmp"
	"fmt"
	"slices"

	"anvilshunt/core/anvilid"
)

// Bounds of the targets that one Rebalance hands over. A hand-over interrupts
// the use of a target for a round trip, so only a part moves at a time.
const (
	defaultMoves = 64
	maxMoves     = 1024
)

// group is the set of targets for which the same instances are nearest.
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

// rebalance moves targets to nearer instances first and then from the most to
// the least loaded of the nearest instances. Each move makes the spread of a
// service, or of all targets, strictly more even, so it comes to an end.
func (m *Machine) rebalance(command Rebalance) (int, error) {
	if command.Limit < 0 || command.Limit > maxMoves {
		return 0, fmt.Errorf("%w: %d targets to move; use 1 to %d", ErrInvalid, command.Limit, maxMoves)
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
		// One move per group and round, so that all groups advance.
		for _, g := range groups {
			if moved < limit && m.moveOne(g, movable[g]) {
				moved++
				progress = true
			}
		}
	}
	return moved, nil
}

// movable lists the targets without a hand-over by group and owner.
func (m *Machine) movable() map[group]map[anvilid.InstanceID][]*Target {
	movable := map[group]map[anvilid.InstanceID][]*Target{}
	for _, id := range m.owners.names {
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

// moveOne hands one target of a group over, if that makes the spread better.
func (m *Machine) moveOne(g group, byOwner map[anvilid.InstanceID][]*Target) bool {
	like := &Target{Service: g.service, Region: g.region, Zone: g.zone}
	to := m.leastLoaded(like, "")
	if to == "" {
		return false
	}
	from := m.mostLoaded(like, to, byOwner)
	if from == "" {
		return false
	}
	// The last id first is as good as any other and cheap to take off.
	list := byOwner[from]
	target := slices.MaxFunc(list, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	byOwner[from] = slices.DeleteFunc(list, func(t *Target) bool { return t == target })
	m.setNext(target, to)
	m.noteTarget(target.ID)
	return true
}

// mostLoaded returns the owner that should give a target to another instance:
// the one that is farther away, else the one with the most targets, if it has
// so many that the move helps.
func (m *Machine) mostLoaded(like *Target, to anvilid.InstanceID, byOwner map[anvilid.InstanceID][]*Target) anvilid.InstanceID {
	var best anvilid.InstanceID
	var most [3]int
	nearest := distanceBetween(m.instances[to], like)
	toService, toAll := m.owners.loadOf(to, like.Service)
	for _, id := range m.owners.names {
		if id == to || len(byOwner[id]) == 0 {
			continue
		}
		ofService, all := m.owners.loadOf(id, like.Service)
		load := [3]int{distanceBetween(m.instances[id], like), ofService, all}
		helps := load[0] > nearest || ofService-toService >= 2 || ofService-toService == 1 && all-toAll >= 2
		if helps && (best == "" || lessLoad(most, load)) {
			best, most = id, load
		}
	}
	return best
}
