// Package anvilcheck checks a configuration before it is sent. Beside the problems for which the system
// would refuse it, it finds entries that can never be used and limits that contradict each other, and it
// lists what differs from the configuration in force. It reads no files and calls nobody.
package anvilcheck

import (
	"cmp"
	"fmt"
	"slices"

	"anvilshunt/core/anvilconfig"
	"anvilshunt/core/anvilid"
)

// Severity says whether a finding prevents that the configuration is published.
type Severity string

// Severities. The system refuses a configuration with errors and accepts one with warnings.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Codes of findings, beside those of anvilconfig.Problem. Scripts read them, so their values must not
// change.
const (
	CodeAssumed     = "assumed"      // an object that is not in the file is assumed to exist
	CodeStale       = "stale_base"   // the change is based on another revision than the one in force
	CodeUnused      = "never_used"   // an entry that no request, job or target can use
	CodeTooBig      = "never_fits"   // a shape that is larger than what the targets have
	CodeConflict    = "conflict"     // limits that contradict each other
	CodeOvercommit  = "overcommit"   // guarantees over the capacity
	CodeRepeated    = "repeated"     // entries with the same meaning
	CodeSharedKey   = "shared_key"   // an API key of two accounts
	CodeShadowed    = "shadowed"     // a queue that gets no job because of another one
	CodeUnknown     = "unknown"      // a reference to something that the configuration lacks
	CodeBadLimit    = "bad_value"    // a limit outside its range
	CodeBadSettings = "bad_settings" // a settings file that an instance would refuse
	CodeUnreadable  = "unreadable"   // a file that can't be read
	CodeBadFormat   = "bad_format"   // text that can't be decoded
)

// Finding is one error or warning. Kind and Name are empty if it concerns the configuration as a whole.
type Finding struct {
	Severity Severity           `json:"severity"`
	Code     string             `json:"code"`
	Kind     anvilconfig.Kind   `json:"kind,omitempty"`
	Name     anvilid.ObjectName `json:"name,omitempty"`
	Field    string             `json:"field,omitempty"`
	// Line is the line of the file that was checked, or 0 if the finding isn't about a part of it.
	Line int `json:"line,omitempty"`
	// Text says what is wrong and how to correct it.
	Text string `json:"text"`
}

// String formats the finding without its line.
func (f Finding) String() string {
	if f.Kind == "" {
		return fmt.Sprintf("%s: %s", f.Severity, f.Text)
	}
	return fmt.Sprintf("%s: %s %q: %s", f.Severity, f.Kind, f.Name, f.Text)
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, severity Severity) int {
	count := 0
	for _, finding := range findings {
		if finding.Severity == severity {
			count++
		}
	}
	return count
}

// FromProblems returns the problems of a change set as errors.
func FromProblems(problems []anvilconfig.Problem) []Finding {
	var found list
	for _, p := range problems {
		found = append(found, Finding{Severity: SeverityError, Code: p.Code, Kind: p.Kind, Name: p.Name, Field: p.Field, Text: p.Text})
	}
	return found
}

// list collects findings.
type list []Finding

func (l *list) warn(key anvilconfig.Key, field, code, format string, args ...any) {
	l.add(SeverityWarning, key, field, code, format, args...)
}

func (l *list) add(severity Severity, key anvilconfig.Key, field, code, format string, args ...any) {
	*l = append(*l, Finding{Severity: severity, Code: code, Kind: key.Kind, Name: key.Name, Field: field, Text: fmt.Sprintf(format, args...)})
}

// sorted returns the findings with errors first, then by object, field and text.
func (l list) sorted() []Finding {
	slices.SortStableFunc(l, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name),
			cmp.Compare(a.Field, b.Field), cmp.Compare(a.Text, b.Text))
	})
	return l
}
