package anvilraft

import (
	"fmt"
	"testing"

	"anvilshunt/core/anvilclock"
)

// TestCrashesDuringSlowSyncs guards against two leaders of a term and lost entries where syncs take about a second, votes
// arrive up to 4 s late or twice, and processes crash before their term is synced and campaign again in the same term.
func TestCrashesDuringSlowSyncs(t *testing.T) {
	for seed := *scheduleFirst; seed < *scheduleFirst+*scheduleSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			names := []string{"a", "b", "c", "d", "e"}[:3+2*(seed%2)]
			s := newSchedule(newCluster(t, seed, names, WithElectionTimeout(300, 600), WithTrailingEntries(5)))
			c := s.c
			c.duplicateProbability = 0.2
			c.latency = func(_ *voter, m Message) int64 {
				slow := m.Type == MessageVoteResponse || m.Type == MessageVote || m.Type == MessagePreVoteResponse
				switch p := c.random.Float64(); {
				case p < 0.05:
					return -1
				case slow && p < 0.5:
					return c.random.Int64N(4_000_000)
				}
				return 200 + c.random.Int64N(20_000)
			}
			for range 30 * anvilclock.Second {
				c.now += 1000
				c.deliver()
				for _, v := range c.voters {
					switch {
					case v.node == nil:
						if s.chance(4) {
							s.newClock(v)
							c.start(v)
						}
					case s.chance(0.3) || len(v.unsynced) > 0 && s.chance(1):
						c.crash(v, c.random.IntN(3))
					}
					if v.node != nil && s.chance(200) {
						c.tick(v)
					}
					if n := len(v.unsynced); n > 0 && s.chance(4) {
						c.sync(v, 1+c.random.IntN(n))
					}
				}
				s.runClients()
			}
			s.recoverFromFaults()
			s.checkHistory()
			t.Logf("%d committed, %d leaders", len(c.committed), len(c.leaders))
		})
	}
}
