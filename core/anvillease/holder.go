// Package anvillease provides leases between one granter and many holders.
//
// Safety rests on two rules. A holder counts its lease from the moment it
// sent the renewal, the granter from the moment it answered. The granter adds
// a margin for the error of the clock rates, so that a lease has lapsed at
// its holder before the granter treats it as lapsed.
package anvillease

import "anvilshunt/core/anvilclock"

// Holder is the holder's side of one lease. The zero value holds no lease.
type Holder struct {
	until anvilclock.Millis
	held  bool
}

// Granted notes a lease of span that was requested at sent. A grant that
// ends earlier than the present one changes nothing.
func (h *Holder) Granted(sent, span anvilclock.Millis) {
	if until := sent + span; !h.held || until > h.until {
		h.until, h.held = until, true
	}
}

// Revoke gives the lease up.
func (h *Holder) Revoke() { h.held = false }

// Valid tells whether the lease covers now. It is asked before each act that
// needs the lease, because the process may have been stopped in between.
func (h *Holder) Valid(now anvilclock.Millis) bool { return h.held && now < h.until }

// Until returns the end of the lease, or zero without one.
func (h *Holder) Until() anvilclock.Millis {
	if !h.held {
		return 0
	}
	return h.until
}
