package anvilraft

import (
	"cmp"
	"slices"

	"anvilshunt/core/anvilclock"
)

// roundingMargin covers the rounding of two times to whole milliseconds.
const roundingMargin = 2 * anvilclock.Millisecond

// quorumValue returns the highest value that a quorum of the voters has reached, of each list that counts. own is
// the value of this node, and counts only if this node is a voter; none is that of a voter without a record.
func quorumValue[T cmp.Ordered](n *Node, own, none T, value func(*peer) T) T {
	latest, before := n.electorates(n.leading.lost)
	reached := electorateValue(n, latest, own, none, value)
	if len(before.voters) > 0 {
		reached = min(reached, electorateValue(n, before, own, none, value))
	}
	return reached
}

func electorateValue[T cmp.Ordered](n *Node, e electorate, own, none T, value func(*peer) T) T {
	var buffer [7]T // groups larger than 7 voters cost an allocation
	values := buffer[:0]
	for _, id := range e.voters {
		switch p := n.peer(id); {
		case !e.counts(id):
		case id == n.self:
			values = append(values, own)
		case p != nil:
			values = append(values, value(p))
		}
	}
	quorum := quorumWithout(e.voters, e.lost)
	if len(values) < quorum {
		return none
	}
	slices.Sort(values)
	return values[len(values)-quorum]
}

// HasQuorum reports whether this node is the leader and no other node can have been elected
// by now. It measures the time since this node sent the latest messages that a quorum has
// answered, and allows for the clock rate error, so that it is never true on two nodes at
// the same instant.
func (n *Node) HasQuorum(now anvilclock.Millis) bool {
	if n.role != Leader {
		return false
	}
	now = max(now, n.now)
	sent := quorumValue(n, now, distantPast, func(p *peer) anvilclock.Millis { return p.answeredSentAt })
	return now-sent < n.options.quorumLeaseDuration()
}

// quorumLeaseDuration returns the time, counted from the sending of a message that a quorum
// answers, in which no other leader can be elected. It is the minimum election timeout of a voter
// with a fast clock, as measured by a leader with a slow clock.
func (o options) quorumLeaseDuration() anvilclock.Millis {
	span := float64(o.minElectionTimeout) * (1 - o.clockRateError) / (1 + o.clockRateError)
	return anvilclock.Millis(span) - roundingMargin
}

// checkQuorum makes this leader step down if no quorum has answered within the minimum
// election timeout, so that callers look for another leader. The time in which this process did not
// run is not counted, because answers may wait to be handled. HasQuorum counts it.
func (n *Node) checkQuorum(late anvilclock.Millis) {
	for _, p := range n.leading.peers {
		p.missed = min(p.missed+min(late, n.now-p.lastResponseAt), n.options.maxLateExtension())
	}
	heard := quorumValue(n, n.now, distantPast, func(p *peer) anvilclock.Millis { return p.lastResponseAt + p.missed })
	if n.now-heard >= n.options.minElectionTimeout {
		n.becomeFollower(n.hardState.Term, VoterID{})
	}
}
