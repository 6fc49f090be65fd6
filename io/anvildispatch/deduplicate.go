package anvildispatch

import (
	"context"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvildedup"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilrequest"
)

// runDeduplicated runs a request unless its id is already in heldRequests. A resend that arrives
// while the request runs waits for the same answer; a later one gets the stored answer.
func (d *Dispatcher) runDeduplicated(ctx context.Context, request *anvilrequest.Request, digest anvildedup.Digest, token anvilid.Token) anvilrequest.Answer {
	key := keyOf(request)
	d.mu.Lock()
	found := d.heldRequests.Begin(d.clock.Now(), key, digest, d.holder())
	if found.State != anvildedup.New {
		running := d.executions[key]
		d.mu.Unlock()
		return d.answerResend(ctx, request, found, running)
	}
	own := &execution{done: make(chan struct{})}
	d.executions[key] = own
	d.mu.Unlock()
	request.Progress.Admitted = true

	own.answer = d.route(ctx, request, token)
	d.finishExecution(key, own)
	return own.answer
}

// finishExecution ends an execution and wakes the resends that wait for it. If the request did not
// run, its id is removed from heldRequests, so that a resend runs it. Otherwise the id stays there
// with the answer.
func (d *Dispatcher) finishExecution(key anvildedup.Key, own *execution) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.executions, key)
	if own.answer.Outcome == anvilrequest.NotRun {
		d.heldRequests.Remove(d.clock.Now(), key, d.holder())
	} else {
		d.heldRequests.Complete(d.clock.Now(), key, d.holder(), storedAnswer(own.answer))
	}
	close(own.done)
}

// storedAnswer returns the part of an answer that is stored. For an unknown outcome there is no
// answer to store; the table then records only that the request ended.
func storedAnswer(answer anvilrequest.Answer) *anvildedup.Answer {
	if answer.Outcome != anvilrequest.Done {
		return nil
	}
	return &anvildedup.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
}

// doneAnswer converts a stored answer to the answer for a caller.
func doneAnswer(stored *anvildedup.Answer) anvilrequest.Answer {
	return anvilrequest.Answer{
		Outcome: anvilrequest.Done, Status: stored.Status, ContentType: stored.ContentType, Body: stored.Body,
	}
}

// answerResend answers a request whose id is already in heldRequests, or for which heldRequests is
// full.
func (d *Dispatcher) answerResend(ctx context.Context, request *anvilrequest.Request, found anvildedup.Result, running *execution) anvilrequest.Answer {
	switch {
	case found.State == anvildedup.Conflict:
		return idReused(request.ID)
	case found.State == anvildedup.Full:
		request.Progress.Admitted = true // not a resend; the refusal counts against the objectives
		return anvilrequest.Refuse(anvilrequest.CodeOverloaded,
			"the request id table of this instance is full; retry later or at another instance")
	case found.State == anvildedup.Done && found.Answer != nil:
		return doneAnswer(found.Answer)
	case found.State == anvildedup.InFlight && running != nil:
		return waitForExecution(ctx, running)
	case request.Repeatable:
		return d.route(ctx, request, 0)
	}
	return answerGone(request.ID)
}

func waitForExecution(ctx context.Context, running *execution) anvilrequest.Answer {
	select {
	case <-running.done:
		return running.answer
	case <-ctx.Done():
		return anvilrequest.UnknownOutcome(anvilrequest.CodeInFlight,
			"the request is still running; send it again to wait for its answer")
	}
}

func idReused(id anvilid.RequestID) anvilrequest.Answer {
	return anvilrequest.Refuse(anvilrequest.CodeIDReused,
		"request id %q was already used for a request with other content; choose a new id", id)
}

func answerGone(id anvilid.RequestID) anvilrequest.Answer {
	return anvilrequest.UnknownOutcome(anvilrequest.CodeAnswerGone,
		"request %q may have run, but its answer is no longer stored", id)
}

// Fetch returns the answer to a request of which this instance is the holder. It waits for a request
// that is still running, for at most the remaining time. It returns false if the id is not in
// heldRequests or the answer was not stored.
func (d *Dispatcher) Fetch(ctx context.Context, key anvildedup.Key, remaining anvilclock.Millis) (anvilrequest.Answer, bool) {
	ctx, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	d.mu.Lock()
	found := d.heldRequests.Lookup(d.clock.Now(), key)
	running := d.executions[key]
	d.mu.Unlock()
	switch {
	case running != nil:
		return waitForExecution(ctx, running), true
	case found.State == anvildedup.Done && found.Answer != nil:
		return doneAnswer(found.Answer), true
	}
	return anvilrequest.Answer{}, false
}
