package anvilgroup

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/core/anvilraft"
	"anvilshunt/io/anvildisk"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilvoter"
)

// loggedTally is a list of voters in the line of anvillogs.LeaderMissing.
type loggedTally struct {
	Need, Have                            int
	Lost, Marked, Silent, Reached, Answer string
}

// loggedQuorum is that line.
type loggedQuorum struct {
	Event          int
	Lacks          string
	For            int64
	Latest, Before loggedTally
}

func testID(name string) anvilraft.VoterID {
	return anvilraft.VoterID{Instance: anvilid.InstanceID("10.0.0." + name), Storage: anvilraft.StorageID(name + "abcdef")}
}

// startAlone starts a voter with member lists in its log, of which none is known to be committed. It hears nobody.
func startAlone(t *testing.T, name string, lists ...[]string) *anvilvoter.Voter {
	storage, restored, err := anvildisk.Open(t.TempDir(), anvildisk.WithNewID(testID(name).Storage))
	assert.NilError(t, err)
	for i, list := range lists {
		var ids []anvilraft.VoterID
		for _, voter := range list {
			ids = append(ids, testID(voter))
		}
		save := anvilraft.Bootstrap(7, ids...)
		save.From = anvilid.Index(i + 1)
		save.Entries[0].Index = save.From
		assert.NilError(t, storage.Save(save))
		restored.Apply(save)
	}
	voter := anvilvoter.New(testID(name).Instance, anvilvoter.WithStorage(storage, restored), anvilvoter.WithNode(anvilraft.WithLostStorages()))
	ended := make(chan struct{})
	go func() {
		assert.Check(t, voter.Run(t.Context()))
		close(ended)
	}()
	t.Cleanup(func() { <-ended })
	<-voter.Ready()
	return voter
}

// TestLogQuorum guards against a group that has no leader for good while the log doesn't tell that the list before the latest
// one is what lacks a quorum, and against one that waits for slow disks and is taken for such a group.
func TestLogQuorum(t *testing.T) {
	var out bytes.Buffer
	log, err := anvillogs.New(&out, "info")
	assert.NilError(t, err)
	clock := anvilclock.Manual{}
	clock.Advance(anvilclock.Minute)
	g := &Group{
		clock: clock.Clock(), log: log, id: testID("1"), Voter: startAlone(t, "1", []string{"1", "2", "3", "4", "5"}, []string{"1", "2", "3", "6", "7"}),
		lastHeard: map[anvilid.InstanceID]anvilclock.Millis{}, lastReached: map[anvilid.InstanceID]anvilclock.Millis{},
	}
	quorum, since := quorumLog{group: g}, clock.Now()
	// after updates the log for a span in which one voter sends messages and others take them, and returns the lines.
	after := func(span anvilclock.Millis, reached ...string) (lines []loggedQuorum) {
		for end := clock.Now() + span; clock.Now() < end; clock.Advance(100) {
			g.lastHeard[testID("6").Instance] = clock.Now()
			for _, name := range reached {
				g.lastReached[testID(name).Instance] = clock.Now()
			}
			quorum.update(g.Voter.Status(), since)
		}
		for decoder := json.NewDecoder(&out); decoder.More(); {
			var line loggedQuorum
			assert.NilError(t, decoder.Decode(&line))
			lines = append(lines, line)
		}
		return lines
	}
	assert.Equal(t, len(after(2900, "2", "3", "7")), 0, "an election takes that long")
	for _, name := range []string{"4", "5"} {
		g.Voter.ReportLost(testID(name))
	}
	eventually(t, "the losses are known", 5*time.Second, func() bool { return len(g.Voter.ElectionState().Before.Lost) == 2 })
	lines := after(5*anvilclock.Second, "2", "7")
	assert.Equal(t, len(lines), 2, "one after 3 s, and one when the answer changes: %v", lines)
	assert.DeepEqual(t, lines[1], loggedQuorum{
		Event: 221, Lacks: "before", For: 5800, // 3 s after the last sign of the third voter
		Latest: loggedTally{Need: 3, Have: 4, Silent: "10.0.0.3/3ab", Reached: "10.0.0.2/2ab 7/7ab", Answer: "10.0.0.1/1ab 6/6ab"},
		Before: loggedTally{Need: 3, Have: 2, Lost: "10.0.0.4/4ab 5/5ab", Silent: "10.0.0.3/3ab", Reached: "10.0.0.2/2ab", Answer: "10.0.0.1/1ab"},
	})
	lines = after(4*anvilclock.Second, "2", "3", "7")
	assert.Equal(t, lines[0].Lacks, "none", "the quorum of both lists waits for disks")
	quorum.update(anvilvoter.Status{}, since)
	assert.Equal(t, out.Len(), 0, "a line of a voter without a vote")
}
