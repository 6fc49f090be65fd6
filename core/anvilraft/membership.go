package anvilraft

import (
	"maps"
	"slices"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
)

// membership is the history of member lists since the last snapshot. A list is in effect as
// soon as its entry is in the log, whether committed or not. If the entry is removed from the
// log, the list before is in effect again.
type membership struct {
	changes []memberChange // in order of index; the first is the member list of the snapshot
}

type memberChange struct {
	index   anvilid.Index
	members Members
}

func newMembership(snapshot Snapshot, entries []Entry) membership {
	m := membership{changes: []memberChange{{snapshot.Index, snapshot.Members}}}
	m.addFromEntries(entries)
	return m
}

func (m *membership) latest() Members { return m.changes[len(m.changes)-1].members }

// lastChangeIndex returns the index of the latest change, which may be uncommitted.
func (m *membership) lastChangeIndex() anvilid.Index { return m.changes[len(m.changes)-1].index }

// uncommittedVoters returns the list that counts beside the latest one while the latest change of the voters isn't known to
// be committed: the one before it, if that has an even number of voters or differs by more than one voter. ok is false if
// there is no such change, so that only the latest list counts. A change that follows one which isn't
// committed needs no quorum of an earlier list (mayOverlap), so that the lists before these two don't count. A change of one voter leaves each majority of one list intersecting
// each majority of the other, but not the smaller quorum of an even list (quorumWithout).
func (m *membership) uncommittedVoters(committed anvilid.Index) (before Members, ok bool) {
	last := len(m.changes) - 1
	if last == 0 || m.changes[last].index <= committed {
		return Members{}, false
	}
	latest, former := m.changes[last].members, m.changes[last-1].members
	switch {
	case len(former.Voters) == 0, slices.Equal(latest.Voters, former.Voters): // the first list of the group, or a change of learners or marks
		return Members{}, false
	case latest.Forced, len(former.Voters)%2 == 1 && differsByOne(former.Voters, latest.Voters), replacesLost(former, latest):
		return Members{}, true
	}
	return former, true
}

// differsByOne reports whether one voter was added to a list or removed from it.
func differsByOne(before, after []VoterID) bool {
	both := 0
	for _, id := range before {
		if slices.Contains(after, id) {
			both++
		}
	}
	return len(before)+len(after)-2*both == 1
}

// replacesLost reports whether a change keeps an odd number of voters and removes only voters that are marked as lost in the list
// before it.
//
// The list after it counts alone. The marks were committed before the change was appended, so that each later leader has them, and
// no election or commit counts a marked voter any more. Of n voters, of which l are marked and k <= l are replaced, a majority
// of m = (n+1)/2 is thus among the n-l that are left, and a majority of the new list holds at least m-k of these. As 2m-k > n-l,
// the two intersect.
func replacesLost(former, latest Members) bool {
	return replacesMarked(former, latest, former.Lost) && seatsNamed(former, latest)
}

// replacesMarked reports whether a change keeps an odd number of voters and removes only those given.
func replacesMarked(former, latest Members, marked []VoterID) bool {
	if len(former.Voters)%2 == 0 || len(former.Voters) != len(latest.Voters) {
		return false
	}
	return !slices.ContainsFunc(former.Voters, func(id VoterID) bool { return !latest.IsVoter(id) && !slices.Contains(marked, id) })
}

// seatsNamed reports whether each marked voter that a change removes is replaced by its successor, if its mark names one.
func seatsNamed(former, latest Members) bool {
	return !slices.ContainsFunc(former.Lost, func(id VoterID) bool {
		successor, named := former.Successor(id)
		return named && !latest.IsVoter(id) && !latest.IsVoter(successor)
	})
}

// mayOverlap reports whether members may be appended although earlier changes are not committed. The latest committed list and
// all lists since may differ from them only in voters that the committed one marks as lost. A storage that took a seat since then
// must keep it, and one that was named since then is the only one that may take it: two successors of one storage could each be in a
// quorum that lacks the other.
func (n *Node) mayOverlap(members Members) bool {
	if !n.options.useLostStorages {
		return false
	}
	committed := n.knownCommittedMembers()
	for _, change := range slices.Backward(n.members.changes) {
		if !replacesMarked(change.members, members, committed.Lost) || !seatsNamed(change.members, members) || takesMarkBack(committed.Lost, change.members) {
			return false
		}
		if change.index <= n.committedMembersIndex() {
			break
		}
	}
	return !takesMarkBack(committed.Lost, members)
}

// takesMarkBack reports whether a voter of a list was marked and isn't any more.
func takesMarkBack(marked []VoterID, members Members) bool {
	return slices.ContainsFunc(marked, func(id VoterID) bool { return members.IsVoter(id) && !members.IsLost(id) })
}

// seatedAt returns the index of the change that made an instance a voter, or 0 if it was one in the first list.
func (m *membership) seatedAt(id VoterID) anvilid.Index {
	for i := len(m.changes) - 1; i > 0; i-- {
		if m.changes[i].members.IsVoter(id) && !m.changes[i-1].members.IsVoter(id) {
			return m.changes[i].index
		}
	}
	return 0
}

