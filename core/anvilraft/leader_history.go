package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

const (
	// maxShortTenures limits how far short tenures lengthen the timeouts: to three minimum election
	// timeouts at least and four at most, so that the loss of a leader is still noticed within 1.4 s
	// at a minimum of 350 ms.
	maxShortTenures = 2
	// shortTenure is the number of maximum election timeouts within which the tenure of a leader is
	// short. A longer one takes back the effect of one short tenure.
	shortTenure = 10
)

// leaderHistory records how long the recent leaders lasted, as this node saw it.
type leaderHistory struct {
	term  anvilid.Term      // the latest term whose leader this node has known
	since anvilclock.Millis // when that leader was first known, or last proved to last
	short int               // number of recent short tenures, at most maxShortTenures
}

// recordLeader records that the current term has a leader.
func (n *Node) recordLeader() {
	h := &n.history
	if h.term != n.hardState.Term {
		h.term, h.since = n.hardState.Term, n.now
	}
	if n.now-h.since >= shortTenure*n.options.maxElectionTimeout {
		h.short, h.since = max(h.short-1, 0), n.now
	}
}

// recordTermEnd counts a short tenure if the current term, which ends, had a leader only for moments.
func (n *Node) recordTermEnd() {
	h := &n.history
	if h.term != 0 && h.term == n.hardState.Term && n.now-h.since < shortTenure*n.options.maxElectionTimeout {
		h.short = min(h.short+1, maxShortTenures)
	}
}

// extraTimeout is added to the election timeout and to the quorum check of a leader, because leaders
// that last only for moments show that the usual delays are longer than these. HasQuorum and
// hasRecentLeader don't depend on it.
func (n *Node) extraTimeout() anvilclock.Millis {
	return anvilclock.Millis(n.history.short) * n.options.minElectionTimeout
}
