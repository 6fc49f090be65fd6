package anvilretry

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
)

// TestBudget guards against retries that multiply the load of a failing service.
func TestBudget(t *testing.T) {
	for _, c := range []struct {
		name            string
		successes, want int // successes per second, wanted retries in 10 s
	}{
		{"service fails", 0, 10},
		{"service works", 1000, 1010},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewBudget(0)
			spent := 0
			for now := anvilclock.Millis(0); now < 10*anvilclock.Second; now++ {
				if c.successes > 0 {
					b.RecordSuccess()
				}
				if b.Spend(now) {
					spent++
				}
			}
			t.Logf("%d retries in 10 s with %d successes per second", spent, c.successes)
			assert.Assert(t, spent >= c.want-1 && spent <= c.want+1)
		})
	}
	b := NewBudget(0)
	for range 10_000 {
		b.RecordSuccess()
	}
	assert.Equal(t, b.Available(0), defaultBurst, "successes must not accumulate more retries than the burst")
}

// TestDeadline guards against attempts that cannot end before the caller gives up, and against
// timeouts with which a hop would answer after the previous hop has stopped waiting.
func TestDeadline(t *testing.T) {
	d := DeadlineAfter(1000, 500)
	assert.Equal(t, d.Remaining(1200), anvilclock.Millis(300))
	assert.Equal(t, d.HopTimeout(1200, 8), 300-HopMargin-8)
	assert.Equal(t, d.HopTimeout(1600, 8), anvilclock.Millis(0))
	assert.Assert(t, d.AllowsAttempt(1200, 290))
	assert.Assert(t, !d.AllowsAttempt(1200, 291))
	assert.Assert(t, d.AllowsAttempt(1489, 0) && !d.AllowsAttempt(1490, 0))
}

// TestBackoff guards against clients that retry in step with each other, and against unlimited
// delays.
func TestBackoff(t *testing.T) {
	b, same := NewBackoff(10, 500, 7), NewBackoff(10, 500, 7)
	seen := map[anvilclock.Millis]bool{}
	for retry := 1; retry < 100; retry++ {
		step := anvilclock.Millis(500)
		if retry < 7 {
			step = min(500, anvilclock.Millis(10)<<(retry-1))
		}
		delay := b.Delay(retry)
		assert.Equal(t, delay, same.Delay(retry), "not reproducible")
		assert.Assert(t, delay >= step/2 && delay <= step)
		seen[delay] = true
	}
	assert.Assert(t, len(seen) > 50, "too little jitter")
}

// TestPolicy guards against a second run of a request that may not be repeated, and against taking
// tokens from the budget for requests that are not retried.
func TestPolicy(t *testing.T) {
	p := Policy{Budget: NewBudget(0), Backoff: NewBackoff(10, 100, 1)}
	for _, c := range []struct {
		attempt Attempt
		want    Reason
	}{
		{Attempt{Number: 1, Ran: true, Deadline: 1000}, NotRepeatable},
		{Attempt{Number: 3, Deadline: 1000}, AttemptsExhausted},
		{Attempt{Number: 1, Deadline: 100, Median: 90}, DeadlineTooClose},
		{Attempt{Number: 1, Deadline: 1000, Median: 90}, Allowed},
		{Attempt{Number: 1, Ran: true, Repeatable: true, Deadline: 1000}, BudgetExhausted},
	} {
		_, reason := p.Retry(0, c.attempt)
		assert.Equal(t, reason, c.want)
	}
}
