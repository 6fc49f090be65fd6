package anvilraft

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
)

// starvation lets each voter run for a tenth of the time only, at the start of slices of 0.3 to
// 1 s. What arrives in between waits.
type starvation struct {
	disks                *slowDisks
	runsUntil, nextSlice map[*voter]int64
}

func newStarvation(disks *slowDisks) *starvation {
	return &starvation{disks: disks, runsUntil: map[*voter]int64{}, nextSlice: map[*voter]int64{}}
}

// run advances the time by one millisecond.
func (s *starvation) run() {
	c := s.disks.cluster
	for _, v := range c.voters {
		switch {
		case c.now >= s.nextSlice[v]:
			slice := 300_000 + c.random.Int64N(700_000)
			s.runsUntil[v], s.nextSlice[v] = c.now+slice/10, c.now+slice
			c.unfreeze(v)
		case c.now >= s.runsUntil[v]:
			v.frozen = true
		}
	}
	s.disks.run()
}

// TestStarvedVoters guards against leaders that last only for moments while all voters get a tenth
// of a processor for 30 s: a voter that did not run takes the time for silence of the leader, and a
// leader for silence of the others, although messages wait.
func TestStarvedVoters(t *testing.T) {
	t.Parallel()
	var leaders []int
	var pauses []anvilclock.Millis
	for seed := range uint64(20) {
		c := starvedCluster(t, seed)
		count, pause := runStarved(newStarvation(newSlowDisks(c, 500, c.voters...)))
		leaders, pauses = append(leaders, count), append(pauses, pause)
	}
	slices.Sort(leaders)
	slices.Sort(pauses)
	t.Logf("further leaders in 30 s: median %d, most %d; longest time without a commit: median %d ms, longest %d ms",
		leaders[len(leaders)/2], leaders[len(leaders)-1], pauses[len(pauses)/2], pauses[len(pauses)-1])
	assert.Check(t, leaders[len(leaders)-1] <= 1)
	assert.Check(t, pauses[len(pauses)-1] < 5*anvilclock.Second)
}

func starvedCluster(t *testing.T, seed uint64) *cluster {
	c := newCluster(t, seed, []string{"a", "b", "c", "d", "e"}, WithElectionTimeout(350, 700), WithHeartbeat(80))
	c.latency = fixedLatency(8000)
	c.run(2000)
	return c
}

// runStarved runs the group for 30 s with a command each second. It returns the number of further
// leaders and the longest time without a commit.
func runStarved(s *starvation) (leaders int, pause anvilclock.Millis) {
	c := s.disks.cluster
	start, terms, committed, last := c.now, len(c.leaders), len(c.committed), c.now
	for c.now-start < 30_000_000 {
		s.run()
		if (c.now-start)%1_000_000 == 0 {
			proposeEverywhere(c)
		}
		if len(c.committed) > committed {
			committed, last = len(c.committed), c.now
		}
		pause = max(pause, anvilclock.Millis((c.now-last)/1000))
	}
	return len(c.leaders) - terms, pause
}

func proposeEverywhere(c *cluster) {
	for _, v := range c.voters {
		if v.role == Leader {
			c.step(v, Propose{Key: uint64(c.now), Commands: [][]byte{{0, 1}}})
		}
	}
}

// TestStarvedRestart guards against a group that stays without a leader after all voters were
// restarted at once and get a tenth of a processor from then on.
func TestStarvedRestart(t *testing.T) {
	t.Parallel()
	for _, missing := range []int{0, 2} {
		var spans []anvilclock.Millis
		for seed := range uint64(40) {
			c := starvedCluster(t, seed)
			for _, v := range c.voters {
				c.crash(v, 0)
			}
			for _, v := range c.voters[missing:] {
				c.start(v)
			}
			starved := newStarvation(newSlowDisks(c, 500, c.voters[missing:]...))
			start, before := c.now, len(c.committed)
			for len(c.committed) == before && c.now-start < 60_000_000 {
				starved.run()
			}
			spans = append(spans, anvilclock.Millis((c.now-start)/1000))
		}
		slices.Sort(spans)
		t.Logf("%d missing: first commit after: median %d ms, p90 %d ms, longest %d ms",
			missing, spans[len(spans)/2], spans[len(spans)*9/10], spans[len(spans)-1])
		// Pre-vote, vote and append each wait for a slice of 1 s at both ends; votes and entries are
		// synced within those. Few elections fail once.
		const bound = 6*anvilclock.Second + 2*anvilclock.Second
		assert.Check(t, spans[len(spans)*9/10] < bound, "%d missing", missing)
		assert.Check(t, spans[len(spans)-1] < 2*bound, "%d missing", missing)
	}
}

// TestStarvedLeaderStepsDown guards against a leader that keeps the role without a quorum because
// it is starved: the time it missed is excused up to a limit only.
func TestStarvedLeaderStepsDown(t *testing.T) {
	t.Parallel()
	c := starvedCluster(t, 1)
	leader := c.leader()
	for _, v := range c.voters {
		c.cutLink(v, leader)
	}
	start := c.now
	for leader.role == Leader {
		leader.frozen = true
		c.run(900)
		c.unfreeze(leader)
		c.run(10)
	}
	assert.Assert(t, c.now-start < 4_000_000, "stepped down after %d ms", (c.now-start)/1000)
}
