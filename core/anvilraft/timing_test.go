package anvilraft

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// TestNarrowLink guards against bulk transfers that fill the link between
// regions, so that heartbeats behind them arrive too late. Two empty learners
// and both other voters are reached over one link of 30 Mbit/s.
func TestNarrowLink(t *testing.T) {
	for _, name := range []string{"entries", "snapshot"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, []string{"a", "b", "c"}, WithTrailingEntries(0))
			var free [2]int64 // when each direction of the link is idle again
			var carried int
			c.latency = func(from *voter, m Message) int64 {
				data, _ := Encode(m)
				direction := 0
				if from.id.Instance == "a" {
					direction = 1
					carried += len(data)
				}
				const bytesPerMillisecond = 30_000 / 8
				free[direction] = max(free[direction], c.now) + int64(len(data))*1000/bytesPerMillisecond
				return free[direction] - c.now + 8000
			}
			a := c.voters[0]
			c.run(299)
			a.offset += 700_000
			c.run(100)
			const total = 1 << 20
			for range total >> 14 {
				c.step(a, Propose{Commands: [][]byte{make([]byte, 1<<14)}})
				c.run(10)
			}
			if name == "snapshot" {
				c.run(1000)
				c.step(a, Compact{a.applied, snapshotData(a.state, total)})
			}
			for key, name := range []string{"d", "e"} {
				learner := c.add(name)
				c.start(learner)
				c.step(a, ChangeVoters{Key: uint64(key), AddLearner: learner.id})
				c.run(50)
			}
			start, before := c.now, carried
			for c.voters[3].applied < a.applied || c.voters[4].applied < a.applied {
				c.run(10)
				assert.Assert(t, a.node.HasQuorum(a.clock(c.now)), "lost the quorum %d ms after the start", (c.now-start)/1000)
				assert.Assert(t, c.now-start < 10_000_000, "the learners did not catch up")
			}
			span := anvilclock.Millis((c.now - start) / 1000)
			t.Logf("carried %d bytes in %d ms", carried-before, span)
		})
	}
}

// TestFailover guards the goal that a change is accepted within 2 s after the
// loss of the leader, with 8 ms between all voters.
func TestFailover(t *testing.T) {
	t.Parallel()
	for _, names := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		var spans []anvilclock.Millis
		for seed := range uint64(40) {
			c := newCluster(t, seed, names)
			c.latency = constant(8000)
			c.run(1500 + 2*anvilclock.Millis(seed)) // at any point of the heartbeat interval
			leader, start, before := c.leader(), c.now, len(c.committed)
			c.crash(leader, 0)
			for len(c.committed) == before { // the first entry of the next leader
				c.run(1)
			}
			spans = append(spans, anvilclock.Millis((c.now-start)/1000))
		}
		slices.Sort(spans)
		t.Logf("%d voters: median %d ms, longest %d ms", len(names), spans[len(spans)/2], spans[len(spans)-1])
		assert.Assert(t, spans[len(spans)-1] < 2*anvilclock.Second)
	}
}

// TestSlowDisksElect guards against a group that has no leader for as long as
// a sync takes longer than an election: votes that are synced late must still
// count. One disk may be fast, so that its voter asks again before the others
// have answered.
func TestSlowDisksElect(t *testing.T) {
	t.Parallel()
	for _, span := range []anvilclock.Millis{200, 800, 2000} {
		for _, fast := range []int{0, 1} {
			for seed := range uint64(20) {
				c := newCluster(t, seed, []string{"a", "b", "c"})
				c.run(1500)
				leader, start, before := c.leader(), c.now, len(c.committed)
				slow := slices.DeleteFunc(slices.Clone(c.voters), func(v *voter) bool { return v == leader })[fast:]
				c.crash(leader, 0)
				c.start(leader)
				disks := newSlowDisks(c, span, append(slow, leader)...)
				// The goal without slow disks, and ten syncs.
				limit := 2*anvilclock.Second + 10*span
				for len(c.committed) == before { // the first entry of the next leader
					disks.run()
					assert.Assert(t, anvilclock.Millis((c.now-start)/1000) < limit, "no leader; seed %d, syncs of %d ms, %d fast disks", seed, span, fast)
				}
			}
		}
	}
}

// slowDisks sync what a voter has saved once per span, in one go.
type slowDisks struct {
	cluster *cluster
	span    anvilclock.Millis
	voters  []*voter
	begun   map[*voter]int64 // when the present sync began
	count   map[*voter]int   // of the Saves that it covers
}

func newSlowDisks(c *cluster, span anvilclock.Millis, voters ...*voter) *slowDisks {
	for _, v := range voters {
		v.lag = true
	}
	return &slowDisks{cluster: c, span: span, voters: voters, begun: map[*voter]int64{}, count: map[*voter]int{}}
}

// run lets a millisecond pass.
func (d *slowDisks) run() {
	d.cluster.run(1)
	for _, v := range d.voters {
		if d.count[v] > 0 && d.cluster.now-d.begun[v] >= int64(d.span)*1000 {
			count := d.count[v]
			d.count[v] = 0
			d.cluster.sync(v, count)
		}
		if d.count[v] == 0 && len(v.unsynced) > 0 {
			d.begun[v], d.count[v] = d.cluster.now, len(v.unsynced)
		}
	}
}

// Guards against a candidate that counts its own vote when an older Save was
// synced.
func TestOlderSaveIsNoVote(t *testing.T) {
	t.Parallel()
	restored := PersistentState{Storage: "1"}
	restored.Apply(Bootstrap(7, VoterID{"a", "1"}))
	node := New("a", restored)
	node.Step(0, Tick{})
	old := node.Step(1000, Receive{Message{Type: MessageVote, Group: 7, From: VoterID{"b", "1"}, To: VoterID{"a", "1"}, Term: 5}}).Save
	assert.Equal(t, old.Hard.Term, anvilid.Term(5))
	node.Step(1000, Persisted{old.Sequence})
	vote := node.Step(2000, Tick{}).Save
	assert.Equal(t, vote.Hard.Vote, VoterID{"a", "1"})
	assert.Equal(t, node.Step(2001, Persisted{old.Sequence}).Role, Candidate)
	assert.Equal(t, node.Step(2002, Persisted{vote.Sequence}).Role, Leader)
}
