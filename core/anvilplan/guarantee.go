package anvilplan

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// Guarantee promises an account that it can always run Count gangs of a
// shape at the same time.
type Guarantee struct {
	Account anvilid.AccountID
	Service anvilid.ServiceName
	Shape   anvilconfig.Shape
	Count   int
}

// Proof is one gang that an account is guaranteed and where it can run. It
// is unmet if it has no members.
type Proof struct {
	Account anvilid.AccountID
	Service anvilid.ServiceName
	Shape   anvilconfig.Shape
	Members []Member
	// Job uses the guarantee; it is empty if none does.
	Job anvilid.JobID
}

type kindKey struct {
	service int32
	shape   anvilconfig.Shape
}

// kind is all units of one shape in one service. Their reservations are
// interchangeable.
type kind struct {
	kindKey
	clear []int32 // idle units without borrowers
	lent  []int32 // idle units with borrowers
}

type accountService struct{ account, service int32 }

type promiseKey struct{ account, kind int32 }

// promise is the guarantee of one account for one shape.
type promise struct {
	promiseKey
	count int     // units that are promised
	units []int32 // all units, including those in use beyond count
	idle  []int32
	unmet int
}

// unit is one guaranteed gang. It is in use, idle with a reservation, or
// unmet.
type unit struct {
	promise int32
	gang    int32 // none if not in use
	lent    int32 // accelerators of an idle reservation that gangs hold
	inKind  int32 // position in a list of the kind
	inList  int32 // position in the idle list of the promise, or in the unmet list of the service
	blocks  []block
	surplus bool // no longer promised; removed when it is released
}

func (p *Planner) kindOf(u int32) *kind { return &p.kinds[p.promises[p.units[u].promise].kind] }

// listed returns the list of the kind that an idle unit is on.
func (k *kind) listed(lent bool) *[]int32 {
	if lent {
		return &k.lent
	}
	return &k.clear
}

func (p *Planner) addToKind(u int32) {
	list := p.kindOf(u).listed(p.units[u].lent > 0)
	p.units[u].inKind = int32(len(*list))
	*list = append(*list, u)
}

func (p *Planner) removeFromKind(u int32, lent bool) {
	list := p.kindOf(u).listed(lent)
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[p.units[u].inKind] = moved
	p.units[moved].inKind = p.units[u].inKind
	*list = (*list)[:last]
}

func (p *Planner) addIdle(u int32) {
	promise := &p.promises[p.units[u].promise]
	p.units[u].inList = int32(len(promise.idle))
	promise.idle = append(promise.idle, u)
	p.addToKind(u)
}

func (p *Planner) removeIdle(u int32) {
	p.removeFromKind(u, p.units[u].lent > 0)
	promise := &p.promises[p.units[u].promise]
	last := len(promise.idle) - 1
	moved := promise.idle[last]
	promise.idle[p.units[u].inList] = moved
	p.units[moved].inList = p.units[u].inList
	promise.idle = promise.idle[:last]
}

// countLent follows the accelerators of an idle reservation that gangs hold.
func (p *Planner) countLent(u, before, after int32) {
	if (before == none) == (after == none) {
		return
	}
	change := int32(1)
	if after == none {
		change = -1
	}
	was := p.units[u].lent > 0
	now := p.units[u].lent+change > 0
	if was != now {
		p.removeFromKind(u, was)
	}
	p.units[u].lent += change
	if was != now {
		p.addToKind(u)
	}
}

func (p *Planner) recountLent(u int32) {
	lent := int32(0)
	for _, b := range p.units[u].blocks {
		for _, g := range p.holders(b) {
			if g != none {
				lent++
			}
		}
	}
	p.units[u].lent = lent
}

// holders returns the holder of each accelerator of a block.
func (p *Planner) holders(b block) []int32 {
	first := b.target*workerSize + int32(b.first)
	return p.holder[first : first+int32(b.count)]
}

