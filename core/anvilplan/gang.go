package anvilplan

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// gang is a placed gang. At most one gang holds an accelerator. A gang that
// is ending holds its accelerators until it is released, except those that
// were given to a guaranteed gang that waits for it.
type gang struct {
	job     anvilid.JobID
	account int32
	service int32
	unit    int32 // reservation in use, or none for a borrower
	saved   anvilclock.Millis
	first   block
	more    *gangRest
	ending  bool
	listed  bool // among the borrowers
	older   int32
	newer   int32
}

// gangRest holds what most gangs don't need.
type gangRest struct {
	blocks  []block // beyond the first
	waits   []int32 // gangs that must be released before this one starts
	waiters []int32 // gangs that wait for this one
}

func (g *gang) rest() *gangRest {
	if g.more == nil {
		g.more = &gangRest{}
	}
	return g.more
}

func (g *gang) waitsFor() []int32 {
	if g.more == nil {
		return nil
	}
	return g.more.waits
}

// blocks appends the blocks of the gang to list.
func (g *gang) blocks(list []block) []block {
	if g.first.count > 0 {
		list = append(list, g.first)
	}
	if g.more != nil {
		list = append(list, g.more.blocks...)
	}
	return list
}

func (g *gang) setBlocks(blocks []block) {
	g.first = block{}
	if g.more != nil {
		g.more.blocks = nil
	}
	if len(blocks) > 0 {
		g.first = blocks[0]
	}
	if len(blocks) > 1 {
		g.rest().blocks = slices.Clone(blocks[1:])
	}
}

func (g *gang) size() int {
	n := int(g.first.count)
	if g.more != nil {
		for _, b := range g.more.blocks {
			n += int(b.count)
		}
	}
	return n
}

// covers tells whether an accelerator belongs to a block of the gang.
func (g *gang) covers(target int32, bit mask) bool {
	if g.first.target == target && g.first.mask()&bit != 0 {
		return true
	}
	if g.more != nil {
		for _, b := range g.more.blocks {
			if b.target == target && b.mask()&bit != 0 {
				return true
			}
		}
	}
	return false
}

func (p *Planner) newGang(now anvilclock.Millis, r Request, unit int32, blocks []block) int32 {
	record := gang{job: r.Job, account: p.addAccount(r.Account), service: p.serviceByID[r.Service], unit: unit, saved: now}
	record.setBlocks(blocks)
	number := int32(len(p.gangs))
	if last := len(p.freeGangs) - 1; last >= 0 {
		number = p.freeGangs[last]
		p.freeGangs = p.freeGangs[:last]
		p.gangs[number] = record
	} else {
		p.gangs = append(p.gangs, record)
	}
	p.gangByJob[r.Job] = number
	if unit == none {
		p.list(number)
	}
	return number
}

// list adds a borrower to the list of those that may be preempted, as the
// one with the least work to lose. Times don't go backwards, so the list is
// in the order of the saved work.
func (p *Planner) list(number int32) {
	g := &p.gangs[number]
	g.listed, g.older, g.newer = true, p.newest, none
	if p.newest != none {
		p.gangs[p.newest].newer = number
	}
	p.newest = number
}

func (p *Planner) unlist(number int32) {
	g := &p.gangs[number]
	if !g.listed {
		return
	}
	g.listed = false
	if g.newer == none {
		p.newest = g.older
	} else {
		p.gangs[g.newer].older = g.older
	}
	if g.older != none {
		p.gangs[g.older].newer = g.newer
	}
}

func (p *Planner) addAccount(id anvilid.AccountID) int32 {
	number, known := p.accountByID[id]
	if !known {
		number = int32(len(p.accounts))
		p.accounts = append(p.accounts, id)
		p.accountByID[id] = number
	}
	return number
}

// hold gives accelerators to a gang, or frees them if the gang is none.
func (p *Planner) hold(target int32, bits mask, gang int32) {
	for i := range int32(workerSize) {
		if bits&(1<<i) == 0 {
			continue
		}
		a := target*workerSize + i
		if u := p.reservation[a]; u != none && p.units[u].gang == none {
			p.countLent(u, p.holder[a], gang)
		}
		p.holder[a] = gang
	}
	t := &p.targets[target]
	if gang == none {
		t.used &^= bits
	} else {
		t.used |= bits
	}
	p.refresh(target)
}

// assign gives blocks to a new gang. Gangs that hold some of them must be
// ending; the new gang waits for them.
func (p *Planner) assign(gang int32, blocks []block) {
	for _, b := range blocks {
		for i := b.first; i < b.first+b.count; i++ {
			old := p.holder[b.target*workerSize+int32(i)]
			if old == none {
				continue
			}
			p.waitFor(gang, old)
			// The former holder may itself have waited for others here.
			for _, w := range p.gangs[old].waitsFor() {
				if p.gangs[w].covers(b.target, 1<<i) {
					p.waitFor(gang, w)
				}
			}
		}
		p.hold(b.target, b.mask(), gang)
	}
}

