package anvilraft

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
)

// TestLostVoteRequest guards against a campaign that fails because one message of it was lost, where each voter that is left is needed:
// the next campaign takes another sync of each.
func TestLostVoteRequest(t *testing.T) {
	t.Parallel()
	for _, lost := range []MessageType{MessageVote, MessageVoteResponse} {
		c := newCluster(t, 1, []string{"a", "b", "c"})
		c.crash(c.voters[2], 0)
		var dropped anvilid.Term
		c.latency = func(_ *voter, m Message) int64 {
			if m.Type == lost && m.To != c.voters[2].id && dropped == 0 {
				dropped = m.Term
				return -1
			}
			return 1000
		}
		c.run(2000)
		assert.Assert(t, c.leader() != nil && dropped > 0)
		assert.Equal(t, c.leader().node.Status().Term, dropped)
	}
}
