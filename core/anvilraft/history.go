package anvilraft

import (
	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// Leader returns the leader of the present term, or zero if it isn't known.
func (n *Node) Leader() VoterID { return n.leader }

// LastTimestamp returns the timestamp of the last entry of the log, or 0 if the log is empty.
func (n *Node) LastTimestamp() anvilclock.Millis { return n.log.lastTimestamp() }

// MarkAge returns how many entries of the log came after the latest change that has marked a voter as lost, and the span of their
// timestamps, which is below 0 if that change is no longer in memory. ok is false if no known list has the mark. The mark may be older if
// the first known list has it, which is that of a snapshot.
func (n *Node) MarkAge(id VoterID) (entries anvilid.Index, span anvilclock.Millis, ok bool) {
	var at anvilid.Index
	wasMarked := false
	for _, change := range n.members.changes {
		isMarked := change.members.IsLost(id)
		if isMarked && !wasMarked {
			at, ok = change.index, true
		}
		wasMarked = isMarked
	}
	span = -1
	if at > n.log.base {
		span = n.log.lastTimestamp() - n.log.entryAt(at).At
	}
	return n.log.last() - at, span, ok
}