func (p *Planner) waitFor(gang, other int32) {
	rest := p.gangs[gang].rest()
	if !slices.Contains(rest.waits, other) {
		rest.waits = append(rest.waits, other)
		ending := p.gangs[other].rest()
		ending.waiters = append(ending.waiters, gang)
	}
}

// endGang marks a gang that must be stopped and released. It gives up its
// guarantee but keeps its accelerators.
func (p *Planner) endGang(number int32) {
	g := &p.gangs[number]
	g.ending = true
	p.unlist(number)
	if unit := g.unit; unit != none {
		g.unit = none
		p.leaveUnit(unit)
	}
}

// stripTarget removes the blocks on a lost target from a gang and tells
// whether there were any.
func (p *Planner) stripTarget(number, target int32) bool {
	g := &p.gangs[number]
	blocks := g.blocks(nil)
	rest := slices.DeleteFunc(blocks, func(b block) bool { return b.target == target })
	if len(rest) == g.blockCount() {
		return false
	}
	g.setBlocks(rest)
	return true
}

func (g *gang) blockCount() int {
	n := 0
	if g.first.count > 0 {
		n++
	}
	if g.more != nil {
		n += len(g.more.blocks)
	}
	return n
}

// Released is the result of the release of a gang.
type Released struct {
	// Ready are the jobs that waited only for this one and may start now.
	Ready []anvilid.JobID
	// Unmet lists all guarantees of the service that can't be proved now.
	// A release can add to them only if the gang ran on a cordoned target.
	Unmet []Unmet
}

// Release frees the accelerators of a gang that has ended, was stopped or
// was cancelled. It returns false if the job isn't known.
func (p *Planner) Release(job anvilid.JobID) (Released, bool) {
	number, known := p.gangByJob[job]
	if !known {
		return Released{}, false
	}
	g := &p.gangs[number]
	service := g.service
	p.endGang(number)
	p.scratch = g.blocks(p.scratch[:0])
	for _, b := range p.scratch {
		p.returnBlock(number, b)
	}
	for _, w := range g.waitsFor() {
		rest := p.gangs[w].more
		rest.waiters = slices.DeleteFunc(rest.waiters, func(x int32) bool { return x == number })
	}
	var released Released
	if g.more != nil {
		for _, w := range g.more.waiters {
			rest := p.gangs[w].more
			rest.waits = slices.DeleteFunc(rest.waits, func(x int32) bool { return x == number })
			if len(rest.waits) == 0 && !p.gangs[w].ending {
				released.Ready = append(released.Ready, p.gangs[w].job)
			}
		}
	}
	delete(p.gangByJob, job)
	p.gangs[number] = gang{}
	p.freeGangs = append(p.freeGangs, number)
	if len(p.services[service].unmet) > 0 {
		p.proveUnmet(service)
		released.Unmet = p.unmetOf(service)
	}
	return released, true
}

// returnBlock frees the accelerators of a block that the gang still holds.
// Those that it received from a gang that is still ending go back to that
// gang, which may still run there.
func (p *Planner) returnBlock(number int32, b block) {
	waits := p.gangs[number].waitsFor()
	var freed mask
	for i := b.first; i < b.first+b.count; i++ {
		if p.holder[b.target*workerSize+int32(i)] != number {
			continue
		}
		bit := mask(1) << i
		// Of several former holders, the last one waits for the others.
		former := none
		for _, w := range waits {
			if p.gangs[w].covers(b.target, bit) && (former == none || slices.Contains(p.gangs[w].waitsFor(), former)) {
				former = w
			}
		}
		if former == none {
			freed |= bit
			continue
		}
		p.hold(b.target, bit, former)
	}
	if freed != 0 {
		p.hold(b.target, freed, none)
	}
}

// Ready tells whether a placed gang may start, which means that all gangs
// that it waits for were released.
func (p *Planner) Ready(job anvilid.JobID) bool {
	number, known := p.gangByJob[job]
	return known && !p.gangs[number].ending && len(p.gangs[number].waitsFor()) == 0
}

// Placement returns where a job was placed.
func (p *Planner) Placement(job anvilid.JobID) (Placement, bool) {
	number, known := p.gangByJob[job]
	if !known {
		return Placement{}, false
	}
	g := &p.gangs[number]
	return Placement{Job: job, Members: p.members(g.blocks(nil)), Guaranteed: g.unit != none, Waits: p.jobs(g.waitsFor())}, true
}

func (p *Planner) members(blocks []block) []Member {
	members := make([]Member, len(blocks))
	for i, b := range blocks {
		members[i] = Member{p.targets[b.target].id, int(b.first), int(b.count)}
	}
	return members
}

func (p *Planner) jobs(gangs []int32) []anvilid.JobID {
	if len(gangs) == 0 {
		return nil
	}
	jobs := make([]anvilid.JobID, len(gangs))
	for i, g := range gangs {
		jobs[i] = p.gangs[g].job
	}
	return jobs
}
