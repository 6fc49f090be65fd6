// Package anviladvice keeps the answers of an external advice service, which decides on which targets a
// step of a job may run, and determines the next question to the service. The permission to run a step
// on a target is called a ticket.
//
// The service is slow, so it is asked as soon as a step waits to be placed, about few targets at a time.
//
// The package does no I/O: the caller sends the questions and passes the answers in.
package anviladvice

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// maxTargetsPerQuestion limits the targets in one question, because the answer takes longer for
	// each of them.
	maxTargetsPerQuestion = 30
	// startAllowance is how long a ticket must still be valid when a start is decided on, because the
	// start takes time to reach the target.
	startAllowance = 500 * anvilclock.Millisecond
	// retryDelay is the delay between a question that got no answer and the next question.
	retryDelay = 500 * anvilclock.Millisecond
	// answerGracePeriod is how much longer the Advisor waits for the answer to a question than the
	// response time that the advice service guarantees: BaseLatency + number of targets *
	// LatencyPerTarget, see anvilwork.Advice.
	answerGracePeriod = 1500 * anvilclock.Millisecond
)

// Target is a target on which a step could run, in one incarnation: a target that restarts gets a new
// incarnation, for which the answers about the earlier one don't hold.
type Target struct {
	ID          anvilid.TargetID
	Incarnation anvilwork.Incarnation
}

// Candidates are the targets that a step could use now, the best ones first.
type Candidates struct {
	Step    anvilwork.StepKey
	Advice  anvilwork.Advice
	Targets []Target
}

// Question asks the advice service on which of some targets a step may run.
type Question struct {
	Step    anvilwork.StepKey
	Targets []Target
	// Limit is the time at which the caller should give up waiting for the answer.
	Limit anvilclock.Millis
}

// Answer has the tickets for those targets of a question on which the step may run. It denies the other
// targets of the question.
type Answer struct {
	Question Question
	// Sent is when the question was sent. The tickets are valid for the time Validity from then on.
	Sent     anvilclock.Millis
	Validity anvilclock.Millis
	Tickets  map[anvilid.TargetID]anvilwork.Ticket
}

// decision is the service's latest answer about one step on one target.
type decision struct {
	ticket anvilwork.Ticket  // empty if the target may not run the step
	until  anvilclock.Millis // when the ticket expires
}

// Advisor keeps the answers that a leader has received in its term. The zero value is not usable.
type Advisor struct {
	decisions map[anvilwork.StepKey]map[Target]decision
	pending   bool              // a question was asked and has no answer yet
	nextAt    anvilclock.Millis // the earliest time of the next question
}

// New returns an advisor without answers.
func New() *Advisor { return &Advisor{decisions: map[anvilwork.StepKey]map[Target]decision{}} }

// Ticket returns the ticket for a step on a target, or false if there is none that is still valid for
// startAllowance.
func (a *Advisor) Ticket(now anvilclock.Millis, step anvilwork.StepKey, target Target) (anvilwork.Ticket, bool) {
	r := a.decisions[step][target]
	return r.ticket, r.ticket != "" && now < r.until-startAllowance
}

// Allowed reports whether a ticket for a step on a target is known or may still be obtained, which is
// the case unless the service has denied the target.
func (a *Advisor) Allowed(step anvilwork.StepKey, target Target) bool {
	r, known := a.decisions[step][target]
	return !known || r.ticket != ""
}

// Next returns the next question, if one is due: about the first step with targets that are undecided.
// The service answers one question at a time, so none is due while another one is pending.
func (a *Advisor) Next(now anvilclock.Millis, candidateLists []Candidates) (Question, bool) {
	if a.pending || now < a.nextAt {
		return Question{}, false
	}
	for _, candidates := range candidateLists {
		undecided := a.undecided(now, candidates)
		if len(undecided) == 0 {
			continue
		}
		undecided = undecided[:min(len(undecided), maxTargetsPerQuestion)]
		span := candidates.Advice.BaseLatency + candidates.Advice.LatencyPerTarget*anvilclock.Millis(len(undecided))
		a.pending = true
		return Question{Step: candidates.Step, Targets: undecided, Limit: now + span + answerGracePeriod}, true
	}
	return Question{}, false
}

// undecided returns the candidate targets about which the service has to be asked: no valid ticket is
// known, and the target wasn't denied. A denial is final as long as the target has the same incarnation.
func (a *Advisor) undecided(now anvilclock.Millis, candidates Candidates) []Target {
	return slices.DeleteFunc(slices.Clone(candidates.Targets), func(target Target) bool {
		_, valid := a.Ticket(now, candidates.Step, target)
		return valid || !a.Allowed(candidates.Step, target)
	})
}

// Answered records the answer to the pending question.
func (a *Advisor) Answered(answer Answer) {
	a.pending = false
	step := answer.Question.Step
	if a.decisions[step] == nil {
		a.decisions[step] = map[Target]decision{}
	}
	for _, target := range answer.Question.Targets {
		a.decisions[step][target] = decision{ticket: answer.Tickets[target.ID], until: answer.Sent + answer.Validity}
	}
}

// Unanswered records that the pending question got no answer. The next question is due after
// retryDelay.
func (a *Advisor) Unanswered(now anvilclock.Millis) { a.pending, a.nextAt = false, now+retryDelay }

// Refused records that a target didn't accept the ticket of a step. The ticket is removed, so that the
// service is asked again about the step on this target.
func (a *Advisor) Refused(step anvilwork.StepKey, target Target) { delete(a.decisions[step], target) }

// Forget removes the answers about all steps of a job, which has ended.
func (a *Advisor) Forget(job anvilid.JobID) {
	for step := range a.decisions {
		if step.Job == job {
			delete(a.decisions, step)
		}
	}
}
