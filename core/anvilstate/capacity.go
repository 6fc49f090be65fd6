package anvilstate

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

type zoneKey struct {
	region anvilid.RegionName
	zone   anvilid.ZoneName
}

type rackKey struct {
	zoneKey
	rack anvilid.RackName
}

func zoneOf(target *Target) zoneKey { return zoneKey{target.Region, target.Zone} }
func rackOf(target *Target) rackKey { return rackKey{zoneOf(target), target.Rack} }

// capacity sums the accelerators of the registered targets of one service, whether
// reserved or not. It is derived from the targets and not part of snapshots.
type capacity struct {
	targets targetSet
	// sizes[n] is the number of targets with n accelerators. racks and zones are the total
	// numbers of accelerators in each rack and zone.
	sizes map[anvilid.AcceleratorCount]int
	racks map[rackKey]anvilid.AcceleratorCount
	zones map[zoneKey]anvilid.AcceleratorCount
	// largest caches, for each extent, how many accelerators the largest target, rack or zone
	// has. It is nil after a target has changed.
	largest map[anvilconfig.Extent]anvilid.AcceleratorCount
	// inventory caches the result of Inventory: the targets that gangs may use, grouped by
	// zone and rack. It is nil after a target has changed.
	inventory []anvilconfig.Zone
}

// capacities maps each service that has targets to its capacity.
type capacities map[anvilid.ServiceName]*capacity

// add adds a target to the capacity of its service (by is 1) or removes it from there (by is -1).
func (c capacities) add(target *Target, by int) {
	of := c[target.Service]
	if of == nil {
		of = &capacity{
			targets: targetSet{},
			sizes:   map[anvilid.AcceleratorCount]int{},
			racks:   map[rackKey]anvilid.AcceleratorCount{},
			zones:   map[zoneKey]anvilid.AcceleratorCount{},
		}
		c[target.Service] = of
	}
	if by > 0 {
		of.targets[target] = struct{}{}
	} else {
		delete(of.targets, target)
	}
	change := anvilid.AcceleratorCount(by) * target.Accelerators
	addTo(of.sizes, target.Accelerators, by)
	addTo(of.racks, rackOf(target), change)
	addTo(of.zones, zoneOf(target), change)
	of.largest, of.inventory = nil, nil
	if len(of.targets) == 0 {
		delete(c, target.Service)
	}
}

func addTo[K comparable, V ~int](sums map[K]V, key K, change V) {
	if sums[key] += change; sums[key] == 0 {
		delete(sums, key)
	}
}

// largestOf returns how many accelerators the largest target, rack or zone of a service has;
// within says which of the three.
func (c capacities) largestOf(service anvilid.ServiceName, within anvilconfig.Extent) anvilid.AcceleratorCount {
	of := c[service]
	if of == nil {
		return 0
	}
	if of.largest == nil {
		of.largest = map[anvilconfig.Extent]anvilid.AcceleratorCount{}
		for size := range of.sizes {
			of.largest[anvilconfig.WithinWorker] = max(of.largest[anvilconfig.WithinWorker], size)
		}
		for _, sum := range of.racks {
			of.largest[anvilconfig.WithinRack] = max(of.largest[anvilconfig.WithinRack], sum)
		}
		for _, sum := range of.zones {
			of.largest[anvilconfig.WithinZone] = max(of.largest[anvilconfig.WithinZone], sum)
		}
	}
	return of.largest[within]
}

// infeasibleReason explains why a gang could not be placed even if all registered targets were
// free. It returns an empty string if it could be placed.
func (c capacities) infeasibleReason(service anvilid.ServiceName, n anvilid.AcceleratorCount, within anvilconfig.Extent) string {
	if c[service] == nil {
		return fmt.Sprintf("service %q has no targets; start targets of the service first", service)
	}
	largest := c.largestOf(service, within)
	if largest >= n {
		return ""
	}
	return fmt.Sprintf("%d accelerators within one %s are needed and the largest %s of service %q has %d; add %d there or ask for less",
		n, within, within, service, largest, n-largest)
}

// markLeaving updates the caches when a target starts to leave. The target still counts as
// capacity for job submissions, but no longer as capacity for guarantees.
func (c capacities) markLeaving(target *Target) { c[target.Service].inventory = nil }

// Inventory returns the targets of a service that are available for gangs, by zone and
// rack. It leaves out targets that are leaving or reserved for short requests. The result
// must not be modified.
func (m *Machine) Inventory(service anvilid.ServiceName) []anvilconfig.Zone {
	of := m.capacity[service]
	if of == nil {
		return nil
	}
	if of.inventory == nil {
		of.inventory = of.byRack(m.ShortRequestTargets(service))
	}
	return of.inventory
}

// ShortRequestTargets returns the targets of a service that are reserved for short
// requests and never used by gangs. They are taken from all zones in turn, so that the
// loss of one zone leaves the others.
func (m *Machine) ShortRequestTargets(service anvilid.ServiceName) map[anvilid.TargetID]bool {
	spec := m.config.current.Service(service)
	if spec == nil {
		return nil
	}
	return m.chooseShortRequestTargets(service, spec.ShortOnlyTargets)
}

// chooseShortRequestTargets chooses count targets of a service to be reserved for short requests. It
// returns fewer if the service has fewer targets that aren't leaving.
func (m *Machine) chooseShortRequestTargets(service anvilid.ServiceName, count int) map[anvilid.TargetID]bool {
	of := m.capacity[service]
	if of == nil || count <= 0 {
		return nil
	}
	zones := map[zoneKey][]anvilid.TargetID{}
	for target := range of.targets {
		if !target.Leaving {
			zones[zoneOf(target)] = append(zones[zoneOf(target)], target.ID)
		}
	}
	keys := slices.SortedFunc(maps.Keys(zones), func(a, b zoneKey) int {
		return cmp.Or(cmp.Compare(a.region, b.region), cmp.Compare(a.zone, b.zone))
	})
	for _, key := range keys {
		slices.Sort(zones[key])
	}
	reserved := map[anvilid.TargetID]bool{}
	for progress := true; progress && len(reserved) < count; {
		progress = false
		for _, key := range keys {
			remaining := zones[key]
			if len(remaining) == 0 || len(reserved) == count {
				continue
			}
			reserved[remaining[len(remaining)-1]] = true
			zones[key] = remaining[:len(remaining)-1]
			progress = true
		}
	}
	return reserved
}

func (c *capacity) byRack(except map[anvilid.TargetID]bool) []anvilconfig.Zone {
	targets := make([]*Target, 0, len(c.targets))
	for target := range c.targets {
		if !target.Leaving && !except[target.ID] {
			targets = append(targets, target)
		}
	}
	slices.SortFunc(targets, func(a, b *Target) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	var zones []anvilconfig.Zone
	var before *Target
	for _, target := range targets {
		if before == nil || zoneOf(before) != zoneOf(target) {
			zones = append(zones, anvilconfig.Zone{Region: target.Region, Name: target.Zone})
		}
		zone := &zones[len(zones)-1]
		if len(zone.Racks) == 0 || zone.Racks[len(zone.Racks)-1].Name != target.Rack {
			zone.Racks = append(zone.Racks, anvilconfig.Rack{Name: target.Rack})
		}
		rack := &zone.Racks[len(zone.Racks)-1]
		rack.Targets = append(rack.Targets, anvilconfig.Target{ID: target.ID, Accelerators: target.Accelerators})
		before = target
	}
	return zones
}
