package anvilplan

import (
	"slices"

	"anvilshunt/core/anvilclock"
)

// Restore enters a gang that was placed by another planner, such as that of
// the previous leader. Guaranteed gangs keep their guarantee, even if it was
// withdrawn since. Reservations in the way move; call Repair when all gangs
// are restored.
func (p *Planner) Restore(saved anvilclock.Millis, r Request, members []Member, guaranteed bool) error {
	if err := checkShape(r.Shape); err != nil {
		return err
	}
	if _, known := p.gangByJob[r.Job]; known {
		return refuse(ErrDuplicate, "job %q; release it first", r.Job)
	}
	blocks, err := p.findBlocks(r, members)
	if err != nil {
		return err
	}
	u := none
	if guaranteed {
		u = p.unitAt(r, blocks)
	}
	gang := p.newGang(saved, r, u, blocks)
	if u != none {
		p.enterUnit(u, gang)
	}
	p.assign(gang, blocks)
	p.proveUnmet(p.serviceOf(blocks[0].target))
	return nil
}

// findBlocks translates members and checks that nobody holds them.
func (p *Planner) findBlocks(r Request, members []Member) ([]block, error) {
	var blocks []block
	total := 0
	for _, m := range members {
		target, known := p.targetByID[m.Target]
		if !known {
			return nil, refuse(ErrInvalid, "job %q has a member on target %q, which isn't known; release the job", r.Job, m.Target)
		}
		if m.First < 0 || m.Count < 1 || m.First+m.Count > workerSize {
			return nil, refuse(ErrInvalid, "job %q has a member with accelerators %d to %d", r.Job, m.First, m.First+m.Count-1)
		}
		b := block{target, uint8(m.First), uint8(m.Count)}
		t := &p.targets[target]
		if b.mask()&^t.all != 0 || b.mask()&t.used != 0 {
			return nil, refuse(ErrNoRoom, "accelerators of job %q on target %q are held by another gang or don't exist; release one of the jobs", r.Job, m.Target)
		}
		blocks = append(blocks, b)
		total += m.Count
	}
	if total != int(r.Shape.Accelerators) {
		return nil, refuse(ErrInvalid, "job %q has %d accelerators in its members, want %d", r.Job, total, r.Shape.Accelerators)
	}
	return blocks, nil
}

// unitAt returns an idle unit for a request whose reservation is at blocks.
// Other reservations there are taken away. Without a suitable unit, it makes
// one that ends with the gang.
func (p *Planner) unitAt(r Request, blocks []block) int32 {
	number, known := p.findPromise(r)
	if !known {
		number = p.addPromise(Guarantee{Account: r.Account, Service: r.Service, Shape: r.Shape})
	}
	promise := &p.promises[number]
	u := none
	if len(promise.idle) > 0 {
		u = promise.idle[len(promise.idle)-1]
		p.unreserve(u)
	} else if i := slices.IndexFunc(promise.units, func(x int32) bool { return len(p.units[x].blocks) == 0 }); i >= 0 {
		u = promise.units[i]
	} else {
		p.newUnit(number)
		u = promise.units[len(promise.units)-1]
		p.units[u].surplus = true
	}
	for _, b := range blocks {
		for i := b.first; i < b.first+b.count; i++ {
			if v := p.reservation[b.target*workerSize+int32(i)]; v != none {
				p.unreserve(v)
			}
		}
	}
	p.reserve(u, blocks)
	return u
}

// Repair tries again to prove the guarantees that are unmet, and returns
// those that remain so. It may arrange all idle reservations anew, which
// takes far longer than other calls.
func (p *Planner) Repair() []Unmet {
	var unmet []Unmet
	for service := range p.services {
		p.prove(int32(service))
		unmet = append(unmet, p.unmetOf(int32(service))...)
	}
	return unmet
}
