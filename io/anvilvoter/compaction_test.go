package anvilvoter

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
)

// TestVotersCompactApart guards against a group in which a majority compacts at the same log index and so
// commits nothing until the snapshots are stored, and against a log longer than the interval.
func TestVotersCompactApart(t *testing.T) {
	const interval, bytes = 4000, 16 << 20
	for size := 1; size <= 7; size++ {
		var voters []anvilraft.VoterID
		for n := range size {
			voters = append(voters, anvilraft.VoterID{Instance: anvilid.InstanceID(fmt.Sprint("v", n)), Storage: "s"})
		}
		var latest, latestBytes int
		var compacted int
		snapshots := make([]anvilid.Index, size)
		for index := anvilid.Index(1); index <= 5*interval; index++ {
			for n, id := range voters {
				schedule := newCompactionSchedule(id, voters, interval, bytes)
				if !schedule.due(snapshots[n], index) {
					continue
				}
				assert.Assert(t, index-snapshots[n] <= interval, "%d voters, index %d", size, index)
				assert.Assert(t, compacted == 0 || int(index)-latest >= interval/size, "%d voters, index %d after %d", size, index, latest)
				latest, compacted, snapshots[n] = int(index), compacted+1, index
			}
		}
		assert.Equal(t, compacted, 5*size)
		for n, id := range voters {
			offset := int(newCompactionSchedule(id, voters, interval, bytes).offsetBytes)
			assert.Assert(t, n == 0 || offset-latestBytes >= bytes/size)
			assert.Assert(t, offset < bytes)
			latestBytes = offset
		}
	}
}

// TestJoiningCompactsLater guards against an instance that joins and stores a snapshot of its own, of a log that it has just got, before it
// acknowledges that log: with slow syncs that took 5 s, in which it got no vote.
func TestJoiningCompactsLater(t *testing.T) {
	voters := []anvilraft.VoterID{{Instance: "v0", Storage: "s"}}
	joining := newCompactionSchedule(anvilraft.VoterID{Instance: "v0", Storage: "t"}, voters, 4000, 16<<20)
	assert.Assert(t, !joining.due(3200, 6000))
	assert.Assert(t, joining.due(3200, 16000), "the log must not grow for good")
}

// TestCompactionWaitsForVoters guards against a voter that persists no entries for several syncs because it stores a snapshot, while the marks
// and seats of voters that have lost their disks need it; and against a log that grows for good while they stay away.
func TestCompactionWaitsForVoters(t *testing.T) {
	voters := []anvilraft.VoterID{{Instance: "v0", Storage: "s"}, {Instance: "v1", Storage: "s"}}
	schedule := newCompactionSchedule(voters[1], voters, 4000, 16<<20)
	for _, test := range []struct {
		name        string
		until       anvilid.Index // voters are awaited up to this index
		seated      anvilid.Index // the voter got its vote with this entry, or 0
		bytes       anvilid.ByteCount
		first, next anvilid.Index
	}{
		{name: "none awaited", first: 2000, next: 6000},
		{name: "awaited for a moment", until: 2500, first: 6000, next: 10000},
		{name: "awaited for long", until: 100_000, first: 16_000, next: 32_000},
		{name: "just seated", seated: 5000, first: 6000, next: 10000},
		{name: "large commands", until: 100_000, bytes: 16 << 10, first: 512, next: 1536},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := compactions{limit: 16_000, maxBytes: 16 << 20}
			joining := newCompactionSchedule(anvilraft.VoterID{Instance: "v1", Storage: "t"}, voters, 4000, 16<<20)
			if test.seated == 0 {
				joining = schedule
			}
			c.begin(0, joining)
			var at []anvilid.Index
			for index := anvilid.Index(1); len(at) < 2; index++ {
				c.bytes += test.bytes
				if index == test.seated {
					c.follow(schedule, index)
				}
				if c.due(index, func() bool { return index < test.until }) {
					at = append(at, index)
					c.done(index)
				}
			}
			assert.DeepEqual(t, at, []anvilid.Index{test.first, test.next})
		})
	}
}
