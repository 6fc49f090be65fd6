package anvillead

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"anvilshunt/core/anviladvice"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilorder"
	"anvilshunt/io/anvillogs"
)

// ask sends the next question about where steps may run, if one is due.
func (r *leadership) ask(now anvilclock.Millis, wants []anviladvice.Candidates) {
	question, due := r.advisor.Next(now, wants)
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), (question.Limit - now).Duration())
		defer cancel()
		answer, err := r.orders.Advise(ctx, question)
		step := fmt.Sprintf("%s.%d.%d", question.Step.Job, question.Step.Occurrence, question.Step.Step)
		r.log.Write(anvillogs.AdviceTaken, zap.String("step", step), zap.Int("asked", len(question.Targets)),
			zap.Int("eligible", len(answer.Tickets)), zap.Error(err))
		r.answer(func(now anvilclock.Millis) anvilorder.Effects {
			if err != nil {
				r.advisor.Unanswered(now)
			} else {
				r.advisor.Answered(answer)
			}
			r.dirty = true
			return anvilorder.Effects{}
		})
	}()
}

// noteTicket drops a ticket that a target didn't accept.
func (r *leadership) noteTicket(answer anvilorder.StartAnswer) {
	if answer.Verdict == anvilorder.StartTicketInvalid {
		r.advisor.Refused(answer.Order.Task.StepKey(), anviladvice.Target{ID: answer.Target, Born: answer.Incarnation})
	}
}
