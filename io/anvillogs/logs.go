// Package anvillogs writes numbered events. docs/events.md lists them.
package anvillogs

import (
	"fmt"
	"io"
	"log"
	"strings"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Of each event, the first few in a second are written, then one in many, so
// that a storm of faults can't fill the disk.
const (
	sampleFirst = 20
	sampleThen  = 1000
)

// Event is one kind of log entry. Numbers are never reused.
type Event struct {
	Number int
	Level  zapcore.Level
	Text   string
}

// catalogue holds all events by number.
var catalogue = map[int]Event{}

func define(number int, level zapcore.Level, text string) Event {
	if _, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("log event %d is defined twice", number))
	}
	event := Event{Number: number, Level: level, Text: text}
	catalogue[number] = event
	return event
}

// Catalogue returns all events by number.
func Catalogue() map[int]Event { return catalogue }

// Logger writes events.
type Logger struct {
	zap *zap.Logger
}

// New returns a logger that writes JSON lines of at least the given level.
func New(out io.Writer, level string) (*Logger, error) {
	lowest, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding()), zapcore.Lock(zapcore.AddSync(out)), lowest)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThen)
	return &Logger{zap: zap.New(sampled)}, nil
}

// encoding is the form of all lines.
func encoding() zapcore.EncoderConfig {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return config
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return &Logger{zap: zap.NewNop()} }

// With returns a logger that adds fields to each entry.
func (l *Logger) With(fields ...zap.Field) *Logger { return &Logger{zap: l.zap.With(fields...)} }

// Write writes one event.
func (l *Logger) Write(event Event, fields ...zap.Field) {
	if entry := l.zap.Check(event.Level, event.Text); entry != nil {
		entry.Write(append([]zap.Field{zap.Int("event", event.Number)}, fields...)...)
	}
}

// CaptureStandard turns what libraries write to the standard logger into
// events. net/http reports answers there that no request waits for.
func (l *Logger) CaptureStandard(event Event) {
	log.SetFlags(0)
	log.SetOutput(standardWriter{l, event})
}

type standardWriter struct {
	logger *Logger
	event  Event
}

// Write writes one message as an event.
func (w standardWriter) Write(message []byte) (int, error) {
	w.logger.Write(w.event, zap.String("text", strings.TrimSpace(string(message))))
	return len(message), nil
}

// Sync flushes what is buffered.
func (l *Logger) Sync() {
	_ = l.zap.Sync() // terminals and pipes don't support it
}
