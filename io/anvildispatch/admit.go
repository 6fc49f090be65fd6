package anvildispatch

import (
	"context"
	"crypto/sha256"
	"fmt"
	"strings"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvildedup"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilrequest"
)

// issuedPrefix is the prefix of request ids that an instance generated because the caller sent
// none. A request that arrives with such an id is a resend. The id names the instance that
// generated it, from which the answer can be fetched.
const issuedPrefix = "gen:"

// IssueID returns a new unique request id that contains the instance and its incarnation.
func (d *Dispatcher) IssueID() anvilid.RequestID {
	return anvilid.RequestID(fmt.Sprintf("%s%s:%d:%d", issuedPrefix, d.self.Instance, d.self.Incarnation, d.sequence.Add(1)))
}

// issuerOf returns the instance that generated an id, and false if the id was chosen by a caller.
func issuerOf(id anvilid.RequestID) (anvilid.InstanceID, bool) {
	rest, ok := strings.CutPrefix(string(id), issuedPrefix)
	if !ok {
		return "", false
	}
	instance, _, _ := strings.Cut(rest, ":")
	return anvilid.InstanceID(instance), true
}

// Run admits and runs a caller's request and returns its answer. It returns when the request has
// ended or its deadline has passed. The request is not tied to the caller's connection: it
// continues to run when the caller disconnects.
func (d *Dispatcher) Run(request *anvilrequest.Request) anvilrequest.Answer {
	request.Progress = anvilrequest.Progress{Received: d.clock.Now()}
	answer := d.admit(request)
	d.count(answer)
	d.recordObjectives(request, answer)
	return answer
}

// admit runs a request if this instance can admit it, and otherwise refuses it.
func (d *Dispatcher) admit(request *anvilrequest.Request) anvilrequest.Answer {
	if d.draining.Load() {
		return anvilrequest.Refuse(anvilrequest.CodeDraining,
			"this instance is shutting down; send the request to another instance")
	}
	if d.admitted.Add(1) > int64(d.limits.Requests) {
		d.admitted.Add(-1)
		return anvilrequest.Refuse(anvilrequest.CodeOverloaded,
			"this instance already handles its limit of %d requests; retry later", d.limits.Requests)
	}
	defer d.admitted.Add(-1)
	ctx, cancel := d.contextUntil(request.Deadline)
	defer cancel()
	if !d.directory.Leased() && !d.directory.AwaitLease(ctx) {
		return anvilrequest.Refuse(anvilrequest.CodeNotReady,
			"this instance has no valid lease from the control group; retry at another instance")
	}
	if answer, ok := d.checkConfig(request); !ok {
		return answer
	}
	digest := digestOf(request)
	switch {
	case !request.IDFromCaller:
		return d.runDeduplicated(ctx, request, digest, 0)
	case request.Repeatable:
		return d.runRepeatable(ctx, request, digest)
	}
	return d.runClaimed(ctx, request, digest)
}

// contextUntil returns a context that ends at a deadline of the dispatcher's clock. It is
// independent of the caller's connection.
func (d *Dispatcher) contextUntil(deadline anvilclock.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), (deadline - d.clock.Now()).Duration())
}

// checkConfig checks a request against the configuration in force. It returns false with the
// refusal if the account or the service is unknown, the account may not use the service, the body
// is too large, or the service has no target.
func (d *Dispatcher) checkConfig(request *anvilrequest.Request) (anvilrequest.Answer, bool) {
	account := d.directory.Account(request.Account)
	if account == nil {
		return anvilrequest.Refuse(anvilrequest.CodeUnknownAccount,
			"client account %q isn't configured; list accounts with `anvilshunt account list`", request.Account), false
	}
	service := d.directory.Service(request.Service)
	if service == nil {
		return anvilrequest.Refuse(anvilrequest.CodeUnknownService,
			"service %q isn't configured; list services with `anvilshunt service list`", request.Service), false
	}
	if !account.MayUse(request.Service) {
		return anvilrequest.Refuse(anvilrequest.CodeForbiddenService,
			"client account %q may not use service %q", request.Account, request.Service), false
	}
	if service.MaxBody > 0 && anvilid.ByteCount(len(request.Body)) > service.MaxBody {
		return anvilrequest.Refuse(anvilrequest.CodeTooLarge,
			"the body has %d bytes; service %q takes at most %d", len(request.Body), request.Service, service.MaxBody), false
	}
	if !d.directory.HasTarget(request.Service) {
		return anvilrequest.Refuse(anvilrequest.CodeNoTarget,
			"no target of service %q has announced itself; see `anvilshunt target list`", request.Service), false
	}
	return anvilrequest.Answer{}, true
}

func keyOf(request *anvilrequest.Request) anvildedup.Key {
	return anvildedup.Key{Account: request.Account, Service: request.Service, ID: request.ID}
}

// digestOf returns the digest of the content of a request. Two requests with the same id are the same
// request, sent again, if their digests are equal; otherwise the caller has used the id twice.
// Metadata is not part of the content.
func digestOf(request *anvilrequest.Request) anvildedup.Digest {
	hash := sha256.New()
	fmt.Fprintf(hash, "%t\n%s\n", request.Repeatable, request.ContentType)
	hash.Write(request.Body)
	return anvildedup.Digest(hash.Sum(nil))
}

// holder returns the holder that this process records for its own requests in heldRequests. It
// contains the incarnation at process start, because the table is local and its entries must stay
// valid when the instance joins the control group again under a higher incarnation.
func (d *Dispatcher) holder() anvildedup.Holder {
	return anvildedup.Holder{Instance: d.self.Instance, Incarnation: d.self.Incarnation}
}
