package anvilcheck

import (
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilstate"
)

// Capacity is what the targets of one service offer to gangs.
type Capacity struct {
	Targets      int
	Accelerators anvilid.AcceleratorCount
	// Largest* are the accelerators of the largest target, rack and zone.
	LargestTarget, LargestRack, LargestZone anvilid.AcceleratorCount
}

// Fleet is the capacity of each service that has targets. A nil Fleet means that the targets are not
// known, as in an offline check.
type Fleet map[anvilid.ServiceName]Capacity

// NewFleet returns the capacity of the targets that aren't leaving.
func NewFleet(targets []anvilstate.Target) Fleet {
	type rack struct {
		service anvilid.ServiceName
		region  anvilid.RegionName
		zone    anvilid.ZoneName
		name    anvilid.RackName
	}
	fleet := Fleet{}
	sizes := map[rack]anvilid.AcceleratorCount{}
	for _, target := range targets {
		if target.Leaving {
			continue
		}
		inRack := rack{target.Service, target.Region, target.Zone, target.Rack}
		inZone := rack{target.Service, target.Region, target.Zone, ""}
		sizes[inRack] += target.Accelerators
		if inZone != inRack { // a target may have no rack
			sizes[inZone] += target.Accelerators
		}
		capacity := fleet[target.Service]
		capacity.Targets++
		capacity.Accelerators += target.Accelerators
		capacity.LargestTarget = max(capacity.LargestTarget, target.Accelerators)
		capacity.LargestRack = max(capacity.LargestRack, sizes[inRack])
		capacity.LargestZone = max(capacity.LargestZone, sizes[inZone])
		fleet[target.Service] = capacity
	}
	return fleet
}
