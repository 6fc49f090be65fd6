// Package anvilplan places gangs on accelerators and keeps the guarantees of client accounts.
//
// Accelerators form nested cells: a single accelerator, a pair, a quad, a worker (the accelerators
// of one target, at most 8), a rack and a zone. A gang is placed in the smallest cell that is large
// enough, so that large cells remain for large gangs.
//
// A guarantee entitles an account to run a number of gangs of one shape at any time. The entitlement
// to one such gang is a unit. For each unit the planner reserves the accelerators on which its gang
// could run. Reservations never overlap. A unit is
//   - in use, if a gang runs under it,
//   - idle, if it has a reservation but no gang,
//   - unmet, if no accelerators could be reserved for it.
//
// The accelerators of an idle unit may be lent to borrowers, which are gangs beyond the guarantee of
// their account. All borrowers can be preempted, so the gangs of all units that have a reservation
// can be placed at the same time.
//
// The same calls in the same order give the same results on every replica.
//
// A Planner isn't safe for concurrent use.
package anvilplan

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// topology lists the targets, racks, zones and services, and how they are nested. Other fields and
// parameters refer to each of them by its index in these slices.
type topology struct {
	targets  []target
	racks    []rack
	zones    []zone
	services []service
}

type target struct {
	id       anvilid.TargetID
	rack     int32
	all      mask
	used     mask // accelerators that are assigned to gangs
	reserved mask // accelerators that are part of a reservation
	cordoned bool // accepts no new gangs, see Cordon
}

type rack struct {
	zone     int32
	position int32 // index in zone.racks
	targets  []int32
}

type zone struct {
	service int32
	racks   []int32
}

type service struct {
	name  anvilid.ServiceName
	zones []int32
	unmet []int32 // units without a reservation
}

type rackKey struct {
	zone int32
	rack anvilid.RackName
}

type zoneKey struct {
	service int32
	region  anvilid.RegionName
	zone    anvilid.ZoneName
}

// Planner keeps the state of the accelerators, the placed gangs and the guarantees, and places gangs.
type Planner struct {
	topology

	targetByID  map[anvilid.TargetID]int32
	rackByKey   map[rackKey]int32
	zoneByKey   map[zoneKey]int32
	serviceByID map[anvilid.ServiceName]int32
	freeTargets []int32

	present        space // all accelerators of targets that aren't cordoned, in use or not
	free           space // accelerators of present that are assigned to no gang
	unreserved     space // accelerators of present that aren't part of a reservation
	freeUnreserved space // accelerators that are both in free and in unreserved

	holder      []int32 // by accelerator (target*workerSize + number): the gang that it is assigned to, or none
	reservedFor []int32 // by accelerator (same index): the unit that it is reserved for, or none

	gangs     []gang
	freeGangs []int32
	gangByJob map[anvilid.JobID]int32

	accounts    []anvilid.AccountID
	accountByID map[anvilid.AccountID]int32

	pools           []pool
	poolByShape     map[poolKey]int32
	quotas          []quota
	quotaByKey      map[quotaKey]int32
	quotasOfAccount map[accountService][]int32 // indexes in quotas
	units           []unit
	freeUnits       []int32

	newestBorrower int32   // the borrower that saved its work last; head of the list linked by gang.olderBorrower
	lentCursor     int     // index modulo len(pool.lent) at which the next call of moveToCheapest starts
	scratch        []block // buffer that searches reuse
	visited        []int32 // gangs that cost has counted already; reused between calls
}

// New returns an empty planner.
func New() *Planner {
	p := &Planner{
		newestBorrower:  none,
		targetByID:      map[anvilid.TargetID]int32{},
		rackByKey:       map[rackKey]int32{},
		zoneByKey:       map[zoneKey]int32{},
		serviceByID:     map[anvilid.ServiceName]int32{},
		gangByJob:       map[anvilid.JobID]int32{},
		accountByID:     map[anvilid.AccountID]int32{},
		poolByShape:     map[poolKey]int32{},
		quotaByKey:      map[quotaKey]int32{},
		quotasOfAccount: map[accountService][]int32{},
	}
	for _, s := range p.spaces() {
		s.topology = &p.topology
	}
	return p
}

func (p *Planner) spaces() [4]*space {
	return [4]*space{&p.present, &p.free, &p.unreserved, &p.freeUnreserved}
}

// Target describes a target that is added to the planner: its service, its location and the number of
// its accelerators.
type Target struct {
	ID           anvilid.TargetID
	Service      anvilid.ServiceName
	Region       anvilid.RegionName
	Zone         anvilid.ZoneName
	Rack         anvilid.RackName
	Accelerators anvilid.AcceleratorCount
}

