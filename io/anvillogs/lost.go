package anvillogs

import (
	"errors"
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

// errBufferFull means that a line was dropped because the buffer is full.
var errBufferFull = errors.New("the buffer for log lines is full")

// droppingCore counts the lines that its core fails to write because the buffer is full.
type droppingCore struct {
	zapcore.Core
	lost *lostLines
}

// With implements zapcore.Core.
func (c droppingCore) With(fields []zapcore.Field) zapcore.Core {
	return droppingCore{c.Core.With(fields), c.lost}
}

// Check implements zapcore.Core.
func (c droppingCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c droppingCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	err := c.Core.Write(entry, fields)
	if !errors.Is(err, errBufferFull) {
		return err
	}
	c.lost.drop(entry)
	return nil
}
