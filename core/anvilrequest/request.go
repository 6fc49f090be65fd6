// Package anvilrequest defines short requests, their outcomes, and the codes of refusals and
// failures. docs/protocol.md lists the codes.
package anvilrequest

import (
	"errors"
	"fmt"
	"regexp"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Outcome says whether a request has run, as far as that is known.
type Outcome string

// Outcomes. NotRun is reported only if no target has run the request and none will. If that is not
// certain, the outcome is Unknown.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Code tells the caller why a request was refused or failed. Codes are part of the protocol, so their
// values must not change.
type Code string

// Codes. docs/protocol.md lists their HTTP statuses.
const (
	CodeBadRequest         Code = "bad_request"
	CodeBadID              Code = "bad_id"
	CodeBadTimeout         Code = "bad_timeout"
	CodeUnknownAccount     Code = "unknown_account"
	CodeUnknownService     Code = "unknown_service"
	CodeForbiddenService   Code = "forbidden_service"
	CodeIDReused           Code = "id_reused"
	CodeTooLarge           Code = "body_too_large"
	CodeOverloaded         Code = "overloaded"
	CodeNotReady           Code = "not_ready"
	CodeDraining           Code = "draining"
	CodeNoTarget           Code = "no_target"
	CodeControlUnavailable Code = "control_unavailable"
	CodeLostAnswer         Code = "lost_answer"
	CodeTimeout            Code = "timeout"
	CodeAnswerGone         Code = "answer_gone"
	CodeInFlight           Code = "in_flight"
	CodeFull               Code = "full"
)

// ErrInvalid is wrapped by errors that report an invalid field of a request; see CheckID.
var ErrInvalid = errors.New("invalid request")

// Key identifies a request. A request that the caller sends again has the same Key.
type Key struct {
	Account anvilid.AccountID
	Service anvilid.ServiceName
	ID      anvilid.RequestID
}

// Request is one short request of a caller: its content, and the conditions under which it may run.
type Request struct {
	Key
	// IDFromCaller is set if the caller chose the id, and not the instance that received the request.
	IDFromCaller bool
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Deadline is the time at which the caller stops waiting.
	Deadline    anvilclock.Millis
	ContentType string
	// Metadata is passed on to the target with the request. It isn't part of the content, which must
	// be the same when a request is sent again with the same id, so the metadata may differ then.
	Metadata []HeaderField
	Body     []byte
	Progress Progress
}

// Progress records when a request was received, admitted and started, as known at the instance that
// received it from the caller.
type Progress struct {
	// Received is when the request arrived, and Started when it was first started on a target. Started
	// is valid only if Ran is set.
	Received, Started anvilclock.Millis
	Ran               bool
	// Admitted is set if the request counts towards the service-level objectives: this instance took
	// it to be run, or refused it because of overload or because the claim of its id could not be
	// committed. A request that is sent again and gets the stored answer isn't admitted again.
	Admitted bool
}

// HeaderField is one header field that is passed on to the target.
type HeaderField struct {
	Name, Value string
}

// MetadataPrefix is the prefix of the names of header fields that are passed on to the target.
const MetadataPrefix = "X-"

// Answer is the result of a request, as returned to the caller.
type Answer struct {
	Outcome Outcome
	// Code and Detail explain an outcome other than Done.
	Code   Code
	Detail string
	// Status, ContentType and Body are those of the target's HTTP response.
	Status      int
	ContentType string
	Body        []byte
}

// Refuse returns an answer with outcome NotRun: the request has not been run.
func Refuse(code Code, format string, args ...any) Answer {
	return Answer{Outcome: NotRun, Code: code, Detail: fmt.Sprintf(format, args...)}
}

// UnknownOutcome returns an answer with outcome Unknown: the request may have been run.
func UnknownOutcome(code Code, format string, args ...any) Answer {
	return Answer{Outcome: Unknown, Code: code, Detail: fmt.Sprintf(format, args...)}
}

var idPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// CheckID returns an error that wraps ErrInvalid if the form of a request id isn't allowed.
func CheckID(id anvilid.RequestID) error {
	if !idPattern.MatchString(string(id)) {
		return fmt.Errorf("%w: request id %q: expected 1 to 128 of A-Z a-z 0-9 . _ : -", ErrInvalid, id)
	}
	return nil
}
