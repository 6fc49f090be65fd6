package anvilconfig

import (
	"fmt"

	"anvilshunt/core/anvilid"
)

// Codes of problems. Operators and their tools receive them, so their values must not change.
const (
	CodeMissing    = "missing"
	CodeDuplicate  = "doubled"
	CodeBadName    = "bad_name"
	CodeBadKind    = "bad_kind"
	CodeBadValue   = "bad_value"
	CodeBadFormat  = "bad_format"
	CodeDangling   = "dangling_reference"
	CodeCircular   = "circular_parent"
	CodeInUse      = "in_use"
	CodeNotFound   = "not_found"
	CodeTooLarge   = "too_large"
	CodeNoEffect   = "no_effect"
	CodeUnplaced   = "guarantee_unplaced"
	CodeNoTargets  = "no_targets"
	CodeNotAllowed = "not_allowed"
	CodeFault      = "fault"
)

// Problem is one reason why a change set can't be published. Kind and Name are empty if the problem
// concerns the change set itself.
type Problem struct {
	Kind Kind               `cbor:"1,keyasint,omitempty" json:"kind,omitempty"`
	Name anvilid.ObjectName `cbor:"2,keyasint,omitempty" json:"name,omitempty"`
	// Field is the JSON name of the wrong field, or empty if the problem isn't in a single field.
	Field string `cbor:"3,keyasint,omitempty" json:"field,omitempty"`
	Code  string `cbor:"4,keyasint" json:"code"`
	// Text says what is wrong and how to correct it.
	Text string `cbor:"5,keyasint" json:"error"`
}

// Error returns the problem as a message for users.
func (p Problem) Error() string {
	if p.Kind == "" {
		return "change set: " + p.Text
	}
	return fmt.Sprintf("%s %q: %s", p.Kind, p.Name, p.Text)
}

// problems collects the problems of a change set.
type problems []Problem

func (p *problems) add(key Key, field, code, format string, args ...any) {
	*p = append(*p, Problem{Kind: key.Kind, Name: key.Name, Field: field, Code: code, Text: fmt.Sprintf(format, args...)})
}
