package anvilvoter

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
)

// Guards against a log time that stands still after the wall clock was set back: urgent jobs would seem not
// to wait, and nothing would be stopped for them until the wall clock has caught up.
func TestLogTimeAdvances(t *testing.T) {
	var log logTime
	const wall = 1_000_000 * anvilclock.Millisecond
	assert.Equal(t, log.now(5000, wall), wall)
	assert.Equal(t, log.now(5100, wall+2500), wall+2500, "the wall clock was set forward")
	assert.Equal(t, log.now(5200, wall+200), wall+2600, "the wall clock was set back")
	assert.Equal(t, log.now(7200, wall+2200), wall+4600)
	// An entry of another leader, whose clock is ahead, was applied.
	assert.Equal(t, log.now(7200, wall+9000), wall+9000)
	assert.Equal(t, log.now(7300, wall+2300), wall+9100)
	assert.Equal(t, log.now(7200, wall+2300), wall+9100, "two goroutines read the clock and came in another order")
}
