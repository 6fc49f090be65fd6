package anvillogs

import (
	"context"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxBufferedBytes bounds the lines that wait to be written. It is enough for a few
	// seconds of very frequent lines, and small compared to the memory of an entry instance,
	// which accepts the requests of callers.
	maxBufferedBytes = 512 << 10
	// maxBelowWarnBytes is the part of the buffer that lines below the level "warn" may use, so
	// that space is left for warnings and errors, for example about failed requests.
	maxBelowWarnBytes = maxBufferedBytes / 2
	// flushInterval is the interval between two writes of the buffered lines. It limits the
	// cost of writing, because each write needs a system call and wakes a goroutine.
	flushInterval = 100 * time.Millisecond
	// In each second, the first asyncSampleFirst lines about an event are written, and then
	// only one of every asyncSampleThereafter. The omitted lines are counted.
	asyncSampleFirst      = 500
	asyncSampleThereafter = 50
)

// AsyncWriter buffers log lines, so that logging never blocks. Run, which runs in a goroutine
// of its own, writes them. Lines that don't fit in the buffer are dropped and counted.
type AsyncWriter struct {
	out io.Writer
	// tick is called before the buffered lines are written, every flushInterval.
	tick func()

	mu       sync.Mutex
	buffered []byte
	reusable []byte

	lost lostLines
}

// NewAsyncWriter returns a writer that writes to out while Run runs.
func NewAsyncWriter(out io.Writer) *AsyncWriter { return &AsyncWriter{out: out, tick: func() {}} }

// OnTick makes Run call a function every flushInterval, before it writes the buffered lines. It must be called before Run.
func (w *AsyncWriter) OnTick(tick func()) { w.tick = tick }

// Run writes the buffered lines every flushInterval until ctx is done, and then those that are
// left.
func (w *AsyncWriter) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.Flush()
			return nil
		case <-ticker.C:
			w.tick()
			w.Flush()
		}
	}
}

// Flush writes the buffered lines.
func (w *AsyncWriter) Flush() {
	w.mu.Lock()
	lines := w.buffered
	w.buffered, w.reusable = w.reusable[:0], nil
	w.mu.Unlock()
	if len(lines) > 0 {
		// A failure to write the log can't be logged.
		_, _ = w.out.Write(lines)
	}
	w.mu.Lock()
	w.reusable = lines
	w.mu.Unlock()
}

// TakeLost returns how many lines were lost, and resets the counts.
func (w *AsyncWriter) TakeLost() Lost { return w.lost.take() }

// addLine buffers one line, or returns errBufferFull if more than limit bytes would then be buffered.
func (w *AsyncWriter) addLine(line []byte, limit int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffered)+len(line) > limit {
		return errBufferFull
	}
	w.buffered = append(w.buffered, line...)
	return nil
}

// limitedWriter writes lines to an AsyncWriter, but drops a line if more than limit bytes would
// then be buffered. Lines below the level "warn" have a lower limit than warnings and errors.
type limitedWriter struct {
	writer *AsyncWriter
	limit  int
}

func (w limitedWriter) Write(line []byte) (int, error) {
	if err := w.writer.addLine(line, w.limit); err != nil {
		return 0, err
	}
	return len(line), nil
}

func (limitedWriter) Sync() error { return nil }

// NewAsync returns a logger that writes JSON lines of at least the given level to an
// AsyncWriter.
func NewAsync(writer *AsyncWriter, level string) (*Logger, error) {
	lowest, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	encoder := zapcore.NewJSONEncoder(encoding())
	common := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= lowest && l < zapcore.WarnLevel })
	severe := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= lowest && l >= zapcore.WarnLevel })
	core := zapcore.NewTee(
		droppingCore{zapcore.NewCore(encoder, limitedWriter{writer, maxBelowWarnBytes}, common), &writer.lost},
		droppingCore{zapcore.NewCore(encoder, limitedWriter{writer, maxBufferedBytes}, severe), &writer.lost})
	return newLogger(core, asyncSampleFirst, asyncSampleThereafter, &writer.lost), nil
}
