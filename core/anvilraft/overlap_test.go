package anvilraft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"anvilshunt/core/anvilid"
)

// overlap builds chains of member lists that a leader may append without a commit in between.
type overlap struct {
	random *rand.Rand
	node   *Node
	ids    int // number of storages so far
}

func (o *overlap) chance(percent int) bool { return o.random.IntN(100) < percent }

func (o *overlap) newID() VoterID {
	o.ids++
	return VoterID{anvilid.InstanceID(fmt.Sprintf("%02d", o.ids)), "1"}
}

// marked returns members with further voters marked as lost.
func (o *overlap) marked(old Members, percent int) Members {
	members := old.withoutForced()
	for _, i := range o.random.Perm(len(old.Voters)) {
		id := old.Voters[i]
		if !members.IsLost(id) && len(members.Lost)+members.Quorum() < len(members.Voters) && o.chance(percent) {
			members.Lost = withID(members.Lost, id)
			if o.chance(50) {
				members = members.withSuccessor(VoterID{id.Instance, id.Storage + "a"})
			}
		}
	}
	return members
}

// renamed returns members with a mark that names another storage, which may have been named before.
func (o *overlap) renamed(old Members) Members {
	members := old.withoutForced()
	if len(old.Lost) > 0 {
		id := old.Lost[o.random.IntN(len(old.Lost))]
		members = members.withSuccessor(VoterID{id.Instance, id.Storage + []StorageID{"a", "b"}[o.random.IntN(2)]})
	}
	return members
}

// seated returns members with voters replaced, mostly marked ones.
func (o *overlap) seated(old Members) Members {
	unmarked := 20 * o.random.IntN(2)
	members := old
	for _, id := range old.Voters {
		if old.IsLost(id) && o.chance(60) || !old.IsLost(id) && o.chance(unmarked) {
			successor, named := members.Successor(id)
			members = members.without(func(other VoterID) bool { return other == id })
			if !named || o.chance(20) {
				successor = o.newID()
			}
			members.Voters = withID(members.Voters, successor)
		}
	}
	return members
}

// next returns a change of the latest members.
func (o *overlap) next() Members {
	old := o.node.members.latest()
	switch r := o.random.IntN(100); {
	case r < 35:
		return o.marked(old, 50)
	case r < 45:
		return o.renamed(old)
	case r < 75:
		return o.seated(old)
	case r < 90:
		if len(old.Lost) > 0 {
			members, _ := withFound(old, old.Lost[:1])
			return members
		}
	case r < 95:
		members := old.withoutForced()
		members.Voters = withID(old.Voters, o.newID())
		return members
	}
	gone := old.Voters[o.random.IntN(len(old.Voters))]
	return old.without(func(other VoterID) bool { return other == gone })
}

// electorsAt returns the lists of which an election needs quorums by a log that ends with the given change, on a node that knows the
// changes up to another one to be committed.
func (o *overlap) electorsAt(change, known int) []electorate {
	changes := o.node.members.changes[:change+1]
	node := &Node{options: o.node.options, commit: changes[known].index, members: membership{changes}}
	latest, before := node.electorates(nil)
	if len(before.voters) == 0 {
		return []electorate{latest}
	}
	return []electorate{latest, before}
}

// TestOverlappingQuorumsIntersect guards against two quorums without a voter in common, by lists that are in effect at the same time
// because changes were appended before the ones before them were committed. It needs chains that TestUntimedReplacements
// hardly reaches, such as a mark taken back, a seat and another mark: an election then looks at the last two lists only.
func TestOverlappingQuorumsIntersect(t *testing.T) {
	t.Parallel()
	lengths := map[int]int{}
	for seed := range uint64(20_000) {
		o := &overlap{random: rand.New(rand.NewPCG(seed, 1)), node: &Node{options: options{useLostStorages: true}, commit: 1}}
		var first Members
		for range []int{3, 5, 5, 4, 6}[seed%5] {
			first.Voters = withID(first.Voters, o.newID())
		}
		o.node.members.changes = []memberChange{{1, o.marked(first, 60)}}
		for range 12 {
			members := o.next()
			if len(members.Voters) < 2 || o.ids > 11 || len(o.node.members.changes) > 1 && !o.node.mayOverlap(members) {
				continue
			}
			o.node.members.changes = append(o.node.members.changes, memberChange{o.node.members.lastChangeIndex() + 1, members})
		}
		lengths[len(o.node.members.changes)]++
		o.checkQuorums(t, seed)
		if t.Failed() {
			return
		}
	}
	t.Logf("chains by length: %v", lengths)
}

// checkQuorums tries all ways to divide the voters into two groups, with different knowledge of what is committed.
func (o *overlap) checkQuorums(t *testing.T, seed uint64) {
	var ids []VoterID
	for _, change := range o.node.members.changes {
		ids = append(append(ids, change.members.Voters...), change.members.Successors...)
	}
	slices.SortFunc(ids, VoterID.Compare)
	ids = slices.Compact(ids)
	type election struct {
		change, known int    // the log ends with change, and the node knows that known is committed
		wins          []bool // by group
	}
	var elections []election
	for change := range o.node.members.changes {
		for _, known := range []int{0, o.random.IntN(change + 1)} {
			lists := o.electorsAt(change, known)
			e := election{change: change, known: known}
			for group := range 1 << len(ids) {
				var granted []VoterID
				for i, id := range ids {
					if group&(1<<i) != 0 {
						granted = append(granted, id)
					}
				}
				e.wins = append(e.wins, !slices.ContainsFunc(lists, func(e electorate) bool { return !e.elects(granted) }))
			}
			elections = append(elections, e)
		}
	}
	for i, first := range elections {
		for _, second := range elections[:i] {
			// A change that one of them knows to be committed is in the logs of all that can be elected.
			if first.known > second.change || second.known > first.change {
				continue
			}
			for group, ok := range first.wins {
				if ok && second.wins[len(second.wins)-1-group] {
					t.Errorf("seed %d: changes %d and %d, of which %d and %d are known to be committed, of %+v",
						seed, second.change, first.change, second.known, first.known, o.node.members.changes)
					return
				}
			}
		}
	}
}

// TestNewLeaderReachesFormerVoters guards against a leader that is elected while a change isn't known to be committed and sends
// nothing to the voters that only the list before has: it can't commit then if the quorum of that list needs one of them.
func TestNewLeaderReachesFormerVoters(t *testing.T) {
	t.Parallel()
	node, _ := newCandidate([][]string{{"a", "b", "c"}, {"a", "d", "e"}}, false, 0, "")
	node.becomeLeader()
	for _, id := range node.Electors() {
		if id != node.self && node.peer(id) == nil {
			t.Errorf("the leader sends nothing to %s", id)
		}
	}
}

// TestRemovalLeavesQuorum guards against a removal after which the voters that aren't marked are no quorum: it can never be
// committed, and the marks can't be taken back before it is.
func TestRemovalLeavesQuorum(t *testing.T) {
	t.Parallel()
	o := &overlap{}
	var members Members
	for range 5 {
		members.Voters = withID(members.Voters, o.newID())
	}
	members.Lost = slices.Clone(members.Voters[3:])
	node := &Node{options: options{useLostStorages: true}, commit: 1, members: membership{[]memberChange{{1, members}}}}
	after, err := node.membersAfter(ChangeVoters{Remove: members.Voters[0]})
	if err == nil && len(after.Voters)-len(after.Lost) < after.Quorum() {
		t.Errorf("%d of %d voters are marked", len(after.Lost), len(after.Voters))
	}
}
