package anvillogs

import (
	"maps"
	"slices"
	"strconv"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Lost counts the lines that were not written.
type Lost struct {
	// Dropped lines didn't fit in the buffer, and folded lines were about an event that was repeated too often.
	Dropped, Folded int64
	// ByEvent has the number of both by the number of their event.
	ByEvent map[int]int64
}

// lostLines counts lost lines until they are taken.
type lostLines struct {
	mu     sync.Mutex
	counts Lost
}

// drop counts a line that didn't fit in the buffer.
func (l *lostLines) drop(entry zapcore.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Dropped++
	l.countEvent(entry)
}

// sampled counts a line if a sampler has left it out. It is a hook of the sampler.
func (l *lostLines) sampled(entry zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Folded++
	l.countEvent(entry)
}

func (l *lostLines) countEvent(entry zapcore.Entry) {
	if l.counts.ByEvent == nil {
		l.counts.ByEvent = map[int]int64{}
	}
	l.counts.ByEvent[numberByText[entry.Message]]++
}

// take returns the counts and resets them.
func (l *lostLines) take() Lost {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := l.counts
	l.counts = Lost{}
	return counts
}

// WriteLost writes a line about the given event if lines were lost since the last call. It counts them by event.
func (l *Logger) WriteLost(event Event) {
	lost := l.lost.take()
	if len(lost.ByEvent) > 0 {
		l.Write(event, zap.Object("events", eventCounts(lost.ByEvent)), zap.Int64("dropped", lost.Dropped), zap.Int64("folded", lost.Folded))
	}
}

// eventCounts has a number of lines by the number of their event.
type eventCounts map[int]int64

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (c eventCounts) MarshalLogObject(out zapcore.ObjectEncoder) error {
	for _, number := range slices.Sorted(maps.Keys(c)) {
		out.AddInt64(strconv.Itoa(number), c[number])
	}
	return nil
}
