package anviltarget

import "anvilshunt/core/anvilid"

type requestKey struct {
	account anvilid.AccountID
	id      anvilid.RequestID
}

type requestEntry struct {
	count int
	token anvilid.Token
}

// requestLog counts the runs of each request id, and stores the highest fencing token with
// which it ran. If there are more ids than the limit, it drops the ids whose first run is the
// longest ago.
type requestLog struct {
	entries        map[requestKey]requestEntry
	keysByFirstRun []requestKey // ring buffer of the keys in the order of their first runs
	oldest         int          // index of the oldest key, once the ring buffer is full
	limit          int
}

func newRequestLog(limit int) *requestLog {
	return &requestLog{entries: map[requestKey]requestEntry{}, limit: limit}
}

// recordRun records a run, and returns how often the request id has run.
func (l *requestLog) recordRun(key requestKey, token anvilid.Token) int {
	entry, known := l.entries[key]
	if !known {
		l.addKey(key)
	}
	entry.count++
	entry.token = max(entry.token, token)
	l.entries[key] = entry
	return entry.count
}

func (l *requestLog) addKey(key requestKey) {
	if len(l.keysByFirstRun) < l.limit {
		l.keysByFirstRun = append(l.keysByFirstRun, key)
		return
	}
	delete(l.entries, l.keysByFirstRun[l.oldest])
	l.keysByFirstRun[l.oldest] = key
	l.oldest = (l.oldest + 1) % l.limit
}

// RunCount returns how often a request id of a client account ran.
func (t *Target) RunCount(account anvilid.AccountID, id anvilid.RequestID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests.entries[requestKey{account, id}].count
}

// RequestCount is the number of runs of one request id of a client account.
type RequestCount struct {
	Account anvilid.AccountID `json:"account"`
	ID      anvilid.RequestID `json:"id"`
	Count   int               `json:"count"`
}

// Requests lists the request ids that ran at least minCount times, in the order of their
// first runs. Ids that were dropped from the log are missing.
func (t *Target) Requests(minCount int) []RequestCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []RequestCount{}
	for i := range t.requests.keysByFirstRun {
		key := t.requests.keysByFirstRun[(t.requests.oldest+i)%len(t.requests.keysByFirstRun)]
		if count := t.requests.entries[key].count; count >= minCount {
			list = append(list, RequestCount{key.account, key.id, count})
		}
	}
	return list
}
