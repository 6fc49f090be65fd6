// Package anvilretry limits retries: by a budget that is a share of the
// successes, by a deadline that shrinks on each hop, and by delays.
package anvilretry

import (
	"math/rand/v2"

	"anvilshunt/core/anvilclock"
)

// Budget is a token bucket. A success earns a part of a token, a retry
// spends one. It is not safe for concurrent use.
type Budget struct {
	percent int
	floor   int
	most    int
	tokens  int // in hundredths
	filled  anvilclock.Millis
}

const (
	token = 100 // hundredths
	// Defaults. 10% keeps the extra load of retries small while a service
	// fails; the floor lets a service with little traffic retry at all.
	defaultPercent = 10
	defaultFloor   = 1
	defaultBurst   = 20
)

// Option configures a Budget.
type Option func(*Budget)

// WithPercent sets the share of successes that may be retried.
func WithPercent(percent int) Option { return func(b *Budget) { b.percent = percent } }

// WithMinPerSecond sets the retries per second that are always allowed.
func WithMinPerSecond(perSecond int) Option { return func(b *Budget) { b.floor = perSecond } }

// WithBurst sets the most retries that can be saved up.
func WithBurst(retries int) Option { return func(b *Budget) { b.most = retries * token } }

// NewBudget returns the budget of one service. It starts with one second of
// the floor.
func NewBudget(now anvilclock.Millis, options ...Option) *Budget {
	b := &Budget{percent: defaultPercent, floor: defaultFloor, most: defaultBurst * token, filled: now}
	for _, option := range options {
		option(b)
	}
	b.tokens = min(b.most, b.floor*token)
	return b
}

// RecordSuccess earns the share of one success.
func (b *Budget) RecordSuccess() { b.tokens = min(b.most, b.tokens+b.percent) }

// Spend takes the token of one retry. It returns false if the budget is
// exhausted, and the request must then fail.
func (b *Budget) Spend(now anvilclock.Millis) bool {
	b.fill(now)
	if b.tokens < token {
		return false
	}
	b.tokens -= token
	return true
}

// Available returns the retries that may start now.
func (b *Budget) Available(now anvilclock.Millis) int {
	b.fill(now)
	return b.tokens / token
}

// fill adds the floor for the time since the last call.
func (b *Budget) fill(now anvilclock.Millis) {
	if now <= b.filled {
		return
	}
	earned := int64(now-b.filled) * int64(b.floor) * token / int64(anvilclock.Second)
	if earned == 0 && b.floor > 0 {
		return // keep the fraction
	}
	b.filled = now
	b.tokens = int(min(int64(b.most), int64(b.tokens)+earned))
}

// Deadline is the instant, on the local clock, at which the caller stops to
// wait.
type Deadline anvilclock.Millis

// HopMargin is taken off the remaining time on each hop, so that an answer
// gets back before the previous hop gives up.
const HopMargin = 10 * anvilclock.Millisecond

// DeadlineAfter returns the deadline of a request that arrived now with the given
// time remaining.
func DeadlineAfter(now, remaining anvilclock.Millis) Deadline { return Deadline(now + remaining) }

// Remaining returns the time left.
func (d Deadline) Remaining(now anvilclock.Millis) anvilclock.Millis {
	return max(0, anvilclock.Millis(d)-now)
}

// HopTimeout returns the time that the next hop may take: the time left less the
// margin and the one-way latency to it.
func (d Deadline) HopTimeout(now, latency anvilclock.Millis) anvilclock.Millis {
	return max(0, anvilclock.Millis(d)-now-HopMargin-latency)
}

// AllowsAttempt tells whether a try is worth its start: the time left for it is at
// least the median duration. A median of 0 means that none is known.
func (d Deadline) AllowsAttempt(now, median anvilclock.Millis) bool {
	remaining := d.HopTimeout(now, 0)
	return remaining > 0 && remaining >= median
}

// Backoff computes exponential delays with seeded jitter. It is not safe for
// concurrent use.
type Backoff struct {
	first, longest anvilclock.Millis
	random         *rand.Rand
}

// NewBackoff returns a Backoff whose delays grow from first to longest.
func NewBackoff(first, longest anvilclock.Millis, seed uint64) *Backoff {
	return &Backoff{first: first, longest: longest, random: rand.New(rand.NewPCG(seed, seed))}
}

// Delay returns the delay before a retry; retries count from 1. It lies
// between half and the whole of the exponential step.
func (b *Backoff) Delay(retry int) anvilclock.Millis {
	step := b.first
	for range retry - 1 {
		if step >= b.longest {
			break
		}
		step *= 2
	}
	step = min(step, b.longest)
	half := step / 2
	return half + anvilclock.Millis(b.random.Int64N(int64(step-half)+1))
}
