package anvillogs

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a report of a failed test that lacks the last lines of the log, and against a
// Tail that grows as long as the instance runs.
func TestTailKeepsLastLines(t *testing.T) {
	var tail Tail
	for n := range 3 * tailLength {
		_, err := fmt.Fprintf(&tail, "line %d\n", n)
		assert.NilError(t, err)
	}
	lines := strings.Split(strings.TrimSpace(tail.String()), "\n")
	assert.Equal(t, len(lines), tailLength)
	assert.Equal(t, lines[tailLength-1], fmt.Sprintf("line %d", 3*tailLength-1))
}
