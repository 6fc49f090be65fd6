package anvilretry

import "anvilshunt/core/anvilclock"

// Reason tells why a request is not retried.
type Reason string

// Reasons. Allowed is the absence of one.
const (
	Allowed           Reason = ""
	NotRepeatable     Reason = "may have run and may not be repeated"
	AttemptsExhausted Reason = "all tries are used up"
	DeadlineTooClose  Reason = "too little time is left"
	BudgetExhausted   Reason = "the retry budget is exhausted"
	defaultMost              = 3
)

// Attempt is a try at a request that has failed.
type Attempt struct {
	// Number counts the tries so far, from 1.
	Number int
	// Ran is false if the request certainly has not run.
	Ran        bool
	Repeatable bool
	Deadline   Deadline
	// Median is the observed median duration, or 0 if none is known.
	Median anvilclock.Millis
}

// Policy decides on the retries of one service.
type Policy struct {
	Budget  *Budget
	Backoff *Backoff
	// MaxAttempts is the most tries at one request; 0 means 3.
	MaxAttempts int
}

// Retry decides whether a failed try is followed by another one, and after
// which delay. The token is spent only if the answer is Allowed, so that a
// request without time does not cost another one its retry.
func (p *Policy) Retry(now anvilclock.Millis, try Attempt) (anvilclock.Millis, Reason) {
	if try.Ran && !try.Repeatable {
		return 0, NotRepeatable
	}
	most := p.MaxAttempts
	if most == 0 {
		most = defaultMost
	}
	if try.Number >= most {
		return 0, AttemptsExhausted
	}
	delay := p.Backoff.Delay(try.Number)
	if !try.Deadline.AllowsAttempt(now+delay, try.Median) {
		return 0, DeadlineTooClose
	}
	if !p.Budget.Spend(now) {
		return 0, BudgetExhausted
	}
	return delay, Allowed
}
