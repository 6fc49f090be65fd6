package anvildispatch

import (
	"anvilshunt/core/anvilrequest"
	"anvilshunt/io/anvilrpc"
)

// AnswerFromReply converts the reply of a peer to an answer. An outcome that is not set or not
// known counts as Unknown.
func AnswerFromReply(reply *anvilrpc.RunReply) anvilrequest.Answer {
	answer := anvilrequest.Answer{
		Outcome: anvilrequest.Unknown, Code: anvilrequest.Code(reply.Code), Detail: reply.Detail,
		Status: int(reply.Status), ContentType: reply.ContentType, Body: reply.Body,
	}
	switch reply.Outcome {
	case anvilrpc.Outcome_OUTCOME_DONE:
		answer.Outcome = anvilrequest.Done
	case anvilrpc.Outcome_OUTCOME_NOT_RUN:
		answer.Outcome = anvilrequest.NotRun
	}
	return answer
}

// ReplyFromAnswer converts an answer to a reply to a peer.
func ReplyFromAnswer(answer anvilrequest.Answer) *anvilrpc.RunReply {
	reply := &anvilrpc.RunReply{
		Outcome: anvilrpc.Outcome_OUTCOME_UNKNOWN, Code: string(answer.Code), Detail: answer.Detail,
		Status: int32(answer.Status), ContentType: answer.ContentType, Body: answer.Body,
	}
	switch answer.Outcome {
	case anvilrequest.Done:
		reply.Outcome = anvilrpc.Outcome_OUTCOME_DONE
	case anvilrequest.NotRun:
		reply.Outcome = anvilrpc.Outcome_OUTCOME_NOT_RUN
	}
	return reply
}