// contains reports whether a voter is in one of the lists.
func (m *membership) contains(id VoterID) bool {
	return slices.ContainsFunc(m.changes, func(change memberChange) bool { return change.members.Contains(id) })
}

// at returns the members in effect at a committed index.
func (m *membership) at(index anvilid.Index) Members { return m.changeAt(index).members }

// changeAt returns the change that the members in effect at a committed index come from.
func (m *membership) changeAt(index anvilid.Index) memberChange {
	for _, change := range slices.Backward(m.changes) {
		if change.index <= index {
			return change
		}
	}
	return m.changes[0]
}

// addFromEntries adds the changes among new entries. The entries were checked when they
// were received or restored, so they can be decoded.
func (m *membership) addFromEntries(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind != KindMembers {
			continue
		}
		if members, err := decodeMembers(entry.Data); err == nil {
			m.changes = append(m.changes, memberChange{entry.Index, members})
		}
	}
}

// removeFrom removes the changes whose entries, from index on, are removed from the log.
func (m *membership) removeFrom(index anvilid.Index) {
	for len(m.changes) > 1 && m.lastChangeIndex() >= index {
		m.changes = m.changes[:len(m.changes)-1]
	}
}

// discardBefore drops the changes that are no longer needed to know the members at index
// and later.
func (m *membership) discardBefore(index anvilid.Index) {
	for len(m.changes) > 1 && m.changes[1].index <= index {
		m.changes = m.changes[1:]
	}
}

// CommittedMembers returns the members by the last change that is known to be committed.
func (n *Node) CommittedMembers() Members { return n.members.at(n.commit) }

// changeVoters handles a ChangeVoters event: the leader appends the changed member list to its log.
// It refuses a change while an earlier one is not committed, unless none of them needs a quorum of the list before it (mayOverlap).
// Thus either any quorums of all lists that may be in effect at the same time intersect, or there are two lists, of which quorums of
// both are needed (membership.uncommittedVoters).
func (n *Node) changeVoters(event ChangeVoters) {
	if n.role != Leader {
		n.reject(event.Key, ErrNotLeader)
		return
	}
	members, err := n.membersAfter(event)
	// A mark only takes quorums away. So it doesn't matter that former leaders may have appended other changes, and it is committed
	// together with the first entry of the term.
	if n.mustWait(members) || len(event.Lost) == 0 && !n.hasCommittedInTerm() {
		err = ErrChangePending
	}
	if err != nil {
		n.reject(event.Key, err)
		return
	}
	n.appendChange(event, Entry{Kind: KindMembers, Data: encodeMembers(members)})
	n.updatePeers()
	for _, p := range n.leading.peers {
		n.replicate(p)
	}
	n.advanceCommit()
}

// appendChange appends a change of the members. Commands that were held for a seat follow it in the same write.
func (n *Node) appendChange(event ChangeVoters, entry Entry) {
	index := n.log.last() + 1
	n.accept(event.Key, index, index)
	if len(event.Seat) > 0 {
		n.appendWithHeld(entry)
	} else {
		n.appendAsLeader(0, entry)
	}
}

// mustWait reports whether an earlier change isn't committed and the change to the given members can't follow it at once.
func (n *Node) mustWait(members Members) bool {
	return n.members.lastChangeIndex() > n.commit && !n.mayOverlap(members)
}

// membersAfter returns the members after a change, or the reason to reject it. A change that leaves fewer voters without marks than
// a quorum could never be committed.
func (n *Node) membersAfter(event ChangeVoters) (Members, error) {
	members, err := n.changedMembers(event)
	if err == nil && len(members.Voters)-len(members.Lost) < members.Quorum() {
		return Members{}, ErrInvalidChange
	}
	return members, err
}

func (n *Node) changedMembers(event ChangeVoters) (Members, error) {
	old := n.members.latest()
	switch {
	case len(event.Seat) > 0:
		return n.withSeats(old, event)
	case len(event.Lost) > 0:
		return n.withLost(old, event)
	case len(event.Found) > 0:
		return withFound(old, event.Found)
	case event.AddVoter.IsZero() && event.Remove.IsZero():
		return withLearner(old, event.AddLearner)
	case event.AddLearner.IsZero() && event.Remove.IsZero():
		return n.withPromotedLearner(old, event.AddVoter)
	case event.AddLearner.IsZero() && event.AddVoter.IsZero():
		return withoutMember(old, event.Remove)
	}
	return Members{}, ErrInvalidChange
}

func withLearner(old Members, id VoterID) (Members, error) {
	if id.IsZero() || old.Contains(id) {
		return Members{}, ErrInvalidChange
	}
	members := old.withoutForced()
	members.Learners = withID(old.Learners, id)
	return members, nil
}

