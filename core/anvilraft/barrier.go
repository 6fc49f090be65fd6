package anvilraft

import (
	"math"

	"anvilshunt/core/anvilid"
)

// pendingBarrier is a read barrier that waits until a quorum has answered its round of
// heartbeats.
type pendingBarrier struct {
	key   uint64
	round uint64
	index anvilid.Index
}

// readBarrier handles a ReadBarrier event. On the leader it starts a round of heartbeats, which
// confirms that this node is still the leader once a quorum has answered. It defers the round
// while no entry of the current term is committed. On any other node it rejects the event with
// ErrNotLeader.
func (n *Node) readBarrier(key uint64) {
	switch {
	case n.role != Leader:
		n.reject(key, ErrNotLeader)
	case n.hasCommittedInTerm():
		n.startBarrierRound(key)
	default:
		// The commit index of a new leader may be behind that of the previous one until the first
		// entry of the new term is committed.
		n.leading.deferredBarriers = append(n.leading.deferredBarriers, key)
	}
}

// hasCommittedInTerm reports whether an entry of the current term is committed.
func (n *Node) hasCommittedInTerm() bool { return n.log.matches(n.commit, n.hardState.Term) }

// startDeferredBarriers starts the barriers that waited for the first commit of the term.
func (n *Node) startDeferredBarriers() {
	if len(n.leading.deferredBarriers) > 0 && n.hasCommittedInTerm() {
		keys := n.leading.deferredBarriers
		n.leading.deferredBarriers = nil
		n.startBarrierRound(keys...)
	}
}

// startBarrierRound starts the read barriers with the given keys: it sends heartbeats with a
// new round number, which the answers repeat. Only answers of this round or a later one
// prove that this node is still the leader now.
func (n *Node) startBarrierRound(keys ...uint64) {
	n.leading.barrierRound++
	for _, key := range keys {
		n.leading.pendingBarriers = append(n.leading.pendingBarriers,
			pendingBarrier{key, n.leading.barrierRound, n.commit})
	}
	n.broadcastHeartbeat()
	n.confirmBarriers()
}

// confirmBarriers adds the barriers whose round a quorum has answered to Effects.Barriers.
func (n *Node) confirmBarriers() {
	if len(n.leading.pendingBarriers) == 0 {
		return
	}
	round := quorumValue(n, math.MaxUint64, 0, func(p *peer) uint64 { return p.answeredRound })
	done := 0
	for ; done < len(n.leading.pendingBarriers) && n.leading.pendingBarriers[done].round <= round; done++ {
		barrier := n.leading.pendingBarriers[done]
		n.effects.Barriers = append(n.effects.Barriers, Barrier{Key: barrier.key, Index: barrier.index})
	}
	n.leading.pendingBarriers = n.leading.pendingBarriers[done:]
}
