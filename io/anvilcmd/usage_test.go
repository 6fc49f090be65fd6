package anvilcmd

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestWrongValues checks that a command with an invalid flag value exits with code 2 (usage). With
// the exit code of a failed command, scripts would retry it.
func TestWrongValues(t *testing.T) {
	for _, args := range []string{
		"job wait storm-7 --timeout soon",
		"job wait storm-7 --timeout",
		"job submit --accelerators many",
		"status --json=perhaps",
		"status --servers",
	} {
		t.Run(args, func(t *testing.T) {
			got := run(false, unreachableAddress(), strings.Fields(args)...)
			assert.Equal(t, got.code, 2, got.err)
		})
	}
}
