package anvilraft

import (
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// lostStorages has the voters whose storage is known to be lost, and from when on that counts.
//
// A lost storage reduces the quorum of a list with an even number of voters by one (quorumWithout). With six
// voters, a leader that knows of a lost storage is elected by three of the other five, and commits with three of them.
// Each of these intersects a majority of four, and, among the voters that still have their storage, any other three. The
// exception would be two elections by three voters each, of which each counts a vote of the storage that the other one
// takes for lost. Votes expire after voteLifetime for that reason, and a loss counts only when all votes that the storage
// may have given have expired.
type lostStorages map[VoterID]lostStorage

// lostStorage is what is known of a lost storage.
type lostStorage struct {
	from      anvilclock.Millis // when the loss begins to count
	successor VoterID           // the storage that its instance has now, or the zero value if that isn't known
}

// has reports whether the storage of a voter is known to be lost, whether that counts yet or not.
func (l lostStorages) has(id VoterID) bool {
	_, known := l[id]
	return known
}

// at returns the voters whose lost storage counts at a time.
func (l lostStorages) at(now anvilclock.Millis) []VoterID {
	var ids []VoterID
	for id, storage := range l {
		if now >= storage.from {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, VoterID.Compare)
	return ids
}

// voteLifetime is how long after its start a campaign counts votes. A sync of some seconds on the disk of a voter
// must not make its vote useless.
func (o options) voteLifetime() anvilclock.Millis { return 12 * o.minElectionTimeout }

// noteLostStorage handles a StorageLost event.
func (n *Node) noteLostStorage(event StorageLost) {
	id := event.Voter
	if id == n.self || !n.options.useLostStorages {
		return
	}
	if storage, known := n.lost[id]; known {
		n.lost[id] = lostStorage{storage.from, event.Successor}
		return
	}
	for other := range n.lost {
		if !n.members.contains(other) {
			delete(n.lost, other)
		}
	}
	// The candidate's clock may be slow, and this one fast.
	span := float64(n.options.voteLifetime()) * (1 + n.options.clockRateError) / (1 - n.options.clockRateError)
	n.lost[id] = lostStorage{n.now + anvilclock.Millis(span) + roundingMargin, event.Successor}
}

// quorumWithout returns how many of the voters whose storage isn't lost are a quorum. An even number of voters
// needs one voter less if a storage among them is lost: half of them still intersects every majority, and any
// half of the others, because a lost storage acknowledges nothing and votes for nobody any more.
func quorumWithout(voters, lost []VoterID) int {
	isLost := func(id VoterID) bool { return slices.Contains(lost, id) }
	if len(voters)%2 == 0 && slices.ContainsFunc(voters, isLost) {
		return len(voters) / 2
	}
	return Members{Voters: voters}.Quorum()
}

// electorate is a list of voters of which a decision needs a quorum.
type electorate struct {
	voters     []VoterID
	lost       []VoterID // voters that don't count, which reduces the quorum of an even number
	marked     []VoterID // voters that don't count, see Members.Lost
	successors []VoterID // their votes count in place of those of marked voters, see votingSuccessors
}

// counts reports whether votes and acknowledgements of a voter count.
func (e electorate) counts(id VoterID) bool {
	return !slices.Contains(e.lost, id) && !slices.Contains(e.marked, id)
}

// electorates returns the lists of voters of which an election or a commit needs a quorum each. Lost storages reduce the
// quorum only of a list that is known to be committed.
func (n *Node) electorates(lost []VoterID) (latest, before electorate) {
	members := n.members.latest()
	latest = electorate{members.Voters, lost, members.Lost, n.votingSuccessors(members)}
	if !n.options.useLostStorages {
		return latest, before
	}
	former, changing := n.members.uncommittedVoters(n.committedMembersIndex())
	if changing {
		latest.lost = nil
	}
	return latest, electorate{former.Voters, lost, former.Lost, n.votingSuccessors(former)}
}

// elects reports whether a quorum is among the voters that have granted a vote.
func (e electorate) elects(granted []VoterID) bool {
	votes := 0
	for _, voter := range e.voters {
		if slices.Contains(granted, voter) && e.counts(voter) {
			votes++
		}
	}
	for _, id := range e.successors {
		if slices.Contains(granted, id) {
			votes++
		}
	}
	return votes >= quorumWithout(e.voters, e.lost)
}

// withLost returns the members with voters marked as lost. The mark of a voter that is marked already may name another successor.
func (n *Node) withLost(old Members, event ChangeVoters) (Members, error) {
	members := old.withoutForced()
	for _, id := range event.Lost {
		if !n.options.useLostStorages || id == n.self || !old.IsVoter(id) {
			return Members{}, ErrInvalidChange
		}
		i := slices.IndexFunc(event.Successors, func(other VoterID) bool { return other.Instance == id.Instance })
		named, _ := members.Successor(id)
		switch isNew := i >= 0 && event.Successors[i] != named; {
		case members.IsLost(id) && !isNew, i >= 0 && event.Successors[i] == id:
			return Members{}, ErrInvalidChange
		case !members.IsLost(id):
			members.Lost = withID(members.Lost, id)
		}
		if i >= 0 {
			members = members.withSuccessor(event.Successors[i])
		}
	}
	return members, nil
}

// withKnownLosses returns the members with marks for the voters whose storages this node knows to be lost, at most as many as leave a
// quorum. In a group of an even number, marks don't help.
func (n *Node) withKnownLosses(members Members) Members {
	lost := slices.DeleteFunc(slices.Clone(members.Voters), func(id VoterID) bool { return !n.lost.has(id) || members.IsLost(id) })
	if len(members.Voters)%2 == 0 {
		return members
	}
	for _, id := range lost[:min(len(lost), members.SpareMarks())] {
		members.Lost = withID(members.Lost, id)
		if successor := n.lost[id].successor; !successor.IsZero() {
			members = members.withSuccessor(successor)
		}
	}
	return members
}

// membersAtElection returns the members that this node begins its term with. ok is false if they are the latest ones, or if another
// change is on its way.
func (n *Node) membersAtElection(granted []votingMember) (members Members, ok bool) {
	old := n.members.latest()
	members = n.withKnownLosses(n.withElectedSuccessors(old.withoutForced(), granted))
	isOld := slices.Equal(members.Voters, old.Voters) && slices.Equal(members.Lost, old.Lost)
	return members, !isOld && !n.mustWait(members)
}

// withFound returns the members with marks taken back. Each quorum of the others still meets each quorum of all voters, unless a
// successor may have voted in place of one.
func withFound(old Members, found []VoterID) (Members, error) {
	members := old.withoutForced()
	for _, id := range found {
		if _, named := members.Successor(id); named || !members.IsLost(id) {
			return Members{}, ErrInvalidChange
		}
		members.Lost = withoutID(members.Lost, id)
	}
	return members, nil
}

// forgetFound forgets the losses of storages whose marks are taken back by changes after the first one given: a leader that knows of
// them would mark the same voters again at each election.
func (n *Node) forgetFound(changes []memberChange) {
	for i, change := range changes[1:] {
		for _, id := range changes[i].members.Lost {
			if change.members.IsVoter(id) && !change.members.IsLost(id) {
				delete(n.lost, id)
			}
		}
	}
}

// committedMembersIndex returns the highest index up to which member lists are known to be committed.
func (n *Node) committedMembersIndex() anvilid.Index { return max(n.commit, n.hardState.MembersAt) }

// knownCommittedMembers returns the members by the last change that is known to be committed, also before a restart.
func (n *Node) knownCommittedMembers() Members { return n.members.at(n.committedMembersIndex()) }

// noteCommittedMembers notes which member list is committed. The next Save stores that; it isn't worth a sync of
// its own, which would keep the next change waiting: the leader appends an entry after each change. storeCommittedMembers is the
// exception.
func (n *Node) noteCommittedMembers() {
	change := n.members.changeAt(n.commit)
	if !n.options.useLostStorages || change.index <= n.hardState.MembersAt {
		return
	}
	n.hardState.MembersAt = change.index
	n.persisted.membersNoted, n.persisted.membersNotedAt = true, n.now
}

// storeCommittedMembers stores that the present list is committed if its marks name successors, as the group may need their votes
// after further losses. It waits for the time of one sync first: the entry with their seats stores that, too, and a write right before it
// would delay it by a sync.
func (n *Node) storeCommittedMembers() {
	p := &n.persisted
	if p.membersNoted && n.now-p.membersNotedAt >= min(p.latestSync, maxHold) && len(n.knownCommittedMembers().Successors) > 0 {
		p.hardStateChanged = true
	}
}
