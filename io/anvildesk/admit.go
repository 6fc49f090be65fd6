package anvildesk

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

// issuedPrefix marks ids that an instance gave to a request without one. A
// caller that sends such an id resends that request.
const issuedPrefix = "gen:"

// IssueID returns a new request id that names this run of the instance.
func (d *Dispatcher) IssueID() anvilid.RequestID {
	return anvilid.RequestID(fmt.Sprintf("%s%s:%d:%d", issuedPrefix, d.self.Instance, d.self.Incarnation, d.sequence.Add(1)))
}

// issuer returns the instance that issued an id.
func issuer(id anvilid.RequestID) (anvilid.InstanceID, bool) {
	rest, ok := strings.CutPrefix(string(id), issuedPrefix)
	if !ok {
		return "", false
	}
	instance, _, _ := strings.Cut(rest, ":")
	return anvilid.InstanceID(instance), true
}

// Run takes a caller's request and returns what became of it. It returns when
// the request has ended or its deadline has passed; a request that is lost to
// its caller runs on.
func (d *Dispatcher) Run(request *anvilrequest.Request) anvilrequest.Answer {
	request.Progress = anvilrequest.Progress{Received: d.clock.Now()}
	answer := d.admit(request)
	d.count(answer)
	d.measure(request, answer)
	return answer
}

func (d *Dispatcher) admit(request *anvilrequest.Request) anvilrequest.Answer {
	if d.draining.Load() {
		return anvilrequest.Refuse(anvilrequest.CodeDraining, "this instance is shutting down; send the request again")
	}
	if d.admitted.Add(1) > int64(d.limits.Requests) {
		d.admitted.Add(-1)
		return anvilrequest.Refuse(anvilrequest.CodeOverloaded, "this instance holds %d requests, its limit", d.limits.Requests)
	}
	defer d.admitted.Add(-1)
	ctx, cancel := d.until(request.Deadline)
	defer cancel()
	if !d.directory.Leased() && !d.directory.AwaitLease(ctx) {
		return anvilrequest.Refuse(anvilrequest.CodeNotReady, "this instance has no lease from the control group")
	}
	if answer, ok := d.permitted(request); !ok {
		return answer
	}
	digest := digestOf(request)
	switch {
	case !request.IDFromCaller:
		return d.hold(ctx, request, digest, 0)
	case request.Repeatable:
		return d.repeatable(ctx, request, digest)
	}
	return d.once(ctx, request, digest)
}

// until returns a context that ends at a deadline of the desk's clock. It
// isn't tied to the caller's connection.
func (d *Dispatcher) until(deadline anvilclock.Millis) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), (deadline - d.clock.Now()).Duration())
}

// permitted checks the request against the configuration in force.
func (d *Dispatcher) permitted(request *anvilrequest.Request) (anvilrequest.Answer, bool) {
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

func digestOf(request *anvilrequest.Request) anvildedup.Digest {
	hash := sha256.New()
	fmt.Fprintf(hash, "%t\n%s\n", request.Repeatable, request.ContentType)
	hash.Write(request.Body)
	return anvildedup.Digest(hash.Sum(nil))
}

// holder is this process in the table of held requests. The table is local,
// so that it doesn't change when the instance joins again.
func (d *Dispatcher) holder() anvildedup.Holder {
	return anvildedup.Holder{Instance: d.self.Instance, Incarnation: d.self.Incarnation}
}
