package anvilconfig

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilid"
)

// Placement proves that guarantees can be met at the same time: it assigns accelerators to every
// guaranteed gang. It is used for this check only; jobs may be placed elsewhere.
type Placement []Gang

// Gang is the placement of one guaranteed gang: the accelerators that it could use.
type Gang struct {
	Guarantee anvilid.ObjectName
	// Number is the number of the gang among the Count gangs of its guarantee, starting from 0.
	Number int
	// Parts are the gang's accelerators, one Part for each target.
	Parts []Part
}

// Part is the part of a gang on one target: a range of adjacent accelerators. First is the number of
// the first one, starting from 0.
type Part struct {
	Target       anvilid.TargetID
	First        anvilid.AcceleratorCount
	Accelerators anvilid.AcceleratorCount
}

// demand is what one guarantee requires of a service: count gangs with the given number of
// accelerators each.
type demand struct {
	key          Key
	accelerators anvilid.AcceleratorCount
	within       Extent
	count        int
}

// placeGuarantees places all guaranteed gangs of every service whose guarantees the change makes harder
// to meet (see growingDemands).
func (c *checker) placeGuarantees(inventory Inventory) Placement {
	if !c.mayIncreaseDemand() {
		return nil
	}
	before := demands(c.current.Objects, func(key Key) (Object, bool) { o, ok := c.current.Objects[key]; return o, ok })
	after := map[Key]Object{}
	c.forEach(func(object Object) { after[object.Key] = object })
	var placement Placement
	for _, service := range growingDemands(before, demands(after, c.get), c.servicesReservingMore()) {
		zones := inventory(service.name)
		gangs := c.placeService(service.name, service.demands, zones)
		// The packer and Verify share no code. An error in the packer therefore leads to a refused
		// change instead of a published guarantee that cannot be met.
		if err := Verify(gangs, Snapshot{Objects: after}, service.name, zones); err != nil && len(c.problems) == 0 {
			c.add(Key{KindService, anvilid.ObjectName(service.name)}, "", CodeFault, "the placement of its guarantees failed verification: %v; report this fault", err)
		}
		placement = append(placement, gangs...)
	}
	return placement
}

func (c *checker) mayIncreaseDemand() bool {
	affectsDemand := func(kind Kind) bool { return kind == KindGuarantee || kind == KindShape }
	return slices.ContainsFunc(c.change.Set, func(o Object) bool { return affectsDemand(o.Kind) || c.reservesMoreTargets(o) })
}

// reservesMoreTargets reports whether an object of the change set is a service and raises its
// ShortOnlyTargets, the number of targets that gangs may not use.
func (c *checker) reservesMoreTargets(object Object) bool {
	if object.Service == nil {
		return false
	}
	before := 0
	if known := c.current.Objects[object.Key].Service; known != nil {
		before = known.ShortOnlyTargets
	}
	return object.Service.ShortOnlyTargets > before
}

// servicesReservingMore returns the services whose ShortOnlyTargets, the number of targets that gangs
// may not use, is raised by the change.
func (c *checker) servicesReservingMore() map[anvilid.ServiceName]bool {
	reservingMore := map[anvilid.ServiceName]bool{}
	for _, object := range c.change.Set {
		if c.reservesMoreTargets(object) {
			reservingMore[anvilid.ServiceName(object.Name)] = true
		}
	}
	return reservingMore
}

func (c *checker) placeService(service anvilid.ServiceName, wanted []demand, zones []Zone) Placement {
	packer := newPacker(zones)
	total := packer.totalFree()
	var placement Placement
	for _, d := range wanted {
		met := 0
		for ; met < d.count; met++ {
			parts := packer.placeGang(d.accelerators, d.within)
			if parts == nil {
				break
			}
			placement = append(placement, Gang{Guarantee: d.key.Name, Number: met, Parts: parts})
		}
		switch {
		case met == d.count:
		case total == 0:
			c.add(d.key, "service", CodeNoTargets, "service %q has no targets with accelerators yet, so the guarantee can't be met; start targets first", service)
		default:
			c.add(d.key, "count", CodeUnplaced,
				"%d of %d gangs of %d accelerators within one %s fit on the %d accelerators of service %q beside the other guarantees; lower the count or add targets",
				met, d.count, d.accelerators, d.within, total, service)
		}
	}
	return placement
}

// demands returns the demands of all guarantees, grouped by service. Within a service, guarantees of
// larger gangs come first and, among gangs of equal size, those whose accelerators must be closer
// together.
func demands(objects map[Key]Object, get func(Key) (Object, bool)) map[anvilid.ServiceName][]demand {
	byService := map[anvilid.ServiceName][]demand{}
	for key, object := range objects {
		if object.Guarantee == nil {
			continue
		}
		shape, _ := get(Key{KindShape, anvilid.ObjectName(object.Guarantee.Shape)})
		if shape.Shape == nil {
			continue // checkReference reports the dangling reference
		}
		service := object.Guarantee.Service
		byService[service] = append(byService[service], demand{
			key: key, accelerators: shape.Shape.Accelerators, within: shape.Shape.Within, count: object.Guarantee.Count,
		})
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b demand) int {
			return cmp.Or(cmp.Compare(b.accelerators, a.accelerators), cmp.Compare(extentRank(a.within), extentRank(b.within)), a.key.Compare(b.key))
		})
	}
	return byService
}

func extentRank(within Extent) int {
	return slices.Index([]Extent{WithinWorker, WithinRack, WithinZone}, within)
}

// serviceDemand is a service with its demands, one for each guarantee for this service.
type serviceDemand struct {
	name    anvilid.ServiceName
	demands []demand
}

// growingDemands returns the services whose guarantees the change makes harder to meet, each with all
// its demands after the change. A service is included if it needs more gangs of some size and extent
// than before, or if it is in reservingMore, the services whose ShortOnlyTargets (the number of targets
// that gangs may not use) grows.
func growingDemands(before, after map[anvilid.ServiceName][]demand, reservingMore map[anvilid.ServiceName]bool) []serviceDemand {
	type form struct {
		accelerators anvilid.AcceleratorCount
		within       Extent
	}
	var result []serviceDemand
	for service, list := range after {
		balance := map[form]int{}
		for _, d := range before[service] {
			balance[form{d.accelerators, d.within}] += d.count
		}
		grows := reservingMore[service]
		for _, d := range list {
			balance[form{d.accelerators, d.within}] -= d.count
			grows = grows || balance[form{d.accelerators, d.within}] < 0
		}
		if grows {
			result = append(result, serviceDemand{service, list})
		}
	}
	slices.SortFunc(result, func(a, b serviceDemand) int { return cmp.Compare(a.name, b.name) })
	return result
}
