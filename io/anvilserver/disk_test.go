package anvilserver_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an instance that is never admitted, and against changes that
// are never answered, while each sync of the voters takes longer than a lease:
// the group is elected, but a command outlasts each single call for it.
func TestSlowDisks(t *testing.T) {
	t.Parallel()
	s := three(t)
	lost := s.leader()
	s.syncTime.Store(int64(1200 * time.Millisecond))
	s.kill(lost)
	s.start(lost)
	s.eventually("the restarted instance is ready", func() bool { return s.ready(lost) })
	next := s.applyAnywhere(change("c1", 1, 5))
	assert.Equal(t, next.Revision, 2)
}
