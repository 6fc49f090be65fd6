package anvilstate

import (
	"errors"

	"anvilshunt/core/anvilburn"
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// Errors with which the state machine refuses commands.
var (
	ErrStale      = errors.New("the command refers to an earlier state")
	ErrUnknown    = errors.New("no such object")
	ErrReused     = errors.New("the id was already used for other content")
	ErrOverloaded = errors.New("a size limit of the state is reached")
	ErrInvalid    = errors.New("invalid command")
	ErrRevision   = errors.New("another change was published since")
	ErrChange     = errors.New("invalid change set")
	ErrAccount    = errors.New("no such account")
	ErrService    = errors.New("no such service")
	ErrShape      = errors.New("no such shape")
	ErrJob        = errors.New("no such job")
	ErrCapacity   = errors.New("not enough free accelerators")
	ErrTransition = errors.New("invalid state transition")
)

// codes maps errors to the codes in Result.Code, which callers rely on.
var codes = []struct {
	err  error
	code string
}{
	{ErrStale, "stale"},
	{ErrUnknown, "unknown"},
	{ErrReused, "id_reused"},
	{ErrOverloaded, "overloaded"},
	{ErrInvalid, "bad_request"},
	{ErrRevision, "stale_revision"},
	{ErrChange, "invalid_change"},
	{ErrAccount, "unknown_account"},
	{ErrService, "unknown_service"},
	{ErrShape, "unknown_shape"},
	{ErrJob, "unknown_job"},
	{ErrCapacity, "no_capacity"},
	{ErrTransition, "bad_transition"},
	{anvilburn.ErrBatch, "bad_batch"},
}

func codeOf(err error) string {
	for _, known := range codes {
		if errors.Is(err, known.err) {
			return known.code
		}
	}
	return "refused"
}

// Result is what the sender of a command gets back. Which fields are set depends on the command.
type Result struct {
	Index anvilid.Index `cbor:"1,keyasint"`
	// Code is the stable code of a refusal, empty on success.
	Code   string `cbor:"2,keyasint,omitempty"`
	Detail string `cbor:"3,keyasint,omitempty"`
	// Revision is the revision that a configuration change published.
	Revision anvilid.Revision `cbor:"4,keyasint,omitempty"`
	// Problems lists the reasons why a change set is invalid.
	Problems []anvilconfig.Problem `cbor:"5,keyasint,omitempty"`
	// Conflict is set if a configuration change was refused because its base revision is not
	// the current one. It tells the operator what was published since.
	Conflict *Conflict `cbor:"6,keyasint,omitempty"`
	// Claim is the result of Claim, Complete and Abandon.
	Claim *ClaimResult `cbor:"7,keyasint,omitempty"`
	// Job is the record of the job after a command that concerns it, without its payload.
	Job *Job `cbor:"8,keyasint,omitempty"`
	// Moved is the number of targets that Rebalance hands over.
	Moved int `cbor:"9,keyasint,omitempty"`
}

// Conflict is part of the refusal of a configuration change whose base revision is not the
// current one. It describes what was published since the base revision.
type Conflict struct {
	// Revision is the revision of the configuration that is published now.
	Revision anvilid.Revision `cbor:"1,keyasint" json:"revision"`
	// Change and Operator identify the latest change.
	Change   anvilid.ChangeID   `cbor:"2,keyasint" json:"change"`
	Operator anvilid.OperatorID `cbor:"3,keyasint" json:"operator"`
	// ChangedObjects lists the objects that were changed or deleted since the base revision.
	ChangedObjects []anvilconfig.Key `cbor:"4,keyasint,omitempty" json:"differ,omitempty"`
	// Changes lists the changes since the base revision, the latest first.
	Changes []ChangeName `cbor:"5,keyasint,omitempty" json:"changes,omitempty"`
	// Truncated is set if ChangedObjects and Changes are incomplete, because there are too
	// many or because the history does not reach back to the base revision.
	Truncated bool `cbor:"6,keyasint,omitempty" json:"cut,omitempty"`
}

// ChangeName identifies a published configuration change.
type ChangeName struct {
	ID       anvilid.ChangeID   `cbor:"1,keyasint" json:"id"`
	Operator anvilid.OperatorID `cbor:"2,keyasint" json:"operator"`
	Revision anvilid.Revision   `cbor:"3,keyasint" json:"revision"`
}

// Published is one configuration change in the history of published changes.
type Published struct {
	ChangeName
	At      anvilclock.Millis `cbor:"4,keyasint" json:"at"`
	Set     []anvilconfig.Key `cbor:"5,keyasint,omitempty" json:"set,omitempty"`
	Deleted []anvilconfig.Key `cbor:"6,keyasint,omitempty" json:"deleted,omitempty"`
}
