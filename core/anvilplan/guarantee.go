package anvilplan

import (
	"slices"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// Guarantee entitles an account to run Count gangs of a shape at the same time, at any time.
type Guarantee struct {
	Account anvilid.AccountID
	Service anvilid.ServiceName
	Shape   anvilconfig.Shape
	Count   int
}

// Reservation is the entitlement to one guaranteed gang, with the accelerators that are reserved for
// it. Without members, no accelerators could be reserved.
type Reservation struct {
	Account anvilid.AccountID
	Service anvilid.ServiceName
	Shape   anvilconfig.Shape
	Members []Member
	// Job is the job whose gang runs on the reservation, or empty.
	Job anvilid.JobID
}

// poolKey identifies a pool by its shape and by the index of its service in topology.services.
type poolKey struct {
	service int32
	shape   anvilconfig.Shape
}

// pool has the idle units of all accounts for one shape in one service. Units of a pool can swap their
// reservations.
type pool struct {
	poolKey
	notLent []int32 // idle units with no borrower on their reservation
	lent    []int32 // idle units with borrowers on their reservation
}

// accountService is the index of an account in Planner.accounts and that of a service in
// topology.services.
type accountService struct{ account, service int32 }

// quotaKey identifies a quota by the index of its account in Planner.accounts and that of its pool in
// Planner.pools.
type quotaKey struct{ account, pool int32 }

// quota is the guarantee of one account for one shape in one service, with a unit for each guaranteed
// gang.
type quota struct {
	quotaKey
	count int     // number of guaranteed gangs
	units []int32 // all units, including surplus ones that are still in use
	idle  []int32 // units that have a reservation but no gang
	unmet int     // number of units without a reservation
}

// SetGuarantees replaces all guarantees. It returns the guaranteed gangs for which no accelerators
// could be reserved; all others can be placed from now on. Gangs that run under a guarantee that is
// withdrawn remain guaranteed until they end.
func (p *Planner) SetGuarantees(guarantees []Guarantee) ([]Unmet, error) {
	counts := map[int32]int{}
	for _, g := range guarantees {
		if err := checkShape(g.Shape); err != nil {
			return nil, err
		}
		if g.Count < 0 {
			return nil, wrapReason(ErrInvalid, "guarantee of account %q is for %d gangs, want 0 or more", g.Account, g.Count)
		}
	}
	for _, g := range guarantees {
		counts[p.addQuota(g)] += g.Count
	}
	for number := range p.quotas {
		p.setCount(int32(number), counts[int32(number)])
	}
	var unmet []Unmet
	for service := range p.services {
		p.reserveOrRearrange(int32(service))
		unmet = append(unmet, p.unmetOf(int32(service))...)
	}
	return unmet, nil
}

func (p *Planner) addQuota(g Guarantee) int32 {
	kk := poolKey{p.addService(g.Service), g.Shape}
	k, known := p.poolByShape[kk]
	if !known {
		k = int32(len(p.pools))
		p.pools = append(p.pools, pool{poolKey: kk})
		p.poolByShape[kk] = k
	}
	key := quotaKey{p.addAccount(g.Account), k}
	number, known := p.quotaByKey[key]
	if !known {
		number = int32(len(p.quotas))
		p.quotas = append(p.quotas, quota{quotaKey: key})
		p.quotaByKey[key] = number
		as := accountService{key.account, kk.service}
		p.quotasOfAccount[as] = append(p.quotasOfAccount[as], number)
	}
	return number
}

// setCount changes the number of units of a quota. If it shrinks, unmet units are deleted first, then
// idle ones; units in use become surplus and are deleted when their gangs end.
func (p *Planner) setCount(number int32, count int) {
	quota := &p.quotas[number]
	quota.count = count
	surplus := 0
	for _, u := range quota.units {
		if p.units[u].surplus {
			surplus++
		}
	}
	change := count - (len(quota.units) - surplus)
	for _, u := range slices.Clone(quota.units) {
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
		for _, u := range slices.Clone(quota.units) {
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

// Reservations returns a reservation for every guaranteed gang, including those that are in use and
// those without reserved accelerators.
func (p *Planner) Reservations() []Reservation {
	var reservations []Reservation
	for i := range p.quotas {
		quota := &p.quotas[i]
		k := &p.pools[quota.pool]
		for _, u := range quota.units {
			reservation := Reservation{Account: p.accounts[quota.account], Service: p.services[k.service].name, Shape: k.shape, Members: p.members(p.units[u].blocks)}
			if g := p.units[u].gang; g != none {
				reservation.Job = p.gangs[g].job
			}
			reservations = append(reservations, reservation)
		}
	}
	return reservations
}

// unmetOf lists the guaranteed gangs of a service that have no reservation.
func (p *Planner) unmetOf(service int32) []Unmet {
	if len(p.services[service].unmet) == 0 {
		return nil
	}
	var list []Unmet
	for i := range p.quotas {
		quota := &p.quotas[i]
		if k := &p.pools[quota.pool]; k.service == service && quota.unmet > 0 {
			list = append(list, Unmet{p.accounts[quota.account], p.services[service].name, k.shape, quota.unmet})
		}
	}
	return list
}
