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

// requestLog counts the runs of each request id and keeps the highest token
// that each ran under. It forgets the oldest ids beyond its limit.
type requestLog struct {
	entries map[requestKey]requestEntry
	order   []requestKey // ring of the keys in the order of their first run
	next    int
	limit   int
}

func newRequestLog(limit int) *requestLog {
	return &requestLog{entries: map[requestKey]requestEntry{}, limit: limit}
}

// started records a run and returns how often the id has run.
func (l *requestLog) started(key requestKey, token anvilid.Token) int {
	entry, known := l.entries[key]
	if !known {
		l.remember(key)
	}
	entry.count++
	entry.token = max(entry.token, token)
	l.entries[key] = entry
	return entry.count
}

func (l *requestLog) remember(key requestKey) {
	if len(l.order) < l.limit {
		l.order = append(l.order, key)
		return
	}
	delete(l.entries, l.order[l.next])
	l.order[l.next] = key
	l.next = (l.next + 1) % l.limit
}

// RunCount returns how often a request id of an account was run.
func (t *Target) RunCount(account anvilid.AccountID, id anvilid.RequestID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests.entries[requestKey{account, id}].count
}

// RequestCount tells how often an id ran.
type RequestCount struct {
	Account anvilid.AccountID `json:"account"`
	ID      anvilid.RequestID `json:"id"`
	Count   int               `json:"count"`
}

// Requests lists the ids that ran at least min times, in the order of their
// first run as far as the log reaches back.
func (t *Target) Requests(least int) []RequestCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []RequestCount{}
	for i := range t.requests.order {
		key := t.requests.order[(t.requests.next+i)%len(t.requests.order)]
		if count := t.requests.entries[key].count; count >= least {
			list = append(list, RequestCount{key.account, key.id, count})
		}
	}
	return list
}
