package anviladvice

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilwork"
)

var (
	testStep   = anvilwork.StepKey{Job: "j"}
	testAdvice = anvilwork.Advice{BaseLatency: 100, LatencyPerTarget: 10, Validity: 3000}
)

func targets(count int) []Target {
	var list []Target
	for n := range count {
		list = append(list, Target{ID: anvilid.TargetID(fmt.Sprint("t", n)), Incarnation: 1})
	}
	return list
}

func ask(t *testing.T, a *Advisor, now anvilclock.Millis, count int) Question {
	t.Helper()
	question, due := a.Next(now, []Candidates{{Step: testStep, Advice: testAdvice, Targets: targets(count)}})
	assert.Assert(t, due)
	return question
}

// Guards against questions about so many targets that the answer takes too long, and against several
// questions at a time, which the service would only answer one after the other.
func TestOneQuestionAtATime(t *testing.T) {
	a := New()
	question := ask(t, a, 1000, 50)
	assert.Equal(t, len(question.Targets), maxTargetsPerQuestion)
	assert.Equal(t, question.Limit, anvilclock.Millis(1000+100+300)+answerGracePeriod)
	_, due := a.Next(1001, []Candidates{{Step: testStep, Advice: testAdvice, Targets: targets(1)}})
	assert.Assert(t, !due)
	a.Unanswered(1500)
	_, due = a.Next(1501, []Candidates{{Step: testStep, Advice: testAdvice, Targets: targets(1)}})
	assert.Assert(t, !due, "a service that doesn't answer isn't asked again at once")
	ask(t, a, 1500+retryDelay, 1)
}

// Guards against using a ticket that expires before the start reaches the target, against asking again
// about a target that was denied, and against using a ticket for an earlier incarnation of a target.
func TestTickets(t *testing.T) {
	a := New()
	question := ask(t, a, 1000, 2)
	a.Answered(Answer{Question: question, Sent: 1000, Validity: 3000, Tickets: map[anvilid.TargetID]anvilwork.Ticket{"t0": "x"}})
	ticket, ok := a.Ticket(1200, testStep, Target{"t0", 1})
	assert.Assert(t, ok)
	assert.Equal(t, ticket, anvilwork.Ticket("x"))
	for _, target := range []Target{{"t1", 1}, {"t0", 2}} {
		_, ok = a.Ticket(1200, testStep, target)
		assert.Assert(t, !ok, target)
	}
	assert.Assert(t, !a.Allowed(testStep, Target{"t1", 1}))
	assert.Assert(t, a.Allowed(testStep, Target{"t0", 2}))
	_, due := a.Next(1200, []Candidates{{Step: testStep, Advice: testAdvice, Targets: targets(2)}})
	assert.Assert(t, !due)

	late := 1000 + 3000 - startAllowance
	_, ok = a.Ticket(late, testStep, Target{"t0", 1})
	assert.Assert(t, !ok)
	assert.DeepEqual(t, ask(t, a, late, 2).Targets, targets(1))
}

// Guards against using a ticket again that a target has refused, and against keeping the answers about
// jobs that have ended.
func TestRefusedAndForgotten(t *testing.T) {
	a := New()
	all := map[anvilid.TargetID]anvilwork.Ticket{"t0": "x", "t1": "y"}
	a.Answered(Answer{Question: ask(t, a, 1000, 2), Sent: 1000, Validity: 3000, Tickets: all})
	a.Refused(testStep, Target{"t0", 1})
	_, ok := a.Ticket(1100, testStep, Target{"t0", 1})
	assert.Assert(t, !ok)
	assert.DeepEqual(t, ask(t, a, 1100, 2).Targets, targets(1))
	a.Forget("j")
	assert.Equal(t, len(a.decisions), 0)
}
