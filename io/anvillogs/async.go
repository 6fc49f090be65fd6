package anvillogs

import (
	"context"
	"io"
	"sync"
	"time"

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
	// maxWarnBytes is the part that lines of the level "warn" and above may use. The rest is left for lines about
	// changes of state: they are rare, and without them nobody can tell why requests failed.
	maxWarnBytes = maxBufferedBytes - maxBufferedBytes/8
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

// addLine buffers one line, unless more than limit bytes would then be buffered. It reports whether it did.
func (w *AsyncWriter) addLine(line []byte, limit int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffered)+len(line) > limit {
		return false
	}
	w.buffered = append(w.buffered, line...)
	return true
}

// bufferCore encodes lines and adds them to the buffer of an AsyncWriter. It counts those that don't fit.
type bufferCore struct {
	zapcore.LevelEnabler
	encoder zapcore.Encoder
	writer  *AsyncWriter
}

// With implements zapcore.Core.
func (c bufferCore) With(fields []zapcore.Field) zapcore.Core {
	c.encoder = c.encoder.Clone()
	for _, field := range fields {
		field.AddTo(c.encoder)
	}
	return c
}

// Check implements zapcore.Core.
func (c bufferCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c bufferCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	line, err := c.encoder.EncodeEntry(entry, fields)
	if err != nil {
		return err
	}
	defer line.Free()
	if !c.writer.addLine(line.Bytes(), bufferLimit(entry)) {
		c.writer.lost.drop(entry)
	}
	return nil
}

// Sync implements zapcore.Core.
func (bufferCore) Sync() error { return nil }

// bufferLimit returns how many bytes may be buffered after the line of an entry.
func bufferLimit(entry zapcore.Entry) int {
	switch {
	case stateChanges[entry.Message]:
		return maxBufferedBytes
	case entry.Level >= zapcore.WarnLevel:
		return maxWarnBytes
	}
	return maxBelowWarnBytes
}

// NewAsync returns a logger that writes JSON lines of at least the given level to an
// AsyncWriter.
func NewAsync(writer *AsyncWriter, level string) (*Logger, error) {
	lowest, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	core := bufferCore{lowest, zapcore.NewJSONEncoder(encoding()), writer}
	return newLogger(core, asyncSampleFirst, asyncSampleThereafter, &writer.lost), nil
}
