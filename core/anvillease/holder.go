// Package anvillease provides leases between one granter and many holders.
//
// Safety rests on two rules. A holder counts its lease from the moment at which it sent the
// renewal, the granter from the moment at which it answered. The granter adds a margin for
// the error of the clock rates, so that a lease has expired at its holder before the
// granter treats it as expired.
package anvillease

import "anvilshunt/core/anvilclock"

// Holder tracks one lease on the side of its holder. The zero value has no lease.
type Holder struct {
	until anvilclock.Millis
	held  bool
}

// Granted records a lease of span that was requested at sent. A grant that ends before the
// current lease does has no effect.
func (h *Holder) Granted(sent, span anvilclock.Millis) {
	if until := sent + span; !h.held || until > h.until {
		h.until, h.held = until, true
	}
}

// Revoke ends the lease at once.
func (h *Holder) Revoke() { h.held = false }

// Valid reports whether the lease covers now. Call it before each action that needs the
// lease, because the process may have been suspended since the last call.
func (h *Holder) Valid(now anvilclock.Millis) bool { return h.held && now < h.until }

// Until returns the end of the lease, or zero if there is none.
func (h *Holder) Until() anvilclock.Millis {
	if !h.held {
		return 0
	}
	return h.until
}