// withPromotedLearner returns the members with a learner turned into a voter. It refuses a
// second voter of the same instance, since the loss of that instance would cost two votes,
// and a learner that has acknowledged no entry yet, which may be gone.
func (n *Node) withPromotedLearner(old Members, id VoterID) (Members, error) {
	sameInstance := func(voter VoterID) bool { return voter.Instance == id.Instance }
	if !old.IsLearner(id) || slices.ContainsFunc(old.Voters, sameInstance) {
		return Members{}, ErrInvalidChange
	}
	if !n.HasCaughtUp(id) {
		return Members{}, ErrNotCaughtUp
	}
	members := old.withoutForced()
	members.Voters, members.Learners = withID(old.Voters, id), withoutID(old.Learners, id)
	return members, nil
}

func withoutMember(old Members, id VoterID) (Members, error) {
	if !old.Contains(id) || old.IsVoter(id) && len(old.Voters) == 1 {
		return Members{}, ErrInvalidChange
	}
	return old.without(func(other VoterID) bool { return other == id }), nil
}

// withoutForced returns the members that an ordinary change begins with.
func (m Members) withoutForced() Members {
	m.Forced = false
	return m
}

// without returns the members that are not to be removed.
func (m Members) without(removed func(VoterID) bool) Members {
	lost := slices.DeleteFunc(slices.Clone(m.Lost), removed)
	isUnmarked := func(successor VoterID) bool {
		return !slices.ContainsFunc(lost, func(id VoterID) bool { return id.Instance == successor.Instance })
	}
	return Members{
		Voters:     slices.DeleteFunc(slices.Clone(m.Voters), removed),
		Learners:   slices.DeleteFunc(slices.Clone(m.Learners), removed),
		Lost:       lost,
		Successors: slices.DeleteFunc(slices.Clone(m.Successors), isUnmarked),
	}
}

func withID(ids []VoterID, id VoterID) []VoterID {
	ids = append(slices.Clone(ids), id)
	slices.SortFunc(ids, VoterID.Compare)
	return ids
}

func withoutID(ids []VoterID, id VoterID) []VoterID {
	return slices.DeleteFunc(slices.Clone(ids), func(other VoterID) bool { return other == id })
}

// updatePeers adjusts the leader's peers to the members and the instances that join. A removed member stays a peer
// until its removal is committed, so that it receives the entry that removes it.
func (n *Node) updatePeers() {
	members := n.members.latest()
	maps.DeleteFunc(n.leading.joining, func(id VoterID, _ anvilclock.Millis) bool { return members.Contains(id) })
	joining := slices.SortedFunc(maps.Keys(n.leading.joining), VoterID.Compare)
	electors := n.Electors()
	isNeeded := func(p *peer) bool {
		return members.Contains(p.id) || slices.Contains(joining, p.id) || slices.Contains(electors, p.id) || n.members.lastChangeIndex() > n.commit
	}
	n.leading.peers = slices.DeleteFunc(slices.Clone(n.leading.peers), func(p *peer) bool { return !isNeeded(p) })
	for _, id := range slices.Concat(electors, members.Learners, joining) {
		if id != n.self && n.peer(id) == nil {
			n.leading.peers = append(n.leading.peers, n.newPeer(id))
		}
	}
}

// finishMembershipChange is called on the leader when a membership change is committed. It
// stops replication to removed members. If this node is no longer a voter, it steps down once a quorum knows that.
func (n *Node) finishMembershipChange() {
	members := n.members.latest()
	for _, p := range n.leading.peers {
		if !members.Contains(p.id) {
			n.sendAppend(p, nil) // tells it that the removal is committed
		}
	}
	n.updatePeers()
	if n.options.useLostStorages {
		n.leading.membersUnannounced = true
	}
	if !members.IsVoter(n.self) {
		n.leading.removedAt = n.now
		n.broadcastHeartbeat()
	}
}

// announceMembers appends an entry with which the others store that the members are committed, unless another one does. It
// comes with a heartbeat and not with the commit: a change that follows at once would otherwise wait on each slow disk for the
// sync of this entry. For the same reason it doesn't come while a seat is expected.
func (n *Node) announceMembers() {
	if !n.leading.membersUnannounced || n.holdsCommands() {
		return
	}
	n.leading.membersUnannounced = false
	if n.log.last() > n.members.lastChangeIndex() || n.members.lastChangeIndex() > n.commit {
		return
	}
	n.appendAsLeader(0, Entry{Kind: KindEmpty})
}

// stepDownIfRemoved ends the leadership of a node that was removed, once a quorum of the others has answered a message
// that told them that the removal is committed. Until they know, the list with this node counts for them as well.
func (n *Node) stepDownIfRemoved() {
	if n.role != Leader || n.leading.removedAt == 0 {
		return
	}
	answered := quorumValue(n, distantPast, distantPast, func(p *peer) anvilclock.Millis { return p.answeredSentAt })
	if answered >= n.leading.removedAt {
		n.becomeFollower(n.hardState.Term, VoterID{})
	}
}
