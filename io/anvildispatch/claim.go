package anvildispatch

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

// maxRecordedAnswer is the largest answer body, in bytes, that is recorded in the replicated log.
// Larger ones are stored only at the instance that ran the request.
const maxRecordedAnswer anvilid.ByteCount = 16 << 10

// proposeResultTimeout limits the time for recording in the replicated log that a claim was completed
// or abandoned. If that fails, a resend is told that the request may have run.
const proposeResultTimeout = 10 * anvilclock.Second

// runClaimed runs a request that must not run twice. A claim of its id is committed to the
// replicated log before the request is sent, and only the attempt that was granted the claim sends
// it.
func (d *Dispatcher) runClaimed(ctx context.Context, request *anvilrequest.Request, digest anvildedup.Digest) anvilrequest.Answer {
	if id, ok := issuerOf(request.ID); ok {
		if answer, ok := d.fetchFrom(ctx, request, id); ok {
			return answer
		}
		return answerGone(request.ID)
	}
	holder := anvilstate.Holder{
		Instance: d.self.Instance, Incarnation: d.joinedIncarnation(), Attempt: anvilid.Attempt(d.attempts.Add(1)),
	}
	key := anvilstate.RequestKey{Account: request.Account, Service: request.Service, ID: request.ID}
	result, err := d.propose(ctx, &anvilstate.Command{
		Claim: &anvilstate.Claim{Key: key, Digest: digest[:], Holder: holder},
	})
	if err != nil {
		request.Progress.Admitted = true
		go d.abandon(key, holder)
		return anvilrequest.Refuse(anvilrequest.CodeControlUnavailable,
			"the claim of the request id could not be committed: %v", err)
	}
	if result.Claim == nil {
		request.Progress.Admitted = result.Code == string(anvilrequest.CodeOverloaded)
		return anvilrequest.Refuse(anvilrequest.Code(result.Code), "%s", result.Detail)
	}
	if result.Claim.Verdict != anvilstate.VerdictGranted {
		return d.answerClaimed(ctx, request, result.Claim)
	}
	answer := d.runDeduplicated(ctx, request, digest, result.Claim.Token)
	if answer.Outcome == anvilrequest.NotRun {
		// The claim must be released before the caller is told that it may send the request again.
		// If the release fails, a resend gets the outcome "unknown", which is safe.
		d.abandon(key, holder)
		return answer
	}
	go d.complete(key, holder, answer)
	return answer
}

// answerClaimed answers a request whose claim was not granted, because an earlier attempt with the
// same id has claimed it, or because this attempt was abandoned.
func (d *Dispatcher) answerClaimed(ctx context.Context, request *anvilrequest.Request, result *anvilstate.ClaimResult) anvilrequest.Answer {
	switch result.Verdict {
	case anvilstate.VerdictConflict:
		return idReused(request.ID)
	case anvilstate.VerdictDone:
		if result.Answer != nil && !result.Answer.Omitted {
			return anvilrequest.Answer{
				Outcome: anvilrequest.Done, Status: result.Answer.Status,
				ContentType: result.Answer.ContentType, Body: result.Answer.Body,
			}
		}
	case anvilstate.VerdictBarred:
		return anvilrequest.Refuse(anvilrequest.CodeControlUnavailable,
			"this attempt was abandoned before its claim was committed; send the request again")
	}
	if result.Holder != nil {
		if answer, ok := d.fetchFrom(ctx, request, result.Holder.Instance); ok {
			return answer
		}
	}
	return answerGone(request.ID)
}

// abandon releases the claim of a request that this attempt has not sent and will not send.
func (d *Dispatcher) abandon(key anvilstate.RequestKey, holder anvilstate.Holder) {
	d.proposeOrLog(&anvilstate.Command{Abandon: &anvilstate.Abandon{Key: key, Holder: holder}}, key)
}

// complete records the result of a claimed request in the replicated log.
func (d *Dispatcher) complete(key anvilstate.RequestKey, holder anvilstate.Holder, answer anvilrequest.Answer) {
	complete := &anvilstate.Complete{Key: key, Holder: holder, Lost: answer.Outcome != anvilrequest.Done}
	if answer.Outcome == anvilrequest.Done {
		complete.Answer = anvilstate.Answer{Status: answer.Status, ContentType: answer.ContentType}
		if anvilid.ByteCount(len(answer.Body)) <= maxRecordedAnswer {
			complete.Answer.Body = answer.Body
		} else {
			complete.Answer.Omitted = true
		}
	}
	d.proposeOrLog(&anvilstate.Command{Complete: complete}, key)
}

// proposeOrLog commits a command about a request and logs a failure.
func (d *Dispatcher) proposeOrLog(command *anvilstate.Command, key anvilstate.RequestKey) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeResultTimeout.Duration())
	defer cancel()
	if _, err := d.propose(ctx, command); err != nil {
		d.log.Write(anvillogs.ProposalFailed, zap.String("request", string(key.ID)), zap.Error(err))
	}
}
