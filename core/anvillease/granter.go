package anvillease

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// defaultRateError is the largest assumed rate error of a clock, in thousandths: 10 means
// that a clock runs at most 1% fast or slow.
const defaultRateError = 10

// Session identifies one incarnation of an instance: a run of its process from start to end.
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
	applied anvilid.Index
	// renewalsRefused is set once the session is about to be ended or superseded.
	renewalsRefused bool
}

// Granter tracks the leases of all instances on the side of the leader, which grants them.
type Granter struct {
	span           anvilclock.Millis
	clockRateError int
	grants         map[anvilid.InstanceID]*grant
}

// Option changes one setting of a Granter.
type Option func(*Granter)

// WithRateError sets the largest assumed rate error of a clock, in thousandths: 10 means that
// a clock runs at most 1% fast or slow.
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
// known session until now, so each session is assumed to have a lease for a full span from
// now on. Which log index each session has applied is not known yet.
func (g *Granter) StartTerm(now anvilclock.Millis, sessions []Session) {
	clear(g.grants)
	for _, session := range sessions {
		g.Join(now, session)
	}
}

// Join adds a session whose join command was applied. The session is assumed to have a lease,
// because one may be granted to it at any time from now on. A session older than the known
// one of the same instance is ignored.
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

// Renew extends the lease of a session that has applied the log up to index applied, and
// returns the span of the lease. It must be called when the answer to the session is sent.
// It returns false for a session that isn't known or whose renewals are refused.
func (g *Granter) Renew(now anvilclock.Millis, session Session, applied anvilid.Index) (anvilclock.Millis, bool) {
	known, ok := g.grants[session.Instance]
	if !ok || known.incarnation != session.Incarnation || known.renewalsRefused {
		return 0, false
	}
	known.until = g.expiryTime(now)
	known.applied = max(known.applied, applied)
	return g.span, true
}

// RecordApplied records the index up to which a session has applied the log, without
// extending its lease.
func (g *Granter) RecordApplied(session Session, applied anvilid.Index) {
	if known, ok := g.grants[session.Instance]; ok && known.incarnation == session.Incarnation {
		known.applied = max(known.applied, applied)
	}
}

// Supersede prepares the join of a session. An earlier session of the same instance can no
// longer renew its lease. The result reports whether its lease may still be valid.
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

// RemoveSession removes a session that has ended, so that Expired and InForce no longer consider it.
func (g *Granter) RemoveSession(session Session) {
	if known, ok := g.grants[session.Instance]; ok && known.incarnation == session.Incarnation {
		delete(g.grants, session.Instance)
	}
}

// InForce reports whether every session whose lease may be valid has applied the log up to
// index. Pass only a committed index: a session that gets a lease later may not have applied
// an uncommitted entry.
func (g *Granter) InForce(now anvilclock.Millis, index anvilid.Index) bool {
	for _, known := range g.grants {
		if now < known.until && known.applied < index {
			return false
		}
	}
	return true
}
