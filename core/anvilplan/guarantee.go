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

// Reservation is one guaranteed gang and where it can run. It is unmet if it has no members.
type Reservation struct {
	Account anvilid.AccountID
	Service anvilid.ServiceName
	Shape   anvilconfig.Shape
	Members []Member
	// Job is the job that uses the guarantee, or empty.
	Job anvilid.JobID
}

// poolKey identifies a pool.
type poolKey struct {
	service int32
	shape   anvilconfig.Shape
}

// pool is all units of one shape in one service. Their reservations are interchangeable.
type pool struct {
	poolKey
	notLent []int32 // idle units whose reservations no borrower uses
	lent    []int32 // idle units whose reservations borrowers use
}

// accountService is an account and a service, both by index.
type accountService struct{ account, service int32 }

// quotaKey identifies a quota by the indexes of its account and pool.
type quotaKey struct{ account, pool int32 }

// quota is the number of gangs of one shape that an account is guaranteed.
type quota struct {
	quotaKey
	count int     // number of guaranteed gangs
	units []int32 // all units, including surplus ones that are still in use
	idle  []int32
	unmet int
}

// SetGuarantees replaces all guarantees. It returns the guaranteed gangs that have no reservation;
// the others are guaranteed from now on. Gangs that run under a guarantee that is withdrawn keep it
// until they end.
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

// setCount changes the number of units of a quota. Unmet units are removed first, then idle ones;
// units in use become surplus.
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

// Reservations returns every guaranteed gang and where it can run.
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
