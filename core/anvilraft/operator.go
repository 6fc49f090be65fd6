package anvilraft

import "slices"

// Bootstrap returns the Save that turns the empty data directories of the given voters into
// a new group. The same Save must be applied to each of them, exactly once in the life of
// the group; a voter that has lost its disk is added with ChangeVoters instead. group must
// be random and not zero.
func Bootstrap(group GroupID, voters ...VoterID) Save {
	sorted := slices.Clone(voters)
	slices.SortFunc(sorted, VoterID.Compare)
	members := Entry{Index: 1, Term: 1, Kind: KindMembers, Data: encodeMembers(Members{Voters: sorted})}
	return Save{Hard: &HardState{Group: group, Term: 1}, From: 1, Entries: []Entry{members}}
}

// ForceSoleVoter returns the Save that makes one surviving voter the only voter of a new
// group, after a majority of the voters was permanently lost. Stop the survivor's process,
// apply the Save to its data directory, and start it again. Then add other voters with
// empty disks by ChangeVoters. group must be a new random id, so that the former voters can
// no longer take part.
//
// It may lose committed entries: those that the lost majority committed without the
// survivor. It may also commit entries that were never acknowledged: all of the survivor's
// log becomes committed. To lose the least, choose the survivor with the highest last term
// and, among equals, the highest last index.
//
// It is safe only if the former voters never form a quorum again. Until their processes are
// stopped and their disks cleared, they may still elect a leader of the old group, and both
// groups would accept changes.
func ForceSoleVoter(self VoterID, restored PersistentState, group GroupID) Save {
	index, term := restored.last()
	hard := HardState{Group: group, Term: max(restored.Hard.Term, term) + 1}
	log := newEntryLog(restored)
	members := Entry{
		Index: index + 1, Term: hard.Term, At: log.lastTimestamp(), Kind: KindMembers,
		Data: encodeMembers(Members{Voters: []VoterID{self}, Forced: true}),
	}
	return Save{Hard: &hard, From: index + 1, Entries: []Entry{members}}
}
