package anvilvoter

import (
	"slices"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
)

// compactionSchedule tells at which log indexes a voter compacts its log. A voter persists no entries while
// it stores a snapshot, so the offsets of the voters are spread evenly: a majority continues to commit.
type compactionSchedule struct {
	interval, offset anvilid.Index
	offsetBytes      anvilid.ByteCount
}

// compactionSchedule returns the schedule for the current members of the group.
func (v *Voter) compactionSchedule() compactionSchedule {
	v.mu.Lock()
	status := v.node.Status()
	v.mu.Unlock()
	return newCompactionSchedule(status.ID, status.Members.Voters, v.compactAfter, v.compactBytes)
}

// joiningIntervals is the interval of a member without a vote, in intervals of a voter. While it stores a snapshot it acknowledges nothing,
// and on a slow disk the several syncs of that would keep an instance that joins from its vote for seconds.
const joiningIntervals = 4

func newCompactionSchedule(id anvilraft.VoterID, voters []anvilraft.VoterID, after int, size anvilid.ByteCount) compactionSchedule {
	schedule := compactionSchedule{interval: anvilid.Index(after)}
	if !slices.Contains(voters, id) {
		schedule.interval *= joiningIntervals
		return schedule
	}
	rank := 0
	for _, other := range voters {
		if other.Instance < id.Instance {
			rank++
		}
	}
	schedule.offset = anvilid.Index(after * rank / len(voters))
	schedule.offsetBytes = size * anvilid.ByteCount(rank) / anvilid.ByteCount(len(voters))
	return schedule
}

// due reports whether a multiple of the interval, less the offset, lies above the index of the snapshot and
// not above the applied index. It depends on the log index only, so restarts don't shift the schedule.
func (s compactionSchedule) due(snapshotIndex, applied anvilid.Index) bool {
	return (applied+s.offset)/s.interval > (snapshotIndex+s.offset)/s.interval
}
