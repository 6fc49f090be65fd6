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

// Acquire leases a slot on an owned target for a request of a service. It returns
// false if there is no free slot or the lease of this instance is not valid.
func (f *Fleet) Acquire(service anvilid.ServiceName) (anvilslot.Lease, bool) {
	if !f.leased() {
		return anvilslot.Lease{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Acquire(f.clock.Now(), service)
}

// Probe exchanges the lease of a slot for one on an ejected target, if one is due
// for a probe: a single request that shows whether the target works again. It must
// be called for repeatable requests only, because the request may fail on the
// ejected target.
func (f *Fleet) Probe(lease anvilslot.Lease, service anvilid.ServiceName) anvilslot.Lease {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, id := range f.health.Probes(now) {
		entry, ok := f.targets[id]
		if ok && entry.state.Service == service {
			if probe, ok := f.ledger.AcquireOn(now, id); ok {
				f.ledger.Release(now, lease)
				f.probes[id] = probe
				lease, service = probe, ""
				continue
			}
		}
		f.health.ProbeNotSent(id)
	}
	return lease
}

// Release returns the slot of a lease that was not used.
func (f *Fleet) Release(lease anvilslot.Lease) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledger.Release(f.clock.Now(), lease)
}

// Dispatch runs a request on the target of a lease and releases the lease.
func (f *Fleet) Dispatch(ctx context.Context, lease anvilslot.Lease, request *anvilrequest.Request, token anvilid.Token) anvilrequest.Answer {
	caller, ok := f.beginDispatch(lease)
	if !ok {
		return anvilrequest.Refuse(anvilrequest.CodeNoTarget, "target %q is no longer available", lease.Target)
	}
	began := f.clock.Now()
	answer, err := caller.run(ctx, request, token, request.Deadline-began, f.answerLimit, func() bool { return f.maySend(lease) })
	ended := f.clock.Now()
	f.finishDispatch(lease, request.Service, answer, err, ended)
	if err == nil {
		return answer
	}
	return f.answerForError(ctx, lease, request, err)
}

// beginDispatch checks, before a connection for the request is obtained, that the leases
// of the instance and of the slot are still valid: the process may have been
// suspended since they were acquired.
func (f *Fleet) beginDispatch(lease anvilslot.Lease) (*caller, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	entry, ok := f.targets[lease.Target]
	if !ok || !f.leased() || !f.ledger.BeginSend(now, lease) {
		f.counts.StaleLeases++
		f.ledger.Release(now, lease)
		if f.probes[lease.Target] == lease {
			f.health.ProbeNotSent(lease.Target)
			delete(f.probes, lease.Target)
		}
		return nil, false
	}
	f.counts.Dispatched++
	return entry.caller, true
}

// maySend checks the leases again immediately before the request is sent, because
// it may have taken long to open a connection.
func (f *Fleet) maySend(lease anvilslot.Lease) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leased() && f.ledger.Send(f.clock.Now(), lease)
}

func (f *Fleet) finishDispatch(lease anvilslot.Lease, service anvilid.ServiceName, answer anvilrequest.Answer, err error, now anvilclock.Millis) {
	f.mu.Lock()
	if f.probes[lease.Target] == lease {
		delete(f.probes, lease.Target)
	}
	before := f.health.State(lease.Target)
	if f.health.Record(now, lease.Target, healthOutcome(answer, err)) {
		f.applyHealthLimit(lease.Target)
	}
	after := f.health.State(lease.Target)
	switch {
	case err == nil || errors.Is(err, errNotSent) || errors.Is(err, errRefused):
		f.ledger.Release(now, lease)
	default:
		f.ledger.ReleaseUnknown(now, lease)
	}
	if errors.Is(err, errInvalidAnswer) {
		f.counts.Rejected++
	}
	if before != after && after == anvilhealth.Ejected {
		f.counts.Ejections++
	}
	f.mu.Unlock()
	f.logHealth(lease.Target, before, after)
	f.slotsFreed(service)
}

func (f *Fleet) logHealth(id anvilid.TargetID, before, after anvilhealth.State) {
	switch {
	case before == after:
	case after == anvilhealth.Ejected:
		f.log.Write(anvillogs.TargetEjected, zap.String("target", string(id)))
	case after == anvilhealth.Healthy:
		f.log.Write(anvillogs.TargetReadmitted, zap.String("target", string(id)))
	}
}

// healthOutcome maps the result of a request to an outcome for the health monitor.
func healthOutcome(answer anvilrequest.Answer, err error) anvilhealth.Outcome {
	switch {
	case errors.Is(err, errNotSent):
		return anvilhealth.Refused
	case errors.Is(err, errRefused), errors.Is(err, errAlreadyStarted):
		return anvilhealth.Success // the target answered, so it is healthy although it declined the request
	case errors.Is(err, context.DeadlineExceeded):
		return anvilhealth.Timeout
	case err != nil, answer.Status >= 500:
		return anvilhealth.Failure
	}
	return anvilhealth.Success
}

// answerForError maps the error of a request to the answer for the caller.
func (f *Fleet) answerForError(ctx context.Context, lease anvilslot.Lease, request *anvilrequest.Request, err error) anvilrequest.Answer {
	switch {
	case errors.Is(err, errNotSent), errors.Is(err, errRefused):
		f.addCount(func(c *Counts) { c.Refused++ })
		return anvilrequest.Refuse(anvilrequest.CodeNoTarget, "target %q: %v", lease.Target, err)
	case errors.Is(err, errInvalidAnswer):
		f.log.Write(anvillogs.AnswerRejected, zap.String("target", string(lease.Target)),
			zap.String("request", string(request.ID)), zap.Error(err))
	}
	f.addCount(func(c *Counts) { c.Unknown++ })
	f.log.Write(anvillogs.OutcomeUnknown, zap.String("target", string(lease.Target)),
		zap.String("request", string(request.ID)), zap.Error(err))
	switch {
	case errors.Is(err, errAlreadyStarted):
		return anvilrequest.UnknownOutcome(anvilrequest.CodeAnswerGone, "target %q: %v", lease.Target, err)
	case ctx.Err() != nil:
		return anvilrequest.UnknownOutcome(anvilrequest.CodeTimeout, "target %q did not answer before the deadline", lease.Target)
	}
	return anvilrequest.UnknownOutcome(anvilrequest.CodeLostAnswer, "target %q: %v", lease.Target, err)
}

func (f *Fleet) addCount(add func(*Counts)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	add(&f.counts)
}

// Busy reports whether requests of this instance are running on owned targets.
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
