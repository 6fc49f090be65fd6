package anvilgroup

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/io/anvildisk"
	"anvilshunt/io/anvillogs"
	"anvilshunt/io/anvilrpc"
	"anvilshunt/io/anvilvoter"
)

// loggedJoin is the line of anvillogs.EnrollFailed.
type loggedJoin struct {
	Event                           int
	Failed                          map[string]string
	Refused, Leaderless, Redirected []string
	Reason                          string
	Rounds, For, Ago                int
	Log                             string
}

// TestLogJoin guards against a voter that asks for membership for seconds and logs nothing because the instances that it
// asks answer that they know no leader, as in an incident, against a line without the reason of a leader that refuses, and against a line for each round of requests.
func TestLogJoin(t *testing.T) {
	var out bytes.Buffer
	log, err := anvillogs.New(&out, "info")
	assert.NilError(t, err)
	clock := anvilclock.Manual{}
	clock.Advance(anvilclock.Minute)
	g := &Group{clock: clock.Clock(), log: log, Voter: anvilvoter.New("v0")}
	refused := errors.New("connection refused")
	none := &anvilrpc.Redirection{}
	names := &anvilrpc.Redirection{Leader: "v3"}
	// rounds carries out a number of rounds in which v1 doesn't answer after a delay, and v2 gives an answer.
	rounds := func(count int, delay anvilclock.Millis, answer *anvilrpc.Redirection) {
		for range count {
			round := &joinRound{}
			g.joinLog.begin(clock.Now())
			clock.Advance(delay)
			round.add("v1", nil, refused)
			round.add("v2", answer, nil)
			g.logJoin(round)
			clock.Advance(300)
		}
	}
	lines := func() (lines []loggedJoin) {
		for decoder := json.NewDecoder(&out); decoder.More(); {
			var line loggedJoin
			assert.NilError(t, decoder.Decode(&line))
			lines = append(lines, line)
		}
		return lines
	}
	failed := map[string]string{"v1": "connection refused"}
	rounds(30, 0, none)
	assert.DeepEqual(t, lines(), []loggedJoin{
		{Event: 213, Log: "0..0", Failed: failed, Leaderless: []string{"v2"}, Rounds: 1},
		{Event: 213, Log: "0..0", Failed: failed, Leaderless: []string{"v2"}, Rounds: 11, For: 3000},
		{Event: 213, Log: "0..0", Failed: failed, Leaderless: []string{"v2"}, Rounds: 21, For: 6000},
	})
	for range 30 {
		rounds(1, 0, names)
		rounds(1, 0, nil)
	}
	changes := lines()
	assert.Assert(t, len(changes) >= 6 && len(changes) <= 18, "%d lines in 18 s in which the answers change all the time", len(changes))
	g.joinLog.succeeded()
	clock.Advance(anvilclock.Second)
	rounds(1, 0, none)
	assert.Equal(t, len(lines()), 1, "a line at the first round after a success")
	clock.Advance(joinLogInterval)
	round := &joinRound{}
	round.add("v1", nil, RefuseJoin(errors.New("waits for mark for 7 ms")))
	g.log = log.With(zap.String("instance", "10.2.0.119"))
	g.joinLog.rounds, g.joinLog.since = 22, clock.Now()-10_720
	g.logJoin(round)
	last := lines()[0]
	assert.DeepEqual(t, last.Refused, []string{"v1"})
	assert.Equal(t, last.Reason, "waits for mark for 7 ms")

	clock.Advance(69_100)
	round = &joinRound{}
	round.add("v2", none, nil)
	g.logJoin(round)
	const cut = `"event":213,"vote":false,"for":79820,"log":"0..0","ago":69100,"reason":"waits for mark for 7 ms`
	assert.Assert(t, strings.Contains(out.String()[:200], cut), "a record that cuts lines lacks what a leader that is gone waited for: %s", out.String())

	copied := anvilvoter.LogCopy{From: testIDs("2")[0], First: clock.Now() - 4100, Latest: clock.Now() - 20}
	for _, test := range []struct {
		reason, want string
		status       anvilvoter.Status
	}{
		{"", `"copy":"4100..20 2/2ab 650","age":0,`, anvilvoter.Status{Copied: copied, LongestSync: 650}},
		{"waits for log", `"ago":69100,"reason":"waits for log","copy":`, anvilvoter.Status{Copied: copied}},
		{"", `"tail":5200,"age":4100,"idle":1700,"rounds":`, anvilvoter.Status{Age: anvildisk.Age{Created: 4100, Written: 1700}, Tail: 5200}},
	} {
		out.Reset()
		log, err := anvillogs.New(&out, "info") // another one, as lines are sampled
		assert.NilError(t, err)
		g.joinLog.refusal, test.status.Base, test.status.Last = test.reason, 654, 1049
		fields := append(g.joinLog.fields(clock.Now(), test.status, false), round.fields()...)
		log.With(zap.String("instance", "10.2.0.111")).Write(anvillogs.EnrollFailed, fields...)
		assert.Assert(t, strings.Contains(out.String()[:200], `"for":79820,"log":"654..1049",`+test.want), out.String())
	}
	g.joinLog.succeeded()
	assert.Equal(t, len(g.joinLog.refusalFields(clock.Now())), 0)
}
