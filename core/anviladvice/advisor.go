// Package anviladvice keeps the answers of an external advice service about which targets may run a
// step, and decides what to ask it next. The service is slow, so it is asked about a step as soon
// as the step waits, for few targets at a time.
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
	// startAllowance is how much longer a ticket must be valid to be used, because the start takes
	// time to reach the target.
	startAllowance = 500 * anvilclock.Millisecond
	// retryDelay is the delay after a question that got no answer.
	retryDelay = 500 * anvilclock.Millisecond
	// answerGracePeriod is how much longer than the queue's policy states an answer may take.
	answerGracePeriod = 1500 * anvilclock.Millisecond
)

// Target is a target that a step could run on.
type Target struct {
	ID   anvilid.TargetID
	Incarnation anvilwork.Incarnation
}

// Candidates are the targets that a step could use now, the best ones first.
type Candidates struct {
	Step    anvilwork.StepKey
	Advice  anvilwork.Advice
	Targets []Target
}

// Question asks which of some targets may run a step.
type Question struct {
	Step    anvilwork.StepKey
	Targets []Target
	// Limit is the time after which the answer is overdue.
	Limit anvilclock.Millis
}

// Answer holds the tickets of the targets that may run the step. A ticket is the service's
// permission to run the step on a target. The other targets of the question may not run it.
type Answer struct {
	Question Question
	// Sent is when the question was sent. The validity counts from then.
	Sent     anvilclock.Millis
	Validity anvilclock.Millis
	Tickets  map[anvilid.TargetID]anvilwork.Ticket
}

// decision is what the service has answered about one step on one target.
type decision struct {
	ticket anvilwork.Ticket // empty if the target may not run the step
	until  anvilclock.Millis
}

// Advisor keeps the answers of one term. The zero value is not usable.
type Advisor struct {
	decisions map[anvilwork.StepKey]map[Target]decision
	pending   bool
	nextAt    anvilclock.Millis // the earliest time of the next question
}

// New returns an advisor without answers.
func New() *Advisor { return &Advisor{decisions: map[anvilwork.StepKey]map[Target]decision{}} }

// Ticket returns the ticket of a step for a target, or false if there is none that stays valid long
// enough for a start.
func (a *Advisor) Ticket(now anvilclock.Millis, step anvilwork.StepKey, target Target) (anvilwork.Ticket, bool) {
	r := a.decisions[step][target]
	return r.ticket, r.ticket != "" && now < r.until-startAllowance
}

// Allowed reports whether a step may run on a target as far as is known, which means that it has
// not been denied.
func (a *Advisor) Allowed(step anvilwork.StepKey, target Target) bool {
	r, known := a.decisions[step][target]
	return !known || r.ticket != ""
}

// Next returns the next question, if one is due. The service answers one question at a time, so at
// most one is pending.
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

// undecided returns the targets for which no valid ticket is known and that weren't denied. A
// denial never changes as long as the target has the same incarnation.
func (a *Advisor) undecided(now anvilclock.Millis, candidates Candidates) []Target {
	return slices.DeleteFunc(slices.Clone(candidates.Targets), func(target Target) bool {
		_, valid := a.Ticket(now, candidates.Step, target)
		return valid || !a.Allowed(candidates.Step, target)
	})
}

// Answered records an answer.
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

// Unanswered records that a question got no answer.
func (a *Advisor) Unanswered(now anvilclock.Millis) { a.pending, a.nextAt = false, now+retryDelay }

// Refused records that a target didn't accept a ticket, so that the service is asked again.
func (a *Advisor) Refused(step anvilwork.StepKey, target Target) { delete(a.decisions[step], target) }

// Forget removes all answers for a job.
func (a *Advisor) Forget(job anvilid.JobID) {
	for step := range a.decisions {
		if step.Job == job {
			delete(a.decisions, step)
		}
	}
}
