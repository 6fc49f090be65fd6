package anvilraft

import (
	"slices"

	"anvilshunt/core/anvilid"
)

// membership is the history of member lists since the last snapshot. A change
// is in force as soon as its entry is in the log, committed or not, and is
// undone if the entry is removed.
type membership struct {
	changes []memberChange // by index; the first is the oldest needed
}

type memberChange struct {
	index   anvilid.Index
	members Members
}

func newMembership(snapshot Snapshot, entries []Entry) membership {
	m := membership{changes: []memberChange{{snapshot.Index, snapshot.Members}}}
	m.appended(entries)
	return m
}

func (m *membership) latest() Members { return m.changes[len(m.changes)-1].members }

// pending returns the index of the latest change.
func (m *membership) pending() anvilid.Index { return m.changes[len(m.changes)-1].index }

// at returns the members in force at a committed index.
func (m *membership) at(index anvilid.Index) Members {
	for _, change := range slices.Backward(m.changes) {
		if change.index <= index {
			return change.members
		}
	}
	return m.changes[0].members
}

// appended notes the changes among new entries. The entries were checked when
// they were received or restored.
func (m *membership) appended(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind != KindMembers {
			continue
		}
		if members, err := decodeMembers(entry.Data); err == nil {
			m.changes = append(m.changes, memberChange{entry.Index, members})
		}
	}
}

// truncated undoes the changes from index on.
func (m *membership) truncated(index anvilid.Index) {
	for len(m.changes) > 1 && m.pending() >= index {
		m.changes = m.changes[:len(m.changes)-1]
	}
}

// compacted drops the history before index.
func (m *membership) compacted(index anvilid.Index) {
	for len(m.changes) > 1 && m.changes[1].index <= index {
		m.changes = m.changes[1:]
	}
}

// changeVoters handles ChangeVoters. Lists of voters that follow each other
// differ by one voter, so any two of their quorums intersect; this holds only
// if a change is committed before the next one starts.
func (n *Node) changeVoters(event ChangeVoters) {
	if n.role != Leader {
		n.reject(event.Key, ErrNotLeader)
		return
	}
	if n.members.pending() > n.commit || !n.committedOwnTerm() {
		n.reject(event.Key, ErrChangePending)
		return
	}
	members, err := n.changed(event)
	if err != nil {
		n.reject(event.Key, err)
		return
	}
	first := n.log.last() + 1
	n.appendOwn(0, Entry{Kind: KindMembers, Data: encodeMembers(members)})
	n.accept(event.Key, first)
	n.syncPeers()
	for _, p := range n.leading.peers {
		n.replicate(p)
	}
	n.advanceCommit()
}

// changed returns the members after a change, or the reason to refuse it.
func (n *Node) changed(event ChangeVoters) (Members, error) {
	old := n.members.latest()
	switch {
	case event.AddVoter.IsZero() && event.Remove.IsZero():
		return learned(old, event.AddLearner)
	case event.AddLearner.IsZero() && event.Remove.IsZero():
		return n.promoted(old, event.AddVoter)
	case event.AddLearner.IsZero() && event.AddVoter.IsZero():
		return removed(old, event.Remove)
	}
	return Members{}, ErrInvalidChange
}

func learned(old Members, id VoterID) (Members, error) {
	if id.IsZero() || old.Contains(id) {
		return Members{}, ErrInvalidChange
	}
	return Members{Voters: old.Voters, Learners: with(old.Learners, id)}, nil
}

// promoted turns a learner into a voter. It refuses a second voter of the
// same instance, since the loss of that instance would cost two votes.
func (n *Node) promoted(old Members, id VoterID) (Members, error) {
	sameInstance := func(voter VoterID) bool { return voter.Instance == id.Instance }
	if !old.IsLearner(id) || slices.ContainsFunc(old.Voters, sameInstance) {
		return Members{}, ErrInvalidChange
	}
	p := n.peer(id)
	if p == nil || p.match+anvilid.Index(n.options.catchUp) < n.log.last() {
		return Members{}, ErrNotCaughtUp
	}
	return Members{Voters: with(old.Voters, id), Learners: without(old.Learners, id)}, nil
}

func removed(old Members, id VoterID) (Members, error) {
	if !old.Contains(id) || old.IsVoter(id) && len(old.Voters) == 1 {
		return Members{}, ErrInvalidChange
	}
	return Members{Voters: without(old.Voters, id), Learners: without(old.Learners, id)}, nil
}

func with(ids []VoterID, id VoterID) []VoterID {
	ids = append(slices.Clone(ids), id)
	slices.SortFunc(ids, VoterID.Compare)
	return ids
}

func without(ids []VoterID, id VoterID) []VoterID {
	return slices.DeleteFunc(slices.Clone(ids), func(other VoterID) bool { return other == id })
}

// syncPeers adjusts the leader's peers to the members. A removed member is
// kept until its removal is committed, so that it learns of it.
func (n *Node) syncPeers() {
	members := n.members.latest()
	keep := func(p *peer) bool { return members.Contains(p.id) || n.members.pending() > n.commit }
	n.leading.peers = slices.DeleteFunc(slices.Clone(n.leading.peers), func(p *peer) bool { return !keep(p) })
	for _, id := range slices.Concat(members.Voters, members.Learners) {
		if id != n.self && n.peer(id) == nil {
			n.leading.peers = append(n.leading.peers, n.newPeer(id))
		}
	}
	n.leading.voter = members.IsVoter(n.self)
	for _, p := range n.leading.peers {
		p.voter = members.IsVoter(p.id)
	}
}

// changeCommitted finishes a membership change on the leader.
func (n *Node) changeCommitted() {
	members := n.members.latest()
	for _, p := range n.leading.peers {
		if !members.Contains(p.id) {
			n.sendAppend(p, nil) // tells it that the removal is committed
		}
	}
	n.syncPeers()
	if !members.IsVoter(n.self) {
		n.becomeFollower(n.hard.Term, VoterID{})
	}
}
