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
