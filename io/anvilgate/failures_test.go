package anvilgate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvillogs"
)

// failureLine is a line about calls that fail or are answered again.
type failureLine struct {
	Event       int
	Voter, Call string
	Path, Error string
	Failed, For int
	Lasted      int
	Folded      int
	Paths       []string
}

// loggedFailures is a failureLog with a clock that the test advances.
type loggedFailures struct {
	*failureLog
	t     *testing.T
	clock anvilclock.Manual
	out   bytes.Buffer
}

func newLoggedFailures(t *testing.T) *loggedFailures {
	l := &loggedFailures{t: t}
	log, err := anvillogs.New(&l.out, "info")
	assert.NilError(t, err)
	l.failureLog = newFailureLog(l.clock.Clock(), log)
	return l
}

// lines returns the lines since the last call.
func (l *loggedFailures) lines() []failureLine {
	var lines []failureLine
	for decoder := json.NewDecoder(&l.out); decoder.More(); {
		var line failureLine
		assert.NilError(l.t, decoder.Decode(&line))
		lines = append(lines, line)
	}
	return lines
}

// TestVoterFailuresAreBounded guards against a line for each failed call to a voter: in the record of an incident, they
// had displaced all lines that said why there was no leader.
func TestVoterFailuresAreBounded(t *testing.T) {
	l := newLoggedFailures(t)
	refused := errors.New("refused")
	fail := func(calls int) {
		for range calls {
			l.voterFailed("a", false, refused)
			l.clock.Advance(100)
		}
	}
	fail(100)
	assert.DeepEqual(t, l.lines(), []failureLine{
		{Event: 702, Voter: "a", Error: "refused", Failed: 1},
		{Event: 702, Voter: "a", Error: "refused", Failed: 50, For: 5000},
	})
	l.voterAnswered("a")
	l.voterAnswered("b")
	assert.DeepEqual(t, l.lines(), []failureLine{{Event: 705, Voter: "a", Failed: 100, Lasted: 10_000}})
	for range 1000 {
		fail(1)
		l.voterAnswered("a")
	}
	written := len(l.lines())
	assert.Assert(t, written <= 2*(100/5+1), "%d lines in 100 s about a voter that answers every second call", written)
	for n := range 10 * maxFailing {
		l.voterFailed(anvilid.InstanceID(fmt.Sprint(n)), false, refused)
	}
	assert.Equal(t, len(l.voters), maxFailing)
	l.clock.Advance(forgetFailuresAfter)
	l.voterFailed("a", false, refused)
	assert.Equal(t, len(l.voters), 1, "voters that are no candidates any more")
}

// TestLocateFailuresAreBounded guards against a line for each search for the leader that fails, and against an end of
// them that isn't written.
func TestLocateFailuresAreBounded(t *testing.T) {
	l := newLoggedFailures(t)
	for range 4 {
		l.located(ErrNotSent)
		l.clock.Advance(2500)
	}
	l.located(nil)
	l.located(nil)
	assert.DeepEqual(t, l.lines(), []failureLine{
		{Event: 701, Call: "locate", Error: ErrNotSent.Error(), Failed: 1},
		{Event: 701, Call: "locate", Error: ErrNotSent.Error(), Failed: 2, For: 5000},
		{Event: 705, Call: "locate", Failed: 4, Lasted: 10_000},
	})
}

// TestFailedRequestsAreBounded guards against a line for each request that fails while there is no leader, and against
// requests that are counted nowhere or can't be found by their path.
func TestFailedRequestsAreBounded(t *testing.T) {
	l := newLoggedFailures(t)
	for n := range 300 {
		l.requestFailed("GET", fmt.Sprintf("/q/%d", n), ErrNotSent)
		l.clock.Advance(10)
	}
	l.requestFailed("PUT", "/q/other", ErrUnanswered)
	l.clock.Advance(requestInterval)
	l.flush()
	lines := l.lines()
	assert.Equal(t, len(lines), 5, "%v", lines)
	requests := 0
	for _, line := range lines {
		assert.Equal(t, line.Event, 701)
		assert.Assert(t, len(line.Paths) <= maxListedRequests)
		requests += line.Folded
		if line.Path != "" {
			requests++
		}
	}
	assert.Equal(t, requests, 301)
	assert.Equal(t, lines[1].Path, "/q/100", "the first one of the second second")
	assert.Equal(t, lines[3].Error, ErrUnanswered.Error())
	l.flush()
	l.clock.Advance(requestInterval)
	l.flush()
	assert.Equal(t, len(l.requests), 0, "errors that no request gets any more")
}

// TestFailingVoterIsLogged guards against a forwarder that doesn't log which voter fails, or that it answers again.
func TestFailingVoterIsLogged(t *testing.T) {
	l := newLoggedFailures(t)
	voters := map[anvilid.InstanceID]*voter{"a": {locate: refuses}}
	f := newForwarder(voters)
	f.failures = l.failureLog
	assert.ErrorIs(t, f.locateOnce(2*roundPause), ErrNotSent)
	voters["a"].locate = leads
	assert.NilError(t, f.locateOnce(attemptTimeout))
	lines := l.lines()
	assert.Equal(t, len(lines), 2, "%v", lines)
	assert.Equal(t, lines[0].Voter, "a")
	assert.Equal(t, lines[1].Event, 705)
}