// mark makes blocks part of the reservation of a unit, or of none.
func (p *Planner) mark(blocks []block, u int32) {
	for _, b := range blocks {
		first := b.target*workerSize + int32(b.first)
		for a := first; a < first+int32(b.count); a++ {
			p.reservation[a] = u
		}
		if u == none {
			p.targets[b.target].reserved &^= b.mask()
		} else {
			p.targets[b.target].reserved |= b.mask()
		}
		p.refresh(b.target)
	}
}

// reserve gives an unmet unit a reservation.
func (p *Planner) reserve(u int32, blocks []block) {
	p.units[u].blocks = append(p.units[u].blocks[:0], blocks...)
	p.mark(blocks, u)
	p.recountLent(u)
	p.removeUnmet(u)
	p.addIdle(u)
}

// unreserve takes the reservation from an idle unit, which is unmet then.
func (p *Planner) unreserve(u int32) {
	p.removeIdle(u)
	p.mark(p.units[u].blocks, none)
	p.units[u].blocks, p.units[u].lent = p.units[u].blocks[:0], 0
	p.addUnmet(u)
}

func (p *Planner) addUnmet(u int32) {
	p.promises[p.units[u].promise].unmet++
	s := &p.services[p.kindOf(u).service]
	p.units[u].inList = int32(len(s.unmet))
	s.unmet = append(s.unmet, u)
}

func (p *Planner) removeUnmet(u int32) {
	p.promises[p.units[u].promise].unmet--
	s := &p.services[p.kindOf(u).service]
	last := len(s.unmet) - 1
	moved := s.unmet[last]
	s.unmet[p.units[u].inList] = moved
	p.units[moved].inList = p.units[u].inList
	s.unmet = s.unmet[:last]
}

// move changes the reservation of an idle unit.
func (p *Planner) move(u int32, blocks []block) {
	p.unreserve(u)
	p.reserve(u, blocks)
}

// swap exchanges the reservations of two idle units of one kind.
func (p *Planner) swap(u, v int32) {
	if u == v {
		return
	}
	p.removeIdle(u)
	p.removeIdle(v)
	a, b := &p.units[u], &p.units[v]
	a.blocks, b.blocks = b.blocks, a.blocks
	a.lent, b.lent = b.lent, a.lent
	p.mark(a.blocks, u)
	p.mark(b.blocks, v)
	p.addIdle(u)
	p.addIdle(v)
}

// enterUnit lets a gang use an idle unit.
func (p *Planner) enterUnit(u, gang int32) {
	p.removeIdle(u)
	p.units[u].gang, p.units[u].lent = gang, 0
}

// leaveUnit ends the use of a unit.
func (p *Planner) leaveUnit(u int32) {
	p.units[u].gang = none
	p.recountLent(u)
	p.addIdle(u)
	if p.units[u].surplus {
		p.deleteUnit(u)
		return
	}
	for _, b := range p.units[u].blocks {
		if p.targets[b.target].cordoned {
			p.unreserve(u)
			return
		}
	}
}

// deleteUnit removes a unit that isn't in use.
func (p *Planner) deleteUnit(u int32) {
	if len(p.units[u].blocks) > 0 {
		p.unreserve(u)
	}
	p.removeUnmet(u)
	promise := &p.promises[p.units[u].promise]
	promise.units = slices.DeleteFunc(promise.units, func(x int32) bool { return x == u })
	p.units[u] = unit{gang: none}
	p.freeUnits = append(p.freeUnits, u)
}

func (p *Planner) newUnit(promise int32) {
	u := int32(len(p.units))
	if last := len(p.freeUnits) - 1; last >= 0 {
		u = p.freeUnits[last]
		p.freeUnits = p.freeUnits[:last]
	} else {
		p.units = append(p.units, unit{})
	}
	p.units[u] = unit{promise: promise, gang: none}
	p.promises[promise].units = append(p.promises[promise].units, u)
	p.addUnmet(u)
}

