package anvilconfig

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilid"
)

// Placement proves that guarantees can be met together: it names the
// accelerators of every guaranteed gang.
type Placement []Gang

// Gang is the place of one guaranteed gang.
type Gang struct {
	Guarantee anvilid.ObjectName
	// Number counts the gangs of the guarantee from 0.
	Number int
	Parts  []Part
}

// Part is a run of adjacent accelerators on one target.
type Part struct {
	Target       anvilid.TargetID
	First        anvilid.AcceleratorCount
	Accelerators anvilid.AcceleratorCount
}

// demand is what one guarantee asks of a service.
type demand struct {
	key          Key
	accelerators anvilid.AcceleratorCount
	within       Extent
	count        int
}

// place packs the guarantees of every service whose demand grows.
func (c *checker) place(inventory Inventory) Placement {
	if !c.touchesDemand() {
		return nil
	}
	before := demands(c.current.Objects, func(key Key) (Object, bool) { o, ok := c.current.Objects[key]; return o, ok })
	after := map[Key]Object{}
	c.each(func(object Object) { after[object.Key] = object })
	var placement Placement
	for _, service := range growing(before, demands(after, c.get), c.widened()) {
		zones := inventory(service.name)
		gangs := c.placeService(service.name, service.demands, zones)
		// Packing and verification share no code, so a fault in the packer
		// refuses a change instead of publishing an empty promise.
		if err := Verify(gangs, Snapshot{Objects: after}, service.name, zones); err != nil && len(c.problems) == 0 {
			c.add(Key{KindService, anvilid.ObjectName(service.name)}, "", CodeFault, "the placement of its guarantees failed verification: %v; report this fault", err)
		}
		placement = append(placement, gangs...)
	}
	return placement
}

func (c *checker) touchesDemand() bool {
	touches := func(kind Kind) bool { return kind == KindGuarantee || kind == KindShape }
	return slices.ContainsFunc(c.change.Set, func(o Object) bool { return touches(o.Kind) || c.widensLane(o) })
}

// widensLane tells whether an object of the change leaves fewer targets of a
// service to gangs.
func (c *checker) widensLane(object Object) bool {
	if object.Service == nil {
		return false
	}
	before := 0
	if known := c.current.Objects[object.Key].Service; known != nil {
		before = known.ShortOnlyTargets
	}
	return object.Service.ShortOnlyTargets > before
}

// widened returns the services of which the change leaves fewer targets to
// gangs.
func (c *checker) widened() map[anvilid.ServiceName]bool {
	widened := map[anvilid.ServiceName]bool{}
	for _, object := range c.change.Set {
		if c.widensLane(object) {
			widened[anvilid.ServiceName(object.Name)] = true
		}
	}
	return widened
}

func (c *checker) placeService(service anvilid.ServiceName, wanted []demand, zones []Zone) Placement {
	packer := newPacker(zones)
	total := packer.total()
	var placement Placement
	for _, d := range wanted {
		met := 0
		for ; met < d.count; met++ {
			parts := packer.take(d.accelerators, d.within)
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

// demands lists the guarantees by service, the largest gangs first and the
// ones that must be closest together first among equals.
func demands(objects map[Key]Object, get func(Key) (Object, bool)) map[anvilid.ServiceName][]demand {
	byService := map[anvilid.ServiceName][]demand{}
	for key, object := range objects {
		if object.Guarantee == nil {
			continue
		}
		shape, _ := get(Key{KindShape, anvilid.ObjectName(object.Guarantee.Shape)})
		if shape.Shape == nil {
			continue // reported as a dangling reference
		}
		service := object.Guarantee.Service
		byService[service] = append(byService[service], demand{
			key: key, accelerators: shape.Shape.Accelerators, within: shape.Shape.Within, count: object.Guarantee.Count,
		})
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b demand) int {
			return cmp.Or(cmp.Compare(b.accelerators, a.accelerators), cmp.Compare(rank(a.within), rank(b.within)), a.key.Compare(b.key))
		})
	}
	return byService
}

func rank(within Extent) int {
	return slices.Index([]Extent{WithinWorker, WithinRack, WithinZone}, within)
}

type serviceDemand struct {
	name    anvilid.ServiceName
	demands []demand
}

// growing returns the services that are asked for a gang more, larger or
// closer together than before, or that have fewer targets for gangs.
func growing(before, after map[anvilid.ServiceName][]demand, widened map[anvilid.ServiceName]bool) []serviceDemand {
	type form struct {
		accelerators anvilid.AcceleratorCount
		within       Extent
	}
	var result []serviceDemand
	for service, list := range after {
		left := map[form]int{}
		for _, d := range before[service] {
			left[form{d.accelerators, d.within}] += d.count
		}
		grows := widened[service]
		for _, d := range list {
			left[form{d.accelerators, d.within}] -= d.count
			grows = grows || left[form{d.accelerators, d.within}] < 0
		}
		if grows {
			result = append(result, serviceDemand{service, list})
		}
	}
	slices.SortFunc(result, func(a, b serviceDemand) int { return cmp.Compare(a.name, b.name) })
	return result
}
