package anvillogs

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a report of a failure that lacks the last lines, and against
// one that grows with the life of an instance.
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
