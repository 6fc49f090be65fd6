package anvilplan

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// gang is a placed gang. Each accelerator is assigned to at most one gang, see Planner.holder. A gang
// that is ending keeps its accelerators until it is released, except those that were assigned to a
// guaranteed gang that waits for the release.
type gang struct {
	job           anvilid.JobID
	account       int32
	service       int32
	unit          int32             // the unit that the gang runs under, or none for a borrower or an ending gang
	savedAt       anvilclock.Millis // start or last checkpoint; work since then is lost on preemption
	first         block             // the first block, or empty if all are lost
	extra         *gangExtra        // nil for most gangs
	ending        bool              // must be stopped, isn't released yet
	isBorrower    bool              // in the list of borrowers that may be preempted
	olderBorrower int32             // the next gang of that list, which saved its work earlier, or none
	newerBorrower int32             // the previous gang of that list, or none
}

// gangExtra has the fields that most gangs don't need: only gangs of several blocks and gangs that
// wait or are waited for have one.
type gangExtra struct {
	blocks  []block // all blocks but the first
	waits   []int32 // gangs that must be released before this one starts
	waiters []int32 // gangs that wait for the release of this one
}

func (g *gang) ensureExtra() *gangExtra {
	if g.extra == nil {
		g.extra = &gangExtra{}
	}
	return g.extra
}

func (g *gang) waitsFor() []int32 {
	if g.extra == nil {
		return nil
	}
	return g.extra.waits
}

// blocks appends the blocks of the gang to list.
func (g *gang) blocks(list []block) []block {
	if g.first.count > 0 {
		list = append(list, g.first)
	}
	if g.extra != nil {
		list = append(list, g.extra.blocks...)
	}
	return list
}

func (g *gang) setBlocks(blocks []block) {
	g.first = block{}
	if g.extra != nil {
		g.extra.blocks = nil
	}
	if len(blocks) > 0 {
		g.first = blocks[0]
	}
	if len(blocks) > 1 {
		g.ensureExtra().blocks = slices.Clone(blocks[1:])
	}
}

func (g *gang) size() int {
	n := int(g.first.count)
	if g.extra != nil {
		for _, b := range g.extra.blocks {
			n += int(b.count)
		}
	}
	return n
}

// covers reports whether the accelerator of a target that bit stands for belongs to a block of the gang.
func (g *gang) covers(target int32, bit mask) bool {
	if g.first.target == target && g.first.mask()&bit != 0 {
		return true
	}
	if g.extra != nil {
		for _, b := range g.extra.blocks {
			if b.target == target && b.mask()&bit != 0 {
				return true
			}
		}
	}
	return false
}

func (p *Planner) newGang(now anvilclock.Millis, r Request, unit int32, blocks []block) int32 {
	record := gang{job: r.Job, account: p.addAccount(r.Account), service: p.serviceByID[r.Service], unit: unit, savedAt: now}
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
		p.addBorrower(number)
	}
	return number
}

// addBorrower adds a gang at the head of the list of borrowers that may be preempted, as the one that
// saved its work last. Times never go backwards, so the list stays ordered by savedAt.
func (p *Planner) addBorrower(number int32) {
	g := &p.gangs[number]
	g.isBorrower, g.olderBorrower, g.newerBorrower = true, p.newestBorrower, none
	if p.newestBorrower != none {
		p.gangs[p.newestBorrower].newerBorrower = number
	}
	p.newestBorrower = number
}

