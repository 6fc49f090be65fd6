package anvilraft

import "slices"

// A mark may name the storage that the instance of the marked voter has now, its successor. From when a node knows that the mark is
// committed, the vote of the successor counts in elections in place of that of the marked voter, although it has no seat yet and may have
// only a part of the log: a group of five that has lost one storage elects a leader after the loss of two further ones, however long the
// copy of the log takes.
//
// Let n voters have l marks with committed successors, and m be their majority, n odd. A commit needs m of the n-l others, and an election
// at least m-l of these, so that they intersect, as 2m-l > n-l. Two elections each need m of the same n storages. The list with the
// seats of the successors needs m of those, too. So only a named successor may take the seat of a voter
// without a quorum of the list before (seatsNamed), and a mark that names one is never taken back. Another storage may be named,
// but counts only once that is committed.

// Successor returns the storage that is named in place of a marked voter.
func (m Members) Successor(marked VoterID) (id VoterID, ok bool) {
	if !m.IsLost(marked) {
		return VoterID{}, false
	}
	i := slices.IndexFunc(m.Successors, func(id VoterID) bool { return id.Instance == marked.Instance })
	if i < 0 {
		return VoterID{}, false
	}
	return m.Successors[i], true
}

// withSuccessor returns the members with a storage named in place of a marked voter of the same instance.
func (m Members) withSuccessor(id VoterID) Members {
	others := slices.DeleteFunc(slices.Clone(m.Successors), func(other VoterID) bool { return other.Instance == id.Instance })
	m.Successors = withID(others, id)
	return m
}

// votingSuccessors returns the successors whose votes count in place of the marked voters of a list.
func (n *Node) votingSuccessors(members Members) []VoterID {
	if len(members.Successors) == 0 || len(members.Voters)%2 == 0 || !n.options.useLostStorages {
		return nil
	}
	var ids []VoterID
	for _, marked := range members.Lost {
		if id, ok := members.Successor(marked); ok && n.isOnlySuccessor(marked, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// isOnlySuccessor reports whether the latest committed list names a successor of a marked voter, and no list since then another one: a
// name in between may be committed without the knowledge of this node, so that other nodes count its vote.
func (n *Node) isOnlySuccessor(marked, id VoterID) bool {
	for _, change := range slices.Backward(n.members.changes) {
		if named, _ := change.members.Successor(marked); change.members.IsVoter(marked) && named != id {
			return false
		}
		if change.index <= n.committedMembersIndex() {
			return change.members.IsLost(marked)
		}
	}
	return false
}

// awaitsSeat reports whether this node is named as a successor by its log. Then it has never been a voter, and nothing that it has
// acknowledged has counted (advanceCommit), so that it grants its vote to shorter logs, too. They may have less than it was sent.
func (n *Node) awaitsSeat() bool { return slices.Contains(n.members.latest().Successors, n.self) }

// withElectedSuccessors returns the members with seats for the successors that have voted for this node, if it would not have been
// elected without them. It couldn't commit anything else. The votes show that they are there.
func (n *Node) withElectedSuccessors(members Members, granted []votingMember) Members {
	if (electorate{voters: members.Voters, marked: members.Lost}).elects(granted) {
		return members
	}
	for _, id := range n.votingSuccessors(members) {
		if slices.Contains(granted, id) {
			members = members.withSeat(id)
		}
	}
	return members
}

// withSeat returns the members with an instance made a voter, in place of the former member of the same instance.
func (m Members) withSeat(id VoterID) Members {
	m = m.without(func(other VoterID) bool { return other.Instance == id.Instance })
	m.Voters = withID(m.Voters, id)
	return m
}
