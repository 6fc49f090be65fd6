package anvilcmd

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWrongValues guards against a wrong command line that exits with the
// code of a failed command, so that scripts repeat it.
func TestWrongValues(t *testing.T) {
	for _, args := range []string{
		"job wait storm-7 --timeout soon",
		"job wait storm-7 --timeout",
		"job submit --accelerators many",
		"status --json=perhaps",
		"status --servers",
	} {
		t.Run(args, func(t *testing.T) {
			got := run(false, unreachable(), strings.Fields(args)...)
			assert.Equal(t, got.code, 2, got.err)
		})
	}
}
