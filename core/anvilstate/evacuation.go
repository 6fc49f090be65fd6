package anvilstate

import (
	"cmp"
	"fmt"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Evacuation is an operator's request that no new work be sent to the targets of a zone. What runs there goes on.
type Evacuation struct {
	Region anvilid.RegionName `cbor:"1,keyasint"`
	Zone   anvilid.ZoneName   `cbor:"2,keyasint"`
	Since  anvilclock.Millis  `cbor:"3,keyasint"`
}

// EvacuateZone begins the evacuation of a zone, or ends it. The zone needn't have targets.
type EvacuateZone struct {
	Region anvilid.RegionName `cbor:"1,keyasint"`
	Zone   anvilid.ZoneName   `cbor:"2,keyasint"`
	End    bool               `cbor:"3,keyasint,omitempty"`
}

// maxEvacuations is the maximum number of zones that are evacuated at a time, so that wrong names can't fill the state.
const maxEvacuations = 1000

// ZoneStatus describes a zone that has targets or is evacuated.
type ZoneStatus struct {
	Region anvilid.RegionName `json:"region"`
	Zone   anvilid.ZoneName   `json:"zone"`
	// EvacuatedSince is the time of the log entry that evacuated the zone, or 0 if it isn't evacuated.
	EvacuatedSince anvilclock.Millis `json:"evacuated,omitempty"`
	Targets        int               `json:"targets"`
	// Reserved is the number of slots that gangs use there, and Jobs the ids of these gangs.
	Reserved anvilid.SlotCount `json:"reserved"`
	Jobs     []anvilid.JobID   `json:"jobs,omitempty"`
}

// Zones returns the zones that have targets or are evacuated, ordered by region and name.
func (m *Machine) Zones() []ZoneStatus {
	byZone := map[zoneKey]*ZoneStatus{}
	status := func(key zoneKey) *ZoneStatus {
		if byZone[key] == nil {
			byZone[key] = &ZoneStatus{Region: key.region, Zone: key.zone}
		}
		return byZone[key]
	}
	for key, evacuation := range m.evacuations {
		status(key).EvacuatedSince = evacuation.Since
	}
	for _, id := range sortedKeys(m.targets) {
		target := m.targets[id]
		zone := status(zoneOf(target))
		zone.Targets++
		zone.Reserved += target.Reserved
		zone.Jobs = append(zone.Jobs, sortedKeys(m.jobs.reserved[id])...)
	}
	zones := make([]ZoneStatus, 0, len(byZone))
	for _, zone := range byZone {
		slices.Sort(zone.Jobs)
		zone.Jobs = slices.Compact(zone.Jobs)
		zones = append(zones, *zone)
	}
	slices.SortFunc(zones, func(a, b ZoneStatus) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
	})
	return zones
}

// evacuate begins or ends the evacuation of a zone. Gangs that have not started there are placed again.
func (m *Machine) evacuate(command EvacuateZone) error {
	key := zoneKey{command.Region, command.Zone}
	_, evacuated := m.evacuations[key]
	switch {
	case evacuated != command.End:
		return nil // a resent command
	case command.End:
		delete(m.evacuations, key)
	case command.Region == "" || command.Zone == "":
		return fmt.Errorf("%w: zone %q of region %q can't be evacuated; give both names", ErrInvalid, command.Zone, command.Region)
	case len(m.evacuations) >= maxEvacuations:
		return fmt.Errorf("%w: %d zones are evacuated; end the evacuation of one first", ErrOverloaded, len(m.evacuations))
	default:
		m.evacuations[key] = Evacuation{Region: command.Region, Zone: command.Zone, Since: m.at}
	}
	for _, id := range sortedKeys(m.targets) {
		if target := m.targets[id]; zoneOf(target) == key {
			target.Evacuated = !command.End
			m.recordTargetChange(id)
			if target.Evacuated {
				m.stopStartingJobs(target)
			}
		}
	}
	return nil
}

// stopStartingJobs stops the gangs with a member on a target that have been placed and not started.
func (m *Machine) stopStartingJobs(target *Target) {
	for _, name := range sortedKeys(m.jobs.reserved[target.ID]) {
		if job := m.jobs.byID[name]; job.State == JobPlaced || job.State == JobPreparing {
			m.setState(job, JobStopping, fmt.Sprintf("zone %q is evacuated", target.Zone))
		}
	}
}
