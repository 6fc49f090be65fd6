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

// awaitsVoters reports whether voters of the group are known to be lost or to join.
func (v *Voter) awaitsVoters() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.node.AwaitsVoters()
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

// compactions decides when a voter compacts its log.
type compactions struct {
	schedule compactionSchedule
	// limit is the number of entries, and maxBytes the size of their commands, after which a snapshot is due in any case.
	limit    anvilid.Index
	maxBytes anvilid.ByteCount

	snapshot anvilid.Index     // of the latest snapshot
	checked  anvilid.Index     // up to which the schedule has been followed
	bytes    anvilid.ByteCount // of the commands applied since the latest snapshot
}

// begin sets the snapshot from which a voter continues.
func (c *compactions) begin(snapshot anvilid.Index, schedule compactionSchedule) {
	c.snapshot, c.checked, c.schedule = snapshot, snapshot, schedule
	c.bytes = schedule.offsetBytes // the offset applies to the first snapshot
}

// follow sets the schedule for a change of the members. What a new one would have asked for by now isn't made up for: an instance that
// has just got its vote would persist nothing for several syncs.
func (c *compactions) follow(schedule compactionSchedule, applied anvilid.Index) {
	if schedule != c.schedule {
		c.schedule, c.checked = schedule, applied
	}
}

// due reports whether a snapshot is due. While the group awaits voters, the one of the schedule is left out, because a voter persists no
// entries for several syncs while it stores a snapshot, and the marks and seats of the voters that join may need this one.
// It isn't made up for, as voters that do so at the same time would be a majority that persists nothing.
func (c *compactions) due(applied anvilid.Index, awaitsVoters func() bool) bool {
	if applied-c.snapshot >= c.limit || c.bytes >= c.maxBytes {
		return true
	}
	if !c.schedule.due(c.checked, applied) {
		return false
	}
	if !awaitsVoters() {
		return true
	}
	c.checked = applied
	return false
}

// done records a snapshot.
func (c *compactions) done(index anvilid.Index) { c.snapshot, c.checked, c.bytes = index, index, 0 }

// due reports whether a multiple of the interval, less the offset, lies above the index of the snapshot and
// not above the applied index. It depends on the log index only, so restarts don't shift the schedule.
func (s compactionSchedule) due(snapshotIndex, applied anvilid.Index) bool {
	return (applied+s.offset)/s.interval > (snapshotIndex+s.offset)/s.interval
}
