package anvilserver_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against instances that cannot join the control group, and configuration changes that are
// never answered, while each disk sync of the voters takes longer than a lease lasts. The voters still
// elect a leader, but committing a command takes longer than the timeout of a single call.
func TestSlowDisks(t *testing.T) {
	t.Parallel()
	s := startThree(t)
	lost := s.leader()
	s.syncTime.Store(int64(1200 * time.Millisecond))
	s.kill(lost)
	s.start(lost)
	s.eventually("the restarted instance is ready", func() bool { return s.ready(lost) })
	next := s.applyAnywhere(change("c1", 1, 5))
	assert.Equal(t, next.Revision, 2)
}
