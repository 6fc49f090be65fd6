package anvillease

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// defaultRateError is the assumed largest error of clock rates, in thousandths.
const defaultRateError = 10

// Session identifies one run of an instance, from its start to its end.
type Session struct {
	Instance    anvilid.InstanceID
	Incarnation anvilid.Incarnation
}

// grant is what the granter knows about the session of one instance.
type grant struct {
	incarnation anvilid.Incarnation
	// until is when the lease has certainly expired at its holder, by the granter's clock.
	until anvilclock.Millis
	// applied is the highest log index that the session is known to have applied.
	applied         anvilid.Index
	renewalsRefused bool
}

// Granter is the leader's side of the leases of all instances.
type Granter struct {
	span           anvilclock.Millis
	clockRateError int
	grants         map[anvilid.InstanceID]*grant
}

// Option changes one setting of a Granter.
type Option func(*Granter)

// WithRateError sets the assumed largest error of clock rates, in thousandths.
func WithRateError(thousandths int) Option {
	return func(g *Granter) { g.clockRateError = thousandths }
}

// NewGranter returns a Granter whose leases all last for span.
func NewGranter(span anvilclock.Millis, opts ...Option) *Granter {
	g := &Granter{span: span, clockRateError: defaultRateError, grants: map[anvilid.InstanceID]*grant{}}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// StartTerm starts a term of leadership. The former leader may have granted a lease to each
// known session until now, so each counts as leased for a full span. Which index each
// session has applied is not known yet.
func (g *Granter) StartTerm(now anvilclock.Millis, sessions []Session) {
	clear(g.grants)
	for _, session := range sessions {
		g.Join(now, session)
	}
}

// Join adds a session whose join command was applied. The session counts as leased, because
// a lease may be granted to it at any time from now on. A session older than the known one
// is ignored.
func (g *Granter) Join(now anvilclock.Millis, session Session) {
	known, ok := g.grants[session.Instance]
	if ok && known.incarnation >= session.Incarnation {
		return
	}
	g.grants[session.Instance] = &grant{incarnation: session.Incarnation, until: g.expiryTime(now)}
}

// expiryTime returns the time after which a lease granted now has certainly expired at its
// holder. With a rate error e on both sides, the granter's clock may advance (1+e)/(1-e) =
// 1 + 2e/(1-e) times as far as the holder's. One millisecond covers rounding.
func (g *Granter) expiryTime(now anvilclock.Millis) anvilclock.Millis {
	margin := g.span * anvilclock.Millis(2*g.clockRateError) / anvilclock.Millis(1000-g.clockRateError)
	return now + g.span + margin + 1
}

// Renew extends a lease and returns its span. It must be called when the answer is sent. It
// returns false for a session that isn't known or whose renewals are refused.
func (g *Granter) Renew(now anvilclock.Millis, session Session, applied anvilid.Index) (anvilclock.Millis, bool) {
	known, ok := g.grants[session.Instance]
	if !ok || known.incarnation != session.Incarnation || known.renewalsRefused {
		return 0, false
	}
	known.until = g.expiryTime(now)
	known.applied = max(known.applied, applied)
	return g.span, true
}

// RecordApplied records the index that a session has applied, without extending its lease.
func (g *Granter) RecordApplied(session Session, applied anvilid.Index) {
	if known, ok := g.grants[session.Instance]; ok && known.incarnation == session.Incarnation {
		known.applied = max(known.applied, applied)
	}
}

// Supersede prepares the join of a session. An earlier run of the instance can no longer
// renew its lease; the result tells whether it may still hold one.
func (g *Granter) Supersede(now anvilclock.Millis, session Session) (leased bool) {
	known, ok := g.grants[session.Instance]
	if !ok || known.incarnation >= session.Incarnation {
		return false
	}
	known.renewalsRefused = true
	return now < known.until
}

// Expired lists the sessions whose leases have certainly expired, in order of instance id.
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

// RefuseRenewals refuses all later renewals of a session. Call it before proposing the
// command that ends the session, because that command may be committed at any time
// afterwards.
func (g *Granter) RefuseRenewals(instance anvilid.InstanceID) {
	if known, ok := g.grants[instance]; ok {
		known.renewalsRefused = true
	}
}

// RemoveSession removes a session that has ended.
func (g *Granter) RemoveSession(session Session) {
	if known, ok := g.grants[session.Instance]; ok && known.incarnation == session.Incarnation {
		delete(g.grants, session.Instance)
	}
}

// InForce reports whether every session that may hold a lease has applied the log up to
// index. Pass only a committed index: a session that gets a lease later may not have
// applied an uncommitted one.
func (g *Granter) InForce(now anvilclock.Millis, index anvilid.Index) bool {
	for _, known := range g.grants {
		if now < known.until && known.applied < index {
			return false
		}
	}
	return true
}