// Member is the part of a gang on one target: accelerators First to First+Count-1. First is a
// multiple of the smallest power of two that is at least Count.
type Member struct {
	Target anvilid.TargetID
	First  int
	Count  int
}

// Request asks for the placement of a gang.
type Request struct {
	Job     anvilid.JobID
	Account anvilid.AccountID
	Service anvilid.ServiceName
	Shape   anvilconfig.Shape
	// Preemptible allows the gang to run as a borrower, beyond the guarantee of its account.
	Preemptible bool
}

// Placement is where a gang runs, and what must happen before it starts.
type Placement struct {
	Job     anvilid.JobID
	Members []Member
	// Guaranteed means that the gang runs within the guarantee of its account and won't be preempted.
	Guaranteed bool
	// Victims are the gangs to preempt for this one, ordered by the work that they lose, least first.
	Victims []anvilid.JobID
	// Waits are the gangs that must be released before this one may start, because they still run on
	// its accelerators: the victims, and gangs that were already being stopped.
	Waits []anvilid.JobID
}

// Unmet is the number of guaranteed gangs of one account and shape for which no accelerators are
// reserved, so that the planner may be unable to place them.
type Unmet struct {
	Account anvilid.AccountID
	Service anvilid.ServiceName
	Shape   anvilconfig.Shape
	Count   int
}

// Loss says which gangs and which reservations were lost with a target that was removed.
type Loss struct {
	// Gangs are the running gangs that lost a member. The caller must stop their other members and
	// then call Release, which frees the accelerators that are still assigned to them.
	Gangs []anvilid.JobID
	// Unmet lists all guaranteed gangs of the service that have no reservation now. If the planner
	// has more than maxQuickUnits units, Repair may still find reservations for some of them.
	Unmet []Unmet
}

// refresh recomputes which accelerators of a target belong to each space, after a change of the
// target.
func (p *Planner) refresh(number int32) {
	t := &p.targets[number]
	all := t.all
	if t.cordoned {
		all = 0
	}
	p.present.set(number, all)
	p.free.set(number, all&^t.used)
	p.unreserved.set(number, all&^t.reserved)
	p.freeUnreserved.set(number, all&^t.used&^t.reserved)
}

func (p *Planner) serviceOf(target int32) int32 {
	return p.zones[p.racks[p.targets[target].rack].zone].service
}

// Largest returns the sizes of the largest gangs that can be placed in a service without preemption.
func (p *Planner) Largest(name anvilid.ServiceName) Largest {
	number, known := p.serviceByID[name]
	if !known {
		return Largest{}
	}
	return p.free.largest(number)
}

// AddTarget adds a target, or makes a cordoned one available again. It returns the guaranteed gangs
// of the service that still have no reservation.
func (p *Planner) AddTarget(t Target) ([]Unmet, error) {
	if t.Accelerators < 0 || t.Accelerators > workerSize {
		return nil, wrapReason(ErrInvalid, "target %q has %d accelerators, want 0 to %d; split larger targets", t.ID, t.Accelerators, workerSize)
	}
	service := p.addService(t.Service)
	rack := p.addRack(service, t)
	number, known := p.targetByID[t.ID]
	if known {
		old := &p.targets[number]
		if old.rack != rack || old.all != lowest(int(t.Accelerators)) {
			return nil, wrapReason(ErrInvalid, "target %q is already known in another rack or with another number of accelerators; remove it first", t.ID)
		}
		old.cordoned = false
	} else {
		number = p.newTarget(t, rack)
	}
	p.refresh(number)
	p.reserveUnmet(service)
	return p.unmetOf(service), nil
}

func (p *Planner) newTarget(t Target, rack int32) int32 {
	number := int32(len(p.targets))
	record := target{id: t.ID, rack: rack, all: lowest(int(t.Accelerators))}
	if last := len(p.freeTargets) - 1; last >= 0 {
		number = p.freeTargets[last]
		p.freeTargets = p.freeTargets[:last]
		p.targets[number] = record
	} else {
		p.targets = append(p.targets, record)
		for range workerSize {
			p.holder = append(p.holder, none)
			p.reservedFor = append(p.reservedFor, none)
		}
	}
	p.targetByID[t.ID] = number
	p.racks[rack].targets = append(p.racks[rack].targets, number)
	for _, s := range p.spaces() {
		s.addTarget(number)
	}
	return number
}

func (p *Planner) addService(name anvilid.ServiceName) int32 {
	if number, known := p.serviceByID[name]; known {
		return number
	}
	number := int32(len(p.services))
	p.serviceByID[name] = number
	p.services = append(p.services, service{name: name})
	for _, s := range p.spaces() {
		s.addService()
	}
	return number
}

