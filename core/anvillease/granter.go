package anvillease

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// defaultRateError is the assumed bound on the error of clock rates, in
// thousandths.
const defaultRateError = 10

// Session is one run of an instance.
type Session struct {
	Instance    anvilid.InstanceID
	Incarnation anvilid.Incarnation
}

type grant struct {
	incarnation anvilid.Incarnation
	until       anvilclock.Millis
	applied     anvilid.Index
	closed      bool
}

// Granter is the leader's side of the leases of all instances.
type Granter struct {
	span      anvilclock.Millis
	rateError int
	grants    map[anvilid.InstanceID]*grant
}

// Option changes a Granter.
type Option func(*Granter)

// WithRateError sets the assumed bound on the error of clock rates, in
// thousandths.
func WithRateError(thousandths int) Option {
	return func(g *Granter) { g.rateError = thousandths }
}

// NewGranter returns a granter of leases of one span.
func NewGranter(span anvilclock.Millis, opts ...Option) *Granter {
	g := &Granter{span: span, rateError: defaultRateError, grants: map[anvilid.InstanceID]*grant{}}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// StartTerm starts a term of leadership. The former leader may have granted a
// lease to each known session until now, so each counts as leased for a full
// span. Nothing is known about what the sessions have applied.
func (g *Granter) StartTerm(now anvilclock.Millis, sessions []Session) {
	clear(g.grants)
	for _, session := range sessions {
		g.Join(now, session)
	}
}

// Join adds a session whose join was applied. It counts as leased, because
// a lease may be granted at any time from now on.
func (g *Granter) Join(now anvilclock.Millis, session Session) {
	known, ok := g.grants[session.Instance]
	if ok && known.incarnation >= session.Incarnation {
		return
	}
	g.grants[session.Instance] = &grant{incarnation: session.Incarnation, until: g.lapse(now)}
}

// lapse is the time after which a lease granted now has certainly ended at
// its holder. With a rate error e on both sides, the granter's clock may
// advance (1+e)/(1-e) = 1 + 2e/(1-e) times as far as the holder's. One
// millisecond covers rounding.
func (g *Granter) lapse(now anvilclock.Millis) anvilclock.Millis {
	margin := g.span * anvilclock.Millis(2*g.rateError) / anvilclock.Millis(1000-g.rateError)
	return now + g.span + margin + 1
}

// Renew extends a lease at the moment its answer is sent and returns its
// span. It returns false for a session that isn't known.
func (g *Granter) Renew(now anvilclock.Millis, session Session, applied anvilid.Index) (anvilclock.Millis, bool) {
	known, ok := g.grants[session.Instance]
	if !ok || known.incarnation != session.Incarnation || known.closed {
		return 0, false
	}
	known.until = g.lapse(now)
	known.applied = max(known.applied, applied)
	return g.span, true
}

// RecordApplied notes what a session has applied without extending its lease.
func (g *Granter) RecordApplied(session Session, applied anvilid.Index) {
	if known, ok := g.grants[session.Instance]; ok && known.incarnation == session.Incarnation {
		known.applied = max(known.applied, applied)
	}
}

// Supersede prepares the join of a session. An earlier run of the instance
// can't renew its lease any more; the result tells whether it may still hold
// one.
func (g *Granter) Supersede(now anvilclock.Millis, session Session) (leased bool) {
	known, ok := g.grants[session.Instance]
	if !ok || known.incarnation >= session.Incarnation {
		return false
	}
	known.closed = true
	return now < known.until
}

// Expired lists the sessions whose leases have certainly ended, in order of
// instance id.
func (g *Granter) Expired(now anvilclock.Millis) []Session {
	var expired []Session
	for id, known := range g.grants {
		if now >= known.until {
			expired = append(expired, Session{Instance: id, Incarnation: known.incarnation})
		}
	}
	slices.SortFunc(expired, func(a, b Session) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return expired
}

// RefuseRenewals refuses all later renewals of a session. It is called before the
// command that ends the session is proposed, because that command may be
// committed at any time afterwards.
func (g *Granter) RefuseRenewals(instance anvilid.InstanceID) {
	if known, ok := g.grants[instance]; ok {
		known.closed = true
	}
}

// RemoveSession removes a session that has left.
func (g *Granter) RemoveSession(session Session) {
	if known, ok := g.grants[session.Instance]; ok && known.incarnation == session.Incarnation {
		delete(g.grants, session.Instance)
	}
}

// InForce tells whether every session that may hold a lease has applied the
// log up to index. It must not be asked about an index that hasn't been
// committed, because a later grant may still follow an older view.
func (g *Granter) InForce(now anvilclock.Millis, index anvilid.Index) bool {
	for _, known := range g.grants {
		if now < known.until && known.applied < index {
			return false
		}
	}
	return true
}
