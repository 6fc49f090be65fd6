package anvilplan

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
)

// Place chooses accelerators for a gang and assigns them to it. A gang for which its account has an
// idle reservation is always placed, if need be by preempting borrowers. These victims are marked as
// ending, and the gang may start once all gangs in Placement.Waits are released. Any other gang
// becomes a borrower: it must be preemptible and fit into the free accelerators, or else Place returns
// a *Refusal. Other errors wrap ErrInvalid or ErrDuplicate.
func (p *Planner) Place(now anvilclock.Millis, r Request) (Placement, error) {
	if err := checkShape(r.Shape); err != nil {
		return Placement{}, err
	}
	if _, known := p.gangByJob[r.Job]; known {
		return Placement{}, wrapReason(ErrDuplicate, "job %q; release it first", r.Job)
	}
	service, known := p.serviceByID[r.Service]
	if !known {
		return Placement{}, p.refusal(ErrUnsatisfiable, r)
	}
	if quota, known := p.findQuota(r); known && len(p.quotas[quota].idle) > 0 {
		return p.placeGuaranteed(now, r, quota), nil
	}
	if !r.Preemptible {
		return Placement{}, p.refusal(ErrNotPreemptible, r)
	}
	// Borrowers avoid reserved accelerators, because guaranteed gangs preempt borrowers on those.
	blocks, ok := p.freeUnreserved.search(service, r.Shape, p.scratch[:0])
	if !ok {
		blocks, ok = p.free.search(service, r.Shape, p.scratch[:0])
	}
	p.scratch = blocks
	if !ok {
		return Placement{}, p.refusal(ErrNoCapacity, r)
	}
	gang := p.newGang(now, r, none, blocks)
	p.assignBlocks(gang, blocks)
	return Placement{Job: r.Job, Members: p.members(blocks)}, nil
}

// findQuota returns the quota (guarantee for one shape) of the account under which a request can run:
// one for the same number of accelerators within the same or a smaller extent. Quotas with an idle unit
// are preferred, then those with the largest extent. known is false if there is no such quota.
func (p *Planner) findQuota(r Request) (number int32, known bool) {
	account, known := p.accountByID[r.Account]
	if !known {
		return none, false
	}
	number = none
	rank := func(x int32) int {
		n := extentRank(p.pools[p.quotas[x].pool].shape.Within)
		if len(p.quotas[x].idle) > 0 {
			n += len(extentOrders[0])
		}
		return n
	}
	for _, x := range p.quotasOfAccount[accountService{account, p.serviceByID[r.Service]}] {
		shape := p.pools[p.quotas[x].pool].shape
		if shape.Accelerators != r.Shape.Accelerators || extentRank(shape.Within) > extentRank(r.Shape.Within) {
			continue
		}
		if number == none || rank(x) > rank(number) {
			number = x
		}
	}
	return number, number != none
}

// placeGuaranteed places a gang on the reservation of an idle unit of a quota. If borrowers run on the
// reservation, it first tries to move the reservation to free accelerators, then to where preemption
// loses the least work.
func (p *Planner) placeGuaranteed(now anvilclock.Millis, r Request, quota int32) Placement {
	u := p.chooseUnit(quota)
	if p.units[u].lent > 0 && !p.moveToFreeUnreserved(u) && !p.moveToFree(u) {
		p.moveToCheapest(now, u)
	}
	victims := p.victims(now, p.units[u].blocks)
	for _, v := range victims {
		p.markEnding(v)
	}
	p.scratch = append(p.scratch[:0], p.units[u].blocks...)
	gang := p.newGang(now, r, u, p.scratch)
	p.occupyUnit(u, gang)
	p.assignBlocks(gang, p.scratch)
	return Placement{
		Job: r.Job, Members: p.members(p.scratch), Guaranteed: true,
		Victims: p.jobs(victims), Waits: p.jobs(p.gangs[gang].waitsFor()),
	}
}

