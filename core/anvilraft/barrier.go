package anvilraft

import (
	"math"

	"anvilshunt/core/anvilid"
)

// pendingBarrier waits until a quorum has answered its round.
type pendingBarrier struct {
	key   uint64
	round uint64
	index anvilid.Index
}

// readBarrier handles ReadBarrier.
func (n *Node) readBarrier(key uint64) {
	switch {
	case n.role != Leader:
		n.reject(key, ErrNotLeader)
	case n.committedOwnTerm():
		n.startRound(key)
	default:
		// The commit index of a new leader may lag behind that of the former
		// one until the first entry of the new term is committed.
		n.leading.early = append(n.leading.early, key)
	}
}

func (n *Node) committedOwnTerm() bool { return n.log.matches(n.commit, n.hard.Term) }

// startBarriers starts the barriers that waited for the first commit.
func (n *Node) startBarriers() {
	if len(n.leading.early) > 0 && n.committedOwnTerm() {
		keys := n.leading.early
		n.leading.early = nil
		n.startRound(keys...)
	}
}

// startRound sends a heartbeat that later answers are matched with. Answers
// to earlier heartbeats prove nothing about the time after this step.
func (n *Node) startRound(keys ...uint64) {
	n.leading.round++
	for _, key := range keys {
		n.leading.barriers = append(n.leading.barriers, pendingBarrier{key, n.leading.round, n.commit})
	}
	n.broadcast()
	n.confirmBarriers()
}

func (n *Node) confirmBarriers() {
	if len(n.leading.barriers) == 0 {
		return
	}
	round := quorumValue(n, math.MaxUint64, func(p *peer) uint64 { return p.round })
	done := 0
	for ; done < len(n.leading.barriers) && n.leading.barriers[done].round <= round; done++ {
		barrier := n.leading.barriers[done]
		n.out.Barriers = append(n.out.Barriers, Barrier{Key: barrier.key, Index: barrier.index})
	}
	n.leading.barriers = n.leading.barriers[done:]
}
