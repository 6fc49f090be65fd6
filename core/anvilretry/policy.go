package anvilretry

import "anvilshunt/core/anvilclock"

// Reason is the reason why a request is not retried.
type Reason string

// Reasons. Allowed, the empty reason, means that the request is retried.
const (
	Allowed            Reason = ""
	NotRepeatable      Reason = "the request may have run and must not be repeated"
	AttemptsExhausted  Reason = "all attempts are used up"
	DeadlineTooClose   Reason = "too little time is left before the deadline"
	BudgetExhausted    Reason = "the retry budget is exhausted"
	defaultMaxAttempts        = 3
)

// Attempt is a failed attempt to run a request.
type Attempt struct {
	// Number is the number of this attempt, starting from 1.
	Number int
	// Ran is false if the request has certainly not been run.
	Ran        bool
	Repeatable bool
	Deadline   Deadline
	// Median is the observed median duration of requests, or 0 if it is unknown.
	Median anvilclock.Millis
}

// Policy decides on the retries of one service.
type Policy struct {
	Budget  *Budget
	Backoff *Backoff
	// MaxAttempts is the largest number of attempts per request; 0 stands for 3.
	MaxAttempts int
}

// Retry decides whether a failed attempt is followed by another one and returns the delay before
// it. A token is taken from the budget only if the result is Allowed, so that a request without
// enough time left does not use up a token that another request could use.
func (p *Policy) Retry(now anvilclock.Millis, attempt Attempt) (anvilclock.Millis, Reason) {
	if attempt.Ran && !attempt.Repeatable {
		return 0, NotRepeatable
	}
	maxAttempts := p.MaxAttempts
	if maxAttempts == 0 {
		maxAttempts = defaultMaxAttempts
	}
	if attempt.Number >= maxAttempts {
		return 0, AttemptsExhausted
	}
	delay := p.Backoff.Delay(attempt.Number)
	if !attempt.Deadline.AllowsAttempt(now+delay, attempt.Median) {
		return 0, DeadlineTooClose
	}
	if !p.Budget.Spend(now) {
		return 0, BudgetExhausted
	}
	return delay, Allowed
}
