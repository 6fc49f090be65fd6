package anvilgate

import (
	"maps"
	"slices"
	"sync"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
	"anvilshunt/core/anvilid"
	"anvilshunt/io/anvillogs"
)

const (
	// failureInterval is the shortest time between two lines about calls to one voter that fail, or about
	// searches for the leader that fail. Each retry fails while a voter is down, and a line for each would
	// displace the lines that say why.
	failureInterval = 5 * anvilclock.Second
	// requestInterval is the shortest time between two lines about requests that fail with the same error.
	requestInterval = anvilclock.Second
	// maxListedRequests is the maximum number of folded requests whose paths one line lists.
	maxListedRequests = 20
	// forgetFailuresAfter is the time after the latest failed call after which a voter is forgotten. A voter
	// that is still a candidate is called more often than that.
	forgetFailuresAfter = 30 * anvilclock.Second
	// maxFailing is the maximum number of voters, and of errors of requests, that are told apart.
	maxFailing = 64
)

// locateCall is what takes the place of a voter in lines about searches for the leader.
const locateCall = "locate"

// failureLog writes bounded lines about calls that fail.
type failureLog struct {
	clock anvilclock.Clock
	log   *anvillogs.Logger

	mu       sync.Mutex
	voters   map[anvilid.InstanceID]*failures
	locate   failures
	requests map[string]*foldedRequests
}

// failures are consecutive failed calls to one voter, or consecutive searches for the leader that failed.
type failures struct {
	since, latest anvilclock.Millis
	// failed counts all of them, and unlogged those since the latest line, also of earlier failures of the same voter.
	failed, unlogged int
	// logged means that a line was written about them, and everLogged that one was written about these or earlier ones,
	// the latest one at loggedAt.
	logged, everLogged bool
	loggedAt           anvilclock.Millis
}

// foldedRequests are failed requests about which no line was written.
type foldedRequests struct {
	err      error
	loggedAt anvilclock.Millis
	count    int
	paths    []string // of the first maxListedRequests
}

func newFailureLog(clock anvilclock.Clock, log *anvillogs.Logger) *failureLog {
	return &failureLog{clock: clock, log: log, voters: map[anvilid.InstanceID]*failures{}, requests: map[string]*foldedRequests{}}
}

// add counts a failed call, and reports whether a line is due.
func (f *failures) add(now anvilclock.Millis) bool {
	if f.failed == 0 {
		f.since = now
	}
	f.failed++
	f.unlogged++
	f.latest = now
	return !f.everLogged || now-f.loggedAt >= failureInterval
}

// fields returns the fields of a line about the failures, which is written now.
func (f *failures) fields(now anvilclock.Millis) []zap.Field {
	fields := []zap.Field{zap.Int("failed", f.unlogged), zap.Int64("for", int64(f.latest-f.since))}
	f.unlogged, f.logged, f.everLogged, f.loggedAt = 0, true, true, now
	return fields
}

// end ends the failures, and reports whether a line about them was written.
func (f *failures) end() bool {
	logged := f.logged
	f.failed, f.logged = 0, false
	return logged
}

// voterFailed records that a call to a voter failed.
func (l *failureLog) voterFailed(voter anvilid.InstanceID, sent bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.forgetVoters(now)
	failing := l.voters[voter]
	if failing == nil {
		failing = &failures{}
		l.voters[voter] = failing
	}
	if failing.add(now) {
		l.log.Write(anvillogs.VoterCallFailed, append(failing.fields(now), zap.String("voter", string(voter)), zap.Bool("sent", sent), zap.Error(err))...)
	}
}

// forgetVoters removes the voters that have not failed for forgetFailuresAfter, and the one that has not for the
// longest time if there are maxFailing.
func (l *failureLog) forgetVoters(now anvilclock.Millis) {
	maps.DeleteFunc(l.voters, func(_ anvilid.InstanceID, f *failures) bool { return now-f.latest >= forgetFailuresAfter })
	if len(l.voters) < maxFailing {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(l.voters)), func(a, b anvilid.InstanceID) int {
		return int(l.voters[a].latest - l.voters[b].latest)
	})
	delete(l.voters, oldest)
}

// voterAnswered records that a voter has answered a call.
func (l *failureLog) voterAnswered(voter anvilid.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if failing := l.voters[voter]; failing != nil {
		l.answered(failing, zap.String("voter", string(voter)))
	}
}

// answered writes a line that calls are answered again, if one was written that they fail.
func (l *failureLog) answered(f *failures, about zap.Field) {
	lasted, failed := l.clock.Now()-f.since, f.failed
	if f.end() {
		l.log.Write(anvillogs.CallsAnswered, about, zap.Int("failed", failed), zap.Int64("lasted", int64(lasted)))
	}
}

// located records the result of a search for the leader.
func (l *failureLog) located(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.answered(&l.locate, zap.String("call", locateCall))
		return
	}
	if now := l.clock.Now(); l.locate.add(now) {
		l.log.Write(anvillogs.RequestFailed, append(l.locate.fields(now), zap.String("call", locateCall), zap.Error(err))...)
	}
}

// requestFailed records that a request could not be forwarded. The first one of each error in a second gets a line of
// its own.
func (l *failureLog) requestFailed(method, path string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	folded := l.requests[err.Error()]
	switch {
	case folded == nil:
		if len(l.requests) >= maxFailing {
			clear(l.requests)
		}
		folded = &foldedRequests{err: err}
		l.requests[err.Error()] = folded
	case now-folded.loggedAt < requestInterval:
		folded.add(path)
		return
	}
	l.writeRequests(folded, now, zap.String("path", path), zap.String("method", method))
}

func (f *foldedRequests) add(path string) {
	f.count++
	if len(f.paths) < maxListedRequests {
		f.paths = append(f.paths, path)
	}
}

// writeRequests writes a line with the requests that were folded since the last one.
func (l *failureLog) writeRequests(folded *foldedRequests, now anvilclock.Millis, fields ...zap.Field) {
	if folded.count > 0 {
		fields = append(fields, zap.Int("folded", folded.count), zap.Strings("paths", folded.paths))
	}
	l.log.Write(anvillogs.RequestFailed, append(fields, zap.Error(folded.err))...)
	folded.loggedAt, folded.count, folded.paths = now, 0, nil
}

// flush writes the lines about folded requests that are due, and forgets the errors that no request has got since
// the last line.
func (l *failureLog) flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for text, folded := range l.requests {
		switch {
		case now-folded.loggedAt < requestInterval:
		case folded.count == 0:
			delete(l.requests, text)
		default:
			l.writeRequests(folded, now)
		}
	}
}
