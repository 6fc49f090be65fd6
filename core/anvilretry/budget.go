// Package anvilretry limits retries: by a budget that is a share of the number of successful
// requests, by a timeout that gets shorter with each hop, and by backoff delays.
package anvilretry

import (
	"math/rand/v2"

	"anvilshunt/core/anvilclock"
)

// Budget is a token bucket for retries. Each success adds a fraction of a token, and each retry
// takes one. It is not safe for concurrent use.
type Budget struct {
	percent       int // tokens added per 100 successes, which is hundredths of a token per success
	minPerSecond  int // tokens added per second even without successes
	maxHundredths int // largest value of hundredths
	hundredths    int // tokens left, in hundredths of a token
	lastRefill    anvilclock.Millis
}

const (
	hundredthsPerToken = 100
	// Defaults. 10% limits the extra load caused by retries while a service fails. The minimum per
	// second lets a service with little traffic retry at all.
	defaultPercent      = 10
	defaultMinPerSecond = 1
	defaultBurst        = 20
)

// Option configures a Budget.
type Option func(*Budget)

// WithPercent sets the number of retries allowed as a percentage of successes.
func WithPercent(percent int) Option { return func(b *Budget) { b.percent = percent } }

// WithMinPerSecond sets the number of retries per second that are allowed even without successes.
func WithMinPerSecond(perSecond int) Option { return func(b *Budget) { b.minPerSecond = perSecond } }

// WithBurst sets the largest number of retries that the budget can accumulate.
func WithBurst(retries int) Option {
	return func(b *Budget) { b.maxHundredths = retries * hundredthsPerToken }
}

// NewBudget returns the retry budget of one service. It starts with the number of tokens that are
// added in one second without successes; see WithMinPerSecond.
func NewBudget(now anvilclock.Millis, options ...Option) *Budget {
	b := &Budget{percent: defaultPercent, minPerSecond: defaultMinPerSecond, maxHundredths: defaultBurst * hundredthsPerToken, lastRefill: now}
	for _, option := range options {
		option(b)
	}
	b.hundredths = min(b.maxHundredths, b.minPerSecond*hundredthsPerToken)
	return b
}

// RecordSuccess adds the fraction of a token that one success earns; see WithPercent.
func (b *Budget) RecordSuccess() { b.hundredths = min(b.maxHundredths, b.hundredths+b.percent) }

// Spend takes one token for a retry. It returns false if the budget is exhausted; the request must
// then fail.
func (b *Budget) Spend(now anvilclock.Millis) bool {
	b.refill(now)
	if b.hundredths < hundredthsPerToken {
		return false
	}
	b.hundredths -= hundredthsPerToken
	return true
}

// Available returns the number of retries that may start now.
func (b *Budget) Available(now anvilclock.Millis) int {
	b.refill(now)
	return b.hundredths / hundredthsPerToken
}

// refill adds the tokens that do not depend on successes: minPerSecond for each second since the
// latest refill.
func (b *Budget) refill(now anvilclock.Millis) {
	if now <= b.lastRefill {
		return
	}
	earned := int64(now-b.lastRefill) * int64(b.minPerSecond) * hundredthsPerToken / int64(anvilclock.Second)
	if earned == 0 && b.minPerSecond > 0 {
		return // less than a hundredth of a token so far: leave lastRefill, so that the next refill counts this time
	}
	b.lastRefill = now
	b.hundredths = int(min(int64(b.maxHundredths), int64(b.hundredths)+earned))
}

// Deadline is the time, on the local clock, at which the caller stops waiting.
type Deadline anvilclock.Millis

// HopMargin is subtracted from the remaining time at each hop, so that an answer arrives before the
// previous hop gives up.
const HopMargin = 10 * anvilclock.Millisecond

// DeadlineAfter returns the deadline of a request that arrived at the time now and has the given
// time remaining.
func DeadlineAfter(now, remaining anvilclock.Millis) Deadline { return Deadline(now + remaining) }

// Remaining returns the time left until the deadline.
func (d Deadline) Remaining(now anvilclock.Millis) anvilclock.Millis {
	return max(0, anvilclock.Millis(d)-now)
}

// HopTimeout returns the time that the next hop may take: the time left, less HopMargin and the
// one-way latency to that hop.
func (d Deadline) HopTimeout(now, latency anvilclock.Millis) anvilclock.Millis {
	return max(0, anvilclock.Millis(d)-now-HopMargin-latency)
}

// AllowsAttempt reports whether enough time is left for another attempt: after subtracting HopMargin,
// at least the median duration of requests. A median of 0 means that it is unknown.
func (d Deadline) AllowsAttempt(now, median anvilclock.Millis) bool {
	remaining := d.HopTimeout(now, 0)
	return remaining > 0 && remaining >= median
}

// Backoff computes exponential backoff delays with jitter from a seeded random source. It is not
// safe for concurrent use.
type Backoff struct {
	initial, maximum anvilclock.Millis
	random           *rand.Rand
}

// NewBackoff returns a Backoff whose delays grow from initial to maximum.
func NewBackoff(initial, maximum anvilclock.Millis, seed uint64) *Backoff {
	return &Backoff{initial: initial, maximum: maximum, random: rand.New(rand.NewPCG(seed, seed))}
}

// Delay returns the delay before a retry; retries are numbered from 1. The delay is drawn between
// step/2 and step, where step = min(initial * 2^(retry-1), maximum).
func (b *Backoff) Delay(retry int) anvilclock.Millis {
	step := b.initial
	for range retry - 1 {
		if step >= b.maximum {
			break
		}
		step *= 2
	}
	step = min(step, b.maximum)
	half := step / 2
	return half + anvilclock.Millis(b.random.Int64N(int64(step-half)+1))
}
