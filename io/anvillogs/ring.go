package anvillogs

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// ringBytes bounds the lines that wait to be written. It holds a few
	// seconds of a storm and is small beside the memory of an entry instance.
	ringBytes = 512 << 10
	// ringCommon is the part that lines below the level of warnings may use,
	// so that decisions on failed requests are kept before those on others.
	ringCommon = ringBytes / 2
	// ringInterval is the pause between two writes: each write costs a system
	// call and a wake-up.
	ringInterval = 100 * time.Millisecond
	// foldFirst lines of one event in a second are written, then one in
	// foldThen. What is left out is counted.
	foldFirst = 500
	foldThen  = 50
)

// AsyncWriter takes log lines without ever blocking and writes them from a goroutine
// of its own. Lines that don't fit are dropped and counted.
type AsyncWriter struct {
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	spare   []byte

	dropped, folded atomic.Int64
}

// NewAsyncWriter returns a ring that writes to out while Run runs.
func NewAsyncWriter(out io.Writer) *AsyncWriter { return &AsyncWriter{out: out} }

// Run writes what waits until ctx is done, and then the rest.
func (r *AsyncWriter) Run(ctx context.Context) error {
	ticker := time.NewTicker(ringInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.Flush()
			return nil
		case <-ticker.C:
			r.Flush()
		}
	}
}

// Flush writes what waits.
func (r *AsyncWriter) Flush() {
	r.mu.Lock()
	lines := r.waiting
	r.waiting, r.spare = r.spare[:0], nil
	r.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to report that the log itself can't be written.
		_, _ = r.out.Write(lines)
	}
	r.mu.Lock()
	r.spare = lines
	r.mu.Unlock()
}

// TakeLossCounts returns and resets how many lines were dropped for want of room and how
// many repeated ones were folded.
func (r *AsyncWriter) TakeLossCounts() (dropped, folded int64) {
	return r.dropped.Swap(0), r.folded.Swap(0)
}

// add takes one line if less than limit bytes wait.
func (r *AsyncWriter) add(line []byte, limit int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting)+len(line) > limit {
		r.dropped.Add(1)
		return
	}
	r.waiting = append(r.waiting, line...)
}

// part is the share of a ring that lines of some levels may use.
type part struct {
	ring  *AsyncWriter
	limit int
}

func (p part) Write(line []byte) (int, error) {
	p.ring.add(line, p.limit)
	return len(line), nil
}

func (part) Sync() error { return nil }

// NewAsync returns a logger that writes JSON lines of at least the given
// level to a ring.
func NewAsync(ring *AsyncWriter, level string) (*Logger, error) {
	lowest, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	encoder := zapcore.NewJSONEncoder(encoding())
	common := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= lowest && l < zapcore.WarnLevel })
	grave := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= lowest && l >= zapcore.WarnLevel })
	core := zapcore.NewTee(
		zapcore.NewCore(encoder, part{ring, ringCommon}, common),
		zapcore.NewCore(encoder, part{ring, ringBytes}, grave))
	count := func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			ring.folded.Add(1)
		}
	}
	folded := zapcore.NewSamplerWithOptions(core, time.Second, foldFirst, foldThen, zapcore.SamplerHook(count))
	return &Logger{zap: zap.New(folded)}, nil
}
