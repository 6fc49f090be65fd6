package anvilconfig

import "anvilshunt/core/anvilid"

// Inventory returns the targets of a service that can receive work, grouped by zone and rack. The
// placement depends on the order of the targets, so the order must not depend on map iteration.
type Inventory func(service anvilid.ServiceName) []Zone

// Zone is an availability zone in the result of an Inventory.
type Zone struct {
	Region anvilid.RegionName
	Name   anvilid.ZoneName
	Racks  []Rack
}

// Rack is a rack in the result of an Inventory. Targets are only those of the service that the
// Inventory was asked for.
type Rack struct {
	Name    anvilid.RackName
	Targets []Target
}

// Target is a target with the number of its accelerators, whether in use or not.
type Target struct {
	ID           anvilid.TargetID
	Accelerators anvilid.AcceleratorCount
}

// FixedInventory returns an Inventory that always returns the given targets.
func FixedInventory(services map[anvilid.ServiceName][]Zone) Inventory {
	return func(service anvilid.ServiceName) []Zone { return services[service] }
}
