package anvilraft

import "slices"

// Bootstrap returns the Save that turns the empty data directories of the
// given voters into a new group. Every one of them must be given the same
// Save, each exactly once in the life of the group; a voter that lost its disk
// is added with ChangeVoters instead. The group id is random and not zero.
func Bootstrap(group GroupID, voters ...VoterID) Save {
	sorted := slices.Clone(voters)
	slices.SortFunc(sorted, VoterID.Compare)
	members := Entry{Index: 1, Term: 1, Kind: KindMembers, Data: encodeMembers(Members{Voters: sorted})}
	return Save{Hard: &HardState{Group: group, Term: 1}, From: 1, Entries: []Entry{members}}
}

// ForceSoleVoter returns the Save that makes one survivor the only voter of a
// new group, after a majority of the voters was lost for good. The survivor's
// process must be stopped; the Save is applied to its data directory before it
// starts again. Other voters are then added with empty disks by ChangeVoters.
// group is a new random id, so that former voters cannot take part any more.
//
// It may lose committed entries: those that were committed by the lost
// majority without the survivor. It may also commit entries that were never
// acknowledged: all of the survivor's log becomes committed. Choose the
// survivor with the highest last term and, among equals, the highest last
// index, to lose least.
//
// It is safe only if the former voters never form a quorum again: until their
// processes are stopped and their disks cleared, they may still elect a leader
// of the old group, and both groups would accept changes.
func ForceSoleVoter(self VoterID, restored PersistentState, group GroupID) Save {
	index, term := restored.last()
	hard := HardState{Group: group, Term: max(restored.Hard.Term, term) + 1}
	log := newEntryLog(restored)
	members := Entry{
		Index: index + 1, Term: hard.Term, At: log.lastAt(), Kind: KindMembers,
		Data: encodeMembers(Members{Voters: []VoterID{self}}),
	}
	return Save{Hard: &hard, From: index + 1, Entries: []Entry{members}}
}
