package anvilraft

import (
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// An instance that joins gets the log before it is a member, so that one entry makes it a voter, and all that join at the
// same time: on slow disks each further entry would take another sync of a second, in which the group bears one loss less.

// sendLogSpan is how long the leader sends its log to an instance that isn't a member after the latest SendLog.
const sendLogSpan = 2 * anvilclock.Second

// sendLog handles a SendLog event.
func (n *Node) sendLog(event SendLog) {
	if n.role != Leader || event.To == n.self || n.members.latest().Contains(event.To) {
		return
	}
	maps.DeleteFunc(n.leading.joining, func(other VoterID, _ anvilclock.Millis) bool {
		return other.Instance == event.To.Instance && other != event.To
	})
	n.leading.joining[event.To] = n.now
	if n.peer(event.To) != nil {
		return
	}
	n.updatePeers()
	if p := n.peer(event.To); event.Empty {
		p.next = 1
		n.replicate(p)
	} else {
		n.sendAppend(p, nil)
	}
}

// dropJoining forgets the instances for which SendLog was not repeated.
func (n *Node) dropJoining() {
	before := len(n.leading.joining)
	maps.DeleteFunc(n.leading.joining, func(_ VoterID, at anvilclock.Millis) bool { return n.now-at >= sendLogSpan })
	if len(n.leading.joining) < before {
		n.updatePeers()
	}
}

// HasCaughtUp reports whether this node leads and an instance has as much of the log as a new voter needs: all but a few entries; or,
// with the rest on its way, either what the log had when it was first sent, or all but one window. While the log grows and
// syncs take a second, an instance always lacks what came during the latest sync. One that has not answered for the
// maximum election timeout may be gone.
func (n *Node) HasCaughtUp(id VoterID) bool {
	p := n.peer(id)
	if p == nil || p.match == 0 || n.now-p.lastResponseAt > n.options.maxElectionTimeout {
		return false
	}
	if p.match+anvilid.Index(n.options.maxLearnerLag) >= n.log.last() {
		return true
	}
	return n.hasSentAll(p) && (p.match >= p.firstTarget || p.inflightBytes <= n.options.maxInflightBytes)
}

// hasSentAll reports whether the rest of the log is on its way to a member, as far as known.
func (n *Node) hasSentAll(p *peer) bool {
	return p.next > n.log.last() && !p.probing && (p.transfer == nil || p.transfer.entry)
}

// AwaitsVoters reports whether voters of the group are known to have lost their storage, or this leader sends the log to
// instances that are to become voters. Few voters may be left then, and each commit may need all of them.
func (n *Node) AwaitsVoters() bool {
	members := n.members.latest()
	return len(members.Lost)+len(n.leading.joining) > 0 || slices.ContainsFunc(members.Voters, n.lost.has)
}

// Behind returns how many entries of the log an instance has not acknowledged yet. ok is false if this node doesn't send it the log.
func (n *Node) Behind(id VoterID) (entries anvilid.Index, ok bool) {
	p := n.peer(id)
	if p == nil {
		return 0, false
	}
	return n.log.last() - p.match, true
}

// withSeats returns the members with instances made voters, each in place of the former member of the same instance. It
// refuses instances that have not caught up: they may be gone.
func (n *Node) withSeats(old Members, event ChangeVoters) (Members, error) {
	if !n.options.useLostStorages || !event.Remove.IsZero() && !old.IsVoter(event.Remove) {
		return Members{}, ErrInvalidChange
	}
	replaced := func(id VoterID) bool {
		return id == event.Remove || slices.ContainsFunc(event.Seat, func(seat VoterID) bool { return seat.Instance == id.Instance })
	}
	members := old.without(replaced)
	for _, seat := range event.Seat {
		switch {
		case old.IsVoter(seat):
			return Members{}, ErrInvalidChange
		case !n.HasCaughtUp(seat):
			return Members{}, ErrNotCaughtUp
		}
		members.Voters = withID(members.Voters, seat)
	}
	return members, nil
}
