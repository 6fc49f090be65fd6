package anvilstate

import (
	"cmp"

	"anvilshunt/core/anvilid"
)

// claimList is a linked list, so that a record can move to the end and expire
// from the front at a constant cost.
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
		return // it isn't listed
	}
	if c.next != nil {
		c.next.previous = c.previous
	} else {
		l.last = c.previous
	}
	c.previous, c.next = nil, nil
}

// hold moves a record to what its holder holds.
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

// unhold takes a record from its holder.
func (t *claims) unhold(c *claim) {
	of := t.held[c.holder.Instance]
	delete(of, c)
	if len(of) == 0 {
		delete(t.held, c.holder.Instance)
	}
}

// endClaim starts the window of an id that is no longer held.
func (m *Machine) endClaim(c *claim, state ClaimState) {
	m.claims.unhold(c)
	m.claims.ended.remove(c)
	c.state, c.at = state, m.at
	m.claims.ended.add(c)
}

// expireClaims forgets the ids whose window has passed. The list is in the
// order of the window, so the cost is proportional to what expires.
func (m *Machine) expireClaims() {
	for c := m.claims.ended.first; c != nil && c.at+m.limits.ClaimAge <= m.at; c = m.claims.ended.first {
		m.claims.ended.remove(c)
		delete(m.claims.byKey, c.key)
		m.claims.dropBody(c)
	}
}

// addBody counts a recorded body and omits the oldest ones beyond the limit.
func (t *claims) addBody(c *claim, limit anvilid.ByteCount) {
	if len(c.answer.Body) == 0 {
		return
	}
	for len(t.bodies) > 0 && len(t.bodies[0].answer.Body) == 0 {
		t.popBody() // it has expired
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

// dropBody omits the body of a record, if it has one.
func (t *claims) dropBody(c *claim) {
	if c.answer == nil || len(c.answer.Body) == 0 {
		return
	}
	t.bytes -= anvilid.ByteCount(len(c.answer.Body))
	// Results that were returned earlier keep the answer they point to.
	c.answer = &Answer{Status: c.answer.Status, ContentType: c.answer.ContentType, Omitted: true}
}

func byToken(a, b *claim) int { return cmp.Compare(a.token, b.token) }
