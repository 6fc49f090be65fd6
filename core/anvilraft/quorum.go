package anvilraft

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
)

// roundingMargin covers the rounding of two instants to whole milliseconds.
const roundingMargin = 2 * anvilclock.Millisecond

// quorumValue returns the highest value that a quorum of the voters reaches.
// own is the value of this node and counts only if it is a voter.
func quorumValue[T cmp.Ordered](n *Node, own T, value func(*peer) T) T {
	var buffer [7]T // groups larger than 7 voters cost an allocation
	values := buffer[:0]
	if n.leading.voter {
		values = append(values, own)
	}
	for _, p := range n.leading.peers {
		if p.voter {
			values = append(values, value(p))
		}
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// HasQuorum reports whether this node is the leader and no other node can be
// elected before now. It counts from the time when the answered messages were
// sent, and allows for the clock rate error, so that the answers of two nodes
// at the same instant are never both true.
func (n *Node) HasQuorum(now anvilclock.Millis) bool {
	if n.role != Leader {
		return false
	}
	now = max(now, n.now)
	sent := quorumValue(n, now, func(p *peer) anvilclock.Millis { return p.sent })
	return now-sent < n.options.quorumSpan()
}

// quorumSpan is the minimum election timeout of a voter with a fast clock, as
// measured by a leader with a slow one.
func (o options) quorumSpan() anvilclock.Millis {
	span := float64(o.electionMin) * (1 - o.clockError) / (1 + o.clockError)
	return anvilclock.Millis(span) - roundingMargin
}

// checkQuorum steps down when no quorum answered within the minimum election
// timeout, so that callers turn to another leader.
func (n *Node) checkQuorum() {
	heard := quorumValue(n, n.now, func(p *peer) anvilclock.Millis { return p.heardAt })
	if n.now-heard >= n.options.electionMin {
		n.becomeFollower(n.hard.Term, VoterID{})
	}
}
