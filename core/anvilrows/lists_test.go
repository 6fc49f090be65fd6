package anvilrows

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against documents whose lists take far more memory than the document, and against an ordinary one that is refused.
func TestCheckLists(t *testing.T) {
	many := func(element string, count int) string {
		return strings.TrimSuffix(strings.Repeat(element+",", count), ",")
	}
	for _, test := range []struct {
		document string
		dense    bool
	}{
		{`{"steps":[` + many("0", 100_000) + `]}`, true},
		{`{"a":{"b":[1]},"steps":[` + many("{}", 10_000) + `,` + many("[]", 10_000) + `]}`, true},
		{`{"a":"\\\"","steps":[` + many("0", 50_000) + `],"steps":[` + many("0", 50_000) + `]}`, true},
		{`{"steps":[` + many(`{"count":1,"cpu":500,"memory":256,"gpu":0}`, 10_000) + `]}`, false},
		{`{"steps":[` + many("0", 300) + `]}`, false},
		{`{"text":"` + many("0", 100_000) + `"}`, false},
		{`{"steps":[{"after":[` + many("0", 100_000) + `]}]}`, false},
		{`{"unfinished":"` + many("0", 100_000), false},
	} {
		err := CheckLists([]byte(test.document), 150)
		assert.Check(t, errors.Is(err, ErrDenseList) == test.dense, "%.60s: %v", test.document, err)
	}
}
