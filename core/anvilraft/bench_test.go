package anvilraft

import (
	"fmt"
	"testing"

	"anvilshunt/core/anvilid"
)

// memoryGroup runs nodes that exchange messages in memory and sync at once. Its first voter
// is the leader.
type memoryGroup struct {
	nodes []*Node
	queue []Message
}

func newMemoryGroup(voters int) *memoryGroup {
	g := &memoryGroup{}
	var ids []VoterID
	for i := range voters {
		ids = append(ids, VoterID{anvilid.InstanceID(fmt.Sprint(i)), "1"})
	}
	for _, id := range ids {
		restored := PersistentState{Storage: id.Storage}
		restored.Apply(Bootstrap(7, ids...))
		node := New(id.Instance, restored)
		node.Step(0, Tick{})
		node.Step(1000, Persisted{})
		g.nodes = append(g.nodes, node)
	}
	g.step(0, Tick{})
	return g
}

// step passes one event to a node, and then delivers messages until none is left.
func (g *memoryGroup) step(i int, event Event) {
	for event != nil {
		effects := g.nodes[i].Step(1000, event)
		g.queue = append(g.queue, effects.Send...)
		event = nil
		if effects.Save != nil {
			event = Persisted{effects.Save.Sequence}
		}
	}
	for len(g.queue) > 0 {
		m := g.queue[0]
		g.queue = g.queue[1:]
		g.step(int(m.To.Instance[0]-'0'), Receive{m})
	}
}

// BenchmarkCommit measures the steps of all voters for entries of 200 bytes: propose,
// replicate, acknowledge and commit, without encoding and disk.
func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{3, 5} {
		for _, batch := range []int{1, 64} {
			b.Run(fmt.Sprintf("voters=%d/batch=%d", voters, batch), func(b *testing.B) {
				g := newMemoryGroup(voters)
				commands := make([][]byte, batch)
				for i := range commands {
					commands[i] = make([]byte, 200)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					g.step(0, Propose{Commands: commands})
					if i%1000 == 999 { // as a driver does, to bound the log
						for i, node := range g.nodes {
							g.step(i, Compact{Index: node.commit})
						}
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*batch), "ns/entry")
				if commit := g.nodes[0].commit; int(commit) != 2+b.N*batch {
					b.Fatalf("%d entries committed, want %d", commit, 2+b.N*batch)
				}
			})
		}
	}
}
