// Package anvilrequest defines short requests, their outcomes and the codes
// of refusals and failures. docs/protocol.md lists the codes.
package anvilrequest

import (
	"errors"
	"fmt"
	"regexp"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Outcome tells what became of a request.
type Outcome string

// Outcomes. They are never blurred: NotRun is said only when no target ran
// the request and none will.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Code is the stable code of a refusal or failure.
type Code string

// Codes. docs/protocol.md gives their HTTP statuses.
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

// ErrInvalid is wrapped by errors about the fields of a request.
var ErrInvalid = errors.New("invalid request")

// Key identifies a request across resends.
type Key struct {
	Account anvilid.AccountID
	Service anvilid.ServiceName
	ID      anvilid.RequestID
}

// Request is one short request.
type Request struct {
	Key
	// IDFromCaller tells that the caller chose the id.
	IDFromCaller bool
	// Repeatable requests may run more than once.
	Repeatable bool
	// Deadline is the instant at which the caller stops waiting.
	Deadline    anvilclock.Millis
	ContentType string
	// Metadata is passed on to the target with the request. It isn't part of
	// the content, so a resend may carry other metadata.
	Metadata []HeaderField
	Body     []byte
	Progress Progress
}

// Progress notes how a request goes at the instance that the caller sent it to.
type Progress struct {
	// Received and Started are the instants of the arrival and of the first
	// start on a target. Started is valid if Ran is set.
	Received, Started anvilclock.Millis
	Ran               bool
	// Admitted is set if this instance admitted the request. Resends that are
	// answered from a held answer aren't admitted again.
	Admitted bool
}

// HeaderField is one header field that is passed on.
type HeaderField struct {
	Name, Value string
}

// MetadataPrefix begins the names of the header fields that are passed on.
const MetadataPrefix = "X-"

// Answer is what became of a request.
type Answer struct {
	Outcome Outcome
	// Code and Detail explain an outcome other than Done.
	Code   Code
	Detail string
	// Status, ContentType and Body are the target's answer.
	Status      int
	ContentType string
	Body        []byte
}

// Refuse returns an answer that says that the request has not run.
func Refuse(code Code, format string, args ...any) Answer {
	return Answer{Outcome: NotRun, Code: code, Detail: fmt.Sprintf(format, args...)}
}

// UnknownOutcome returns an answer that says that the request may have run.
func UnknownOutcome(code Code, format string, args ...any) Answer {
	return Answer{Outcome: Unknown, Code: code, Detail: fmt.Sprintf(format, args...)}
}

var idPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// CheckID returns an error that wraps ErrInvalid for an id that can't be
// used.
func CheckID(id anvilid.RequestID) error {
	if !idPattern.MatchString(string(id)) {
		return fmt.Errorf("%w: request id %q: expected 1 to 128 of A-Z a-z 0-9 . _ : -", ErrInvalid, id)
	}
	return nil
}