// maxIdleUnitScan limits how many idle units (guaranteed gangs that aren't running) chooseUnit examines
// to find one without borrowers.
const maxIdleUnitScan = 8

// chooseUnit returns an idle unit of a quota. If an idle unit of the same pool has no borrowers on its
// reservation, the returned unit has none either: the two swap reservations if necessary.
func (p *Planner) chooseUnit(quota int32) int32 {
	idle := p.quotas[quota].idle
	for i := len(idle) - 1; i >= 0 && i >= len(idle)-maxIdleUnitScan; i-- {
		if p.units[idle[i]].lent == 0 {
			return idle[i]
		}
	}
	u := idle[len(idle)-1]
	if withoutBorrowers := p.pools[p.quotas[quota].pool].notLent; len(withoutBorrowers) > 0 {
		p.swapReservations(u, withoutBorrowers[len(withoutBorrowers)-1])
	}
	return u
}

// moveToFreeUnreserved moves the reservation of an idle unit to accelerators that are free and not
// reserved, and reports whether there are enough.
func (p *Planner) moveToFreeUnreserved(u int32) bool {
	k := p.poolOf(u)
	blocks, ok := p.freeUnreserved.search(k.service, k.shape, p.scratch[:0])
	p.scratch = blocks
	if ok {
		p.moveReservation(u, blocks)
	}
	return ok
}

// maxDisplaced limits how many reservations of other units moveToFree moves for one placement.
const maxDisplaced = 4

// moveToFree moves the reservation of an idle unit to free accelerators that are reserved for other
// idle units, and reserves other accelerators for those. It reports whether that was possible; if
// not, all reservations stay as they were.
func (p *Planner) moveToFree(u int32) bool {
	k := p.poolOf(u)
	service, shape := k.service, k.shape
	blocks, ok := p.free.search(service, shape, p.scratch[:0])
	p.scratch = blocks
	if !ok {
		return false
	}
	displaced := []int32{u}
	for _, b := range blocks {
		for i := b.first; i < b.first+b.count; i++ {
			v := p.reservedFor[b.target*workerSize+int32(i)]
			if v != none && !slices.Contains(displaced, v) {
				displaced = append(displaced, v)
			}
		}
	}
	if len(displaced) > maxDisplaced+1 {
		return false
	}
	former := make([]unitReservation, len(displaced))
	for i, v := range displaced {
		former[i] = unitReservation{v, slices.Clone(p.units[v].blocks)}
		p.unreserve(v)
	}
	p.reserve(u, blocks)
	for _, v := range displaced[1:] {
		found, ok := p.unreserved.search(service, p.poolOf(v).shape, nil)
		if !ok {
			p.restoreReservations(former)
			return false
		}
		p.reserve(v, found)
	}
	return true
}

// restoreReservations gives idle units their former reservations back.
func (p *Planner) restoreReservations(former []unitReservation) {
	for _, r := range former {
		if len(p.units[r.unit].blocks) > 0 {
			p.unreserve(r.unit)
		}
	}
	for _, r := range former {
		p.reserve(r.unit, r.blocks)
	}
}

// victims returns the gangs on blocks that must be preempted, ordered by the work that they lose,
// least first. Gangs that are already ending aren't among them.
func (p *Planner) victims(now anvilclock.Millis, blocks []block) []int32 {
	var victims []int32
	for _, b := range blocks {
		for _, g := range p.holders(b) {
			if g != none && !p.gangs[g].ending && !slices.Contains(victims, g) {
				victims = append(victims, g)
			}
		}
	}
	slices.SortFunc(victims, func(a, b int32) int {
		return cmp.Or(cmp.Compare(p.lostWork(now, a), p.lostWork(now, b)), cmp.Compare(p.gangs[a].job, p.gangs[b].job))
	})
	return victims
}

// lostWork returns the work that is lost if a gang is preempted, in accelerator-milliseconds.
func (p *Planner) lostWork(now anvilclock.Millis, g int32) int64 {
	gang := &p.gangs[g]
	return int64(now-gang.savedAt+1) * int64(gang.size())
}
