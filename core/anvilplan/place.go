package anvilplan

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
)

// Place places a gang or returns a *Refusal. A gang within the guarantee of
// its account is always placed, if need be by preempting borrowers: victims
// are ending from now on, and the gang may start when all gangs in Waits are
// released. Other gangs use what is free and must be preemptible.
func (p *Planner) Place(now anvilclock.Millis, r Request) (Placement, error) {
	if err := checkShape(r.Shape); err != nil {
		return Placement{}, err
	}
	if _, known := p.gangByJob[r.Job]; known {
		return Placement{}, refuse(ErrDuplicate, "job %q; release it first", r.Job)
	}
	service, known := p.serviceByID[r.Service]
	if !known {
		return Placement{}, p.refusal(ErrNever, r)
	}
	if promise, known := p.findPromise(r); known && len(p.promises[promise].idle) > 0 {
		return p.placeGuaranteed(now, r, promise), nil
	}
	if !r.Preemptible {
		return Placement{}, p.refusal(ErrNotPreemptible, r)
	}
	// Borrowers avoid reservations, because those are reclaimed first.
	blocks, ok := p.spare.search(service, r.Shape, p.scratch[:0])
	if !ok {
		blocks, ok = p.free.search(service, r.Shape, p.scratch[:0])
	}
	p.scratch = blocks
	if !ok {
		return Placement{}, p.refusal(ErrNoRoom, r)
	}
	gang := p.newGang(now, r, none, blocks)
	p.assign(gang, blocks)
	return Placement{Job: r.Job, Members: p.members(blocks)}, nil
}

// findPromise returns the promise that covers a request: one for the same
// number of accelerators in the same extent or a tighter one, preferably
// with an idle unit.
func (p *Planner) findPromise(r Request) (number int32, known bool) {
	account, known := p.accountByID[r.Account]
	if !known {
		return none, false
	}
	number = none
	rank := func(x int32) int {
		n := extentRank(p.kinds[p.promises[x].kind].shape.Within)
		if len(p.promises[x].idle) > 0 {
			n += len(provingOrders[0])
		}
		return n
	}
	for _, x := range p.accountShapes[accountService{account, p.serviceByID[r.Service]}] {
		shape := p.kinds[p.promises[x].kind].shape
		if shape.Accelerators != r.Shape.Accelerators || extentRank(shape.Within) > extentRank(r.Shape.Within) {
			continue
		}
		if number == none || rank(x) > rank(number) {
			number = x
		}
	}
	return number, number != none
}

// placeGuaranteed places a gang in an idle unit of a promise.
func (p *Planner) placeGuaranteed(now anvilclock.Millis, r Request, promise int32) Placement {
	u := p.chooseUnit(promise)
	if p.units[u].lent > 0 && !p.moveToSpare(u) && !p.moveToFree(u) {
		p.moveToCheapest(now, u)
	}
	victims := p.victims(now, p.units[u].blocks)
	for _, v := range victims {
		p.endGang(v)
	}
	p.scratch = append(p.scratch[:0], p.units[u].blocks...)
	gang := p.newGang(now, r, u, p.scratch)
	p.enterUnit(u, gang)
	p.assign(gang, p.scratch)
	return Placement{
		Job: r.Job, Members: p.members(p.scratch), Guaranteed: true,
		Victims: p.jobs(victims), Waits: p.jobs(p.gangs[gang].waitsFor()),
	}
}

// unitScan bounds the idle units of a promise that are looked at.
const unitScan = 8

// chooseUnit returns an idle unit of a promise, without borrowers if a unit
// of the same kind has none.
func (p *Planner) chooseUnit(promise int32) int32 {
	idle := p.promises[promise].idle
	for i := len(idle) - 1; i >= 0 && i >= len(idle)-unitScan; i-- {
		if p.units[idle[i]].lent == 0 {
			return idle[i]
		}
	}
	u := idle[len(idle)-1]
	if empty := p.kinds[p.promises[promise].kind].clear; len(empty) > 0 {
		p.swap(u, empty[len(empty)-1])
	}
	return u
}

// moveToSpare moves a reservation to free accelerators that aren't reserved.
func (p *Planner) moveToSpare(u int32) bool {
	k := p.kindOf(u)
	blocks, ok := p.spare.search(k.service, k.shape, p.scratch[:0])
	p.scratch = blocks
	if ok {
		p.move(u, blocks)
	}
	return ok
}

// maxDisplaced bounds the reservations that make room for one placement.
const maxDisplaced = 4

// moveToFree moves a reservation to free accelerators that are reserved for
// idle units, if reservations for those are found elsewhere.
func (p *Planner) moveToFree(u int32) bool {
	k := p.kindOf(u)
	service, shape := k.service, k.shape
	blocks, ok := p.free.search(service, shape, p.scratch[:0])
	p.scratch = blocks
	if !ok {
		return false
	}
	displaced := []int32{u}
	for _, b := range blocks {
		for i := b.first; i < b.first+b.count; i++ {
			v := p.reservation[b.target*workerSize+int32(i)]
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
		found, ok := p.unreserved.search(service, p.kindOf(v).shape, nil)
		if !ok {
			p.restore(former)
			return false
		}
		p.reserve(v, found)
	}
	return true
}

// restore puts idle units back to former reservations.
func (p *Planner) restore(former []unitReservation) {
	for _, r := range former {
		if len(p.units[r.unit].blocks) > 0 {
			p.unreserve(r.unit)
		}
	}
	for _, r := range former {
		p.reserve(r.unit, r.blocks)
	}
}

// victims returns the gangs to preempt for blocks, least lost work first.
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

// lostWork is what preempting a gang costs, in accelerator milliseconds.
func (p *Planner) lostWork(now anvilclock.Millis, g int32) int64 {
	gang := &p.gangs[g]
	return int64(now-gang.saved+1) * int64(gang.size())
}
