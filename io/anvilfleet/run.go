package anvilfleet

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilhealth"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilrequest"
	"anvilshunt/core/anvilslot"
	"anvilshunt/io/anvillogs"
)

// Acquire leases a slot for a request of a service.
func (f *Fleet) Acquire(service anvilid.ServiceName) (anvilslot.Lease, bool) {
	if !f.leased() {
		return anvilslot.Lease{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Acquire(f.clock.Now(), service)
}

// Probe exchanges a lease for one on an ejected target that is due for a
// probe. It is called for repeatable requests only, because a probe may fail.
func (f *Fleet) Probe(lease anvilslot.Lease, service anvilid.ServiceName) anvilslot.Lease {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, id := range f.judge.Probes(now) {
		known, ok := f.targets[id]
		if ok && known.state.Service == service {
			if probe, ok := f.ledger.AcquireOn(now, id); ok {
				f.ledger.Release(now, lease)
				f.probes[id] = probe
				lease, service = probe, ""
				continue
			}
		}
		f.judge.ProbeNotSent(id)
	}
	return lease
}

// Release ends a lease that was not used.
func (f *Fleet) Release(lease anvilslot.Lease) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledger.Release(f.clock.Now(), lease)
}

// Dispatch runs a request on the target of a lease and ends the lease.
func (f *Fleet) Dispatch(ctx context.Context, lease anvilslot.Lease, request *anvilrequest.Request, token anvilid.Token) anvilrequest.Answer {
	caller, ok := f.start(lease)
	if !ok {
		return anvilrequest.Refuse(anvilrequest.CodeNoTarget, "target %q is not available any more", lease.Target)
	}
	began := f.clock.Now()
	answer, err := caller.run(ctx, request, token, request.Deadline-began, f.answer)
	ended := f.clock.Now()
	f.finish(lease, request.Service, answer, err, ended)
	if err == nil {
		return answer
	}
	return f.explain(ctx, lease, request, err)
}

// start checks, right before the request is sent, that both the instance's
// and the slot's leases still hold: the process may have been stopped since.
func (f *Fleet) start(lease anvilslot.Lease) (*caller, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	known, ok := f.targets[lease.Target]
	if !ok || !f.leased() || !f.ledger.Valid(now, lease) {
		f.counts.StaleLeases++
		f.ledger.Release(now, lease)
		if f.probes[lease.Target] == lease {
			f.judge.ProbeNotSent(lease.Target)
			delete(f.probes, lease.Target)
		}
		return nil, false
	}
	f.counts.Dispatched++
	return known.caller, true
}

func (f *Fleet) finish(lease anvilslot.Lease, service anvilid.ServiceName, answer anvilrequest.Answer, err error, now anvilclock.Millis) {
	f.mu.Lock()
	if f.probes[lease.Target] == lease {
		delete(f.probes, lease.Target)
	}
	before := f.judge.State(lease.Target)
	if f.judge.Record(now, lease.Target, judged(answer, err)) {
		f.limit(lease.Target)
	}
	after := f.judge.State(lease.Target)
	switch {
	case err == nil || errors.Is(err, errNotSent) || errors.Is(err, errRefused):
		f.ledger.Release(now, lease)
	default:
		f.ledger.ReleaseUnknown(now, lease)
	}
	if errors.Is(err, errWrongAnswer) {
		f.counts.Rejected++
	}
	if before != after && after == anvilhealth.Ejected {
		f.counts.Ejections++
	}
	f.mu.Unlock()
	f.logHealth(lease.Target, before, after)
	f.freed(service)
}

func (f *Fleet) logHealth(id anvilid.TargetID, before, after anvilhealth.State) {
	switch {
	case before == after:
	case after == anvilhealth.Ejected:
		f.log.Write(anvillogs.TargetEjected, zap.String("target", string(id)))
	case after == anvilhealth.Healthy:
		f.log.Write(anvillogs.TargetReturned, zap.String("target", string(id)))
	}
}

// judged translates the end of a run into an outcome for the judge.
func judged(answer anvilrequest.Answer, err error) anvilhealth.Outcome {
	switch {
	case errors.Is(err, errNotSent):
		return anvilhealth.Refused
	case errors.Is(err, errRefused), errors.Is(err, errStarted):
		return anvilhealth.Success // the target works and said no
	case errors.Is(err, context.DeadlineExceeded):
		return anvilhealth.Timeout
	case err != nil, answer.Status >= 500:
		return anvilhealth.Failure
	}
	return anvilhealth.Success
}

// explain turns the error of a run into an outcome for the caller.
func (f *Fleet) explain(ctx context.Context, lease anvilslot.Lease, request *anvilrequest.Request, err error) anvilrequest.Answer {
	switch {
	case errors.Is(err, errNotSent), errors.Is(err, errRefused):
		f.count(func(c *Counts) { c.Refused++ })
		return anvilrequest.Refuse(anvilrequest.CodeNoTarget, "target %q: %v", lease.Target, err)
	case errors.Is(err, errWrongAnswer):
		f.log.Write(anvillogs.AnswerRejected, zap.String("target", string(lease.Target)),
			zap.String("request", string(request.ID)), zap.Error(err))
	}
	f.count(func(c *Counts) { c.Unknown++ })
	f.log.Write(anvillogs.OutcomeUnknown, zap.String("target", string(lease.Target)),
		zap.String("request", string(request.ID)), zap.Error(err))
	switch {
	case errors.Is(err, errStarted):
		return anvilrequest.UnknownOutcome(anvilrequest.CodeAnswerGone, "target %q: %v", lease.Target, err)
	case ctx.Err() != nil:
		return anvilrequest.UnknownOutcome(anvilrequest.CodeTimeout, "target %q did not answer before the deadline", lease.Target)
	}
	return anvilrequest.UnknownOutcome(anvilrequest.CodeLostAnswer, "target %q: %v", lease.Target, err)
}

func (f *Fleet) count(add func(*Counts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	add(&f.counts)
}

// Busy tells whether requests run on owned targets.
func (f *Fleet) Busy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, view := range f.ledger.Views() {
		if view.Own > 0 {
			return true
		}
	}
	return false
}
