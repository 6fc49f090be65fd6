package anvilraft

import (
	"fmt"
	"testing"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// memoryGroup passes messages in memory and syncs at once.
type memoryGroup struct {
	nodes map[VoterID]*Node
	queue []Message
	now   anvilclock.Millis
}

func (g *memoryGroup) step(id VoterID, event Event) {
	for event != nil {
		effects := g.nodes[id].Step(g.now, event)
		g.queue = append(g.queue, effects.Send...)
		event = nil
		if effects.Save != nil {
			event = Persisted{effects.Save.Sequence}
		}
	}
}

func (g *memoryGroup) drain() {
	for len(g.queue) > 0 {
		queue := g.queue
		g.queue = nil
		for _, m := range queue {
			g.step(m.To, Receive{m})
		}
	}
}

func newMemoryGroup(voters int) (*memoryGroup, VoterID) {
	g := &memoryGroup{nodes: map[VoterID]*Node{}}
	var ids []VoterID
	for i := range voters {
		ids = append(ids, VoterID{anvilid.InstanceID(fmt.Sprint("v", i)), "1"})
	}
	for _, id := range ids {
		restored := Restored{Storage: id.Storage}
		restored.Apply(Bootstrap(7, ids...))
		g.nodes[id] = New(id.Instance, restored)
		g.step(id, Tick{})
	}
	g.now = 1000
	g.step(ids[0], Tick{})
	for _, id := range ids[1:] {
		g.nodes[id].Step(g.now, Persisted{})
	}
	g.drain()
	return g, ids[0]
}

// BenchmarkCommit measures the steps of all voters for one entry of 200 bytes:
// propose, replicate, acknowledge and commit, without encoding and disk.
func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{1, 3, 5} {
		for _, batch := range []int{1, 64} {
			b.Run(fmt.Sprintf("voters=%d/batch=%d", voters, batch), func(b *testing.B) {
				g, leader := newMemoryGroup(voters)
				commands := make([][]byte, batch)
				for i := range commands {
					commands[i] = make([]byte, 200)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					g.step(leader, Propose{Commands: commands})
					g.drain()
					if i%1000 == 999 { // as a driver does, to bound the log
						for id, node := range g.nodes {
							g.step(id, Compact{Index: node.commit})
						}
						g.drain()
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/entry")
				if commit := g.nodes[leader].commit; int(commit) != 2+b.N*batch {
					b.Fatalf("%d entries committed, want %d", commit, 2+b.N*batch)
				}
			})
		}
	}
}

// BenchmarkRestore measures New with a log of 100,000 entries.
func BenchmarkRestore(b *testing.B) {
	restored := Restored{Storage: "1"}
	restored.Apply(Bootstrap(7, VoterID{"v0", "1"}))
	for i := range 100_000 {
		restored.Entries = append(restored.Entries, Entry{Index: anvilid.Index(i + 2), Term: 1, Kind: KindCommand, Data: make([]byte, 200)})
	}
	for b.Loop() {
		New("v0", restored)
	}
}