func (p *Planner) removeBorrower(number int32) {
	g := &p.gangs[number]
	if !g.isBorrower {
		return
	}
	g.isBorrower = false
	if g.newerBorrower == none {
		p.newestBorrower = g.olderBorrower
	} else {
		p.gangs[g.newerBorrower].olderBorrower = g.olderBorrower
	}
	if g.olderBorrower != none {
		p.gangs[g.olderBorrower].newerBorrower = g.newerBorrower
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

// setHolder assigns accelerators of a target to a gang, or frees them if gang is none.
func (p *Planner) setHolder(target int32, bits mask, gang int32) {
	for i := range int32(workerSize) {
		if bits&(1<<i) == 0 {
			continue
		}
		a := target*workerSize + i
		if u := p.reservedFor[a]; u != none && p.units[u].gang == none {
			p.updateLent(u, p.holder[a], gang)
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

// assignBlocks assigns blocks to a new gang. Gangs that these accelerators were assigned to must be
// ending, and the new gang waits for their release.
func (p *Planner) assignBlocks(gang int32, blocks []block) {
	for _, b := range blocks {
		for i := b.first; i < b.first+b.count; i++ {
			old := p.holder[b.target*workerSize+int32(i)]
			if old == none {
				continue
			}
			p.addWait(gang, old)
			// The gang that this accelerator was assigned to may itself wait for gangs that still run on
			// the accelerator.
			for _, w := range p.gangs[old].waitsFor() {
				if p.gangs[w].covers(b.target, 1<<i) {
					p.addWait(gang, w)
				}
			}
		}
		p.setHolder(b.target, b.mask(), gang)
	}
}

func (p *Planner) addWait(gang, other int32) {
	rest := p.gangs[gang].ensureExtra()
	if !slices.Contains(rest.waits, other) {
		rest.waits = append(rest.waits, other)
		ending := p.gangs[other].ensureExtra()
		ending.waiters = append(ending.waiters, gang)
	}
}

// markEnding marks a gang that must be stopped and released. The gang leaves its unit but keeps its
// accelerators.
func (p *Planner) markEnding(number int32) {
	g := &p.gangs[number]
	g.ending = true
	p.removeBorrower(number)
	if unit := g.unit; unit != none {
		g.unit = none
		p.vacateUnit(unit)
	}
}

// removeBlocksOn removes the blocks on a lost target from a gang and reports whether the gang had any
// there.
func (p *Planner) removeBlocksOn(number, target int32) bool {
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
	if g.extra != nil {
		n += len(g.extra.blocks)
	}
	return n
}

// Released says what follows from the release of a gang, for the jobs that wait and for the guarantees.
type Released struct {
	// Ready are the jobs that waited only for the released gang and may start now.
	Ready []anvilid.JobID
	// Unmet lists all guaranteed gangs of the service that have no reservation now. A release can make
	// one of them unmet only if the gang ran on a cordoned target.
	Unmet []Unmet
}

// Release frees the accelerators of a gang that has ended, was stopped or was cancelled. It returns
// false if the job isn't known.
func (p *Planner) Release(job anvilid.JobID) (Released, bool) {
	number, known := p.gangByJob[job]
	if !known {
		return Released{}, false
	}
	g := &p.gangs[number]
	service := g.service
	p.markEnding(number)
	p.scratch = g.blocks(p.scratch[:0])
	for _, b := range p.scratch {
		p.returnBlock(number, b)
	}
	for _, w := range g.waitsFor() {
		rest := p.gangs[w].extra
		rest.waiters = slices.DeleteFunc(rest.waiters, func(x int32) bool { return x == number })
	}
	var released Released
	if g.extra != nil {
		for _, w := range g.extra.waiters {
			rest := p.gangs[w].extra
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
		p.reserveUnmet(service)
		released.Unmet = p.unmetOf(service)
	}
	return released, true
}

// returnBlock frees the accelerators of a block that are still assigned to the gang. Accelerators that
// were assigned before to a gang that isn't released yet are assigned to that gang again, because it
// may still run there.
func (p *Planner) returnBlock(number int32, b block) {
	waits := p.gangs[number].waitsFor()
	var freed mask
	for i := b.first; i < b.first+b.count; i++ {
		if p.holder[b.target*workerSize+int32(i)] != number {
			continue
		}
		bit := mask(1) << i
		// If the accelerator was assigned to several gangs in turn, the latest of them waits for the
		// others.
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
		p.setHolder(b.target, bit, former)
	}
	if freed != 0 {
		p.setHolder(b.target, freed, none)
	}
}

// Ready reports whether a placed gang may start: it isn't ending, and all gangs that it waited for are
// released.
func (p *Planner) Ready(job anvilid.JobID) bool {
	number, known := p.gangByJob[job]
	return known && !p.gangs[number].ending && len(p.gangs[number].waitsFor()) == 0
}

// Placement returns where a job was placed and which gangs it still waits for, and false if the job has
// no gang. Victims isn't set.
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
