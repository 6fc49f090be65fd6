package anvildesk

import (
	"context"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvildedup"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilrequest"
)

// hold runs a request once at this instance and keeps its answer. A resend
// that arrives meanwhile waits for the same answer.
func (d *Dispatcher) hold(ctx context.Context, request *anvilrequest.Request, digest anvildedup.Digest, token anvilid.Token) anvilrequest.Answer {
	key := keyOf(request)
	d.mu.Lock()
	found := d.held.Begin(d.clock.Now(), key, digest, d.holder())
	if found.State != anvildedup.New {
		running := d.flights[key]
		d.mu.Unlock()
		return d.again(ctx, request, found, running)
	}
	own := &flight{done: make(chan struct{})}
	d.flights[key] = own
	d.mu.Unlock()
	request.Progress.Admitted = true

	own.answer = d.route(ctx, request, token)
	d.land(key, own)
	return own.answer
}

// land ends a flight and keeps its answer if it is final.
func (d *Dispatcher) land(key anvildedup.Key, own *flight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.flights, key)
	if own.answer.Outcome == anvilrequest.NotRun {
		d.held.Remove(d.clock.Now(), key, d.holder())
	} else {
		d.held.Complete(d.clock.Now(), key, d.holder(), storedAnswer(own.answer))
	}
	close(own.done)
}

// storedAnswer returns what is kept of an answer. The answer of an unknown
// outcome isn't kept; that the request ended is.
func storedAnswer(answer anvilrequest.Answer) *anvildedup.Answer {
	if answer.Outcome != anvilrequest.Done {
		return nil
	}
	return &anvildedup.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}
}

func doneAnswer(stored *anvildedup.Answer) anvilrequest.Answer {
	return anvilrequest.Answer{
		Outcome: anvilrequest.Done, Status: stored.Status, ContentType: stored.ContentType, Body: stored.Body,
	}
}

// again answers a resend of a request that this instance holds.
func (d *Dispatcher) again(ctx context.Context, request *anvilrequest.Request, found anvildedup.Result, running *flight) anvilrequest.Answer {
	switch {
	case found.State == anvildedup.Conflict:
		return reused(request.ID)
	case found.State == anvildedup.Full:
		request.Progress.Admitted = true // the first to hear of this request
		return anvilrequest.Refuse(anvilrequest.CodeOverloaded, "this instance holds as many request ids as it can")
	case found.State == anvildedup.Done && found.Answer != nil:
		return doneAnswer(found.Answer)
	case found.State == anvildedup.InFlight && running != nil:
		return wait(ctx, running)
	case request.Repeatable:
		return d.route(ctx, request, 0)
	}
	return gone(request.ID)
}

func wait(ctx context.Context, running *flight) anvilrequest.Answer {
	select {
	case <-running.done:
		return running.answer
	case <-ctx.Done():
		return anvilrequest.UnknownOutcome(anvilrequest.CodeInFlight, "the request is still running")
	}
}

func reused(id anvilid.RequestID) anvilrequest.Answer {
	return anvilrequest.Refuse(anvilrequest.CodeIDReused, "request id %q was used for other content; choose a new id", id)
}

func gone(id anvilid.RequestID) anvilrequest.Answer {
	return anvilrequest.UnknownOutcome(anvilrequest.CodeAnswerGone, "request %q may have run; its answer isn't held any more", id)
}

// Fetch returns the answer of a request that this instance holds. It waits
// for one in flight. It returns false if the request isn't held or its answer
// isn't known.
func (d *Dispatcher) Fetch(ctx context.Context, key anvildedup.Key, remaining anvilclock.Millis) (anvilrequest.Answer, bool) {
	ctx, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	d.mu.Lock()
	found := d.held.Lookup(d.clock.Now(), key)
	running := d.flights[key]
	d.mu.Unlock()
	switch {
	case running != nil:
		return wait(ctx, running), true
	case found.State == anvildedup.Done && found.Answer != nil:
		return doneAnswer(found.Answer), true
	}
	return anvilrequest.Answer{}, false
}
