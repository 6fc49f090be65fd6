package anvilplan

import (
	"slices"

	"anvilshunt/core/anvilclock"
)

// Restore adds a gang that was placed by another planner, such as that of the previous leader. A
// guaranteed gang remains guaranteed, even if the guarantee was withdrawn in the meantime. Other
// units whose reservations overlap with the gang lose them, and get new ones if accelerators are
// left. Call Repair when all gangs are restored.
func (p *Planner) Restore(savedAt anvilclock.Millis, r Request, members []Member, guaranteed bool) error {
	if err := checkShape(r.Shape); err != nil {
		return err
	}
	if _, known := p.gangByJob[r.Job]; known {
		return wrapReason(ErrDuplicate, "job %q; release it first", r.Job)
	}
	blocks, err := p.findBlocks(r, members)
	if err != nil {
		return err
	}
	u := none
	if guaranteed {
		u = p.unitAt(r, blocks)
	}
	gang := p.newGang(savedAt, r, u, blocks)
	if u != none {
		p.occupyUnit(u, gang)
	}
	p.assignBlocks(gang, blocks)
	p.reserveUnmet(p.serviceOf(blocks[0].target))
	return nil
}

// findBlocks converts members to blocks and checks that their accelerators exist, are assigned to no
// gang and are as many as the shape has.
func (p *Planner) findBlocks(r Request, members []Member) ([]block, error) {
	var blocks []block
	total := 0
	for _, m := range members {
		target, known := p.targetByID[m.Target]
		if !known {
			return nil, wrapReason(ErrInvalid, "job %q has a member on target %q, which isn't known; release the job", r.Job, m.Target)
		}
		if m.First < 0 || m.Count < 1 || m.First+m.Count > workerSize {
			return nil, wrapReason(ErrInvalid, "job %q has a member with accelerators %d to %d, which no target has", r.Job, m.First, m.First+m.Count-1)
		}
		b := block{target, uint8(m.First), uint8(m.Count)}
		t := &p.targets[target]
		if b.mask()&^t.all != 0 || b.mask()&t.used != 0 {
			return nil, wrapReason(ErrNoCapacity, "accelerators of job %q on target %q are in use by another gang or don't exist; release one of the jobs", r.Job, m.Target)
		}
		blocks = append(blocks, b)
		total += m.Count
	}
	if total != int(r.Shape.Accelerators) {
		return nil, wrapReason(ErrInvalid, "job %q has %d accelerators in its members, want %d", r.Job, total, r.Shape.Accelerators)
	}
	return blocks, nil
}

// unitAt returns an idle unit under which a request can run, and reserves blocks for it. Other units
// whose reservations overlap with blocks become unmet. If the quota has no unit that is idle or
// unmet, unitAt creates a surplus unit, which is deleted when the gang ends.
func (p *Planner) unitAt(r Request, blocks []block) int32 {
	number, known := p.findQuota(r)
	if !known {
		number = p.addQuota(Guarantee{Account: r.Account, Service: r.Service, Shape: r.Shape})
	}
	quota := &p.quotas[number]
	u := none
	if len(quota.idle) > 0 {
		u = quota.idle[len(quota.idle)-1]
		p.unreserve(u)
	} else if i := slices.IndexFunc(quota.units, func(x int32) bool { return len(p.units[x].blocks) == 0 }); i >= 0 {
		u = quota.units[i]
	} else {
		p.newUnit(number)
		u = quota.units[len(quota.units)-1]
		p.units[u].surplus = true
	}
	for _, b := range blocks {
		for i := b.first; i < b.first+b.count; i++ {
			if v := p.reservedFor[b.target*workerSize+int32(i)]; v != none {
				p.unreserve(v)
			}
		}
	}
	p.reserve(u, blocks)
	return u
}

// Repair tries again to reserve accelerators for guaranteed gangs that have no reservation, and
// returns those that still have none. It may move the reservations of all idle units, which takes far
// longer than other calls.
func (p *Planner) Repair() []Unmet {
	var unmet []Unmet
	for service := range p.services {
		p.reserveOrRearrange(int32(service))
		unmet = append(unmet, p.unmetOf(int32(service))...)
	}
	return unmet
}
