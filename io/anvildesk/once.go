package anvildesk

import (
	"context"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvildedup"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilrequest"
	"anvilshunt/core/anvilstate"
	"anvilshunt/io/anvillogs"
)

// recordedAnswer bounds the answers that are recorded in the log. Larger ones
// stay at their holder.
const recordedAnswer anvilid.ByteCount = 16 << 10

// A result is proposed for this long. If it isn't recorded by then, resends
// learn that the request may have run.
const resultTimeout = 10 * anvilclock.Second

// once runs a request that may not be repeated. The claim is committed before
// the request is sent, and only the run that was granted the claim sends it.
func (d *Dispatcher) once(ctx context.Context, request *anvilrequest.Request, digest anvildedup.Digest) anvilrequest.Answer {
	if id, ok := issuer(request.ID); ok {
		if answer, ok := d.fetchFrom(ctx, request, id); ok {
			return answer
		}
		return gone(request.ID)
	}
	holder := anvilstate.Holder{
		Instance: d.self.Instance, Incarnation: d.joined(), Attempt: anvilid.Attempt(d.attempts.Add(1)),
	}
	key := anvilstate.RequestKey{Account: request.Account, Service: request.Service, ID: request.ID}
	result, err := d.propose(ctx, &anvilstate.Command{
		Claim: &anvilstate.Claim{Key: key, Digest: digest[:], Holder: holder},
	})
	if err != nil {
		request.Progress.Admitted = true
		go d.abandon(key, holder)
		return anvilrequest.Refuse(anvilrequest.CodeControlUnavailable, "the claim could not be recorded: %v", err)
	}
	if result.Claim == nil {
		request.Progress.Admitted = result.Code == string(anvilrequest.CodeOverloaded)
		return anvilrequest.Refuse(anvilrequest.Code(result.Code), "%s", result.Detail)
	}
	if result.Claim.Verdict != anvilstate.VerdictGranted {
		return d.denied(ctx, request, result.Claim)
	}
	answer := d.hold(ctx, request, digest, result.Claim.Token)
	if answer.Outcome == anvilrequest.NotRun {
		// The id must be free again before the caller hears that it may
		// resend; if that fails, a resend learns "unknown", which is safe.
		d.abandon(key, holder)
		return answer
	}
	go d.complete(key, holder, answer)
	return answer
}

// denied answers a request whose id was claimed before.
func (d *Dispatcher) denied(ctx context.Context, request *anvilrequest.Request, result *anvilstate.ClaimResult) anvilrequest.Answer {
	switch result.Verdict {
	case anvilstate.VerdictConflict:
		return reused(request.ID)
	case anvilstate.VerdictDone:
		if result.Answer != nil && !result.Answer.Omitted {
			return anvilrequest.Answer{
				Outcome: anvilrequest.Done, Status: result.Answer.Status,
				ContentType: result.Answer.ContentType, Body: result.Answer.Body,
			}
		}
	case anvilstate.VerdictBarred:
		return anvilrequest.Refuse(anvilrequest.CodeControlUnavailable, "this attempt was given up; send the request again")
	}
	if result.Holder != nil {
		if answer, ok := d.fetchFrom(ctx, request, result.Holder.Instance); ok {
			return answer
		}
	}
	return gone(request.ID)
}

// abandon frees the id of a request that this instance has not sent and will
// not send under this attempt.
func (d *Dispatcher) abandon(key anvilstate.RequestKey, holder anvilstate.Holder) {
	d.commit(&anvilstate.Command{Abandon: &anvilstate.Abandon{Key: key, Holder: holder}}, key)
}

// complete records the result of a claimed request.
func (d *Dispatcher) complete(key anvilstate.RequestKey, holder anvilstate.Holder, answer anvilrequest.Answer) {
	complete := &anvilstate.Complete{Key: key, Holder: holder, Lost: answer.Outcome != anvilrequest.Done}
	if answer.Outcome == anvilrequest.Done {
		complete.Answer = anvilstate.Answer{Status: answer.Status, ContentType: answer.ContentType}
		if anvilid.ByteCount(len(answer.Body)) <= recordedAnswer {
			complete.Answer.Body = answer.Body
		} else {
			complete.Answer.Omitted = true
		}
	}
	d.commit(&anvilstate.Command{Complete: complete}, key)
}

func (d *Dispatcher) commit(command *anvilstate.Command, key anvilstate.RequestKey) {
	ctx, cancel := context.WithTimeout(context.Background(), resultTimeout.Duration())
	defer cancel()
	if _, err := d.propose(ctx, command); err != nil {
		d.log.Write(anvillogs.ProposalFailed, zap.String("request", string(key.ID)), zap.Error(err))
	}
}
