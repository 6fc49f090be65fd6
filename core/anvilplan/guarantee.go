package anvilplan

import (
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
