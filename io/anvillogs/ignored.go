package anvillogs

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"anvilshunt/core/anvilclock"
)

const (
	// ignoredInterval is the interval at which a line is written about an entry that stays in its list, and
	// is ignored with the same error each time that the list is read.
	ignoredInterval = 10 * anvilclock.Second
	// maxIgnoredKinds limits how many kinds of ignored entries are told apart.
	maxIgnoredKinds = 1000
	// maxIgnoredText is the maximum size in bytes of an entry, its source or its error in a line.
	maxIgnoredText = 200
)

// Ignored counts and logs entries of lists that can't be used and were left out.
type Ignored struct {
	log   *Logger
	event Event
	clock anvilclock.Clock
	total atomic.Uint64

	mu    sync.Mutex
	kinds map[ignoredKind]*ignoredState
}

type ignoredKind struct{ list, source, err string }

// ignoredState is when the latest line about a kind of entry was written, and how many entries were ignored
// since.
type ignoredState struct {
	writtenAt anvilclock.Millis
	folded    int
}

// NewIgnored returns a counter that writes lines about an event to log.
func NewIgnored(clock anvilclock.Clock, log *Logger, event Event) *Ignored {
	return &Ignored{log: log, event: event, clock: clock, kinds: map[ignoredKind]*ignoredState{}}
}

// Add counts an entry of a list that comes from source. It writes a line about it, unless it has written one
// about an entry of the same list and source with the same error within ignoredInterval.
func (i *Ignored) Add(list, source string, entry []byte, err error) {
	i.total.Add(1)
	kind := ignoredKind{list, shorten(source), shorten(err.Error())}
	if folded, write := i.fold(kind); write {
		i.log.Write(i.event, zap.String("list", list), zap.String("source", kind.source), zap.Int("folded", folded),
			zap.String("entry", shorten(string(entry))), zap.String("error", kind.err))
	}
}

// fold reports whether a line about a kind of entry is due, and how many entries were ignored since the last
// one.
func (i *Ignored) fold(kind ignoredKind) (folded int, write bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.Now()
	state := i.kinds[kind]
	switch {
	case state != nil && now-state.writtenAt < ignoredInterval:
		state.folded++
		return 0, false
	case state != nil:
		folded = state.folded
	case len(i.kinds) >= maxIgnoredKinds:
		clear(i.kinds)
	}
	i.kinds[kind] = &ignoredState{writtenAt: now}
	return folded, true
}

// Total returns the number of entries that were ignored since the start of the process.
func (i *Ignored) Total() uint64 { return i.total.Load() }

func shorten(text string) string { return text[:min(len(text), maxIgnoredText)] }
