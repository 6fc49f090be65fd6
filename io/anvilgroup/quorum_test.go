package anvilgroup

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilvoter"
)

// testIDs returns voters by the last octets of their addresses.
func testIDs(names string) (ids []anvilraft.VoterID) {
	for _, name := range strings.Fields(names) {
		ids = append(ids, anvilraft.VoterID{Instance: anvilid.InstanceID("10.0.0." + name), Storage: anvilraft.StorageID(name + "abcdef")})
	}
	return ids
}

// TestLogQuorum guards against a group that has no leader for good while the log doesn't tell that the list before the latest
// one is what lacks a quorum, and against one that waits for slow disks and is taken for such a group.
func TestLogQuorum(t *testing.T) {
	var out bytes.Buffer
	log, err := anvillogs.New(&out, "info")
	assert.NilError(t, err)
	clock, voters := anvilclock.Manual{}, testIDs("1 2 3 6 7")
	clock.Advance(anvilclock.Minute)
	g := &Group{clock: clock.Clock(), log: log, id: voters[0], lastHeard: map[anvilid.InstanceID]anvilclock.Millis{}, lastReached: map[anvilid.InstanceID]anvilclock.Millis{}}
	quorum, since := quorumLog{group: g, state: func() anvilraft.ElectionState {
		before := anvilraft.Electorate{Voters: testIDs("1 2 3 4 5"), Needed: 3, Marked: testIDs("4"), Lost: testIDs("5")}
		return anvilraft.ElectionState{Latest: anvilraft.Electorate{Voters: voters, Needed: 3}, Before: before}
	}, markAge: func(ids ...anvilraft.VoterID) string {
		return map[string]string{"10.0.0.4": "-38,4210ms"}[string(ids[0].Instance)]
	}}, clock.Now()
	// after updates the log for a span in which one voter sends messages and others take them, and returns the lines.
	after := func(span anvilclock.Millis, reached string) []string {
		out.Reset()
		for end := clock.Now() + span; clock.Now() < end; clock.Advance(100) {
			g.lastHeard[voters[3].Instance] = clock.Now()
			for _, id := range testIDs(reached) {
				g.lastReached[id.Instance] = clock.Now()
			}
			quorum.update(anvilvoter.Status{Members: anvilraft.Members{Voters: voters}}, since)
		}
		return slices.Collect(strings.Lines(out.String()))
	}
	assert.Equal(t, len(after(2900, "2 3 7")), 0, "an election takes that long")
	lines := after(5*anvilclock.Second, "2 7")
	assert.Equal(t, len(lines), 2, "one after 3 s, and one 3 s after the last sign of the third voter: %v", lines)
	const before = `"before":{"need":3,"have":2,"lost":"10.0.0.5/5ab","marked":"10.0.0.4/4ab -38,4210ms","silent":"10.0.0.3/3ab","reached":"10.0.0.2/2ab","answer":"10.0.0.1/1ab"}`
	const latest = `"latest":{"need":3,"have":4,"silent":"10.0.0.3/3ab","reached":"2/2ab 7/7ab","answer":"1/1ab 6/6ab"}`
	assert.Assert(t, strings.Contains(lines[1], `"event":221,"lacks":"before","for":5800,`+before+","+latest), lines[1])
	same := []anvilraft.VoterID{{Instance: "10.1.0.5", Storage: "a"}, {Instance: "10.2.0.5", Storage: "b"}, {Instance: "10.2.0.15", Storage: "c"}}
	assert.Equal(t, shortIDs(same), "1.0.5/a 2.0.5/b 15/c")
	assert.Assert(t, strings.Contains(after(4*anvilclock.Second, "2 3 7")[0], `"lacks":"none"`), "both lists wait for disks")
}
