// Package anviladvice keeps what another service says about which targets may
// run a step, and decides what to ask it next. Its answers are slow, so a step
// is asked about as soon as it waits, for few targets at a time.
//
// It is pure: the caller makes the calls and passes the answers in.
package anviladvice

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

const (
	// askedAtOnce is the most targets in one question: the answer takes longer
	// for each of them.
	askedAtOnce = 30
	// ticketMargin is kept from a ticket's validity for the way of the start to
	// the target.
	ticketMargin = 500 * anvilclock.Millisecond
	// retryPause is the pause after a question without an answer.
	retryPause = 500 * anvilclock.Millisecond
	// slackSpan is how much longer than promised an answer may take.
	slackSpan = 1500 * anvilclock.Millisecond
)

// Target is a target that a step could run on.
type Target struct {
	ID   anvilid.TargetID
	Born anvilwork.Incarnation
}

// Candidates names the targets that a step could use now, the best ones first.
type Candidates struct {
	Step    anvilwork.StepKey
	Advice  anvilwork.Advice
	Targets []Target
}

// Question asks which of some targets may run a step.
type Question struct {
	Step    anvilwork.StepKey
	Targets []Target
	// Limit is when the answer is overdue.
	Limit anvilclock.Millis
}

// Answer holds the tickets of the targets that may run the step. The others of
// the question may not.
type Answer struct {
	Question Question
	// Sent is when the question was sent, from which the validity counts.
	Sent     anvilclock.Millis
	Validity anvilclock.Millis
	Tickets  map[anvilid.TargetID]anvilwork.Ticket
}

type ruling struct {
	ticket anvilwork.Ticket // empty if the target may not run the step
	until  anvilclock.Millis
}

// Advisor keeps the answers of one term. The zero value is not usable.
type Advisor struct {
	rulings map[anvilwork.StepKey]map[Target]ruling
	asking  bool
	next    anvilclock.Millis // no question before
}

// New returns an advisor without answers.
func New() *Advisor { return &Advisor{rulings: map[anvilwork.StepKey]map[Target]ruling{}} }

// Ticket returns the ticket of a step for a target, or false if there is none
// that is valid long enough for a start.
func (a *Advisor) Ticket(now anvilclock.Millis, step anvilwork.StepKey, target Target) (anvilwork.Ticket, bool) {
	r := a.rulings[step][target]
	return r.ticket, r.ticket != "" && now < r.until-ticketMargin
}

// Allowed tells whether a step may run on a target as far as is known: it wasn't
// denied.
func (a *Advisor) Allowed(step anvilwork.StepKey, target Target) bool {
	r, known := a.rulings[step][target]
	return !known || r.ticket != ""
}

// Next returns the next question, if one is due. The service answers one
// question at a time, so there is never more than one under way.
func (a *Advisor) Next(now anvilclock.Millis, wants []Candidates) (Question, bool) {
	if a.asking || now < a.next {
		return Question{}, false
	}
	for _, want := range wants {
		open := a.open(now, want)
		if len(open) == 0 {
			continue
		}
		open = open[:min(len(open), askedAtOnce)]
		span := want.Advice.BaseLatency + want.Advice.LatencyPerTarget*anvilclock.Millis(len(open))
		a.asking = true
		return Question{Step: want.Step, Targets: open, Limit: now + span + slackSpan}, true
	}
	return Question{}, false
}

// open lists the targets of which no valid ticket is known, and that weren't
// denied: a denial doesn't change during the life of a target.
func (a *Advisor) open(now anvilclock.Millis, want Candidates) []Target {
	return slices.DeleteFunc(slices.Clone(want.Targets), func(target Target) bool {
		_, valid := a.Ticket(now, want.Step, target)
		return valid || !a.Allowed(want.Step, target)
	})
}

// Answered takes an answer.
func (a *Advisor) Answered(answer Answer) {
	a.asking = false
	step := answer.Question.Step
	if a.rulings[step] == nil {
		a.rulings[step] = map[Target]ruling{}
	}
	for _, target := range answer.Question.Targets {
		a.rulings[step][target] = ruling{ticket: answer.Tickets[target.ID], until: answer.Sent + answer.Validity}
	}
}

// Unanswered tells that a question got no answer.
func (a *Advisor) Unanswered(now anvilclock.Millis) { a.asking, a.next = false, now+retryPause }

// Refused tells that a target didn't accept a ticket: it is asked for again.
func (a *Advisor) Refused(step anvilwork.StepKey, target Target) { delete(a.rulings[step], target) }

// Forget drops what is known for a job.
func (a *Advisor) Forget(job anvilid.JobID) {
	for step := range a.rulings {
		if step.Job == job {
			delete(a.rulings, step)
		}
	}
}