// SetGuarantees replaces all guarantees. It returns those that can't be
// proved; the others hold from now on. Gangs that run under a guarantee that
// is withdrawn keep it until they end.
func (p *Planner) SetGuarantees(guarantees []Guarantee) ([]Unmet, error) {
	counts := map[int32]int{}
	for _, g := range guarantees {
		if err := checkShape(g.Shape); err != nil {
			return nil, err
		}
		if g.Count < 0 {
			return nil, refuse(ErrInvalid, "account %q is guaranteed %d gangs, want 0 or more", g.Account, g.Count)
		}
	}
	for _, g := range guarantees {
		counts[p.addPromise(g)] += g.Count
	}
	for number := range p.promises {
		p.setCount(int32(number), counts[int32(number)])
	}
	var unmet []Unmet
	for service := range p.services {
		p.prove(int32(service))
		unmet = append(unmet, p.unmetOf(int32(service))...)
	}
	return unmet, nil
}

func (p *Planner) addPromise(g Guarantee) int32 {
	kk := kindKey{p.addService(g.Service), g.Shape}
	k, known := p.kindByShape[kk]
	if !known {
		k = int32(len(p.kinds))
		p.kinds = append(p.kinds, kind{kindKey: kk})
		p.kindByShape[kk] = k
	}
	key := promiseKey{p.addAccount(g.Account), k}
	number, known := p.promiseByKey[key]
	if !known {
		number = int32(len(p.promises))
		p.promises = append(p.promises, promise{promiseKey: key})
		p.promiseByKey[key] = number
		as := accountService{key.account, kk.service}
		p.accountShapes[as] = append(p.accountShapes[as], number)
	}
	return number
}

// setCount changes the number of units of a promise. Units that aren't in
// use go first, unmet ones before others.
func (p *Planner) setCount(number int32, count int) {
	promise := &p.promises[number]
	promise.count = count
	surplus := 0
	for _, u := range promise.units {
		if p.units[u].surplus {
			surplus++
		}
	}
	change := count - (len(promise.units) - surplus)
	for _, u := range slices.Clone(promise.units) {
		if change > 0 && p.units[u].surplus {
			p.units[u].surplus = false
			change--
		}
	}
	for ; change > 0; change-- {
		p.newUnit(number)
	}
	for _, removable := range []func(unit) bool{
		func(u unit) bool { return u.gang == none && len(u.blocks) == 0 },
		func(u unit) bool { return u.gang == none },
		func(u unit) bool { return !u.surplus },
	} {
		for _, u := range slices.Clone(promise.units) {
			if change == 0 || !removable(p.units[u]) {
				continue
			}
			change++
			if p.units[u].gang == none {
				p.deleteUnit(u)
			} else {
				p.units[u].surplus = true
			}
		}
	}
}

// Proofs returns every guaranteed gang and where it can run.
func (p *Planner) Proofs() []Proof {
	var proofs []Proof
	for i := range p.promises {
		promise := &p.promises[i]
		k := &p.kinds[promise.kind]
		for _, u := range promise.units {
			proof := Proof{Account: p.accounts[promise.account], Service: p.services[k.service].name, Shape: k.shape, Members: p.members(p.units[u].blocks)}
			if g := p.units[u].gang; g != none {
				proof.Job = p.gangs[g].job
			}
			proofs = append(proofs, proof)
		}
	}
	return proofs
}

// unmetOf lists what can't be proved in a service.
func (p *Planner) unmetOf(service int32) []Unmet {
	if len(p.services[service].unmet) == 0 {
		return nil
	}
	var list []Unmet
	for i := range p.promises {
		promise := &p.promises[i]
		if k := &p.kinds[promise.kind]; k.service == service && promise.unmet > 0 {
			list = append(list, Unmet{p.accounts[promise.account], p.services[service].name, k.shape, promise.unmet})
		}
	}
	return list
}

