package anvilstate

import (
	"cmp"

	"anvilshunt/core/anvilid"
)

// claimList is a doubly linked list of claims, so that a claim can move to the end or expire
// from the front at constant cost.
type claimList struct {
	first, last *claim
}

func (l *claimList) add(c *claim) {
	c.previous, c.next = l.last, nil
	if l.last == nil {
		l.first = c
	} else {
		l.last.next = c
	}
	l.last = c
}

func (l *claimList) remove(c *claim) {
	switch {
	case c.previous != nil:
		c.previous.next = c.next
	case l.first == c:
		l.first = c.next
	default:
		return // the claim is not in the list
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		l.last = c.previous
	}
	c.previous, c.next = nil, nil
}

// hold sets a claim to ClaimHeld and lists it under the instance of its holder.
func (t *claims) hold(c *claim) {
	t.ended.remove(c)
	c.state, c.declared, c.at = ClaimHeld, false, 0
	of := t.held[c.holder.Instance]
	if of == nil {
		of = map[*claim]struct{}{}
		t.held[c.holder.Instance] = of
	}
	of[c] = struct{}{}
}

// unhold removes a claim from the list of its holder's instance.
func (t *claims) unhold(c *claim) {
	of := t.held[c.holder.Instance]
	delete(of, c)
	if len(of) == 0 {
		delete(t.held, c.holder.Instance)
	}
}

// endClaim sets a claim to a state other than ClaimHeld and starts its retention period.
func (m *Machine) endClaim(c *claim, state ClaimState) {
	m.claims.unhold(c)
	m.claims.ended.remove(c)
	c.state, c.at = state, m.at
	m.claims.ended.add(c)
}

// expireClaims deletes the ids whose retention period has passed. The list is ordered by
// the end of that period, so the cost is proportional to the number of expired ids.
func (m *Machine) expireClaims() {
	for c := m.claims.ended.first; c != nil && c.at+m.limits.ClaimAge <= m.at; c = m.claims.ended.first {
		m.claims.ended.remove(c)
		delete(m.claims.byKey, c.key)
		m.claims.dropBody(c)
	}
}

// addBody accounts for the body of a recorded answer and drops the oldest bodies beyond
// the limit.
func (t *claims) addBody(c *claim, limit anvilid.ByteCount) {
	if len(c.answer.Body) == 0 {
		return
	}
	for len(t.bodies) > 0 && len(t.bodies[0].answer.Body) == 0 {
		t.popBody() // the claim has expired and its body was dropped
	}
	t.bodies = append(t.bodies, c)
	t.bytes += anvilid.ByteCount(len(c.answer.Body))
	for t.bytes > limit {
		t.dropBody(t.popBody())
	}
}

func (t *claims) popBody() *claim {
	oldest := t.bodies[0]
	t.bodies[0] = nil
	t.bodies = t.bodies[1:]
	return oldest
}

// dropBody removes the recorded body of a claim, if there is one, and marks it as omitted.
func (t *claims) dropBody(c *claim) {
	if c.answer == nil || len(c.answer.Body) == 0 {
		return
	}
	t.bytes -= anvilid.ByteCount(len(c.answer.Body))
	// The answer is replaced and not modified, because results that were returned earlier
	// still point to it.
	c.answer = &Answer{Status: c.answer.Status, ContentType: c.answer.ContentType, Omitted: true}
}

func byToken(a, b *claim) int { return cmp.Compare(a.token, b.token) }
