// Package anvillogs writes log lines about numbered events. docs/events.md lists the events.
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

// Within each second, the first sampleFirst lines with the same text are written, and then
// only one of every sampleThereafter, so that a fault that is logged all the time doesn't
// fill the disk.
const (
	sampleFirst      = 20
	sampleThereafter = 1000
)

// Event is a type of log line with a fixed number, level and text. When an event is removed, its
// number is never assigned to another one.
type Event struct {
	Number int
	Level  zapcore.Level
	Text   string
}

// catalogue contains all events by number, and numberByText the number of each event by its text.
var (
	catalogue    = map[int]Event{}
	numberByText = map[string]int{}
)

func define(number int, level zapcore.Level, text string) Event {
	if _, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("log event %d is defined twice", number))
	}
	if other, ok := numberByText[text]; ok {
		panic(fmt.Sprintf("log events %d and %d have the same text", other, number))
	}
	numberByText[text] = number
	event := Event{Number: number, Level: level, Text: text}
	catalogue[number] = event
	return event
}

// Catalogue returns all events by number.
func Catalogue() map[int]Event { return catalogue }

// Logger writes events.
type Logger struct {
	zap  *zap.Logger
	lost *lostLines
}

// New returns a logger that writes JSON lines of at least the given level.
func New(out io.Writer, level string) (*Logger, error) {
	lowest, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding()), zapcore.Lock(zapcore.AddSync(out)), lowest)
	return newLogger(core, sampleFirst, sampleThereafter, &lostLines{}), nil
}

// newLogger returns a logger that writes the first lines with the same text in each second, and then one of every
// thereafter.
func newLogger(core zapcore.Core, first, thereafter int, lost *lostLines) *Logger {
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, first, thereafter, zapcore.SamplerHook(lost.sampled))
	return &Logger{zap: zap.New(sampled), lost: lost}
}

// encoding returns the format of all log lines.
func encoding() zapcore.EncoderConfig {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	// Milliseconds, as records that cut lines then keep more of the fields.
	config.EncodeTime = zapcore.TimeEncoderOfLayout("2006-01-02T15:04:05.000Z07:00")
	return config
}

// Discard returns a logger that writes nothing.
func Discard() *Logger { return &Logger{zap: zap.NewNop(), lost: &lostLines{}} }

// With returns a logger that adds fields to each line.
func (l *Logger) With(fields ...zap.Field) *Logger {
	return &Logger{zap: l.zap.With(fields...), lost: l.lost}
}

// Write writes a line about an event.
func (l *Logger) Write(event Event, fields ...zap.Field) {
	if entry := l.zap.Check(event.Level, event.Text); entry != nil {
		entry.Write(append([]zap.Field{zap.Int("event", event.Number)}, fields...)...)
	}
}

// CaptureStandard redirects the logger of the standard package log, which libraries use, so
// that each of its messages becomes a line about the given event. For example, net/http logs
// there that it received an answer for which no request waits.
func (l *Logger) CaptureStandard(event Event) {
	log.SetFlags(0)
	log.SetOutput(standardWriter{l, event})
}

type standardWriter struct {
	logger *Logger
	event  Event
}

// Write writes one message of the standard logger as an event.
func (w standardWriter) Write(message []byte) (int, error) {
	w.logger.Write(w.event, zap.String("text", strings.TrimSpace(string(message))))
	return len(message), nil
}

// Sync flushes the buffered lines.
func (l *Logger) Sync() {
	_ = l.zap.Sync() // terminals and pipes don't support it
}
