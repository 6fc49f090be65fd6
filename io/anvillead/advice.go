package anvillead

import (
	"context"

	"go.uber.org/zap"

	"anvilshunt/core/anviladvice"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilorder"
	"anvilshunt/io/anvillogs"
)

// requestAdvice asks the advice service which of some targets may run a step of
// a job, if the advisor has such a question to send now. The answer has a ticket
// (the service's permission to run the step) for each target that may run it.
func (r *leadership) requestAdvice(now anvilclock.Millis, candidates []anviladvice.Candidates) {
	question, due := r.advisor.Next(now, candidates)
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), (question.Limit - now).Duration())
		defer cancel()
		answer, err := r.calls.Advise(ctx, question)
		r.log.Write(anvillogs.AdviceRequested, zap.Stringer("step", question.Step), zap.Int("asked", len(question.Targets)),
			zap.Int("eligible", len(answer.Tickets)), zap.Error(err))
		r.enqueueResult(func(now anvilclock.Millis) anvilorder.Effects {
			if err != nil {
				r.advisor.Unanswered(now)
			} else {
				r.advisor.Answered(answer)
			}
			r.planNeeded = true
			return anvilorder.Effects{}
		})
	}()
}

// discardRefusedTicket removes a ticket (the advice service's permission to run a
// step on a target) from the advisor's cache if the target rejected it.
func (r *leadership) discardRefusedTicket(answer anvilorder.StartAnswer) {
	if answer.Verdict == anvilorder.StartTicketInvalid {
		r.advisor.Refused(answer.Order.Task.StepKey(), anviladvice.Target{ID: answer.Target, Incarnation: answer.Incarnation})
	}
}