// extentRank orders extents from tight to loose.
func extentRank(e anvilconfig.Extent) int {
	switch e {
	case anvilconfig.WithinWorker:
		return 0
	case anvilconfig.WithinRack:
		return 1
	}
	return 2
}

// provingOrders are orders of extents in which reservations are tried. Loose
// shapes come last, because they fit into what others leave.
var provingOrders = [][3]int{{1, 0, 2}, {0, 1, 2}}

// proveUnmet tries to find reservations for the unmet units of a service
// and leaves the others where they are.
func (p *Planner) proveUnmet(service int32) { p.proveInOrder(service, provingOrders[0]) }

func (p *Planner) proveInOrder(service int32, order [3]int) {
	if len(p.services[service].unmet) == 0 {
		return
	}
	units := slices.Clone(p.services[service].unmet)
	slices.SortFunc(units, func(a, b int32) int {
		x, y := p.kindOf(a).shape, p.kindOf(b).shape
		return cmp.Or(
			cmp.Compare(order[extentRank(x.Within)], order[extentRank(y.Within)]),
			cmp.Compare(y.Accelerators, x.Accelerators), cmp.Compare(a, b))
	})
	var failed anvilconfig.Shape
	for _, u := range units {
		shape := p.kindOf(u).shape
		// Reservations only shrink the space, so a shape that failed once
		// fails again.
		if shape == failed {
			continue
		}
		blocks, ok := p.unreserved.search(service, shape, p.scratch[:0])
		p.scratch = blocks
		if !ok {
			failed = shape
			continue
		}
		p.reserve(u, blocks)
	}
}

// prove finds reservations for the unmet units of a service. If some remain
// unmet, it arranges all reservations that aren't in use anew and keeps the
// arrangement that leaves the fewest unmet. The arrangement is greedy: it may
// miss a proof that exists.
func (p *Planner) prove(service int32) {
	p.proveUnmet(service)
	if p.mayRearrange(service) {
		p.rearrange(service)
	}
}

// maxQuickUnits bounds the units that the loss of one target rearranges,
// because 600 units take about 1 ms.
const maxQuickUnits = 512

// proveQuickly does the same if there are few units. Otherwise, what is
// unmet is left to Repair.
func (p *Planner) proveQuickly(service int32) {
	if len(p.units) <= maxQuickUnits {
		p.prove(service)
		return
	}
	p.proveUnmet(service)
}

func (p *Planner) rearrange(service int32) {
	best, fewest := p.idleReservations(service), len(p.services[service].unmet)
	for _, order := range provingOrders {
		p.unreserveAll(service)
		p.proveInOrder(service, order)
		unmet := len(p.services[service].unmet)
		if unmet == 0 {
			return
		}
		if unmet < fewest {
			best, fewest = p.idleReservations(service), unmet
		}
	}
	p.unreserveAll(service)
	for _, r := range best {
		p.reserve(r.unit, r.blocks)
	}
}

// mayRearrange tells whether there are unmet units and enough accelerators
// for at least one of them.
func (p *Planner) mayRearrange(service int32) bool {
	for _, u := range p.services[service].unmet {
		if int32(p.kindOf(u).shape.Accelerators) <= p.unreserved.services[service] {
			return true
		}
	}
	return false
}

type unitReservation struct {
	unit   int32
	blocks []block
}

// idleReservations copies the reservations of a service that aren't in use.
func (p *Planner) idleReservations(service int32) []unitReservation {
	var list []unitReservation
	for u := range p.units {
		unit := &p.units[u]
		if unit.gang == none && len(unit.blocks) > 0 && p.kindOf(int32(u)).service == service {
			list = append(list, unitReservation{int32(u), slices.Clone(unit.blocks)})
		}
	}
	return list
}

func (p *Planner) unreserveAll(service int32) {
	for u := range p.units {
		unit := &p.units[u]
		if unit.gang == none && len(unit.blocks) > 0 && p.kindOf(int32(u)).service == service {
			p.unreserve(int32(u))
		}
	}
}
