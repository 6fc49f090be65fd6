package anvilraft

import (
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
)

// TestHungCandidateDelaysElection guards against a voter whose disk hangs and that wins votes again and again, as it
// asks for them before its term is synced: the group must have a leader almost as soon as without that voter.
func TestHungCandidateDelaysElection(t *testing.T) {
	worst := map[string]anvilclock.Millis{}
	for _, kind := range []string{"down", "hangs"} {
		for seed := range uint64(60) {
			c := newCluster(t, seed, []string{"a", "b", "c", "d", "e"}, WithElectionTimeout(350, 700), WithHeartbeat(80))
			c.latency = fixedLatency(1000)
			c.run(2000)
			first := c.leader()
			var other *voter
			for _, v := range c.voters {
				if v != first {
					other = v
				}
			}
			if kind == "down" {
				c.crash(other, 0)
			} else {
				other.diskStalled = true
			}
			c.crash(first, 0)
			start, before := c.now, len(c.committed)
			for len(c.committed) == before && c.now-start < 60_000_000 {
				c.run(1)
			}
			worst[kind] = max(worst[kind], anvilclock.Millis((c.now-start)/1000))
		}
	}
	t.Logf("longest time to the first commit: %v", worst)
	assert.Assert(t, worst["hangs"] < 4*anvilclock.Second)
}