func (p *Planner) addRack(serviceNumber int32, t Target) int32 {
	zk := zoneKey{serviceNumber, t.Region, t.Zone}
	zoneNumber, known := p.zoneByKey[zk]
	if !known {
		zoneNumber = int32(len(p.zones))
		p.zoneByKey[zk] = zoneNumber
		p.zones = append(p.zones, zone{service: serviceNumber})
		p.services[serviceNumber].zones = append(p.services[serviceNumber].zones, zoneNumber)
		for _, s := range p.spaces() {
			s.addZone()
		}
	}
	rk := rackKey{zoneNumber, t.Rack}
	number, known := p.rackByKey[rk]
	if !known {
		number = int32(len(p.racks))
		p.rackByKey[rk] = number
		z := &p.zones[zoneNumber]
		p.racks = append(p.racks, rack{zone: zoneNumber, position: int32(len(z.racks))})
		z.racks = append(z.racks, number)
		for _, s := range p.spaces() {
			s.addRack(number)
		}
	}
	return number
}

// Cordon keeps new gangs off a target. Gangs that run there continue, and reservations of idle units
// move elsewhere. It returns the guaranteed gangs of the service that have no reservation now; as
// for Loss.Unmet, Repair may still find some if there are more than maxQuickUnits units.
func (p *Planner) Cordon(id anvilid.TargetID) []Unmet {
	number, known := p.targetByID[id]
	if !known {
		return nil
	}
	service := p.serviceOf(number)
	p.targets[number].cordoned = true
	for _, u := range p.unitsOn(number) {
		if p.units[u].gang == none {
			p.unreserve(u)
		}
	}
	p.refresh(number)
	p.reserveOrRearrangeIfFew(service)
	return p.unmetOf(service)
}

// RemoveTarget removes a target that has failed or left. Every gang with a member on it ends, because
// a gang can't run without all of its members.
func (p *Planner) RemoveTarget(id anvilid.TargetID) Loss {
	number, known := p.targetByID[id]
	if !known {
		return Loss{}
	}
	service := p.serviceOf(number)
	loss := Loss{Gangs: p.endGangsOn(number)}
	for _, u := range p.unitsOn(number) {
		p.unreserve(u)
	}
	for _, s := range p.spaces() {
		s.set(number, 0)
	}
	r := &p.racks[p.targets[number].rack]
	r.targets = slices.DeleteFunc(r.targets, func(t int32) bool { return t == number })
	delete(p.targetByID, id)
	p.freeTargets = append(p.freeTargets, number)
	p.reserveOrRearrangeIfFew(service)
	loss.Unmet = p.unmetOf(service)
	return loss
}

// unitsOn returns the units (guaranteed gangs) that have reservations on a target.
func (p *Planner) unitsOn(target int32) []int32 {
	var units []int32
	for _, u := range p.reservedFor[target*workerSize : (target+1)*workerSize] {
		if u != none && !slices.Contains(units, u) {
			units = append(units, u)
		}
	}
	return units
}

// endGangsOn removes a target from all gangs that have accelerators on it, marks these gangs as
// ending and returns the jobs of those that weren't ending already.
func (p *Planner) endGangsOn(target int32) []anvilid.JobID {
	var holders []int32
	for _, g := range p.holder[target*workerSize : (target+1)*workerSize] {
		if g == none || slices.Contains(holders, g) {
			continue
		}
		holders = append(holders, g)
		// A gang that is ending may still run on accelerators that were already assigned to the gang that
		// waits for it.
		for _, w := range p.gangs[g].waitsFor() {
			if !slices.Contains(holders, w) {
				holders = append(holders, w)
			}
		}
	}
	var lost []anvilid.JobID
	for _, g := range holders {
		if p.removeBlocksOn(g, target) && !p.gangs[g].ending {
			lost = append(lost, p.gangs[g].job)
			p.markEnding(g)
		}
	}
	for i := target * workerSize; i < (target+1)*workerSize; i++ {
		p.holder[i] = none
	}
	p.targets[target].used = 0
	return lost
}

// Checkpoint records that a gang has saved its work, so that preempting the gang loses only its
// work after now.
func (p *Planner) Checkpoint(now anvilclock.Millis, job anvilid.JobID) {
	if g, known := p.gangByJob[job]; known {
		p.gangs[g].savedAt = now
		if p.gangs[g].isBorrower {
			p.removeBorrower(g)
			p.addBorrower(g)
		}
	}
}
